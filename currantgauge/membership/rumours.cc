#include "currantgauge/membership/rumours.h"

#include "currantgauge/membership/digest.h"
#include "currantgauge/membership/member.h"
#include "currantgauge/membership/roster.h"
#include "currantgauge/membership/send.h"
#include "currantgauge/membership/size.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace currantgauge::membership {
namespace {

// Number of copies of a rumour that a node sends, as a multiple of the natural
// logarithm of the fleet's size. Anti-entropy repairs what they miss.
constexpr double RetransmitFactor = 3;
// The same for rumours about members, which need more copies: a node is
// declared dead if its refutation arrives late, before anti-entropy could
// repair that.
constexpr double MemberRetransmitFactor = 4;
// Number of nearby peers to which each node that receives an urgent rumour
// sends it.
constexpr std::size_t FlushPeers = 4;
// Expected number of copies of a flushed rumour that all nodes of this region
// together send to each other region.
constexpr double CopiesPerRemoteRegion = 3;
constexpr base::Duration MinFlushInterval = base::milliseconds(50);
constexpr double FlushBytesPerSecond = 8 * 1024;
constexpr double FlushBurstBytes = 32 * 1024;
constexpr base::Duration GoneRetention = base::minutes(10); // of servers
// Number of pending rumours examined for one message.
constexpr std::size_t MaxRumoursScanned = 64;

RumourSendOrder sendOrderOf(const RecordKey &Key, const Rumour &Item) {
  return RumourSendOrder{Item.Sent, !Item.Urgent,
                         UINT64_MAX - Item.ArrivalNumber, Key};
}

void enqueue(RumourQueue &Queue, const RecordKey &Key,
             RumourPriority Priority) {
  if (Priority == RumourPriority::None)
    return;
  bool Urgent = Priority <= RumourPriority::Urgent;
  Rumour &Item = Queue.Pending[Key];
  Queue.BySendOrder.erase(sendOrderOf(Key, Item));
  Item = Rumour{0, Urgent, Priority == RumourPriority::Persistent,
                ++Queue.LastArrivalNumber};
  Queue.BySendOrder.insert(sendOrderOf(Key, Item));
  if (Urgent)
    Queue.FlushPending = true;
}

void countSent(RumourQueue &Queue, const RecordKey &Key, std::uint32_t Copies,
               std::uint32_t Limit) {
  Rumour &Item = Queue.Pending.at(Key);
  Queue.BySendOrder.erase(sendOrderOf(Key, Item));
  Item.Sent += Copies;
  if (Item.Sent >= Limit)
    Queue.Pending.erase(Key);
  else
    Queue.BySendOrder.insert(sendOrderOf(Key, Item));
}

template <typename Record>
bool addIfFits(const Record &Item, std::vector<Record> &List, std::size_t &Size,
               std::size_t Budget) {
  std::size_t Added = encodedSize(Item);
  if (Size + Added > Budget)
    return false;
  Size += Added;
  List.push_back(Item);
  return true;
}

void refillTokens(RumourQueue &Queue, base::TimePoint Now) {
  double Refill =
      base::toSeconds(Now - Queue.TokensUpdatedAt) * FlushBytesPerSecond;
  Queue.Tokens = std::min(FlushBurstBytes, Queue.Tokens + Refill);
  Queue.TokensUpdatedAt = Now;
}

// Picks nearby peers and, with the probability that yields
// CopiesPerRemoteRegion over all nodes of this region, one peer of each other
// region.
std::vector<base::NodeName> pickFlushPeers(core::State &Node) {
  const MembershipState &State = Node.Membership;
  std::vector<base::NodeName> Peers =
      pickNearbyPeers(State, FlushPeers, Node.Random);
  double Probability = CopiesPerRemoteRegion /
                       (static_cast<double>(countRegionPeers(State)) + 1);
  for (const auto &[Region, List] : State.Rosters)
    if (Region != State.Self.Region &&
        base::uniformUnit(Node.Random) < Probability)
      Peers.push_back(*pickRemotePeer(State, Region, Node.Random));
  return Peers;
}

bool hasUnsentUrgentRumour(const RumourQueue &Queue) {
  auto First = Queue.BySendOrder.begin();
  return First != Queue.BySendOrder.end() && First->Sent == 0 &&
         !First->Deferred;
}

void sendRumours(core::State &Node, core::EffectList &Effects) {
  RumourQueue &Queue = Node.Membership.Rumours;
  std::vector<base::NodeName> Peers = pickFlushPeers(Node);
  Queue.LastFlush = Node.Now;
  Queue.FlushPending = false;
  if (Peers.empty())
    return;
  PeerMessage Message = newMessage(Node.Membership, MessageKind::Rumours);
  addRumours(Node, Message, static_cast<std::uint32_t>(Peers.size()));
  Queue.Tokens -= static_cast<double>(encodedSize(Message) * Peers.size());
  for (const base::NodeName &Peer : Peers)
    sendTo(Node.Membership, Peer, Message, Effects);
  Queue.FlushPending = hasUnsentUrgentRumour(Queue);
}

// Queues the changes that routing has made to servers that this node owns.
void queueRoutingChanges(core::State &Node) {
  for (const auto &[Name, Urgency] :
       std::exchange(Node.Routing.PendingUpdates, {})) {
    auto It = Node.Routing.Servers.find(Name);
    if (It == Node.Routing.Servers.end())
      continue;
    if (Urgency == routing::UpdateUrgency::Deferred)
      queueRateLimitedUpdate(Node.Membership, Name);
    else
      queueRumour(Node.Membership, It->second.Record,
                  Urgency == routing::UpdateUrgency::Immediate
                      ? RumourPriority::Urgent
                      : RumourPriority::Deferred);
  }
}

} // namespace

void queueRumour(MembershipState &State, const MemberRecord &Record,
                 RumourPriority Priority) {
  updateDigest(State, Record);
  enqueue(State.Rumours, keyOf(Record), Priority);
}

void queueRumour(MembershipState &State, const routing::BackendRecord &Record,
                 RumourPriority Priority) {
  updateDigest(State, Record);
  State.ServersByOwner[Record.Owner].insert(Record.Name);
  if (Record.Phase == routing::BackendPhase::Gone)
    State.GoneServers.emplace(State.LastRound + GoneRetention, Record.Name);
  if (isLiveNode(State, Record.Owner))
    enqueue(State.Rumours, keyOf(Record), Priority);
}

void queueRumour(MembershipState &State, const QuarantineRecord &Record,
                 RumourPriority Priority) {
  updateDigest(State, Record);
  enqueue(State.Rumours, keyOf(Record), Priority);
}

void queueRateLimitedUpdate(MembershipState &State,
                            const base::BackendName &Server) {
  State.RateLimitedUpdates.insert(Server);
}

base::Duration rateLimitedUpdateInterval(const MembershipState &State) {
  auto Size = static_cast<std::int64_t>(State.LiveMembers) + 1;
  return base::seconds(Size) / RateLimitedUpdatesPerSecond;
}

void noteDuplicate(MembershipState &State, const RecordKey &Key) {
  auto It = State.Rumours.Pending.find(Key);
  if (It != State.Rumours.Pending.end() && !It->second.Persistent)
    countSent(State.Rumours, Key, 1, retransmitLimit(State, Key.Kind));
}

std::uint32_t retransmitLimit(const MembershipState &State, RecordKind Kind) {
  double Size = static_cast<double>(State.LiveMembers) + 2;
  double Factor =
      Kind == RecordKind::Member ? MemberRetransmitFactor : RetransmitFactor;
  return static_cast<std::uint32_t>(std::ceil(Factor * std::log(Size)));
}

bool addRecord(const core::State &Node, const RecordKey &Key,
               PeerMessage &Message, std::size_t &Size, std::size_t Budget) {
  const MembershipState &State = Node.Membership;
  switch (Key.Kind) {
  case RecordKind::Member: {
    base::NodeName Name(Key.Name);
    if (Name == State.Self.Name)
      return addIfFits(State.Self, Message.Members, Size, Budget);
    const Member *Peer = findMember(State, Name);
    return !Peer || addIfFits(Peer->Record, Message.Members, Size, Budget);
  }
  case RecordKind::Backend: {
    auto It = Node.Routing.Servers.find(base::BackendName(Key.Name));
    return It == Node.Routing.Servers.end() ||
           addIfFits(It->second.Record, Message.Backends, Size, Budget);
  }
  case RecordKind::Quarantine: {
    auto It = Node.Actions.Quarantine.find(base::Fingerprint(Key.Number));
    return It == Node.Actions.Quarantine.end() ||
           addIfFits(It->second, Message.Quarantine, Size, Budget);
  }
  }
  return true;
}

void addRumours(core::State &Node, PeerMessage &Message, std::uint32_t Copies) {
  RumourQueue &Queue = Node.Membership.Rumours;
  std::size_t Size = encodedSize(Message);
  std::vector<RecordKey> Added;
  std::size_t Scanned = 0;
  for (const RumourSendOrder &Next : Queue.BySendOrder) {
    if (++Scanned > MaxRumoursScanned)
      break;
    if (addRecord(Node, Next.Key, Message, Size, MessageBudgetBytes))
      Added.push_back(Next.Key);
  }
  for (const RecordKey &Key : Added)
    countSent(Queue, Key, Copies, retransmitLimit(Node.Membership, Key.Kind));
}

void flushRumours(core::State &Node, core::EffectList &Effects) {
  MembershipState &State = Node.Membership;
  if (!Node.Routing.PendingUpdates.empty())
    queueRoutingChanges(Node);
  RumourQueue &Queue = State.Rumours;
  if (State.Self.Version > State.NewestVersion) {
    State.NewestVersion = State.Self.Version;
    State.NewestVersionNode = State.Self.Name;
    Queue.FlushPending = true;
  }
  if (!Queue.FlushPending || Queue.FlushTimerSet)
    return;
  refillTokens(Queue, Node.Now);
  if (Queue.Tokens > 0 && Node.Now >= Queue.LastFlush + MinFlushInterval) {
    sendRumours(Node, Effects);
    if (!Queue.FlushPending)
      return;
  }
  double SecondsToRefill =
      std::max(0.0, 1 - Queue.Tokens) / FlushBytesPerSecond;
  base::Duration Delay{static_cast<std::int64_t>(SecondsToRefill * 1e6)};
  Queue.FlushTimerSet = true;
  setTimer(Node.Timers, Node.Now + std::max(MinFlushInterval, Delay),
           core::RumourFlush{});
}

void onRumourFlush(core::State &Node) {
  Node.Membership.Rumours.FlushTimerSet = false;
}

} // namespace currantgauge::membership
