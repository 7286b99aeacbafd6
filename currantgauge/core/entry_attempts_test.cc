#include "currantgauge/core/entry_attempts.h"

#include "currantgauge/admission/link.h"
#include "currantgauge/admission/pressure.h"
#include "currantgauge/core/reduce.h"
#include "currantgauge/routing/registry.h"

#include <doctest/doctest.h>

#include <cstdint>
#include <string>
#include <variant>

namespace currantgauge::core {
namespace {

const base::ServiceName TestService("cutlist");
const base::KindName TestKind("read");
const base::RankName TestRank("normal");
const base::NodeName LocalNode("a");
const base::NodeName PeerNode("b");
constexpr std::uint32_t RequestCount = 100;
constexpr base::TimePoint Now{1000000};

config::ConfigurationPtr makeConfig() {
  auto *Config = new config::Configuration;
  Config->Services[TestService].Name = TestService;
  config::KindSettings &Read = Config->Kinds[TestKind];
  Read.Name = TestKind;
  Read.Service = TestService;
  Read.Rank = TestRank;
  Read.Deadline = base::milliseconds(500);
  Config->Ranks[TestRank].Name = TestRank;
  Config->Routes["all"] = config::RouteSettings{"all", "", "/", TestKind};
  config::indexRoutes(*Config);
  return config::ConfigurationPtr(Config);
}

// makeTwoNodeFleet() returns the state of node a, which owns one server and
// knows another one, owned by node b.
State makeTwoNodeFleet(const std::string &OtherRegion) {
  NodeIdentity Identity;
  Identity.Name = LocalNode;
  Identity.Region = base::RegionName("north");
  Identity.Incarnation = base::Incarnation(1);
  State Node = makeState(Identity, 7);
  Node.Config.Current = makeConfig();
  EffectList Effects;
  BackendAnnounced Announced;
  Announced.Announcement.Name = base::BackendName("cutlist-1");
  Announced.Announcement.Service = TestService;
  Announced.Announcement.Incarnation = base::Incarnation(1);
  Announced.Announcement.Slots = 4;
  reduce(Node, Event{base::TimePoint{1000}, {}, Announced}, Effects);
  routing::BackendRecord Record =
      Node.Routing.Servers.at(Announced.Announcement.Name).Record;
  Record.Name = base::BackendName("cutlist-2");
  Record.Owner = PeerNode;
  Record.Region = base::RegionName(OtherRegion);
  routing::mergeRecord(Node.Routing, Record, base::TimePoint{2000});
  return Node;
}

// reportLocalPressure() reports to the entry of node a that node a, as the
// owner, refuses part of the rank.
void reportLocalPressure(State &Node) {
  Pressure Load;
  Load.Owner = LocalNode;
  Load.Service = TestService;
  Load.RankOrder = 0;
  Load.RefusedShare = 0.3;
  admission::notePressure(Node.Admission, Load, Now);
}

RequestArrived makeRequest(std::uint64_t Sequence) {
  RequestArrived Arrival;
  Arrival.Facts.Request = base::RequestId{1, Sequence};
  Arrival.Facts.Method = "GET";
  Arrival.Facts.Path = "/lists/7";
  return Arrival;
}

template <typename T> const T *find(const EffectList &Effects) {
  for (const Effect &Item : Effects)
    if (const T *Found = std::get_if<T>(&Item))
      return Found;
  return nullptr;
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

// startTrial() sends two requests. The first one builds the routing set, in
// which cutlist-1 is then made ready for a trial; the second one is that trial.
// Returns the facts of its attempt.
AttemptFacts startTrial(State &Node) {
  base::BackendName Ejected("cutlist-1");
  EffectList Effects;
  reduce(Node, Event{Now, {}, makeRequest(1)}, Effects);
  routing::RoutingSet &Set = Node.Routing.Sets.at(TestService);
  Set.Servers[Ejected].Current = routing::Standing::Trial;
  Set.Servers[Ejected].Since = Now;
  Set.OutOfRotation = {Ejected};
  std::erase(Set.SameRegion, Ejected);
  Effects.clear();
  reduce(Node, Event{Now, {}, makeRequest(2)}, Effects);
  const StartAttempt *Trial = find<StartAttempt>(Effects);
  REQUIRE(Trial);
  REQUIRE(Trial->Facts.PreferredServer == Ejected);
  return Trial->Facts;
}

// Half of the request's timeout of 500 ms.
constexpr base::TimePoint HalfTime = Now + base::milliseconds(250);

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

TEST_CASE("a trial that hangs leaves enough time to try another server") {
  State Node = makeTwoNodeFleet("north");
  AttemptFacts Trial = startTrial(Node);
  EffectList Effects;
  reduce(Node, Event{HalfTime, {}, TimerFired{}}, Effects);
  const CancelAttempt *Cancelled = find<CancelAttempt>(Effects);
  REQUIRE(Cancelled);
  CHECK(Cancelled->Attempt == Trial.Attempt);
  CHECK_FALSE(find<RefuseRequest>(Effects));
  reduce(Node, Event{HalfTime + base::milliseconds(10), {}, TimerFired{}},
         Effects);
  const StartAttempt *Next = find<StartAttempt>(Effects);
  REQUIRE(Next);
  CHECK(Next->Facts.PreferredServer == base::BackendName("cutlist-2"));
  CHECK(Next->Facts.TimeLeft > base::milliseconds(200));
}

TEST_CASE("a trial is not abandoned if no other attempt is permitted") {
  State Node = makeTwoNodeFleet("north");
  AttemptFacts Trial = startTrial(Node);
  Node.Entry.Requests.at(base::RequestId{1, 2}).Kind.Attempts = 1;
  EffectList Effects;
  reduce(Node, Event{HalfTime, {}, TimerFired{}}, Effects);
  CHECK_FALSE(find<CancelAttempt>(Effects));
  CHECK(Trial.TimeLeft > base::milliseconds(450));
  // The answer of the trial is still delivered.
  AttemptEnded Ended{Trial.Attempt, {}};
  Ended.Outcome.Verdict = base::Verdict::Ran;
  reduce(Node, Event{HalfTime + base::milliseconds(100), {}, Ended}, Effects);
  CHECK(find<DeliverAnswer>(Effects));
}

TEST_CASE("a trial is not abandoned while no other server has a free slot") {
  State Node = makeTwoNodeFleet("north");
  startTrial(Node);
  routing::BackendServer &Alternative =
      Node.Routing.Servers.at(base::BackendName("cutlist-2"));
  Alternative.ReportedLoad = 1.5;
  Alternative.LoadReportedAt = HalfTime;
  EffectList Effects;
  reduce(Node, Event{HalfTime, {}, TimerFired{}}, Effects);
  CHECK_FALSE(find<CancelAttempt>(Effects));
}

// LOST on trayworks-grown: trials were abandoned while owners refused what came
// in their place; a SIGTERM between the two made it a request that was given up
// while its server worked.
TEST_CASE("a trial is not abandoned while attempts of its rank are refused") {
  for (bool OverBudget : {false, true}) {
    State Node = makeTwoNodeFleet("north");
    startTrial(Node);
    admission::RetryBudget &Budget =
        Node.Admission.Budgets[{TestService, TestRank}];
    (OverBudget ? Budget.BudgetRefusedShare : Budget.RefusedShare) = 0.15;
    EffectList Effects;
    reduce(Node, Event{HalfTime, {}, TimerFired{}}, Effects);
    CHECK_FALSE(find<CancelAttempt>(Effects));
  }
}

TEST_CASE("a stopping node abandons no trial") {
  State Node = makeTwoNodeFleet("north");
  startTrial(Node);
  Node.Self.StopLimit = base::seconds(5);
  EffectList Effects;
  reduce(Node, Event{Now, {}, StopRequested{}}, Effects);
  reduce(Node, Event{HalfTime, {}, TimerFired{}}, Effects);
  CHECK_FALSE(find<CancelAttempt>(Effects));
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
