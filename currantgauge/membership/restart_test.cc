#include "currantgauge/membership/fake_network_test.h"

#include <doctest/doctest.h>

namespace currantgauge::membership {

TEST_CASE("a restarted node learns which servers announced their end to it") {
  FakeNetwork Net;
  addNodes(Net, 6);
  announceServer(Net, 5, "cutlist-5");
  announceServer(Net, 5, "cutlist-6");
  run(Net, base::seconds(10));
  announceServer(Net, 5, "cutlist-5", routing::BackendPhase::Gone);
  run(Net, base::milliseconds(200));
  Net.Nodes[5]->Up = false;
  run(Net, base::seconds(2));
  startNode(Net, 5, {0, 1}, 2000);
  run(Net, base::seconds(1));
  announceServer(Net, 5, "cutlist-6");
  CHECK(countNodesWithPhase(Net, "cutlist-6", routing::BackendPhase::Ready) >
        0);
  core::BackendAnnounced Late;
  Late.Announcement.Name = base::BackendName("cutlist-5");
  Late.Announcement.Service = base::ServiceName("cutlist");
  Late.Announcement.Incarnation = base::Incarnation(1);
  Late.Announcement.Slots = 4;
  deliver(Net, 5, Late);
  CHECK(countNodesWithPhase(Net, "cutlist-5", routing::BackendPhase::Ready) ==
        0);
  run(Net, base::seconds(3));
  CHECK(countNodesWithPhase(Net, "cutlist-5", routing::BackendPhase::Ready) ==
        0);
}

} // namespace currantgauge::membership
