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

TEST_CASE("an announcement older than the last of its incarnation is ignored") {
  RoutingState State = makeOwner();
  applyAnnouncement(State, makeAnnouncement("s", 5, 7), Start);
  CHECK(applyAnnouncement(
      State, makeAnnouncement("s", 5, 9, BackendPhase::Leaving), Start));
  CHECK_FALSE(applyAnnouncement(State, makeAnnouncement("s", 5, 8), Start));
  CHECK(phaseOf(State, "s") == BackendPhase::Leaving);
}

TEST_CASE("a leaving server stays leaving until its next incarnation") {
  RoutingState State = makeOwner();
  applyAnnouncement(State, makeAnnouncement("s", 5, 1, BackendPhase::Leaving),
                    Start);
  applyAnnouncement(State, makeAnnouncement("s", 5, 2), Start);
  CHECK(phaseOf(State, "s") == BackendPhase::Leaving);
  CHECK(applyAnnouncement(State, makeAnnouncement("s", 6, 1), Start));
  CHECK(phaseOf(State, "s") == BackendPhase::Ready);
}

TEST_CASE(
    "a server that announced its exit returns only as a new incarnation") {
  RoutingState State = makeOwner();
  applyAnnouncement(State, makeAnnouncement("s", 5, 1), Start);
  CHECK(applyAnnouncement(
      State, makeAnnouncement("s", 0, 0, BackendPhase::Gone), Start));
  CHECK_FALSE(applyAnnouncement(State, makeAnnouncement("s", 5, 2), Start));
  CHECK(phaseOf(State, "s") == BackendPhase::Gone);
  CHECK(applyAnnouncement(State, makeAnnouncement("s", 6, 1), Start));
  CHECK(phaseOf(State, "s") == BackendPhase::Ready);
}

TEST_CASE("an address belongs to the process that was started last") {
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

TEST_CASE("an absent server returns with its next announcement") {
  RoutingState State = makeOwner();
  applyAnnouncement(State, makeAnnouncement("s", 5, 1), Start);
  CHECK(markAbsent(State, base::BackendName("s")));
  CHECK_FALSE(markAbsent(State, base::BackendName("s")));
  CHECK(applyAnnouncement(State, makeAnnouncement("s", 5, 2), Start));
  CHECK(phaseOf(State, "s") == BackendPhase::Ready);
}

TEST_CASE("a record tells a server that announced its end from an absent one") {
  RoutingState State = makeOwner();
  const BackendRecord &Record = State.Servers[base::BackendName("s")].Record;
  applyAnnouncement(State, makeAnnouncement("s", 5, 1), Start);
  markAbsent(State, base::BackendName("s"));
  CHECK_FALSE(Record.Departed);
  std::uint64_t Revision = Record.Revision;
  Announcement Gone = makeAnnouncement("s", 5, 2);
  Gone.Phase = BackendPhase::Gone;
  CHECK(applyAnnouncement(State, Gone, Start));
  CHECK(Record.Departed);
  CHECK(Record.Revision > Revision);
  CHECK_FALSE(applyAnnouncement(State, Gone, Start));
  CHECK(applyAnnouncement(State, makeAnnouncement("s", 6, 1), Start));
  CHECK_FALSE(Record.Departed);
}

TEST_CASE("a shorter remaining cold start does not change the record") {
  RoutingState State = makeOwner();
  Announcement Cold = makeAnnouncement("s", 5, 1);
  Cold.ColdStart = base::seconds(3);
  CHECK(applyAnnouncement(State, Cold, Start));
  Cold.Sequence = 2;
  Cold.ColdStart = base::milliseconds(1500);
  CHECK_FALSE(applyAnnouncement(State, Cold, Start + base::milliseconds(1500)));
}

TEST_CASE("a removed server leaves no breaker and no belief about a spell") {
  for (bool WithOwner : {false, true}) {
    CAPTURE(WithOwner);
    RoutingState State = makeOwner();
    applyAnnouncement(State, makeAnnouncement("s", 5, 1), Start);
    base::BackendName Removed("s");
    base::BackendName Kept("other");
    for (const base::BackendName &Name : {Removed, Kept}) {
      State.Breakers[Name];
      State.Spells[Name];
    }
    if (WithOwner)
      removeServersOfOwner(State, State.Self);
    else
      removeServer(State, Removed);
    CHECK_FALSE(State.Breakers.contains(Removed));
    CHECK_FALSE(State.Spells.contains(Removed));
    CHECK(State.Breakers.contains(Kept));
    CHECK(State.Spells.contains(Kept));
  }
}

} // namespace currantgauge::routing
