#include "currantgauge/membership/seeds.h"

#include "currantgauge/membership/fake_network_test.h"

#include <doctest/doctest.h>

#include <cstddef>
#include <cstdint>

namespace currantgauge::membership {

TEST_CASE("regions find each other after a partition that outlasts memory") {
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

TEST_CASE("with the store gone a node starts and another is found dead") {
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

TEST_CASE("a node without working seeds finds the fleet by the table") {
  FakeNetwork Net;
  addNodes(Net, 6);
  run(Net, base::seconds(10));
  startNode(Net, 6, {});
  run(Net, base::seconds(10));
  CHECK(hasConverged(Net));
}

// Writes to one part of a slow store are done one after another: 22 nodes that
// were killed together met each other only after two seconds.
TEST_CASE("nodes that were killed together meet by the rows they left") {
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

TEST_CASE("a node whose row is missing or tells another address writes it") {
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

} // namespace currantgauge::membership
