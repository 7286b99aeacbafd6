// Messages between nodes. They are one-way: a reply is another message.
//
//   PeerMessage Ping{.Kind = MessageKind::Ping, .Sequence = 7};
#ifndef CURRANTGAUGE_MEMBERSHIP_MESSAGE_H
#define CURRANTGAUGE_MEMBERSHIP_MESSAGE_H

#include "currantgauge/admission/permit.h"
#include "currantgauge/base/ids.h"
#include "currantgauge/base/units.h"
#include "currantgauge/routing/backend_server.h"

#include <cstdint>
#include <vector>

namespace currantgauge::membership {

// MemberPhase is a node's state as seen by the failure detector. Of records
// with equal incarnations the later phase wins.
enum class MemberPhase { Alive, Suspect, Dead, Left };

// MemberRecord is the replicated state of a node.
struct MemberRecord {
  base::NodeName Name;
  base::NetAddress PeerAddress;
  base::RegionName Region;
  base::DomainName Domain;
  base::Incarnation Incarnation; // increased to refute a suspicion
  MemberPhase Phase = MemberPhase::Alive;
  base::ConfigVersion Version; // in force at that node
};

// ServerCrash is the crash of one process of a backend server.
struct ServerCrash {
  base::BackendName Server;
  base::Incarnation Incarnation;
  auto operator<=>(const ServerCrash &) const = default;
};

// QuarantineRecord is the replicated quarantine of a request that crashed
// backend servers.
struct QuarantineRecord {
  base::Fingerprint Fingerprint;
  base::ServiceName Service;
  base::KindName Kind;
  std::vector<ServerCrash> Crashes; // ordered
  base::UnixTime Since;             // last crash, or clearing by an operator
  bool Cleared = false;
};

// MessageKind is the purpose of a PeerMessage. Rumours, and the records of
// Sync, need no reply.
enum class MessageKind { Ping, Ack, PingRequest, Sync, Rumours, Permits };

// PeerMessage is a message to another node. Pings, their acks (unless relayed)
// and Rumours carry as many rumours as fit their byte budget.
struct PeerMessage {
  base::NodeName From;
  base::NetAddress FromAddress;
  MessageKind Kind = MessageKind::Ping;
  std::uint64_t Sequence = 0;
  base::NodeName Target; // the node to ping; of an Ack: the node that answered
  base::NetAddress TargetAddress;
  std::vector<MemberRecord> Members;
  std::vector<routing::BackendRecord> Backends;
  std::vector<QuarantineRecord> Quarantine;
  base::ConfigVersion Version; // newest one that the sender has seen
  // Sync only. BucketHashes holds the root hash or one hash per folded bucket.
  // The next message lists Buckets that differ and the RecordHashes of all
  // records in them; Wanted are the hashes of records that the sender lacks.
  std::vector<std::uint64_t> BucketHashes;
  std::vector<std::uint32_t> Buckets;
  std::vector<std::uint64_t> RecordHashes;
  std::vector<std::uint64_t> Wanted;
  // Permits only.
  std::vector<admission::PermitAsk> PermitAsks;
  std::vector<admission::PermitAnswer> PermitAnswers;
};

} // namespace currantgauge::membership

#endif // CURRANTGAUGE_MEMBERSHIP_MESSAGE_H
