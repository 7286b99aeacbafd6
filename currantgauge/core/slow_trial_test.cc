#include "currantgauge/core/two_nodes_test.h"

#include <doctest/doctest.h>

#include <variant>

namespace currantgauge::core {
namespace {

const base::BackendName TrialServer("cutlist-1");
const base::BackendName OtherServer("cutlist-2");
const base::RequestId TrialRequest{1, 2};
// Half of the request's timeout of 500 ms.
constexpr base::TimePoint HalfTime = Now + base::milliseconds(250);
// When the attempt beside the trial has started.
constexpr base::TimePoint NextTime = HalfTime + base::milliseconds(10);
constexpr base::TimePoint Deadline = Now + base::milliseconds(500);

// startTrial() sends two requests. The first one builds the routing set, in
// which cutlist-1 is then made ready for a trial; the second one is that trial.
// Returns the facts of its attempt.
AttemptFacts startTrial(State &Node) {
  EffectList Effects;
  reduce(Node, Event{Now, {}, makeRequest(1)}, Effects);
  routing::RoutingSet &Set = Node.Routing.Sets.at(TestService);
  Set.Servers[TrialServer].Current = routing::Standing::Trial;
  Set.Servers[TrialServer].Since = Now;
  Set.OutOfRotation = {TrialServer};
  std::erase(Set.SameRegion, TrialServer);
  Effects.clear();
  reduce(Node, Event{Now, {}, makeRequest(2)}, Effects);
  const StartAttempt *Trial = find<StartAttempt>(Effects);
  REQUIRE(Trial);
  REQUIRE(Trial->Facts.PreferredServer == TrialServer);
  return Trial->Facts;
}

EffectList fireTimers(State &Node, base::TimePoint Time) {
  EffectList Effects;
  reduce(Node, Event{Time, {}, TimerFired{}}, Effects);
  return Effects;
}

EffectList endAttemptWith(State &Node, base::TimePoint Time,
                          base::AttemptId Attempt, base::Verdict Verdict,
                          base::Reason Reason) {
  AttemptEnded Ended{Attempt, {}};
  Ended.Outcome.Verdict = Verdict;
  Ended.Outcome.Reason = Reason;
  EffectList Effects;
  reduce(Node, Event{Time, {}, Ended}, Effects);
  return Effects;
}

// SlowTrial is a request with an attempt beside its trial.
struct SlowTrial {
  State Node = makeTwoNodeFleet("north");
  base::AttemptId Trial;
  base::AttemptId Next;

  SlowTrial() {
    this->Trial = startTrial(this->Node).Attempt;
    EffectList Effects = fireTimers(this->Node, HalfTime);
    CHECK_FALSE(find<CancelAttempt>(Effects));
    Effects = fireTimers(this->Node, NextTime);
    const StartAttempt *Start = find<StartAttempt>(Effects);
    REQUIRE(Start);
    CHECK(Start->Facts.PreferredServer == OtherServer);
    CHECK(Start->Facts.TimeLeft > base::milliseconds(200));
    CHECK(Start->Facts.Number == 2);
    CHECK(Start->Continued == this->Trial);
    this->Next = Start->Facts.Attempt;
  }
};

DeliverAnswer deliveryIn(const EffectList &Effects) {
  const DeliverAnswer *Delivered = find<DeliverAnswer>(Effects);
  REQUIRE(Delivered);
  return *Delivered;
}

bool cancels(const EffectList &Effects, base::AttemptId Attempt) {
  for (const Effect &Item : Effects)
    if (const auto *Cancel = std::get_if<CancelAttempt>(&Item))
      if (Cancel->Attempt == Attempt)
        return true;
  return false;
}

const RefuseRequest *refusalOf(base::RequestId Request,
                               const EffectList &Effects) {
  for (const Effect &Item : Effects)
    if (const auto *Refused = std::get_if<RefuseRequest>(&Item))
      if (Refused->Request == Request)
        return Refused;
  return nullptr;
}

// Returns whether the trial stays the only attempt.
bool staysAlone(State &Node) {
  EffectList Effects = fireTimers(Node, HalfTime);
  EffectList Later = fireTimers(Node, NextTime);
  Effects.insert(Effects.end(), Later.begin(), Later.end());
  return !find<CancelAttempt>(Effects) && !find<StartAttempt>(Effects) &&
         !find<RefuseRequest>(Effects);
}

} // namespace

TEST_CASE("a trial that hangs leaves enough time to try another server") {
  SlowTrial Slow;
  EffectList Effects = endAttemptWith(Slow.Node, NextTime, Slow.Next,
                                      base::Verdict::Ran, base::Reason::None);
  CHECK(deliveryIn(Effects).Attempt == Slow.Next);
  CHECK(cancels(Effects, Slow.Trial));
  CHECK_FALSE(Slow.Node.Entry.Requests.contains(TrialRequest));
}

// LOST on trayworks-grown: a request was given up after a SIGTERM while its
// server worked, as what replaced its trial was refused.
TEST_CASE("a trial whose replacement is refused can still be answered") {
  for (bool Stops : {false, true}) {
    SlowTrial Slow;
    if (Stops) {
      Slow.Node.Self.StopLimit = base::seconds(5);
      EffectList Effects;
      reduce(Slow.Node, Event{NextTime, {}, StopRequested{}}, Effects);
    }
    // Refusals until no other attempt is made.
    base::TimePoint Time = NextTime;
    base::AttemptId Next = Slow.Next;
    for (int Refusals = 0; Refusals < 10; ++Refusals) {
      EffectList Effects =
          endAttemptWith(Slow.Node, Time, Next, base::Verdict::NotRun,
                         base::Reason::BackendSuspect);
      CHECK_FALSE(find<RefuseRequest>(Effects));
      CHECK_FALSE(find<CancelAttempt>(Effects));
      Time = Time + base::milliseconds(10);
      Effects = fireTimers(Slow.Node, Time);
      CHECK_FALSE(find<RefuseRequest>(Effects));
      const StartAttempt *Start = find<StartAttempt>(Effects);
      if (!Start)
        break;
      CHECK(Start->Continued == Slow.Trial);
      Next = Start->Facts.Attempt;
    }
    EffectList Effects = endAttemptWith(Slow.Node, Time, Slow.Trial,
                                        base::Verdict::Ran, base::Reason::None);
    CHECK(deliveryIn(Effects).Attempt == Slow.Trial);
  }
}

TEST_CASE("a trial continues if the entry refuses the attempt in its place") {
  State Node = makeTwoNodeFleet("north");
  AttemptFacts Trial = startTrial(Node);
  fireTimers(Node, HalfTime);
  for (const base::NodeName &Owner : {LocalNode, PeerNode})
    reportPressure(Node, Owner, 1, HalfTime);
  EffectList Effects = fireTimers(Node, NextTime);
  CHECK_FALSE(find<RefuseRequest>(Effects));
  CHECK_FALSE(find<CancelAttempt>(Effects));
  CHECK_FALSE(find<StartAttempt>(Effects));
  Effects = endAttemptWith(Node, NextTime, Trial.Attempt, base::Verdict::Ran,
                           base::Reason::None);
  CHECK(find<DeliverAnswer>(Effects));
}

TEST_CASE("the answer of a slow trial is delivered if it is the first") {
  SlowTrial Slow;
  EffectList Effects = endAttemptWith(Slow.Node, NextTime, Slow.Trial,
                                      base::Verdict::Ran, base::Reason::None);
  CHECK(deliveryIn(Effects).Attempt == Slow.Trial);
  CHECK(cancels(Effects, Slow.Next));
  CHECK(Slow.Node.Entry.RequestByAttempt.size() == 1);
}

TEST_CASE("a slow trial that is streamed to the caller replaces the attempt "
          "beside it") {
  SlowTrial Slow;
  EffectList Effects;
  reduce(Slow.Node, Event{NextTime, {}, AnswerBufferFull{Slow.Trial, 200}},
         Effects);
  CHECK(deliveryIn(Effects).Attempt == Slow.Trial);
  CHECK(deliveryIn(Effects).Server == TrialServer);
  CHECK(cancels(Effects, Slow.Next));
  CHECK_FALSE(cancels(Effects, Slow.Trial));
  CHECK_FALSE(refusalOf(TrialRequest, fireTimers(Slow.Node, Deadline)));
  endAttemptWith(Slow.Node, Deadline, Slow.Trial, base::Verdict::Ran,
                 base::Reason::None);
  CHECK_FALSE(Slow.Node.Entry.Requests.contains(TrialRequest));
}

TEST_CASE("a slow trial that fails leaves the request to the attempt beside "
          "it") {
  SlowTrial Slow;
  EffectList Effects =
      endAttemptWith(Slow.Node, NextTime, Slow.Trial, base::Verdict::MayHaveRun,
                     base::Reason::BackendReset);
  CHECK_FALSE(find<RefuseRequest>(Effects));
  CHECK_FALSE(find<CancelAttempt>(Effects));
  CHECK_FALSE(find<StartAttempt>(
      fireTimers(Slow.Node, NextTime + base::milliseconds(10))));
  Effects = endAttemptWith(Slow.Node, NextTime + base::milliseconds(20),
                           Slow.Next, base::Verdict::Ran, base::Reason::None);
  CHECK(deliveryIn(Effects).Attempt == Slow.Next);
}

TEST_CASE("a request whose trial and other attempt are not answered may have "
          "run") {
  SlowTrial Slow;
  EffectList Effects = fireTimers(Slow.Node, Deadline);
  const RefuseRequest *Refused = refusalOf(TrialRequest, Effects);
  REQUIRE(Refused);
  CHECK(Refused->Reason == base::Reason::DeadlinePassed);
  CHECK(Refused->Verdict == base::Verdict::MayHaveRun);
  CHECK(cancels(Effects, Slow.Trial));
  CHECK(cancels(Effects, Slow.Next));
  CHECK(Slow.Node.Entry.RequestByAttempt.empty());
}

TEST_CASE("a caller's disconnect cancels a slow trial and the attempt beside "
          "it") {
  SlowTrial Slow;
  EffectList Effects;
  reduce(Slow.Node, Event{NextTime, {}, CallerGone{TrialRequest, {}, {}}},
         Effects);
  CHECK(cancels(Effects, Slow.Trial));
  CHECK(cancels(Effects, Slow.Next));
  CHECK(Slow.Node.Entry.RequestByAttempt.size() == 1);
}

TEST_CASE("no attempt is made beside a trial if none is permitted") {
  State Node = makeTwoNodeFleet("north");
  AttemptFacts Trial = startTrial(Node);
  Node.Entry.Requests.at(TrialRequest).Kind.Attempts = 1;
  CHECK(staysAlone(Node));
  CHECK(Trial.TimeLeft > base::milliseconds(450));
  EffectList Effects =
      endAttemptWith(Node, HalfTime + base::milliseconds(100), Trial.Attempt,
                     base::Verdict::Ran, base::Reason::None);
  CHECK(find<DeliverAnswer>(Effects));
}

TEST_CASE("no attempt is made beside a trial while no other server has a free "
          "slot") {
  State Node = makeTwoNodeFleet("north");
  startTrial(Node);
  routing::BackendServer &Alternative = Node.Routing.Servers.at(OtherServer);
  Alternative.ReportedLoad = 1.5;
  Alternative.LoadReportedAt = HalfTime;
  CHECK(staysAlone(Node));
}

// LOST on trayworks-grown: trials were abandoned while owners refused what came
// in their place; a SIGTERM between the two made it a request that was given up
// while its server worked.
TEST_CASE("no attempt is made beside a trial while attempts of its rank are "
          "refused") {
  for (bool OverBudget : {false, true}) {
    State Node = makeTwoNodeFleet("north");
    startTrial(Node);
    admission::RetryBudget &Budget =
        Node.Admission.Budgets[{TestService, TestRank}];
    (OverBudget ? Budget.BudgetRefusedShare : Budget.RefusedShare) = 0.15;
    CHECK(staysAlone(Node));
  }
}

TEST_CASE("a stopping node makes no attempt beside a trial") {
  State Node = makeTwoNodeFleet("north");
  startTrial(Node);
  Node.Self.StopLimit = base::seconds(5);
  EffectList Effects;
  reduce(Node, Event{Now, {}, StopRequested{}}, Effects);
  CHECK(staysAlone(Node));
}

} // namespace currantgauge::core
