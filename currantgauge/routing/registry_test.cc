#include "currantgauge/routing/registry.h"

#include <doctest/doctest.h>

namespace currantgauge::routing {
namespace {

constexpr base::TimePoint Start{1000000};

Announcement makeAnnouncement(const char *Name, std::uint64_t Incarnation,
                              std::uint64_t Sequence,
                              BackendPhase Phase = BackendPhase::Ready) {
  Announcement Announced;
  Announced.Name = base::BackendName(Name);
  Announced.Service = base::ServiceName("cutlist");
  Announced.Address = base::NetAddress("10.0.0.9:8080");
  Announced.Incarnation = base::Incarnation(Incarnation);
  Announced.Sequence = Sequence;
  Announced.Phase = Phase;
  return Announced;
}

RoutingState makeOwner() {
  RoutingState State;
  State.Self = base::NodeName("a");
  return State;
}

BackendPhase phaseOf(const RoutingState &State, const char *Name) {
  return State.Servers.at(base::BackendName(Name)).Record.Phase;
}

} // namespace

TEST_CASE("a word that was overtaken by a later one of its life is ignored") {
  RoutingState State = makeOwner();
  applyAnnouncement(State, makeAnnouncement("s", 5, 7), Start);
  CHECK(applyAnnouncement(
      State, makeAnnouncement("s", 5, 9, BackendPhase::Leaving), Start));
  CHECK_FALSE(applyAnnouncement(State, makeAnnouncement("s", 5, 8), Start));
  CHECK(phaseOf(State, "s") == BackendPhase::Leaving);
}

TEST_CASE("a server that leaves stays so until its next life") {
  RoutingState State = makeOwner();
  applyAnnouncement(State, makeAnnouncement("s", 5, 1, BackendPhase::Leaving),
                    Start);
  applyAnnouncement(State, makeAnnouncement("s", 5, 2), Start);
  CHECK(phaseOf(State, "s") == BackendPhase::Leaving);
  CHECK(applyAnnouncement(State, makeAnnouncement("s", 6, 1), Start));
  CHECK(phaseOf(State, "s") == BackendPhase::Ready);
}

TEST_CASE("after its farewell no word of that life brings a server back") {
  RoutingState State = makeOwner();
  applyAnnouncement(State, makeAnnouncement("s", 5, 1), Start);
  CHECK(applyAnnouncement(
      State, makeAnnouncement("s", 0, 0, BackendPhase::Gone), Start));
  CHECK_FALSE(applyAnnouncement(State, makeAnnouncement("s", 5, 2), Start));
  CHECK(phaseOf(State, "s") == BackendPhase::Gone);
  CHECK(applyAnnouncement(State, makeAnnouncement("s", 6, 1), Start));
  CHECK(phaseOf(State, "s") == BackendPhase::Ready);
}

TEST_CASE("the process started last has the address") {
  RoutingState State = makeOwner();
  applyAnnouncement(State, makeAnnouncement("old", 5, 1), Start);
  CHECK_FALSE(isSuperseded(State, makeAnnouncement("new", 6, 1)));
  REQUIRE(retireReplacedServers(State, makeAnnouncement("new", 6, 1)).size() ==
          1);
  applyAnnouncement(State, makeAnnouncement("new", 6, 1), Start);
  CHECK(phaseOf(State, "old") == BackendPhase::Gone);
  CHECK(isSuperseded(State, makeAnnouncement("old", 5, 2)));
  CHECK(retireReplacedServers(State, makeAnnouncement("old", 5, 2)).empty());
}

TEST_CASE("an absent server is back with its next word") {
  RoutingState State = makeOwner();
  applyAnnouncement(State, makeAnnouncement("s", 5, 1), Start);
  CHECK(markAbsent(State, base::BackendName("s")));
  CHECK_FALSE(markAbsent(State, base::BackendName("s")));
  CHECK(applyAnnouncement(State, makeAnnouncement("s", 5, 2), Start));
  CHECK(phaseOf(State, "s") == BackendPhase::Ready);
}

TEST_CASE("what is left of a cold start is no news") {
  RoutingState State = makeOwner();
  Announcement Cold = makeAnnouncement("s", 5, 1);
  Cold.ColdStart = base::seconds(3);
  CHECK(applyAnnouncement(State, Cold, Start));
  Cold.Sequence = 2;
  Cold.ColdStart = base::milliseconds(1500);
  CHECK_FALSE(applyAnnouncement(State, Cold, Start + base::milliseconds(1500)));
}

} // namespace currantgauge::routing
