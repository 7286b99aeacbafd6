// What a node knows of the other nodes, and what it has yet to tell them.
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

// GossipInterval is the time between two rounds of a node.
constexpr base::Duration GossipInterval = base::milliseconds(1000);

// BucketCount is the number of buckets that anti-entropy compares at most, at
// any size of the fleet.
constexpr std::size_t BucketCount = 1024;

// Member is another node as this one sees it.
struct Member {
  MemberRecord Record;
  base::TimePoint LastMessageAt; // when a message of it arrived
  base::TimePoint PhaseSince;    // when its phase changed here
  bool PathFailed = false;       // it answers others, not this node
  std::size_t RosterIndex = 0;   // its place in the roster of its region
};

// Roster lists the live members of a region in the order of their probes.
struct Roster {
  std::vector<base::NodeName> Names;
  std::size_t NextProbe = 0;
  // Ring orders them by a hash of their names, the same at every node.
  std::map<std::uint64_t, base::NodeName> Ring;
};

// RecordKind says which table a record belongs to.
enum class RecordKind { Member, Backend, Quarantine };

// RecordKey names a record of any table.
struct RecordKey {
  RecordKind Kind = RecordKind::Member;
  std::string Name;         // of a member or a backend server
  std::uint64_t Number = 0; // fingerprint of a quarantine

  auto operator<=>(const RecordKey &) const = default;
};

// Rumour is a record that is still passed on. An urgent one is sent at once,
// the others wait for the next message that has room. A firm one does not stop
// early when others are heard to know it.
struct Rumour {
  std::uint32_t Sent = 0;
  bool Urgent = false;
  bool Persistent = false;
  std::uint64_t ArrivalNumber = 0;
};

// RumourRank orders rumours: least often sent, urgent, newest.
struct RumourRank {
  std::uint32_t Sent = 0;
  bool Deferred = false;
  std::uint64_t Age = 0; // falls with each newer rumour
  RecordKey Key;

  auto operator<=>(const RumourRank &) const = default;
};

// RumourQueue holds the rumours and the bytes that they may cost now.
struct RumourQueue {
  std::map<RecordKey, Rumour> Pending;
  std::set<RumourRank> Ranked;
  std::uint64_t LastArrivalNumber = 0;
  bool FlushPending = false;
  bool FlushTimerSet = false; // a RumourFlush timer is set
  base::TimePoint LastFlush;
  double Tokens = 0; // bytes
  base::TimePoint TokensUpdatedAt;
};

// Bucket is a share of all records: their hashes, and the XOR of those.
struct Bucket {
  std::uint64_t Hash = 0;
  std::map<RecordKey, std::uint64_t> Records;
};

// Digest is what anti-entropy compares, kept up to date with each change.
struct Digest {
  std::vector<Bucket> Buckets = std::vector<Bucket>(BucketCount);
  std::uint64_t Root = 0;
  std::size_t Count = 0; // of records
};

// Probe is a ping that waits for its answer.
struct Probe {
  base::NodeName Target;
  base::TimePoint Deadline; // of the timer that ends this stage
  bool Indirect = false;    // other nodes were asked to ping the target
};

// Relay is a ping on behalf of another node.
struct Relay {
  base::NodeName Requester;
  base::NetAddress RequesterAddress;
  std::uint64_t Sequence = 0; // the asker's
  base::TimePoint ExpiresAt;
};

// TableState is the node's dealings with the platform's table of nodes.
struct TableState {
  std::set<base::CallId> Writes;
  std::set<base::CallId> Scans;
  base::TimePoint NextWrite;
  base::TimePoint NextScan;
  std::string ScanCursor;     // key of the last row read
  bool FirstScanDone = false; // the table was read, or can't be for now
  bool RowWritten = false; // the own row is in the table, or can't be for now
};

// MembershipState holds the other nodes and the way to the first of them.
struct MembershipState {
  MemberRecord Self;
  std::vector<base::NetAddress> Seeds;
  std::map<base::NodeName, Member> Members;

  // Accepted is the highest configuration version that any message named, and
  // AcceptedVersionNode the node that named it.
  base::ConfigVersion AcceptedVersion;
  base::NodeName AcceptedVersionNode;
  base::ConfigVersion AnnouncedVersion;
  bool RepeatVersionRumour = false; // it is announced once more
  base::TimePoint NextVersionRumour;
  std::set<base::BackendName>
      RateLimitedUpdates; // own servers with news that may wait
  base::TimePoint NextRateLimitedUpdate;

  std::map<base::RegionName, Roster> Rosters; // other live members
  std::size_t LiveMembers = 0;
  std::map<base::NodeName, base::TimePoint> Suspects; // and when they are dead
  std::set<base::NodeName> FailedPaths;               // members with PathFailed
  std::multimap<base::TimePoint, base::NodeName> Tombstones;
  std::map<std::uint64_t, Probe> Probes;
  std::map<std::uint64_t, Relay> Relays;
  std::uint64_t LastSequence = 0;
  std::uint64_t Round = 0;
  base::TimePoint LastRound;

  RumourQueue Rumours;
  Digest RecordDigest;
  base::TimePoint NextSync;
  // ServersByOwner may name servers that have moved since; the registry
  // decides.
  std::map<base::NodeName, std::set<base::BackendName>> ServersByOwner;
  std::multimap<base::TimePoint, base::BackendName> GoneServers;
  // Owners that no member record names yet, and until when that is accepted.
  std::map<base::NodeName, base::TimePoint> UnknownOwners;
  // Records that name this node as owner though it has no such server.
  std::map<base::BackendName, routing::BackendRecord> Orphans;
  base::TimePoint OrphansDeadline;
  TableState Table;
};

} // namespace currantgauge::membership

#endif // CURRANTGAUGE_MEMBERSHIP_STATE_H
