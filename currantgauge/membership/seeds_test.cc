#include "currantgauge/membership/seeds.h"

#include "currantgauge/membership/fake_network_test.h"

#include <doctest/doctest.h>

#include <cstddef>
#include <cstdint>

namespace currantgauge::membership {

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

} // namespace currantgauge::membership
