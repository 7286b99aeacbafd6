// What a node knows about the other nodes, and the updates that it has yet to
// send them.
//
//   const MemberRecord &Owner = State.Members.at(Name).Record;
#ifndef CURRANTGAUGE_MEMBERSHIP_STATE_H
#define CURRANTGAUGE_MEMBERSHIP_STATE_H

#include "currantgauge/base/ids.h"
#include "currantgauge/base/units.h"
#include "currantgauge/membership/message.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace currantgauge::membership {

// GossipInterval is the time between two gossip rounds of a node.
constexpr base::Duration GossipInterval = base::milliseconds(1000);

// BucketCount is the number of digest buckets, the same for every fleet size.
// Anti-entropy compares at most so many.
constexpr std::size_t BucketCount = 1024;

// Member is this node's view of another node.
struct Member {
  MemberRecord Record;
  base::TimePoint LastMessageAt; // when its last message arrived
  base::TimePoint PhaseSince;    // when its phase changed at this node
  bool PathFailed = false;       // it answers other nodes, but not this one
  std::size_t RosterIndex = 0;   // its index in Roster::Names
};

// Roster lists the live members of a region, in probe order.
struct Roster {
  std::vector<base::NodeName> Names;
  std::size_t NextProbe = 0;
  // Ring orders the members by a hash of their names; the order is the same at
  // every node.
  std::map<std::uint64_t, base::NodeName> Ring;
};

// RecordKind is the table that a record belongs to.
enum class RecordKind { Member, Backend, Quarantine };

// RecordKey identifies a record of any table.
struct RecordKey {
  RecordKind Kind = RecordKind::Member;
  std::string Name;         // of a member or a backend server, else empty
  std::uint64_t Number = 0; // fingerprint of a quarantine

  auto operator<=>(const RecordKey &) const = default;
};

// Rumour is the dissemination state of a changed record. An urgent rumour is
// sent at once, others are piggybacked on the next message that has room.
// Duplicates received from peers don't count as copies of a persistent one, so
// that it is sent the full number of times.
struct Rumour {
  std::uint32_t Sent = 0; // copies
  bool Urgent = false;
  bool Persistent = false;
  std::uint64_t ArrivalNumber = 0;
};

// RumourSendOrder orders rumours: least often sent first, then urgent, then
// newest.
struct RumourSendOrder {
  std::uint32_t Sent = 0;
  bool Deferred = false;
  std::uint64_t Age = 0; // smaller for newer rumours
  RecordKey Key;

  auto operator<=>(const RumourSendOrder &) const = default;
};

// RumourQueue holds the pending rumours, and a token bucket that limits the
// bytes of flushes.
struct RumourQueue {
  std::map<RecordKey, Rumour> Pending;
  std::set<RumourSendOrder> BySendOrder;
  std::uint64_t LastArrivalNumber = 0;
  bool FlushPending = false;
  bool FlushTimerSet = false; // a RumourFlush timer
  base::TimePoint LastFlush;
  double Tokens = 0; // bytes
  base::TimePoint TokensUpdatedAt;
};

// Bucket is one partition of the records: their hashes, and the XOR of these.
struct Bucket {
  std::uint64_t Hash = 0;
  std::map<RecordKey, std::uint64_t> Records;
};

// Digest is what anti-entropy compares. It is updated with each change of a
// record.
struct Digest {
  std::vector<Bucket> Buckets = std::vector<Bucket>(BucketCount);
  std::uint64_t Root = 0; // XOR of all record hashes
  std::size_t Count = 0;  // of records
};

// Probe is a ping that is waiting for its ack.
struct Probe {
  base::NodeName Target;
  base::TimePoint Deadline; // of the current stage, direct or indirect
  bool Indirect = false;    // other nodes were requested to ping it
};

// Relay is a ping that this node sent on behalf of another one.
struct Relay {
  base::NodeName Requester;
  base::NetAddress RequesterAddress;
  std::uint64_t Sequence = 0; // of the requester's probe
  base::TimePoint ExpiresAt;
};

// TableState is the state of this node's calls to the platform's nodes table.
struct TableState {
  std::set<base::CallId> Writes;
  std::set<base::CallId> Scans;
  base::TimePoint NextWrite;
  base::TimePoint NextScan;
  std::string ScanCursor;     // key of the last row read; empty at the start
  bool FirstScanDone = false; // the first scan has succeeded or failed
  bool FirstWriteDone =
      false;          // the row was found, or a write has succeeded or failed
  base::CallId Check; // a read of the row after a restore; 0: none
  base::TimePoint NextCheck = base::Never;
};

// MembershipState holds the known members, the state of the gossip protocol and
// the discovery of members.
struct MembershipState {
  MemberRecord Self;
  std::vector<base::NetAddress> Seeds;
  std::map<base::NodeName, Member> Members;

  // The newest configuration version that was in force here or in a received
  // message, and the node that reported it first.
  base::ConfigVersion NewestVersion;
  base::NodeName NewestVersionNode;
  base::ConfigVersion AnnouncedVersion;
  bool RepeatVersionRumour = false; // announce the version once more
  base::TimePoint NextVersionRumour;
  std::set<base::BackendName>
      RateLimitedUpdates; // owned servers with deferrable changes
  base::TimePoint NextRateLimitedUpdate;

  std::map<base::RegionName, Roster> Rosters; // other live members
  std::size_t LiveMembers = 0;
  std::map<base::NodeName, base::TimePoint> Suspects; // dead then if unrefuted
  std::set<base::NodeName> FailedPaths;               // members with PathFailed
  // Members that are dead or have left, by the time when they are forgotten.
  // May still list members that are live again.
  std::multimap<base::TimePoint, base::NodeName> Tombstones;
  std::map<std::uint64_t, Probe> Probes;
  std::map<std::uint64_t, Relay> Relays;
  std::uint64_t LastSequence = 0;
  std::uint64_t Round = 0;
  base::TimePoint LastRound;

  RumourQueue Rumours;
  Digest RecordDigest;
  base::TimePoint NextSync;
  // May still list servers that have moved to another owner; the owner in the
  // server's record is authoritative.
  std::map<base::NodeName, std::set<base::BackendName>> ServersByOwner;
  // Servers that are gone, by the time when they are forgotten.
  std::multimap<base::TimePoint, base::BackendName> GoneServers;
  // Owners without a member record yet, and when their servers are forgotten if
  // none arrives.
  std::map<base::NodeName, base::TimePoint> UnknownOwners;
  // Records of servers that name this node as owner but are unknown here, and
  // when they are announced as gone.
  std::map<base::BackendName, routing::BackendRecord> Orphans;
  base::TimePoint OrphansDeadline;
  TableState Table;
};

} // namespace currantgauge::membership

#endif // CURRANTGAUGE_MEMBERSHIP_STATE_H
