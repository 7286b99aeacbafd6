#include "currantgauge/membership/servers.h"

#include "currantgauge/core/state.h"
#include "currantgauge/routing/registry.h"

#include <doctest/doctest.h>

namespace currantgauge::membership {
namespace {

const base::BackendName Server("cutlist-5");

// makeRestartedNode() returns a new process of the owner of Server.
core::State makeRestartedNode() {
  core::NodeIdentity Self;
  Self.Name = base::NodeName("a");
  Self.Incarnation = base::Incarnation(2000);
  return core::makeState(Self, 7);
}

// recordOfEarlierProcess() returns the record that other nodes hold of Server.
routing::BackendRecord recordOfEarlierProcess(routing::BackendPhase Phase) {
  routing::BackendRecord Record;
  Record.Name = Server;
  Record.Service = base::ServiceName("cutlist");
  Record.Owner = base::NodeName("a");
  Record.Incarnation = base::Incarnation(5);
  Record.Revision = 2;
  Record.Phase = Phase;
  return Record;
}

void announceReady(core::State &Node, std::uint64_t Incarnation,
                   std::uint64_t Sequence) {
  routing::Announcement Announced;
  Announced.Name = Server;
  Announced.Service = base::ServiceName("cutlist");
  Announced.Incarnation = base::Incarnation(Incarnation);
  Announced.Sequence = Sequence;
  routing::applyAnnouncement(Node.Routing, Announced, Node.Now);
}

routing::BackendPhase phaseOfServer(const core::State &Node) {
  return Node.Routing.Servers.at(Server).Record.Phase;
}

} // namespace

TEST_CASE("a server that announced its leave before its node restarted is not "
          "ready again") {
  for (bool AnnouncedFirst : {true, false}) {
    CAPTURE(AnnouncedFirst);
    core::State Node = makeRestartedNode();
    if (AnnouncedFirst)
      announceReady(Node, 5, 8);
    mergeBackend(Node, recordOfEarlierProcess(routing::BackendPhase::Leaving));
    if (!AnnouncedFirst)
      announceReady(Node, 5, 8);
    CHECK(phaseOfServer(Node) == routing::BackendPhase::Leaving);
    announceReady(Node, 5, 9);
    CHECK(phaseOfServer(Node) == routing::BackendPhase::Leaving);
    announceReady(Node, 6, 1);
    CHECK(phaseOfServer(Node) == routing::BackendPhase::Ready);
  }
}

// DRAIN: a node that had acknowledged a departure was killed, forgot it, and
// took a late announcement of the server for a new one.
TEST_CASE("a server that announced its end before its node restarted is not "
          "ready again") {
  for (bool AnnouncedFirst : {true, false}) {
    CAPTURE(AnnouncedFirst);
    core::State Node = makeRestartedNode();
    routing::BackendRecord Departed =
        recordOfEarlierProcess(routing::BackendPhase::Gone);
    Departed.Departed = true;
    if (AnnouncedFirst)
      announceReady(Node, 5, 8);
    mergeBackend(Node, Departed);
    announceReady(Node, 5, 9);
    CHECK((!Node.Routing.Servers.contains(Server) ||
           phaseOfServer(Node) != routing::BackendPhase::Ready));
    CHECK(Node.Membership.Orphans.empty());
    announceReady(Node, 6, 1);
    CHECK(phaseOfServer(Node) == routing::BackendPhase::Ready);
  }
}

TEST_CASE("a server that was absent before its node restarted returns with its "
          "next announcement") {
  core::State Node = makeRestartedNode();
  mergeBackend(Node, recordOfEarlierProcess(routing::BackendPhase::Gone));
  announceReady(Node, 5, 8);
  mergeBackend(Node, recordOfEarlierProcess(routing::BackendPhase::Gone));
  CHECK(phaseOfServer(Node) == routing::BackendPhase::Ready);
}

} // namespace currantgauge::membership
