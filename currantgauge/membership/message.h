// What nodes tell each other: one-way messages, an answer is another message.
//
//   PeerMessage Ping{.Kind = MessageKind::Ping, .Sequence = 7};
#ifndef CURRANTGAUGE_MEMBERSHIP_MESSAGE_H
#define CURRANTGAUGE_MEMBERSHIP_MESSAGE_H

#include "currantgauge/base/ids.h"
#include "currantgauge/base/units.h"
#include "currantgauge/routing/backend_server.h"

#include <cstdint>
#include <vector>

namespace currantgauge::membership {

// MemberPhase is what is known of a node.
enum class MemberPhase { Alive, Suspect, Dead, Left };

// MemberRecord is what nodes tell each other of a node.
struct MemberRecord {
  base::NodeName Name;
  base::NetAddress PeerAddress;
  base::RegionName Region;
  base::DomainName Domain;
  base::Incarnation Incarnation; // rises to refute a suspicion
  MemberPhase Phase = MemberPhase::Alive;
  base::ConfigVersion Version; // in force at that node
};

// QuarantineRecord is a request that crashed backend servers.
struct QuarantineRecord {
  base::Fingerprint Fingerprint;
  base::ServiceName Service;
  base::KindName Kind;
  std::vector<base::BackendName> Crashed;
  base::UnixTime Since;
  bool Cleared = false;
};

// MessageKind is the purpose of a PeerMessage.
// Rumours and the records of Sync ask for no answer.
enum class MessageKind { Ping, Ack, PingRequest, Sync, Rumours };

// PeerMessage carries its purpose and whatever rumours fit the byte budget.
struct PeerMessage {
  base::NodeName From;
  base::NetAddress FromAddress;
  MessageKind Kind = MessageKind::Ping;
  std::uint64_t Sequence = 0;
  base::NodeName Target; // of PingRequest, or on whose behalf an Ack is
  base::NetAddress TargetAddress;
  std::vector<MemberRecord> Members;
  std::vector<routing::BackendRecord> Backends;
  std::vector<QuarantineRecord> Quarantine;
  base::ConfigVersion Version; // highest accepted version the sender knows
  // Of Sync alone: one hash over everything or one a bucket, then the hashes of
  // every record of the buckets that differ, then those that the sender lacks.
  std::vector<std::uint64_t> BucketHashes;
  std::vector<std::uint32_t> Buckets;
  std::vector<std::uint64_t> RecordHashes;
  std::vector<std::uint64_t> Wanted;
};

} // namespace currantgauge::membership

#endif // CURRANTGAUGE_MEMBERSHIP_MESSAGE_H
