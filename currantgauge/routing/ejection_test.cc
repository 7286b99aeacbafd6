#include "currantgauge/routing/ejection.h"

#include "currantgauge/routing/state.h"

#include <doctest/doctest.h>

#include <string>

namespace currantgauge::routing {
namespace {

const base::ServiceName Cutlist("cutlist");

base::BackendName nameOf(std::uint64_t Number) {
  return base::BackendName("cutlist-" + std::to_string(100 + Number));
}

BackendServer &addServer(RoutingState &State, std::uint64_t Number,
                         std::uint32_t Slots) {
  BackendServer &Server = State.Servers[nameOf(Number)];
  Server.Record.Name = nameOf(Number);
  Server.Record.Service = Cutlist;
  Server.Record.Owner = base::NodeName("n" + std::to_string(Number));
  Server.Record.Slots = Slots;
  Server.Record.Incarnation = base::Incarnation(1);
  State.ByService[Cutlist].insert(Server.Record.Name);
  return Server;
}

RoutingState makeService(std::uint64_t Count) {
  RoutingState State;
  for (std::uint64_t I = 0; I < Count; ++I)
    addServer(State, I, 4);
  return State;
}

// reportAll() records an answer of every server with the given suspicion. The
// suspicion of a record still applies where it is higher.
void reportAll(RoutingState &State, base::TimePoint Now, double Level = 0) {
  for (const auto &[Name, Server] : State.Servers) {
    ServerStanding &Status = State.Sets[Cutlist].Servers[Name];
    Status.ReportedSuspicion = Level;
    Status.ReportedAt = Now;
  }
}

// checkFloor() checks the floor of a routing set, independently of the code
// under test.
void checkFloor(const RoutingState &State, base::Percent Floor) {
  double AnnouncedSlots = 0, UsableSlots = 0, SlotsInRotation = 0;
  bool AnyOut = false;
  const RoutingSet &Set = State.Sets.at(Cutlist);
  for (const auto &[Name, Server] : State.Servers) {
    if (Server.Record.Phase == BackendPhase::Gone)
      continue;
    AnnouncedSlots += Server.Record.Slots;
    if (Server.Record.Phase != BackendPhase::Ready || Server.Drained)
      continue;
    UsableSlots += Server.Record.Slots;
    Standing Current = Set.Servers.at(Name).Current;
    bool Out = Current == Standing::Ejected || Current == Standing::Trial;
    AnyOut = AnyOut || Out;
    SlotsInRotation += Out ? 0 : Server.Record.Slots;
  }
  double Required = AnnouncedSlots * Floor.Value / 100;
  if (UsableSlots >= Required)
    REQUIRE(SlotsInRotation >= Required);
  else
    REQUIRE_FALSE(AnyOut);
  REQUIRE(Set.HealthySlots == SlotsInRotation);
}

void changeRandomServer(RoutingState &State, base::Random &Source) {
  auto It = State.Servers.begin();
  std::advance(It, base::uniformBelow(Source, State.Servers.size()));
  BackendServer &Server = It->second;
  switch (base::uniformBelow(Source, 5)) {
  case 0:
    Server.Record.Phase =
        static_cast<BackendPhase>(base::uniformBelow(Source, 3));
    break;
  case 1:
    Server.Drained = !Server.Drained;
    break;
  case 2:
    ++Server.Record.Incarnation.Value;
    break;
  default:
    Server.Record.Suspicion =
        static_cast<double>(base::uniformBelow(Source, 5)) / 4;
  }
}

} // namespace

TEST_CASE("every random routing set keeps the floor") {
  base::Random Source(3);
  for (int View = 0; View < 300; ++View) {
    RoutingState State;
    std::uint64_t Count = 1 + base::uniformBelow(Source, 20);
    for (std::uint64_t I = 0; I < Count; ++I)
      addServer(State, I, 1 + base::uniformBelow(Source, 6));
    config::ServiceSettings Settings;
    Settings.Floor.Value = static_cast<double>(base::uniformBelow(Source, 121));
    base::TimePoint Now{1000000};
    for (int Step = 0; Step < 60; ++Step) {
      for (std::uint64_t I = 0; I < 1 + Count / 3; ++I)
        changeRandomServer(State, Source);
      Now = Now + base::milliseconds(static_cast<std::int64_t>(
                      base::uniformBelow(Source, 8000)));
      updateRoutingSet(State, Cutlist, Settings, Source, Now);
      checkFloor(State, Settings.Floor);
    }
  }
}

TEST_CASE("one unhealthy server is ejected, a whole unhealthy service is not") {
  base::Random Source(1);
  RoutingState State = makeService(8);
  State.Servers[nameOf(3)].Record.Suspicion = 1;
  config::ServiceSettings Settings;
  reportAll(State, base::TimePoint{1});
  auto Changes =
      updateRoutingSet(State, Cutlist, Settings, Source, base::TimePoint{1});
  REQUIRE(Changes.size() == 1);
  CHECK(Changes[0].Server == nameOf(3));
  CHECK(Changes[0].To == Standing::Ejected);
  for (std::uint64_t I = 0; I < 8; ++I)
    State.Servers[nameOf(I)].Record.Suspicion = 1;
  Changes =
      updateRoutingSet(State, Cutlist, Settings, Source, base::TimePoint{2});
  REQUIRE(Changes.size() == 1);
  CHECK(Changes[0].To == Standing::In);
  CHECK(Changes[0].Reason == StandingReason::WholeService);
  CHECK(State.Sets[Cutlist].Servers[nameOf(3)].RecentEjections == 0);
}

TEST_CASE("an ejected server returns after hold-off, trials and slow start") {
  base::Random Source(1);
  RoutingState State = makeService(4);
  config::ServiceSettings Settings;
  base::TimePoint Now{1000000};
  auto Update = [&] {
    reportAll(State, Now);
    updateRoutingSet(State, Cutlist, Settings, Source, Now);
    return State.Sets[Cutlist].Servers[nameOf(0)];
  };
  BackendRecord &Record = State.Servers[nameOf(0)].Record;
  Record.Suspicion = 1;
  CHECK(Update().Current == Standing::Ejected);
  Record.Suspicion = 0;
  Now = Now + base::seconds(4);
  CHECK(Update().Current == Standing::Ejected);
  Now = Now + base::seconds(2);
  CHECK(Update().Current == Standing::Trial);
  for (std::uint64_t I = 1; I <= 3; ++I) {
    base::AttemptId Attempt{1, I};
    State.Sets[Cutlist].Servers[nameOf(0)].Trial = Attempt;
    noteTrialResult(State.Sets[Cutlist], nameOf(0), Attempt,
                    TrialResult::Passed);
  }
  CHECK(Update().Current == Standing::SlowStart);
  Now = Now + base::seconds(3);
  CHECK(Update().Current == Standing::In);
}

TEST_CASE("the hold-off doubles with recent ejections up to its limit") {
  base::Random Source(1);
  RoutingState State = makeService(4);
  config::ServiceSettings Settings;
  Settings.HoldOffLimit = base::seconds(30);
  base::TimePoint Now{1000000};
  updateRoutingSet(State, Cutlist, Settings, Source, Now);
  ServerStanding &Status = State.Sets[Cutlist].Servers[nameOf(0)];
  BackendRecord &Record = State.Servers[nameOf(0)].Record;
  for (std::int64_t Expected : {5, 10, 20, 30, 30}) {
    Record.Suspicion = 1;
    reportAll(State, Now);
    updateRoutingSet(State, Cutlist, Settings, Source, Now);
    CHECK(Status.HoldOff == base::seconds(Expected));
    Record.Suspicion = 0;
    Now = Status.Until;
    updateRoutingSet(State, Cutlist, Settings, Source, Now);
    REQUIRE(Status.Current == Standing::Trial);
  }
  Status.Trial = base::AttemptId{1, 1};
  noteTrialResult(State.Sets[Cutlist], nameOf(0), Status.Trial,
                  TrialResult::Failed);
  updateRoutingSet(State, Cutlist, Settings, Source, Now);
  CHECK(Status.Current == Standing::Ejected);
}

// When all servers stop at once, the others have reported nothing yet when the
// first one reaches the ejection level.
TEST_CASE("an ejection without reports from other servers is delayed") {
  base::Random Source(1);
  RoutingState State = makeService(8);
  State.Servers[nameOf(3)].Record.Suspicion = 1;
  config::ServiceSettings Settings;
  base::TimePoint Now{1000000};
  // Whether the update after another Interval ejects the server.
  auto EjectsAfter = [&](base::Duration Interval) {
    Now = Now + Interval;
    return !updateRoutingSet(State, Cutlist, Settings, Source, Now).empty();
  };
  CHECK_FALSE(EjectsAfter({}));
  CHECK_FALSE(EjectsAfter(base::milliseconds(290)));
  CHECK(EjectsAfter(base::milliseconds(10)));
}

// When all servers slow down at once, the first to reach the ejection level is
// only slightly ahead of the others.
TEST_CASE(
    "no server is ejected while most of the reporting others are suspicious") {
  base::Random Source(1);
  RoutingState State = makeService(8);
  State.Servers[nameOf(3)].Record.Suspicion = 1;
  config::ServiceSettings Settings;
  base::TimePoint Now{1000000};
  for (int I = 0; I < 50; ++I) {
    Now = Now + base::milliseconds(100);
    reportAll(State, Now, 0.15);
    REQUIRE(updateRoutingSet(State, Cutlist, Settings, Source, Now).empty());
  }
  reportAll(State, Now, 0.05);
  CHECK(updateRoutingSet(State, Cutlist, Settings, Source, Now).size() == 1);
}

TEST_CASE(
    "at the floor an ejected server takes precedence over a new candidate") {
  base::Random Source(1);
  RoutingState State = makeService(4);
  config::ServiceSettings Settings;
  Settings.Floor.Value = 75;
  base::TimePoint Now{1000000};
  State.Servers[nameOf(3)].Record.Suspicion = 1;
  reportAll(State, Now);
  updateRoutingSet(State, Cutlist, Settings, Source, Now);
  State.Servers[nameOf(3)].Record.Suspicion = 0;
  State.Servers[nameOf(0)].Record.Suspicion = 1;
  CHECK(updateRoutingSet(State, Cutlist, Settings, Source, Now).empty());
  CHECK(State.Sets[Cutlist].Servers[nameOf(0)].Reason == StandingReason::Floor);
}

} // namespace currantgauge::routing
