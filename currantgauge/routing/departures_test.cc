#include "currantgauge/routing/registry.h"

#include <doctest/doctest.h>

namespace currantgauge::routing {
namespace {

constexpr base::TimePoint Start{1000000};
const base::BackendName Server("s");

Announcement makeAnnouncement(std::uint64_t Incarnation, std::uint64_t Sequence,
                              BackendPhase Phase = BackendPhase::Ready) {
  Announcement Announced;
  Announced.Name = Server;
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

BackendRecord makeRecord(const char *Owner, BackendPhase Phase) {
  BackendRecord Record;
  Record.Name = Server;
  Record.Service = base::ServiceName("cutlist");
  Record.Owner = base::NodeName(Owner);
  Record.Address = base::NetAddress("10.0.0.9:8080");
  Record.Incarnation = base::Incarnation(5);
  Record.Revision = 3;
  Record.Phase = Phase;
  return Record;
}

bool isReady(const RoutingState &State) {
  auto It = State.Servers.find(Server);
  return It != State.Servers.end() &&
         It->second.Record.Phase == BackendPhase::Ready;
}

} // namespace

TEST_CASE("an unknown server that announced its exit returns only as a new "
          "incarnation") {
  RoutingState State = makeOwner();
  applyAnnouncement(State, makeAnnouncement(5, 0, BackendPhase::Gone), Start);
  applyAnnouncement(State, makeAnnouncement(4, 9), Start);
  applyAnnouncement(State, makeAnnouncement(5, 9), Start);
  CHECK_FALSE(isReady(State));
  CHECK(applyAnnouncement(State, makeAnnouncement(6, 1), Start));
  CHECK(isReady(State));
}

TEST_CASE("a server that announced the exit of an incarnation not known yet "
          "doesn't return in it") {
  RoutingState State = makeOwner();
  applyAnnouncement(State, makeAnnouncement(5, 1), Start);
  applyAnnouncement(State, makeAnnouncement(6, 0, BackendPhase::Gone), Start);
  applyAnnouncement(State, makeAnnouncement(6, 2), Start);
  CHECK_FALSE(isReady(State));
}

TEST_CASE("an announced exit of another node's server takes the server out") {
  RoutingState State = makeOwner();
  mergeRecord(State, makeRecord("b", BackendPhase::Ready), Start);
  CHECK(applyAnnouncement(State, makeAnnouncement(5, 0, BackendPhase::Gone),
                          Start));
  const BackendRecord &Record = State.Servers.at(Server).Record;
  CHECK(Record.Phase == BackendPhase::Gone);
  CHECK(Record.Owner == State.Self);
  CHECK(Record.Revision == 4);
  applyAnnouncement(State, makeAnnouncement(5, 9), Start);
  CHECK_FALSE(isReady(State));
}

TEST_CASE("a server that announced its leave to another node is not ready at "
          "a new owner") {
  RoutingState State = makeOwner();
  mergeRecord(State, makeRecord("b", BackendPhase::Leaving), Start);
  applyAnnouncement(State, makeAnnouncement(5, 2), Start);
  CHECK_FALSE(isReady(State));
  CHECK(applyAnnouncement(State, makeAnnouncement(6, 1), Start));
  CHECK(isReady(State));
}

TEST_CASE("a leaving server that was absent or whose lease expired is not "
          "ready again") {
  for (bool LeaseExpires : {true, false}) {
    CAPTURE(LeaseExpires);
    RoutingState State = makeOwner();
    applyAnnouncement(State, makeAnnouncement(5, 1, BackendPhase::Leaving),
                      Start);
    if (LeaseExpires)
      expireLeases(State, Start + base::minutes(1));
    else
      markAbsent(State, Server);
    applyAnnouncement(State, makeAnnouncement(5, 2), Start + base::minutes(1));
    CHECK_FALSE(isReady(State));
    CHECK(applyAnnouncement(State, makeAnnouncement(6, 1),
                            Start + base::minutes(1)));
    CHECK(isReady(State));
  }
}

TEST_CASE("a leave that arrives after a later announcement is kept") {
  RoutingState State = makeOwner();
  applyAnnouncement(State, makeAnnouncement(5, 9), Start);
  applyAnnouncement(State, makeAnnouncement(5, 8, BackendPhase::Leaving),
                    Start);
  CHECK_FALSE(isReady(State));
}

TEST_CASE("a departed server that was forgotten is not ready again") {
  for (BackendPhase Phase : {BackendPhase::Leaving, BackendPhase::Gone}) {
    CAPTURE(static_cast<int>(Phase));
    RoutingState State = makeOwner();
    applyAnnouncement(State, makeAnnouncement(5, 1), Start);
    applyAnnouncement(State, makeAnnouncement(5, 2, Phase), Start);
    removeServer(State, Server);
    applyAnnouncement(State, makeAnnouncement(5, 3), Start);
    CHECK_FALSE(isReady(State));
  }
}

} // namespace currantgauge::routing
