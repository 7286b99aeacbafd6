// Simulates several nodes in one process, in virtual time, on a network that
// delays and loses messages and can be partitioned. For tests and the benchmark
// of membership.
//
//   FakeNetwork Net;
//   addNodes(Net, 24);
//   run(Net, base::seconds(10));
//   CHECK(hasConverged(Net));
#ifndef CURRANTGAUGE_MEMBERSHIP_FAKE_NETWORK_TEST_H
#define CURRANTGAUGE_MEMBERSHIP_FAKE_NETWORK_TEST_H

#include "currantgauge/base/units.h"
#include "currantgauge/core/event.h"
#include "currantgauge/core/reduce.h"
#include "currantgauge/core/state.h"
#include "currantgauge/membership/member.h"
#include "currantgauge/membership/size.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace currantgauge::membership {

// FakeNode is a node with statistics of what it has sent.
struct FakeNode {
  core::State Node;
  bool Up = true;
  base::TimePoint WakeTime = base::Never; // of its next timer
  std::uint64_t Messages = 0;
  std::uint64_t Bytes = 0;
  std::uint64_t CrossRegionBytes = 0; // part of Bytes
  std::uint64_t CrossDomainBytes = 0; // part of Bytes
  std::uint64_t ReduceNanos = 0;
};

// FakeDelivery is an event in transit to a node.
struct FakeDelivery {
  std::size_t To = 0; // node index
  core::EventBody Body;
};

// FakeNetwork holds the nodes, the events in transit and the injected faults.
struct FakeNetwork {
  std::vector<std::unique_ptr<FakeNode>> Nodes;
  std::map<base::NetAddress, std::size_t> ByAddress;
  std::multimap<base::TimePoint, FakeDelivery> Deliveries;
  base::TimePoint Now{1000000};
  base::Random Source{1};
  std::size_t Regions = 2;
  double LossRate = 0;     // share of messages, 0 to 1
  bool RegionsCut = false; // no messages between regions
  std::set<std::pair<std::size_t, std::size_t>> Cuts; // from, to
  bool StoreUp = true;
  std::map<std::string, std::string> Rows; // of the nodes table
  std::uint64_t RowWrites = 0;             // includes removals
  std::uint64_t StoreEra = 0;              // in all of the store's answers
  std::size_t LargestMessage = 0;          // bytes, of all kinds but Sync
  std::size_t LargestSync = 0;             // bytes
  std::uint64_t (*Clock)() = nullptr; // in nanoseconds; null to measure nothing
};

inline bool isLost(FakeNetwork &Net, std::size_t From, std::size_t To) {
  const core::NodeIdentity &Sender = Net.Nodes[From]->Node.Self;
  const core::NodeIdentity &Receiver = Net.Nodes[To]->Node.Self;
  return !Net.Nodes[To]->Up || Net.Cuts.contains({From, To}) ||
         (Net.RegionsCut && Sender.Region != Receiver.Region) ||
         base::uniformUnit(Net.Source) < Net.LossRate;
}

inline void applyEffect(FakeNetwork &Net, std::size_t From,
                        const core::SendPeerMessage &Send) {
  FakeNode &Sender = *Net.Nodes[From];
  std::size_t Size = encodedSize(Send.Message);
  std::size_t &Largest = Send.Message.Kind == MessageKind::Sync
                             ? Net.LargestSync
                             : Net.LargestMessage;
  Largest = std::max(Largest, Size);
  ++Sender.Messages;
  Sender.Bytes += Size;
  auto To = Net.ByAddress.find(Send.Address);
  if (To == Net.ByAddress.end())
    return;
  bool CrossesRegions =
      Net.Nodes[To->second]->Node.Self.Region != Sender.Node.Self.Region;
  Sender.CrossRegionBytes += CrossesRegions ? Size : 0;
  if (Net.Nodes[To->second]->Node.Self.Domain != Sender.Node.Self.Domain)
    Sender.CrossDomainBytes += Size;
  if (isLost(Net, From, To->second))
    return;
  base::Duration Delay =
      CrossesRegions ? base::milliseconds(8) : base::microseconds(500);
  Net.Deliveries.emplace(
      Net.Now + Delay,
      FakeDelivery{To->second, core::PeerMessageArrived{Send.Message}});
}

inline base::StoreResult
answerStoreCall(FakeNetwork &Net, const base::StoreOperation &Operation) {
  base::StoreResult Result;
  if (!Net.StoreUp)
    return Result;
  Result.Status = base::StoreStatus::Done;
  Result.Era = base::StoreEra(Net.StoreEra);
  if (const auto *Read = std::get_if<base::ReadRow>(&Operation)) {
    auto Row = Net.Rows.find(Read->Key);
    if (Row == Net.Rows.end())
      Result.Status = base::StoreStatus::NotFound;
    else
      Result.Rows.push_back(base::StoreRow{Row->first, Row->second, ""});
  }
  if (const auto *Write = std::get_if<base::WriteRows>(&Operation))
    for (const base::RowWrite &Row : Write->Rows) {
      ++Net.RowWrites;
      Net.Rows.erase(Row.Key);
      if (!Row.Remove)
        Net.Rows[Row.Key] = Row.Value;
    }
  if (const auto *Scan = std::get_if<base::ScanRows>(&Operation))
    for (auto It = Net.Rows.upper_bound(Scan->After);
         It != Net.Rows.end() && Result.Rows.size() < Scan->Limit; ++It)
      Result.Rows.push_back(base::StoreRow{It->first, It->second, ""});
  return Result;
}

inline void applyEffect(FakeNetwork &Net, std::size_t From,
                        const core::CallStore &Call) {
  core::StoreAnswered Answer{Call.Call, answerStoreCall(Net, Call.Operation)};
  Net.Deliveries.emplace(Net.Now + base::milliseconds(20),
                         FakeDelivery{From, std::move(Answer)});
}

inline void applyEffect(FakeNetwork &Net, std::size_t From,
                        const core::WakeAt &Wake) {
  Net.Nodes[From]->WakeTime = Wake.Time;
  if (Wake.Time != base::Never)
    Net.Deliveries.emplace(std::max(Wake.Time, Net.Now),
                           FakeDelivery{From, core::TimerFired{}});
}

template <typename Effect>
void applyEffect(FakeNetwork &, std::size_t, const Effect &) {}

// deliver() passes an event to a node now and applies the resulting effects.
inline void deliver(FakeNetwork &Net, std::size_t To, core::EventBody Body) {
  FakeNode &Target = *Net.Nodes[To];
  bool Stale = std::holds_alternative<core::TimerFired>(Body) &&
               Target.WakeTime > Net.Now;
  if (!Target.Up || Stale)
    return;
  if (std::holds_alternative<core::TimerFired>(Body))
    Target.WakeTime = base::Never;
  core::EffectList Effects;
  std::uint64_t Before = Net.Clock ? Net.Clock() : 0;
  core::reduce(Target.Node, core::Event{Net.Now, {}, std::move(Body)}, Effects);
  Target.ReduceNanos += Net.Clock ? Net.Clock() - Before : 0;
  for (const core::Effect &Item : Effects)
    std::visit([&](const auto &Value) { applyEffect(Net, To, Value); }, Item);
}

// run() advances virtual time and delivers the events that become due.
inline void run(FakeNetwork &Net, base::Duration Duration) {
  base::TimePoint End = Net.Now + Duration;
  while (!Net.Deliveries.empty() && Net.Deliveries.begin()->first <= End) {
    auto First = Net.Deliveries.extract(Net.Deliveries.begin());
    Net.Now = First.key();
    deliver(Net, First.mapped().To, std::move(First.mapped().Body));
  }
  Net.Now = End;
}

inline core::NodeIdentity identityOf(const FakeNetwork &Net, std::size_t Index,
                                     std::uint64_t Incarnation) {
  std::string Number = std::to_string(Index);
  core::NodeIdentity Self;
  Self.Name = base::NodeName("node-" + Number);
  Self.Region = base::RegionName(Index % Net.Regions == 0 ? "north" : "south");
  if (Net.Regions > 2)
    Self.Region = base::RegionName("r" + std::to_string(Index % Net.Regions));
  Self.Domain = base::DomainName(Self.Region.Value +
                                 (Index / Net.Regions % 2 == 0 ? "-a" : "-b"));
  Self.PeerAddress =
      base::NetAddress("10.0." + std::to_string(Index / 250) + "." +
                       std::to_string(Index % 250) + ":8081");
  Self.Incarnation = base::Incarnation(Incarnation);
  return Self;
}

// startNode() starts a new process of a node; Seeds are node indexes.
inline void startNode(FakeNetwork &Net, std::size_t Index,
                      const std::vector<std::size_t> &Seeds,
                      std::uint64_t Incarnation = 1000) {
  core::NodeIdentity Self = identityOf(Net, Index, Incarnation);
  for (std::size_t Seed : Seeds)
    Self.Seeds.push_back(identityOf(Net, Seed, 0).PeerAddress);
  Net.Nodes.resize(std::max(Net.Nodes.size(), Index + 1));
  Net.Nodes[Index] = std::make_unique<FakeNode>();
  Net.Nodes[Index]->Node = core::makeState(Self, Index + 7);
  Net.ByAddress[Self.PeerAddress] = Index;
  deliver(Net, Index, core::Started{});
}

// addNodes() starts nodes with the first two as seeds, spread over one round.
inline void addNodes(FakeNetwork &Net, std::size_t Count) {
  for (std::size_t Index = 0; Index < Count; ++Index) {
    startNode(Net, Index, {0, 1});
    run(Net, GossipInterval / static_cast<std::int64_t>(Count));
  }
}

// announceServer() announces a backend server to its owner. Its lease never
// expires.
inline void
announceServer(FakeNetwork &Net, std::size_t Owner, const std::string &Name,
               routing::BackendPhase Phase = routing::BackendPhase::Ready,
               std::uint64_t Incarnation = 1) {
  core::BackendAnnounced Announced;
  Announced.Announcement.Name = base::BackendName(Name);
  Announced.Announcement.Service = base::ServiceName("cutlist");
  Announced.Announcement.Address = base::NetAddress("10.1.0.1:9000");
  Announced.Announcement.Incarnation = base::Incarnation(Incarnation);
  Announced.Announcement.Slots = 4;
  Announced.Announcement.Phase = Phase;
  base::BackendName Key = Announced.Announcement.Name;
  deliver(Net, Owner, std::move(Announced));
  Net.Nodes[Owner]->Node.Routing.Servers.at(Key).LeaseEnds = base::Never;
}

// observedPhase() returns the phase of one node as another one sees it, Left if
// it is unknown there.
inline MemberPhase observedPhase(const FakeNetwork &Net, std::size_t Observer,
                                 std::size_t Subject) {
  const Member *Peer = findMember(Net.Nodes[Observer]->Node.Membership,
                                  Net.Nodes[Subject]->Node.Self.Name);
  return Peer ? Peer->Record.Phase : MemberPhase::Left;
}

// countNodes() returns how many running nodes satisfy a condition on their
// State.
template <typename Condition>
std::size_t countNodes(const FakeNetwork &Net, Condition Holds) {
  return static_cast<std::size_t>(
      std::count_if(Net.Nodes.begin(), Net.Nodes.end(), [&](const auto &Item) {
        return Item->Up && Holds(Item->Node);
      }));
}

// countNodesWithPhase() returns how many running nodes know a backend server in
// that phase.
inline std::size_t countNodesWithPhase(const FakeNetwork &Net,
                                       const std::string &Server,
                                       routing::BackendPhase Phase) {
  return countNodes(Net, [&](const core::State &Node) {
    auto It = Node.Routing.Servers.find(base::BackendName(Server));
    return It != Node.Routing.Servers.end() && It->second.Record.Phase == Phase;
  });
}

// hasConverged() returns whether each running node sees all others alive.
inline bool hasConverged(const FakeNetwork &Net) {
  std::size_t Up = countNodes(Net, [](const core::State &) { return true; });
  return Up == countNodes(Net, [&](const core::State &Node) {
           return Node.Membership.LiveMembers == Up - 1 &&
                  Node.Membership.Suspects.empty();
         });
}

// runUntil() advances virtual time until a condition holds, at most by Limit,
// and returns the time that passed.
template <typename Condition>
base::Duration runUntil(FakeNetwork &Net, base::Duration Limit,
                        Condition Holds) {
  base::TimePoint Start = Net.Now;
  while (!Holds() && Net.Now - Start < Limit)
    run(Net, base::milliseconds(20));
  return Net.Now - Start;
}

} // namespace currantgauge::membership

#endif // CURRANTGAUGE_MEMBERSHIP_FAKE_NETWORK_TEST_H
