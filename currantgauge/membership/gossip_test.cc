#include "currantgauge/membership/gossip.h"

#include "currantgauge/membership/anti_entropy.h"
#include "currantgauge/membership/fake_network_test.h"
#include "currantgauge/membership/rumours.h"
#include "currantgauge/membership/servers.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace currantgauge::membership {
namespace {

std::size_t countNodesWithout(const FakeNetwork &Net,
                              const std::string &Server) {
  return countNodes(Net, [&](const core::State &Node) {
    return !Node.Routing.Servers.contains(base::BackendName(Server));
  });
}

bool haveEqualDigests(const FakeNetwork &Net) {
  std::uint64_t Root = Net.Nodes[0]->Node.Membership.RecordDigest.Root;
  return countNodes(Net, [&](const core::State &Node) {
           return Node.Membership.RecordDigest.Root != Root;
         }) == 0;
}

} // namespace

TEST_CASE("membership converges within bounded time at several fleet sizes") {
  for (std::size_t Count : {3, 24, 200}) {
    CAPTURE(Count);
    FakeNetwork Net;
    addNodes(Net, Count);
    runUntil(Net, base::seconds(15), [&] { return hasConverged(Net); });
    CHECK(hasConverged(Net));
    run(Net, base::seconds(60));
    CHECK(hasConverged(Net));
    CHECK(haveEqualDigests(Net));
    CHECK(Net.LargestMessage <= MessageBudgetBytes);
    CHECK(Net.LargestSync <= SyncBudgetBytes);
  }
}

TEST_CASE("a large fleet sends few messages between failure domains") {
  FakeNetwork Net;
  addNodes(Net, 200);
  run(Net, base::seconds(30));
  REQUIRE(hasConverged(Net));
  std::uint64_t Messages = 0, CrossDomainBytes = 0;
  for (const auto &Each : Net.Nodes) {
    Messages -= Each->Messages;
    CrossDomainBytes -= Each->CrossDomainBytes;
  }
  constexpr std::int64_t Seconds = 20;
  run(Net, base::seconds(Seconds));
  for (const auto &Each : Net.Nodes) {
    Messages += Each->Messages;
    CrossDomainBytes += Each->CrossDomainBytes;
  }
  double PerNode = 1.0 / (200 * Seconds);
  MESSAGE("a second and node: ", static_cast<double>(Messages) * PerNode,
          " messages, ", static_cast<double>(CrossDomainBytes) * PerNode,
          " bytes to other domains");
  CHECK(static_cast<double>(Messages) * PerNode < 3);
}

TEST_CASE("all nodes detect a killed node and forget its servers") {
  FakeNetwork Net;
  addNodes(Net, 24);
  announceServer(Net, 5, "cutlist-5");
  run(Net, base::seconds(20));
  CHECK(countNodesWithPhase(Net, "cutlist-5", routing::BackendPhase::Ready) ==
        24);
  Net.Nodes[5]->Up = false;
  auto IsAvoided = [&] {
    return countNodes(Net, [](const core::State &Node) {
             return isReachable(Node.Membership, base::NodeName("node-5"));
           }) == 0;
  };
  runUntil(Net, base::seconds(4), IsAvoided);
  CHECK(IsAvoided());
  run(Net, base::seconds(10));
  CHECK(observedPhase(Net, 0, 5) == MemberPhase::Dead);
  run(Net, base::minutes(130));
  CHECK(countNodesWithout(Net, "cutlist-5") == 23);
  CHECK(countNodes(Net, [](const core::State &Node) {
          return Node.Membership.Members.size() != 22;
        }) == 0);
  CHECK(haveEqualDigests(Net));
  CHECK_FALSE(Net.Rows.contains("node-5"));
}

TEST_CASE("a one-way partition causes no suspicion and its path is avoided") {
  FakeNetwork Net;
  addNodes(Net, 6);
  run(Net, base::seconds(10));
  Net.Cuts.insert({0, 2});
  for (int Round = 0; Round < 120; ++Round) {
    run(Net, GossipInterval);
    for (std::size_t Observer = 0; Observer < 6; ++Observer)
      for (std::size_t Subject = 0; Subject < 6; ++Subject)
        if (Observer != Subject)
          REQUIRE(observedPhase(Net, Observer, Subject) == MemberPhase::Alive);
  }
  const MembershipState &ObserverState = Net.Nodes[0]->Node.Membership;
  CHECK_FALSE(isReachable(ObserverState, base::NodeName("node-2")));
  CHECK(routing::isPathBad(Net.Nodes[0]->Node.Routing.Paths,
                           base::NodeName("node-2"), Net.Now));
  CHECK(isReachable(Net.Nodes[1]->Node.Membership, base::NodeName("node-2")));
  Net.Cuts.clear();
  run(Net, base::seconds(10));
  CHECK(isReachable(ObserverState, base::NodeName("node-2")));
  CHECK_FALSE(routing::isPathBad(Net.Nodes[0]->Node.Routing.Paths,
                                 base::NodeName("node-2"), Net.Now));
}

TEST_CASE("message loss causes no deaths since suspicions are refuted") {
  FakeNetwork Net;
  addNodes(Net, 24);
  run(Net, base::seconds(10));
  Net.LossRate = 0.25;
  std::size_t WrongCounts = 0;
  for (int Round = 0; Round < 300; ++Round) {
    run(Net, GossipInterval);
    WrongCounts += countNodes(Net, [](const core::State &Node) {
      return Node.Membership.LiveMembers != 23;
    });
  }
  CHECK(WrongCounts == 0);
  Net.LossRate = 0;
  run(Net, base::seconds(30));
  CHECK(hasConverged(Net));
}

TEST_CASE("a suspected node refutes with a higher incarnation") {
  FakeNetwork Net;
  addNodes(Net, 6);
  run(Net, base::seconds(10));
  core::EffectList Effects;
  suspectMember(Net.Nodes[1]->Node, base::NodeName("node-4"), Effects);
  CHECK_FALSE(
      isReachable(Net.Nodes[1]->Node.Membership, base::NodeName("node-4")));
  run(Net, base::seconds(3));
  CHECK(hasConverged(Net));
  CHECK(Net.Nodes[4]->Node.Membership.Self.Incarnation.Value > 1000);
}

TEST_CASE("a node suspects no peers after a pause of its own") {
  FakeNetwork Net;
  addNodes(Net, 6);
  run(Net, base::seconds(10));
  auto WakeTime = std::exchange(Net.Nodes[3]->WakeTime, base::Never);
  run(Net, base::seconds(2));
  CHECK(WakeTime < Net.Now);
  deliver(Net, 3, core::TimerFired{});
  CHECK(Net.Nodes[3]->Node.Membership.Suspects.empty());
}

TEST_CASE("regions reunite after a partition of one hour") {
  FakeNetwork Net;
  Net.StoreUp = false;
  addNodes(Net, 24);
  announceServer(Net, 5, "cutlist-5");
  run(Net, base::seconds(20));
  Net.RegionsCut = true;
  run(Net, base::minutes(2));
  CHECK(observedPhase(Net, 0, 1) == MemberPhase::Dead);
  CHECK(observedPhase(Net, 0, 2) == MemberPhase::Alive);
  run(Net, base::minutes(58));
  Net.RegionsCut = false;
  runUntil(Net, base::seconds(60), [&] { return hasConverged(Net); });
  CHECK(hasConverged(Net));
  CHECK(countNodesWithPhase(Net, "cutlist-5", routing::BackendPhase::Ready) ==
        24);
}

TEST_CASE("a leaving node is removed at once without a suspicion") {
  FakeNetwork Net;
  addNodes(Net, 24);
  announceServer(Net, 5, "cutlist-5");
  run(Net, base::seconds(20));
  deliver(Net, 5, core::StopRequested{});
  Net.Nodes[5]->Up = false;
  run(Net, base::seconds(3));
  CHECK(countNodesWithout(Net, "cutlist-5") == 23);
  CHECK(hasConverged(Net));
  CHECK(observedPhase(Net, 0, 5) == MemberPhase::Left);
}

TEST_CASE("a restarted node rejoins and its earlier servers are removed") {
  FakeNetwork Net;
  addNodes(Net, 6);
  announceServer(Net, 5, "cutlist-5");
  run(Net, base::seconds(10));
  Net.Nodes[5]->Up = false;
  run(Net, base::milliseconds(500));
  startNode(Net, 5, {0, 1}, 2000);
  run(Net, base::seconds(20));
  CHECK(hasConverged(Net));
  CHECK(countNodesWithPhase(Net, "cutlist-5", routing::BackendPhase::Ready) ==
        0);
}

TEST_CASE("all nodes learn of a leaving server within three seconds") {
  for (std::size_t Count : {3, 24, 200}) {
    FakeNetwork Net;
    addNodes(Net, Count);
    announceServer(Net, 2, "cutlist-2");
    run(Net, base::seconds(20));
    announceServer(Net, 2, "cutlist-2", routing::BackendPhase::Leaving);
    auto IsKnown = [&] {
      return countNodesWithPhase(Net, "cutlist-2",
                                 routing::BackendPhase::Leaving) == Count;
    };
    runUntil(Net, base::seconds(3), IsKnown);
    CHECK(IsKnown());
  }
}

TEST_CASE("anti-entropy repairs changes that rumours missed") {
  FakeNetwork Net;
  addNodes(Net, 12);
  run(Net, base::seconds(20));
  Net.LossRate = 1;
  for (int Index = 0; Index < 50; ++Index)
    announceServer(Net, 2, "cutlist-" + std::to_string(Index));
  auto &Queue = Net.Nodes[2]->Node.Membership.Rumours;
  Queue.Pending.clear();
  Queue.BySendOrder.clear();
  Queue.FlushPending = false;
  Net.LossRate = 0;
  run(Net, base::seconds(1));
  CHECK(countNodesWithPhase(Net, "cutlist-7", routing::BackendPhase::Ready) ==
        1);
  run(Net, base::seconds(60));
  CHECK(countNodesWithPhase(Net, "cutlist-49", routing::BackendPhase::Ready) ==
        12);
  CHECK(haveEqualDigests(Net));
}

TEST_CASE("merging quarantine records is commutative") {
  QuarantineRecord First, Second, Cleared;
  First.Crashes = {{base::BackendName("a"), base::Incarnation(1)}};
  First.Since = base::UnixTime{1000};
  Second.Crashes = {{base::BackendName("b"), base::Incarnation(1)}};
  Second.Since = base::UnixTime{1500};
  Cleared = First;
  Cleared.Cleared = true;
  Cleared.Since = base::UnixTime{2000};
  std::vector<const QuarantineRecord *> Records{&First, &Second, &Cleared};
  std::sort(Records.begin(), Records.end());
  do {
    std::map<base::Fingerprint, QuarantineRecord> Table;
    for (const QuarantineRecord *Record : Records)
      mergeQuarantine(Table, *Record);
    CHECK(Table.begin()->second.Cleared);
    CHECK_FALSE(mergeQuarantine(Table, Second));
    CHECK_FALSE(mergeQuarantine(Table, Cleared));
    QuarantineRecord Later = First;
    Later.Since = base::UnixTime{3000};
    CHECK(mergeQuarantine(Table, Later));
    CHECK_FALSE(Table.begin()->second.Cleared);
  } while (std::next_permutation(Records.begin(), Records.end()));
}

TEST_CASE("a quarantine and its end reach every node") {
  FakeNetwork Net;
  addNodes(Net, 12);
  run(Net, base::seconds(10));
  QuarantineRecord Record;
  Record.Fingerprint = base::Fingerprint(77);
  Record.Crashes = {{base::BackendName("cutlist-1"), base::Incarnation(1)}};
  Record.Since = base::UnixTime{1000};
  mergeQuarantine(Net.Nodes[3]->Node, Record);
  auto CountCleared = [&](bool Cleared) {
    return countNodes(Net, [&](const core::State &Node) {
      auto It = Node.Actions.Quarantine.find(base::Fingerprint(77));
      return It != Node.Actions.Quarantine.end() &&
             It->second.Cleared == Cleared;
    });
  };
  run(Net, base::seconds(5));
  CHECK(CountCleared(false) == 12);
  Record.Cleared = true;
  Record.Since = base::UnixTime{2000};
  mergeQuarantine(Net.Nodes[8]->Node, Record);
  run(Net, base::seconds(5));
  CHECK(CountCleared(true) == 12);
}

TEST_CASE("rate-limited updates reach all nodes at a bounded rate") {
  FakeNetwork Net;
  addNodes(Net, 12);
  for (int Index = 0; Index < 30; ++Index)
    announceServer(Net, 3, "cutlist-" + std::to_string(Index));
  run(Net, base::seconds(30));
  core::State &Owner = Net.Nodes[3]->Node;
  for (auto &[Name, Server] : Owner.Routing.Servers) {
    Server.Record.Suspicion = 0.5;
    ++Server.Record.Revision;
    queueRateLimitedUpdate(Owner.Membership, Name);
  }
  run(Net, GossipInterval);
  CHECK(Owner.Membership.RateLimitedUpdates.size() >= 26);
  run(Net, base::seconds(20));
  CHECK(countNodes(Net, [](const core::State &Node) {
          return Node.Routing.Servers.at(base::BackendName("cutlist-29"))
                     .Record.Suspicion == 0.5;
        }) == 12);
}

// Guards against a flood of rumours about a server whose health keeps changing:
// each node forwarded every change at once, although responses and the owner's
// reports already inform the nodes that use the server.
TEST_CASE("changes of a server's health are piggybacked") {
  FakeNetwork Net;
  addNodes(Net, 24);
  announceServer(Net, 3, "cutlist-1");
  run(Net, base::seconds(30));
  auto CountMessages = [&] {
    std::uint64_t Sum = 0;
    for (const auto &Item : Net.Nodes)
      Sum += Item->Messages;
    return Sum;
  };
  constexpr int Changes = 40;
  constexpr base::Duration Interval = base::milliseconds(500);
  std::uint64_t Before = CountMessages();
  run(Net, Interval * Changes);
  std::uint64_t IdleMessages = CountMessages() - Before;
  core::State &Owner = Net.Nodes[3]->Node;
  const base::BackendName Name("cutlist-1");
  routing::BackendRecord &Record = Owner.Routing.Servers.at(Name).Record;
  for (int Change = 1; Change <= Changes; ++Change) {
    Record.Suspicion = Change % 2 == 0 ? 0.75 : 0;
    ++Record.Revision;
    Owner.Routing.PendingUpdates[Name] = routing::UpdateUrgency::Normal;
    run(Net, Interval);
  }
  std::uint64_t UpdateMessages = CountMessages() - Before - IdleMessages;
  CHECK(UpdateMessages < IdleMessages * 5 / 4);
  run(Net, base::seconds(6));
  CHECK(countNodes(Net, [&](const core::State &Node) {
          return Node.Routing.Servers.at(Name).Record.Suspicion == 0.75;
        }) == 24);
}

TEST_CASE("all nodes learn of a suspect server within a second") {
  FakeNetwork Net;
  addNodes(Net, 24);
  announceServer(Net, 3, "cutlist-1");
  run(Net, base::seconds(30));
  core::State &Owner = Net.Nodes[3]->Node;
  const base::BackendName Name("cutlist-1");
  routing::BackendRecord &Record = Owner.Routing.Servers.at(Name).Record;
  Record.Suspicion = 1;
  ++Record.Revision;
  Owner.Routing.PendingUpdates[Name] = routing::UpdateUrgency::Immediate;
  deliver(Net, 3, core::TimerFired{});
  run(Net, base::seconds(1));
  CHECK(countNodes(Net, [&](const core::State &Node) {
          return Node.Routing.Servers.at(Name).Record.Suspicion == 1;
        }) == 24);
}

TEST_CASE("all nodes learn the configuration version in force at each node") {
  FakeNetwork Net;
  addNodes(Net, 12);
  run(Net, base::seconds(10));
  for (auto &Item : Net.Nodes)
    Item->Node.Membership.Self.Version = base::ConfigVersion(9);
  run(Net, base::seconds(10));
  CHECK(countNodes(Net, [](const core::State &Node) {
          for (const auto &[Name, Peer] : Node.Membership.Members)
            if (Peer.Record.Version != base::ConfigVersion(9))
              return false;
          return Node.Membership.NewestVersion == base::ConfigVersion(9);
        }) == 12);
}

} // namespace currantgauge::membership
