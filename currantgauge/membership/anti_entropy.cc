#include "currantgauge/membership/anti_entropy.h"

#include "currantgauge/membership/digest.h"
#include "currantgauge/membership/member.h"
#include "currantgauge/membership/roster.h"
#include "currantgauge/membership/rumours.h"
#include "currantgauge/membership/send.h"
#include "currantgauge/membership/size.h"

#include <algorithm>
#include <bit>
#include <cstdint>
#include <optional>
#include <set>
#include <tuple>
#include <utility>
#include <vector>

namespace currantgauge::membership {
namespace {

// Number of records in the buckets of one comparison, about as many as
// SyncBudgetBytes holds. More buckets differ only if a node has missed many
// changes; the next comparison then follows after CatchUpInterval.
constexpr std::size_t RecordsPerComparison = 400;
constexpr std::size_t MinBuckets = 8;
constexpr std::size_t MaxBuckets = 128;
constexpr base::Duration CatchUpInterval = base::milliseconds(100);
// On average one comparison in this many is with another region.
constexpr std::uint64_t SyncsPerRemoteSync = 6;
constexpr std::size_t WantedLimit = 1024; // hashes per message

bool hasRecords(const PeerMessage &Message) {
  return !Message.Members.empty() || !Message.Backends.empty() ||
         !Message.Quarantine.empty();
}

// Encodes a folded bucket as the level's size plus its index. As the size is a
// power of two above every index, the sum determines both.
constexpr std::uint32_t encodeBucket(DigestLevel Level, std::size_t Index) {
  return static_cast<std::uint32_t>(Level.Size + Index);
}

// Calls Visit(Key, Hash) for every record of a folded bucket. Returns false if
// the bucket code is invalid.
template <typename Visitor>
bool visitRecords(const Digest &Records, std::uint32_t BucketCode,
                  Visitor Visit) {
  std::size_t Size = std::bit_floor(BucketCode);
  if (!isValidLevelSize(Size))
    return false;
  for (std::size_t Index = BucketCode - Size; Index < BucketCount;
       Index += Size)
    for (const auto &[Key, Hash] : Records.Buckets[Index].Records)
      Visit(Key, Hash);
  return true;
}

// Adds the ends of servers that announced them to Owner, which has forgotten
// them if it was restarted. The digest excludes their records.
void addDepartures(const core::State &Node, const base::NodeName &Owner,
                   PeerMessage &Reply) {
  std::size_t Size = encodedSize(Reply);
  for (const auto &[ForgetAt, Name] : Node.Membership.GoneServers) {
    auto It = Node.Routing.Servers.find(Name);
    if (It != Node.Routing.Servers.end() && It->second.Record.Departed &&
        It->second.Record.Owner == Owner)
      addRecord(Node, keyOf(It->second.Record), Reply, Size, SyncBudgetBytes);
  }
}

void answerRoot(core::State &Node, const PeerMessage &Message,
                core::EffectList &Effects) {
  MembershipState &State = Node.Membership;
  if (Message.BucketHashes.front() == State.RecordDigest.Root)
    return;
  PeerMessage Reply = newMessage(State, MessageKind::Sync);
  Reply.Members.push_back(State.Self);
  addRefutableRecord(State, Message.From, Reply);
  addDepartures(Node, Message.From, Reply);
  Reply.BucketHashes = bucketHashes(State, chooseLevel(State));
  reply(Message, std::move(Reply), Effects);
}

// Starts at a random bucket, so that no bucket is always cut off by the limit.
std::vector<std::uint32_t>
findDifferingBuckets(const MembershipState &State,
                     const std::vector<std::uint64_t> &RemoteHashes,
                     base::Random &Source) {
  std::vector<std::uint32_t> Buckets;
  DigestLevel Level{RemoteHashes.size()};
  std::vector<std::uint64_t> LocalHashes = bucketHashes(State, Level);
  std::size_t First = base::uniformBelow(Source, Level.Size);
  for (std::size_t Step = 0; Step < Level.Size; ++Step) {
    std::size_t Index = (First + Step) % Level.Size;
    if (LocalHashes[Index] != RemoteHashes[Index])
      Buckets.push_back(encodeBucket(Level, Index));
  }
  return Buckets;
}

void answerBuckets(core::State &Node, const PeerMessage &Message,
                   core::EffectList &Effects) {
  MembershipState &State = Node.Membership;
  if (!isValidLevelSize(Message.BucketHashes.size()))
    return;
  std::vector<std::uint32_t> Buckets =
      findDifferingBuckets(State, Message.BucketHashes, Node.Random);
  if (Buckets.empty())
    return;
  std::size_t BucketLimit =
      std::clamp(RecordsPerComparison * Message.BucketHashes.size() /
                     std::max<std::size_t>(State.RecordDigest.Count, 1),
                 MinBuckets, MaxBuckets);
  if (Buckets.size() > BucketLimit) {
    Buckets.resize(BucketLimit);
    State.NextSync = Node.Now + CatchUpInterval;
    setTimer(Node.Timers, State.NextSync, core::SyncDue{});
  }
  PeerMessage Reply = newMessage(State, MessageKind::Sync);
  Reply.Buckets = std::move(Buckets);
  for (std::uint32_t BucketCode : Reply.Buckets)
    visitRecords(State.RecordDigest, BucketCode,
                 [&](const RecordKey &, std::uint64_t Hash) {
                   Reply.RecordHashes.push_back(Hash);
                 });
  reply(Message, std::move(Reply), Effects);
}

void answerRecordHashes(core::State &Node, const PeerMessage &Message,
                        core::EffectList &Effects) {
  const MembershipState &State = Node.Membership;
  std::set<std::uint64_t> RemoteHashes(Message.RecordHashes.begin(),
                                       Message.RecordHashes.end());
  PeerMessage Reply = newMessage(State, MessageKind::Sync);
  std::size_t Size = encodedSize(Reply) + WantedLimit * sizeof(std::uint64_t);
  auto AddIfMissingRemotely = [&](const RecordKey &Key, std::uint64_t Hash) {
    if (RemoteHashes.erase(Hash) == 0)
      addRecord(Node, Key, Reply, Size, SyncBudgetBytes);
  };
  for (std::uint32_t BucketCode : Message.Buckets)
    if (!visitRecords(State.RecordDigest, BucketCode, AddIfMissingRemotely))
      return;
  for (std::uint64_t Hash : RemoteHashes)
    if (Reply.Wanted.size() < WantedLimit)
      Reply.Wanted.push_back(Hash);
  // A message with Buckets and no records requests records, so Buckets is set
  // only along with Wanted.
  if (!Reply.Wanted.empty())
    Reply.Buckets = Message.Buckets;
  if (!Reply.Wanted.empty() || hasRecords(Reply))
    reply(Message, std::move(Reply), Effects);
}

void answerWanted(core::State &Node, const PeerMessage &Message,
                  core::EffectList &Effects) {
  const MembershipState &State = Node.Membership;
  std::set<std::uint64_t> WantedHashes(Message.Wanted.begin(),
                                       Message.Wanted.end());
  PeerMessage Reply = newMessage(State, MessageKind::Sync);
  std::size_t Size = encodedSize(Reply);
  auto AddIfWanted = [&](const RecordKey &Key, std::uint64_t Hash) {
    if (WantedHashes.contains(Hash))
      addRecord(Node, Key, Reply, Size, SyncBudgetBytes);
  };
  for (std::uint32_t BucketCode : Message.Buckets)
    if (!visitRecords(State.RecordDigest, BucketCode, AddIfWanted))
      return;
  reply(Message, std::move(Reply), Effects);
}

// Returns the Member of a node that is known to be dead or to have left in that
// incarnation or a later one, else null.
const Member *findEndedMember(const MembershipState &State,
                              const base::NodeName &Name,
                              base::Incarnation Incarnation) {
  const Member *Peer = findMember(State, Name);
  bool Ended = Peer && !isLive(Peer->Record.Phase) &&
               Peer->Record.Incarnation >= Incarnation;
  return Ended ? Peer : nullptr;
}

// Returns the local record of a server if it is newer and says that the server
// is gone, else null.
const routing::BackendRecord *
findGoneServer(const core::State &Node,
               const routing::BackendRecord &RemoteRecord) {
  auto It = Node.Routing.Servers.find(RemoteRecord.Name);
  if (It == Node.Routing.Servers.end())
    return nullptr;
  const routing::BackendRecord &LocalRecord = It->second.Record;
  bool IsNewer = std::tie(LocalRecord.Incarnation, LocalRecord.Revision) >
                 std::tie(RemoteRecord.Incarnation, RemoteRecord.Revision);
  bool IsGone = LocalRecord.Phase == routing::BackendPhase::Gone;
  return IsNewer && IsGone ? &LocalRecord : nullptr;
}

// The digest excludes records of nodes and servers that have ended. A sender
// that missed an end therefore offers the outdated record in every comparison;
// the reply contains the record of the end.
void correctSender(core::State &Node, const PeerMessage &Message,
                   core::EffectList &Effects) {
  const MembershipState &State = Node.Membership;
  PeerMessage Reply = newMessage(State, MessageKind::Sync);
  std::size_t Size = encodedSize(Reply);
  for (const MemberRecord &RemoteRecord : Message.Members)
    if (isLive(RemoteRecord.Phase) &&
        findEndedMember(State, RemoteRecord.Name, RemoteRecord.Incarnation))
      addRecord(Node, keyOf(RemoteRecord), Reply, Size, SyncBudgetBytes);
  std::set<base::NodeName> Owners;
  for (const routing::BackendRecord &RemoteRecord : Message.Backends) {
    if (findEndedMember(State, RemoteRecord.Owner, base::Incarnation()))
      Owners.insert(RemoteRecord.Owner);
    else if (findGoneServer(Node, RemoteRecord))
      addRecord(Node, keyOf(RemoteRecord), Reply, Size, SyncBudgetBytes);
  }
  for (const base::NodeName &Owner : Owners)
    addRecord(Node, RecordKey{RecordKind::Member, Owner.Value, 0}, Reply, Size,
              SyncBudgetBytes);
  if (hasRecords(Reply))
    reply(Message, std::move(Reply), Effects);
}

std::optional<base::NodeName> pickSyncPeer(core::State &Node) {
  const MembershipState &State = Node.Membership;
  bool HasRegionPeers = countRegionPeers(State) > 0;
  if (!HasRegionPeers ||
      base::uniformBelow(Node.Random, SyncsPerRemoteSync) == 0)
    if (auto Region = pickRemoteRegion(State, Node.Random))
      return pickRemotePeer(State, *Region, Node.Random);
  return pickPeer(State, State.Self.Region, Node.Random);
}

} // namespace

void syncRound(core::State &Node, core::EffectList &Effects) {
  MembershipState &State = Node.Membership;
  if (Node.Now < State.NextSync)
    return;
  auto Peer = pickSyncPeer(Node);
  if (!Peer)
    return;
  base::Duration Jitter{static_cast<std::int64_t>(
      base::uniformBelow(Node.Random, SyncInterval.Micros / 5))};
  State.NextSync = Node.Now + SyncInterval + Jitter;
  startSync(Node, *Peer, addressOf(State, *Peer), Effects);
}

void startSync(core::State &Node, const base::NodeName &Peer,
               const base::NetAddress &Address, core::EffectList &Effects) {
  const MembershipState &State = Node.Membership;
  PeerMessage Message = newMessage(State, MessageKind::Sync);
  Message.Members.push_back(State.Self);
  Message.BucketHashes = {State.RecordDigest.Root};
  Effects.push_back(
      core::Measure{core::Metric::PeerMessages, "sync", "out", 1});
  Effects.push_back(core::SendPeerMessage{Peer, Address, std::move(Message)});
}

void onSync(core::State &Node, const PeerMessage &Message,
            core::EffectList &Effects) {
  if (Message.BucketHashes.size() == 1)
    answerRoot(Node, Message, Effects);
  else if (!Message.BucketHashes.empty())
    answerBuckets(Node, Message, Effects);
  else if (!Message.Wanted.empty())
    answerWanted(Node, Message, Effects);
  else if (!Message.Buckets.empty() && !hasRecords(Message))
    answerRecordHashes(Node, Message, Effects);
  if (hasRecords(Message))
    correctSender(Node, Message, Effects);
}

} // namespace currantgauge::membership
