#include "currantgauge/membership/seeds.h"

#include "currantgauge/core/reduce.h"
#include "currantgauge/membership/fake_network_test.h"

#include <doctest/doctest.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>

namespace currantgauge::membership {
namespace {

// Restores the store without the row of one node. All nodes learn of it from an
// answer to another component.
void restoreStore(FakeNetwork &Net, const std::string &LostRow) {
  Net.Rows.erase(LostRow);
  ++Net.StoreEra;
  for (std::size_t Index = 0; Index < Net.Nodes.size(); ++Index) {
    core::StoreAnswered Answer;
    Answer.Call = core::nextCallId(Net.Nodes[Index]->Node);
    Answer.Result.Status = base::StoreStatus::Done;
    Answer.Result.Era = base::StoreEra(Net.StoreEra);
    deliver(Net, Index, Answer);
  }
}

} // namespace

TEST_CASE("regions reunite after a partition longer than the retention of dead "
          "nodes") {
  FakeNetwork Net;
  addNodes(Net, 6);
  run(Net, base::seconds(20));
  Net.RegionsCut = true;
  run(Net, base::minutes(140));
  CHECK(Net.Nodes[0]->Node.Membership.Members.size() == 2);
  Net.RegionsCut = false;
  run(Net, base::minutes(3));
  CHECK(hasConverged(Net));
}

TEST_CASE("without the store a node joins and a dead one is detected") {
  FakeNetwork Net;
  Net.StoreUp = false;
  addNodes(Net, 6);
  run(Net, base::minutes(180));
  Net.Nodes[4]->Up = false;
  startNode(Net, 6, {0, 1});
  run(Net, base::seconds(20));
  CHECK(hasConverged(Net));
  CHECK(observedPhase(Net, 6, 0) == MemberPhase::Alive);
  CHECK(observedPhase(Net, 0, 4) == MemberPhase::Dead);
}

TEST_CASE("a node without working seeds joins by the nodes table") {
  FakeNetwork Net;
  addNodes(Net, 6);
  run(Net, base::seconds(10));
  startNode(Net, 6, {});
  run(Net, base::seconds(10));
  CHECK(hasConverged(Net));
}

// Guards against every restarted node rewriting its row. A slow store runs the
// writes to one partition one after another: 22 nodes killed together needed
// two seconds to find each other.
TEST_CASE("at the first start of the fleet a row is written without a scan") {
  for (bool FirstStart : {true, false}) {
    core::NodeIdentity Self;
    Self.Name = base::NodeName("a");
    Self.Incarnation = base::Incarnation(1);
    Self.PeerAddress = base::NetAddress("10.0.0.1:80");
    Self.FirstStart = FirstStart;
    core::State Node = core::makeState(Self, 7);
    core::EffectList Effects;
    core::reduce(Node, core::Event{base::TimePoint{1}, {}, core::Started{}},
                 Effects);
    core::reduce(Node, core::Event{base::TimePoint{2}, {}, core::TimerFired{}},
                 Effects);
    std::size_t Writes = 0, Scans = 0;
    for (const core::Effect &Effect : Effects)
      if (const auto *Call = std::get_if<core::CallStore>(&Effect)) {
        Writes += std::holds_alternative<base::WriteRows>(Call->Operation);
        Scans += std::holds_alternative<base::ScanRows>(Call->Operation);
      }
    CHECK(Writes == (FirstStart ? 1 : 0));
    CHECK(Scans == (FirstStart ? 0 : 1));
  }
}

TEST_CASE("nodes killed together find each other by their existing rows") {
  FakeNetwork Net;
  addNodes(Net, 12);
  run(Net, base::seconds(10));
  std::uint64_t Writes = Net.RowWrites;
  CHECK(Writes == 12);
  for (std::size_t Index = 0; Index < 12; ++Index)
    Net.Nodes[Index]->Up = false;
  run(Net, base::seconds(1));
  for (std::size_t Index = 0; Index < 12; ++Index)
    startNode(Net, Index, {}, 2000);
  run(Net, base::seconds(3));
  CHECK(hasConverged(Net));
  CHECK(Net.RowWrites == Writes);
}

TEST_CASE("a node writes its row if it is missing or has another address") {
  FakeNetwork Net;
  addNodes(Net, 3);
  run(Net, base::seconds(10));
  Net.Nodes[2]->Up = false;
  Net.Rows["node-2"] = "10.9.9.9:8081";
  startNode(Net, 2, {}, 2000);
  run(Net, base::seconds(2));
  CHECK(Net.Rows["node-2"] == Net.Nodes[2]->Node.Self.PeerAddress.Value);
  Net.Nodes[2]->Up = false;
  Net.Rows.erase("node-2");
  startNode(Net, 2, {}, 3000);
  run(Net, base::seconds(2));
  CHECK(Net.Rows["node-2"] == Net.Nodes[2]->Node.Self.PeerAddress.Value);
  CHECK(hasConverged(Net));
}

TEST_CASE("a row of the nodes table without an address is reported and the "
          "others are followed") {
  core::State Node;
  Node.Membership.Table.FirstScanDone = true;
  Node.Membership.Table.Scans.insert(base::CallId(1));
  core::StoreAnswered Answer;
  Answer.Call = base::CallId(1);
  Answer.Result.Status = base::StoreStatus::Done;
  for (const std::string Odd :
       {"", "nowhere", "10.0.0.9:0", "10.0.0.9:65536", "10.0.0.9:99999999999",
        "unix:/tmp/socket", "dns:///example:1", "10.0.0.9:8080,10.0.0.8:1"})
    Answer.Result.Rows.push_back({"odd " + Odd, Odd, ""});
  Answer.Result.Rows.push_back({"nul", std::string("10.0.0.9:80\0", 12), ""});
  Answer.Result.Rows.push_back({"deep", std::string(65536, '['), ""});
  Answer.Result.Rows.push_back({"node", "10.0.0.9:8081", ""});
  core::EffectList Effects;
  CHECK(onStoreAnswered(Node, Answer, Effects));
  std::size_t Sent = 0, Logged = 0;
  for (const core::Effect &Effect : Effects) {
    if (const auto *Send = std::get_if<core::SendPeerMessage>(&Effect)) {
      CHECK(Send->Address == base::NetAddress("10.0.0.9:8081"));
      ++Sent;
    }
    if (const auto *Line = std::get_if<core::LogLine>(&Effect))
      Logged += Line->Event == "row_unreadable" ? 1 : 0;
  }
  CHECK(Sent == 1);
  CHECK(Logged == 1);
}

TEST_CASE("a row that a restore of the store removed is written again soon") {
  FakeNetwork Net;
  Net.StoreEra = 1;
  addNodes(Net, 6);
  run(Net, base::seconds(20));
  std::uint64_t Writes = Net.RowWrites;
  restoreStore(Net, "node-3");
  run(Net, base::seconds(2));
  CHECK(Net.Rows.contains("node-3"));
  CHECK(Net.RowWrites == Writes + 1);
}

TEST_CASE("a row lost in a restore is written when the store serves again") {
  FakeNetwork Net;
  Net.StoreEra = 1;
  addNodes(Net, 6);
  run(Net, base::seconds(20));
  restoreStore(Net, "node-3");
  Net.StoreUp = false;
  run(Net, base::seconds(30));
  Net.StoreUp = true;
  run(Net, base::seconds(3));
  CHECK(Net.Rows.contains("node-3"));
}

TEST_CASE("a row lost in the second of two restores is written again") {
  FakeNetwork Net;
  Net.StoreEra = 1;
  addNodes(Net, 6);
  run(Net, base::seconds(20));
  restoreStore(Net, "node-3");
  run(Net, base::milliseconds(300));
  restoreStore(Net, "node-3");
  run(Net, base::milliseconds(1500));
  restoreStore(Net, "node-3");
  run(Net, base::seconds(3));
  CHECK(Net.Rows.contains("node-3"));
}

TEST_CASE("a node that starts after a restore finds one whose row was lost") {
  FakeNetwork Net;
  Net.StoreEra = 1;
  startNode(Net, 0, {});
  run(Net, base::seconds(20));
  restoreStore(Net, "node-0");
  startNode(Net, 1, {});
  run(Net, base::seconds(4));
  CHECK(hasConverged(Net));
}

TEST_CASE("a scan goes on after a full page that holds a malformed row") {
  core::State Node;
  Node.Membership.Table.FirstScanDone = true;
  Node.Membership.Table.Scans.insert(base::CallId(1));
  core::StoreAnswered Answer;
  Answer.Call = base::CallId(1);
  Answer.Result.Status = base::StoreStatus::Done;
  for (int Row = 101; Row < 200; ++Row)
    Answer.Result.Rows.push_back(
        {"node-" + std::to_string(Row), "10.0.0.9:8081", ""});
  Answer.Result.MalformedRows = 1;
  core::EffectList Effects;
  CHECK(onStoreAnswered(Node, Answer, Effects));
  CHECK(Node.Membership.Table.ScanCursor == "node-199");
}

} // namespace currantgauge::membership
