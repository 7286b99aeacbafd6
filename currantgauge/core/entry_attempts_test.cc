#include "currantgauge/core/entry_attempts.h"

#include "currantgauge/admission/link.h"
#include "currantgauge/admission/pressure.h"
#include "currantgauge/core/two_nodes_test.h"

#include <doctest/doctest.h>

#include <cstdint>

namespace currantgauge::core {
namespace {

constexpr std::uint32_t RequestCount = 100;

// Node a, as the owner, refuses part of the rank.
void reportLocalPressure(State &Node) {
  reportPressure(Node, LocalNode, 0.3, Now);
}

// countLocalStarts() sends RequestCount requests to node a and returns how many
// of their attempts it places on its own server.
std::uint32_t countLocalStarts(State &Node) {
  std::uint32_t Local = 0;
  for (std::uint32_t I = 0; I < RequestCount; ++I) {
    EffectList Effects;
    reduce(Node, Event{Now, {}, makeRequest(I + 1)}, Effects);
    if (const auto *Start = find<StartAttempt>(Effects))
      Local += Start->Owner == LocalNode ? 1 : 0;
  }
  return Local;
}

} // namespace

TEST_CASE("an owner that refuses part of the rank is avoided") {
  State Node = makeTwoNodeFleet("north");
  CHECK(countLocalStarts(Node) > 0);
  Node = makeTwoNodeFleet("north");
  reportLocalPressure(Node);
  CHECK(countLocalStarts(Node) == 0);
}

TEST_CASE("while all owners shed the rank its attempts stay spread") {
  State Node = makeTwoNodeFleet("north");
  reportLocalPressure(Node);
  Node.Admission.Budgets[{TestService, TestRank}].RefusedShare = 0.5;
  CHECK(countLocalStarts(Node) > RequestCount / 4);
}

TEST_CASE("an owner that refuses part of the rank is preferred to another "
          "region") {
  State Node = makeTwoNodeFleet("south");
  reportLocalPressure(Node);
  std::uint32_t Local = countLocalStarts(Node);
  CHECK(Local > RequestCount / 2);
  CHECK(Local < RequestCount);
}

// An owner opens a new connection for an attempt after a failure, which costs
// time, so refusals must not count as failures.
TEST_CASE("an attempt after a refusal has number 1 and one after a failure "
          "number 2") {
  for (base::Verdict Verdict :
       {base::Verdict::NotRun, base::Verdict::MayHaveRun}) {
    State Node = makeTwoNodeFleet("north");
    EffectList Effects;
    reduce(Node, Event{Now, {}, makeRequest(1)}, Effects);
    AttemptEnded Ended{find<StartAttempt>(Effects)->Facts.Attempt, {}};
    Ended.Outcome.Verdict = Verdict;
    Ended.Outcome.Reason = Verdict == base::Verdict::NotRun
                               ? base::Reason::BackendSuspect
                               : base::Reason::BackendReset;
    Effects.clear();
    reduce(Node, Event{Now, {}, Ended}, Effects);
    reduce(Node, Event{Now + base::milliseconds(10), {}, TimerFired{}},
           Effects);
    const StartAttempt *Next = find<StartAttempt>(Effects);
    REQUIRE(Next);
    CHECK(Next->Facts.Number == (Verdict == base::Verdict::NotRun ? 1 : 2));
  }
}

TEST_CASE("an answer from another region is charged to the link budget and "
          "counted") {
  State Node = makeTwoNodeFleet("south");
  auto *Config = new config::Configuration(*Node.Config.Current);
  Config->Link.BytesPerSecond = base::ByteCount{1000000};
  Node.Config.Current = config::ConfigurationPtr(Config);
  Node.Routing.Servers.at(base::BackendName("cutlist-1")).Drained = true;
  EffectList Effects;
  reduce(Node, Event{Now, {}, makeRequest(1)}, Effects);
  const StartAttempt *Start = find<StartAttempt>(Effects);
  REQUIRE(Start);
  CHECK(Start->Owner == PeerNode);
  CHECK(Node.Admission.Link.Spent ==
        static_cast<double>(admission::AttemptOverhead.Bytes));
  AttemptEnded Ended{Start->Facts.Attempt, {}};
  Ended.Outcome.Verdict = base::Verdict::Ran;
  Ended.Outcome.AnswerBytes = base::ByteCount{70000};
  Effects.clear();
  reduce(Node, Event{Now, {}, Ended}, Effects);
  CHECK(Node.Admission.Link.Spent ==
        static_cast<double>(admission::AttemptOverhead.Bytes) + 70000);
  double Received = 0;
  for (const Effect &Item : Effects)
    if (const auto *Counted = std::get_if<Measure>(&Item))
      if (Counted->Name == Metric::LinkBytes &&
          Counted->LabelValueA == "south" && Counted->LabelValueB == "received")
        Received += Counted->Amount;
  CHECK(Received == 70000);
}

TEST_CASE("an attempt returned with LongWait is sent to the other server "
          "immediately") {
  State Node = makeTwoNodeFleet("north");
  EffectList Effects;
  reduce(Node, Event{Now, {}, makeRequest(1)}, Effects);
  Node.Routing.Servers.at(base::BackendName("cutlist-1")).Running = 1;
  Effects.clear();
  reduce(Node, Event{Now, {}, makeRequest(2)}, Effects);
  const StartAttempt *First = find<StartAttempt>(Effects);
  REQUIRE(First);
  REQUIRE(First->Owner == PeerNode);
  CHECK(First->Facts.ReturnOnLongWait);
  base::BackendName FirstServer = First->Facts.PreferredServer;
  AttemptEnded Ended;
  Ended.Attempt = First->Facts.Attempt;
  Ended.Outcome.Verdict = base::Verdict::NotRun;
  Ended.Outcome.Reason = base::Reason::LongWait;
  Ended.Outcome.Load.Owner = First->Owner;
  Ended.Outcome.Load.Service = TestService;
  Ended.Outcome.Load.Busy = 3;
  Effects.clear();
  reduce(Node, Event{Now + base::milliseconds(1), {}, Ended}, Effects);
  const StartAttempt *Second = find<StartAttempt>(Effects);
  REQUIRE(Second);
  CHECK(Second->Facts.PreferredServer != FirstServer);
  // The first server is known to be full, so there is no alternative.
  CHECK_FALSE(Second->Facts.ReturnOnLongWait);
  CHECK(Node.Entry.Requests.rbegin()->second.Attempts == 1);
}

} // namespace currantgauge::core
