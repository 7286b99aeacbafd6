#include "currantgauge/core/entry_retries.h"

#include "currantgauge/core/two_nodes_test.h"

#include <doctest/doctest.h>

#include <cstdint>
#include <string>

namespace currantgauge::core {
namespace {

constexpr std::uint32_t ServerCount = 20;

// A fleet whose servers are owned by other nodes.
State makeFleet(bool UnevenServers) {
  State Node = makeTwoNodeFleet("north");
  Node.Self.Policy.UnevenServers = UnevenServers;
  Node.Self.RetryBound.Ratio = 0.2;
  auto *Config = new config::Configuration(*Node.Config.Current);
  Config->Kinds.at(TestKind).Deadline = base::seconds(10);
  config::indexRoutes(*Config);
  Node.Config.Current = config::ConfigurationPtr(Config);
  routing::BackendRecord Record =
      Node.Routing.Servers.at(base::BackendName("cutlist-2")).Record;
  for (std::uint32_t I = 3; I <= ServerCount; ++I) {
    Record.Name = base::BackendName("cutlist-" + std::to_string(I));
    routing::mergeRecord(Node.Routing, Record, base::TimePoint{2000});
  }
  return Node;
}

// countAttempts() returns how many attempts a request makes if each is turned
// away for that reason.
std::uint32_t countAttempts(State &Node, base::Reason Reason) {
  EffectList Effects;
  base::TimePoint Time = Now;
  reduce(Node, Event{Time, {}, makeRequest(1)}, Effects);
  std::uint32_t Count = 0;
  while (const StartAttempt *Start = find<StartAttempt>(Effects)) {
    ++Count;
    AttemptEnded Ended{Start->Facts.Attempt, {}};
    Ended.Outcome.Verdict = base::Verdict::NotRun;
    Ended.Outcome.Reason = Reason;
    Effects.clear();
    reduce(Node, Event{Time, {}, Ended}, Effects);
    while (!find<StartAttempt>(Effects) && !find<RefuseRequest>(Effects)) {
      Time = Time + base::milliseconds(10);
      reduce(Node, Event{Time, {}, TimerFired{}}, Effects);
    }
  }
  REQUIRE(find<RefuseRequest>(Effects));
  CHECK(find<RefuseRequest>(Effects)->Verdict == base::Verdict::NotRun);
  return Count;
}

} // namespace

TEST_CASE("servers that are suspected use up few of a request's attempts") {
  for (base::Reason Reason :
       {base::Reason::BackendSuspect, base::Reason::PeerUnavailable}) {
    State Even = makeFleet(false);
    State Uneven = makeFleet(true);
    CHECK(countAttempts(Even, Reason) == 5);
    CHECK(countAttempts(Uneven, Reason) == 13);
  }
}

TEST_CASE("refusals for load use up attempts as before") {
  State Even = makeFleet(false);
  State Uneven = makeFleet(true);
  CHECK(countAttempts(Uneven, base::Reason::QueueFull) ==
        countAttempts(Even, base::Reason::QueueFull));
}

} // namespace currantgauge::core
