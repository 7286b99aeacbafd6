#include "currantgauge/routing/choose.h"

#include <doctest/doctest.h>

#include <map>
#include <string>

namespace currantgauge::routing {
namespace {

const base::ServiceName Cutlist("cutlist");

BackendServer &addServer(RoutingState &State, const std::string &Name,
                         const std::string &Region) {
  BackendServer &Server = State.Servers[base::BackendName(Name)];
  Server.Record.Name = base::BackendName(Name);
  Server.Record.Service = Cutlist;
  Server.Record.Owner = base::NodeName("owner-" + Name);
  Server.Record.Region = base::RegionName(Region);
  Server.Record.Slots = 4;
  State.ByService[Cutlist].insert(Server.Record.Name);
  return Server;
}

RoutingState makeTwoRegions() {
  RoutingState State;
  State.Self = base::NodeName("entry");
  State.Region = base::RegionName("north");
  for (const char *Name : {"n1", "n2", "n3"})
    addServer(State, Name, "north");
  for (const char *Name : {"s1", "s2", "s3"})
    addServer(State, Name, "south");
  return State;
}

ChoiceQuery makeQuery(double Worth = 1) {
  ChoiceQuery Query;
  Query.Service = Cutlist;
  Query.Worth = Worth;
  Query.Idempotent = true;
  Query.Now = base::TimePoint{1000000};
  return Query;
}

// choose() recomputes the routing set before the choice, as after a change of a
// record.
Choice choose(RoutingState &State, const ChoiceQuery &Query,
              base::Random &Source) {
  updateRoutingSet(State, Cutlist, config::ServiceSettings(), Source,
                   Query.Now);
  return chooseServer(State, Query, Source);
}

} // namespace

TEST_CASE("requests leave their region only when that is worth the link") {
  RoutingState State = makeTwoRegions();
  base::Random Source(1);
  auto RegionFor = [&](double Worth) {
    return choose(State, makeQuery(Worth), Source).Server->Record.Region;
  };
  CHECK(RegionFor(1) == State.Region);
  for (const char *Name : {"n1", "n2", "n3"})
    State.Servers[base::BackendName(Name)].Running = 6;
  CHECK(RegionFor(1) == State.Region);
  CHECK(RegionFor(10) == base::RegionName("south"));
  for (const char *Name : {"n1", "n2", "n3"})
    State.Servers[base::BackendName(Name)].Running = 9;
  CHECK(RegionFor(1) == base::RegionName("south"));
  CHECK(RegionFor(0.1) == State.Region);
}

TEST_CASE(
    "bad paths and tried servers are avoided while others are available") {
  RoutingState State = makeTwoRegions();
  base::Random Source(1);
  ChoiceQuery Query = makeQuery();
  Query.Tried = {base::BackendName("n1")};
  for (int I = 0; I < 2; ++I)
    notePathFailure(State.Paths[base::NodeName("owner-n2")], Query.Now);
  for (int I = 0; I < 50; ++I)
    CHECK(choose(State, Query, Source).Server->Record.Name ==
          base::BackendName("n3"));
  for (auto &[Name, Server] : State.Servers)
    Server.Drained = Name != base::BackendName("n2");
  CHECK(choose(State, Query, Source).Reason == ChoiceReason::LastResort);
}

TEST_CASE("an ejected server gets one idempotent trial at a time") {
  RoutingState State = makeTwoRegions();
  base::Random Source(1);
  ServerStanding &Status = State.Sets[Cutlist].Servers[base::BackendName("n1")];
  Status.Current = Standing::Ejected;
  Status.Until = base::Never;
  for (int I = 0; I < 50; ++I)
    CHECK(choose(State, makeQuery(), Source).Server->Record.Name !=
          base::BackendName("n1"));
  Status.Current = Standing::Trial;
  Status.Since = makeQuery().Now;
  ChoiceQuery NonIdempotent = makeQuery();
  NonIdempotent.Idempotent = false;
  CHECK(choose(State, NonIdempotent, Source).Reason == ChoiceReason::Local);
  CHECK(choose(State, makeQuery(), Source).Reason == ChoiceReason::Trial);
  Status.Trial = base::AttemptId{1, 1};
  CHECK(choose(State, makeQuery(), Source).Reason == ChoiceReason::Local);
}

// Guards against trials of servers in other regions that this region doesn't
// need: half of all trials crossed the link for them.
TEST_CASE("another region gets a trial only if no server here is available") {
  RoutingState State = makeTwoRegions();
  base::Random Source(1);
  ServerStanding &Status = State.Sets[Cutlist].Servers[base::BackendName("s1")];
  Status.Current = Standing::Trial;
  Status.Since = makeQuery().Now;
  CHECK(choose(State, makeQuery(), Source).Reason == ChoiceReason::Local);
  for (auto &[Name, Server] : State.Servers)
    if (Server.Record.Region == State.Region)
      Server.AvoidUntil = base::Never;
  CHECK(choose(State, makeQuery(), Source).Reason == ChoiceReason::Trial);
}

// The owner's half-open breaker admits one trial at a time, for which its own
// callers suffice.
TEST_CASE("other entries avoid a server that recently refused work while "
          "others have free slots") {
  RoutingState State = makeTwoRegions();
  base::Random Source(1);
  base::BackendName Recovering("n1");
  State.Servers[Recovering].RecoveringUntil =
      makeQuery().Now + base::seconds(1);
  for (const char *Name : {"n2", "n3"})
    State.Servers[base::BackendName(Name)].Running = 1;
  CHECK(choose(State, makeQuery(), Source).Server->Record.Name != Recovering);
  State.Servers[Recovering].Record.Owner = State.Self;
  CHECK(choose(State, makeQuery(), Source).Server->Record.Name == Recovering);
  State.Servers[Recovering].Record.Owner = base::NodeName("owner-n1");
  for (const char *Name : {"n2", "n3"})
    State.Servers[base::BackendName(Name)].Running = 4;
  CHECK(choose(State, makeQuery(), Source).Server->Record.Name == Recovering);
}

TEST_CASE(
    "entries without news spread over idle servers where they are uneven") {
  RoutingState State = makeTwoRegions();
  base::Random Source(1);
  for (bool Uneven : {false, true}) {
    CAPTURE(Uneven);
    State.UnevenServers = Uneven;
    std::map<base::BackendName, int> Chosen;
    for (int I = 0; I < 300; ++I)
      ++Chosen[choose(State, makeQuery(), Source).Server->Record.Name];
    CHECK(Chosen.size() == (Uneven ? 3 : 1));
    for (const auto &[Name, Count] : Chosen)
      CHECK(Count > 70);
  }
}

TEST_CASE("a server without news is presumed to be as busy as the others") {
  RoutingState State = makeTwoRegions();
  State.UnevenServers = true;
  base::Random Source(1);
  base::BackendName Known("n1");
  State.Servers[Known].ReportedLoad = 0.25;
  State.Servers[Known].LoadReportedAt = makeQuery().Now;
  State.Sets[Cutlist].MeanReportedLoad = 0.75;
  for (int I = 0; I < 50; ++I)
    CHECK(choose(State, makeQuery(), Source).Server->Record.Name == Known);
  State.Servers[Known].ReportedLoad = 1.5;
  for (int I = 0; I < 50; ++I)
    CHECK(choose(State, makeQuery(), Source).Server->Record.Name != Known);
}

TEST_CASE("a suspected server gets work that can't be repeated only if the "
          "others are full") {
  RoutingState State = makeTwoRegions();
  State.UnevenServers = true;
  base::Random Source(1);
  base::BackendName Suspect("n1");
  choose(State, makeQuery(), Source);
  noteReportedSuspicion(State.Sets[Cutlist], Suspect, 0.9, makeQuery().Now);
  ChoiceQuery Once = makeQuery();
  Once.Idempotent = false;
  for (int I = 0; I < 50; ++I)
    CHECK(choose(State, Once, Source).Server->Record.Name != Suspect);
  for (const char *Name : {"n2", "n3"})
    State.Servers[base::BackendName(Name)].Running = 2;
  CHECK(choose(State, Once, Source).Server->Record.Name != Suspect);
  CHECK(choose(State, makeQuery(), Source).Server->Record.Name == Suspect);
  for (const char *Name : {"n2", "n3", "s1", "s2", "s3"})
    State.Servers[base::BackendName(Name)].Running = 12;
  CHECK(choose(State, Once, Source).Server->Record.Name == Suspect);
}

TEST_CASE("a more expensive link keeps requests in their region longer") {
  RoutingState State = makeTwoRegions();
  base::Random Source(1);
  for (const char *Name : {"n1", "n2", "n3"})
    State.Servers[base::BackendName(Name)].Running = 9;
  ChoiceQuery Query = makeQuery();
  CHECK(choose(State, Query, Source).Reason == ChoiceReason::Spill);
  Query.Placement.OtherRegionCost = 2.5;
  CHECK(choose(State, Query, Source).Reason == ChoiceReason::Local);
  Query.Worth = 10;
  CHECK(choose(State, Query, Source).Reason == ChoiceReason::Spill);
}

TEST_CASE("a path is bad after two lost attempts but not after one") {
  std::map<base::NodeName, PathEvidence> Paths;
  base::NodeName Owner("b");
  base::TimePoint Now{1000000};
  notePathFailure(Paths[Owner], Now);
  CHECK_FALSE(isPathBad(Paths, Owner, Now));
  notePathFailure(Paths[Owner], Now);
  CHECK(isPathBad(Paths, Owner, Now));
  CHECK_FALSE(isPathBad(Paths, Owner, Now + base::seconds(1)));
  notePathFailure(Paths[Owner], Now + base::seconds(1));
  CHECK(isPathBad(Paths, Owner, Now + base::milliseconds(1900)));
  notePathSuccess(Paths, Owner);
  CHECK_FALSE(isPathBad(Paths, Owner, Now));
}

TEST_CASE("the effective slots increase over the cold start") {
  RoutingState State = makeTwoRegions();
  BackendServer &Server = State.Servers[base::BackendName("n1")];
  Server.Record.ColdStart = base::seconds(10);
  Server.ReadySince = base::TimePoint{0};
  auto SlotsAt = [&](std::int64_t Seconds) {
    return computeEffectiveSlots(Server, nullptr,
                                 base::TimePoint{Seconds * 1000000});
  };
  CHECK(SlotsAt(0) == doctest::Approx(0.4));
  CHECK(SlotsAt(5) == doctest::Approx(2));
  CHECK(SlotsAt(20) == doctest::Approx(4));
}

TEST_CASE("load is spread only over servers that cost the same otherwise") {
  RoutingState State = makeTwoRegions();
  State.UnevenServers = true;
  State.Domain = base::DomainName("rack-1");
  base::Random Source(1);
  base::BackendName Near("n1");
  for (auto &[Name, Server] : State.Servers) {
    Server.Record.Slots = 2;
    Server.Record.Domain = base::DomainName(Name == Near ? "rack-1" : "rack-2");
  }
  for (int I = 0; I < 50; ++I)
    CHECK(choose(State, makeQuery(), Source).Server->Record.Name == Near);
}

TEST_CASE("a server without slots isn't spread over servers with more work") {
  RoutingState State = makeTwoRegions();
  State.UnevenServers = true;
  base::Random Source(1);
  base::BackendName Idle("n1");
  for (auto &[Name, Server] : State.Servers) {
    Server.Record.Slots = 0;
    Server.Running = Name == Idle ? 0 : 5;
  }
  for (int I = 0; I < 50; ++I)
    CHECK(choose(State, makeQuery(), Source).Server->Record.Name == Idle);
}

TEST_CASE("a last resort is not spread over regions") {
  RoutingState State = makeTwoRegions();
  State.UnevenServers = true;
  base::Random Source(1);
  choose(State, makeQuery(), Source);
  RoutingSet &Set = State.Sets[Cutlist];
  Set.SameRegion.clear();
  Set.OtherRegions.clear();
  for (const auto &[Name, Server] : State.Servers)
    Set.OutOfRotation.push_back(Name);
  for (int I = 0; I < 50; ++I) {
    Choice Chosen = chooseServer(State, makeQuery(), Source);
    CHECK(Chosen.Reason == ChoiceReason::LastResort);
    CHECK(Chosen.Server->Record.Region == State.Region);
  }
}

} // namespace currantgauge::routing
