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

const base::ServiceName Service("cutlist");
const base::KindName Kind("read");
const base::RankName Rank("normal");
const base::NodeName Self("a");
const base::NodeName Other("b");
constexpr std::uint32_t Requests = 100;
constexpr base::TimePoint Now{1000000};

config::ConfigurationPtr sampleConfig() {
  auto *Config = new config::Configuration;
  Config->Services[Service].Name = Service;
  config::KindSettings &Read = Config->Kinds[Kind];
  Read.Name = Kind;
  Read.Service = Service;
  Read.Rank = Rank;
  Read.Deadline = base::milliseconds(500);
  Config->Ranks[Rank].Name = Rank;
  Config->Routes["all"] = config::RouteSettings{"all", "", "/", Kind};
  config::indexRoutes(*Config);
  return config::ConfigurationPtr(Config);
}

// fleetOfTwo() returns node a, which owns a server and knows one of node b.
State fleetOfTwo(const std::string &OtherRegion) {
  NodeIdentity Identity;
  Identity.Name = Self;
  Identity.Region = base::RegionName("north");
  Identity.Life = base::Incarnation(1);
  State Node = makeState(Identity, 7);
  Node.Config.Current = sampleConfig();
  EffectList Effects;
  BackendAnnounced Word;
  Word.Word.Name = base::BackendName("cutlist-1");
  Word.Word.Service = Service;
  Word.Word.Incarnation = base::Incarnation(1);
  Word.Word.Slots = 4;
  reduce(Node, Event{base::TimePoint{1000}, {}, Word}, Effects);
  routing::BackendRecord Record =
      Node.Routing.Servers.at(Word.Word.Name).Record;
  Record.Name = base::BackendName("cutlist-2");
  Record.Owner = Other;
  Record.Region = base::RegionName(OtherRegion);
  routing::mergeRecord(Node.Routing, Record, base::TimePoint{2000});
  return Node;
}

// press() has the entry know that its own queue refuses a part of the rank.
void press(State &Node) {
  Pressure Load;
  Load.Owner = Self;
  Load.Service = Service;
  Load.RefusedOrder = 0;
  Load.RefusedShare = 0.3;
  admission::notePressure(Node.Admission, Load, Now);
}

RequestArrived sampleRequest(std::uint64_t Sequence) {
  RequestArrived Arrival;
  Arrival.Facts.Request = base::RequestId{1, Sequence};
  Arrival.Facts.Method = "GET";
  Arrival.Facts.Path = "/lists/7";
  return Arrival;
}

template <typename What> const What *find(const EffectList &Effects) {
  for (const Effect &Item : Effects)
    if (const What *Found = std::get_if<What>(&Item))
      return Found;
  return nullptr;
}

// countOwn() sends requests and returns how many stay with node a.
std::uint32_t countOwn(State &Node) {
  std::uint32_t Own = 0;
  for (std::uint32_t I = 0; I < Requests; ++I) {
    EffectList Effects;
    reduce(Node, Event{Now, {}, sampleRequest(I + 1)}, Effects);
    if (const auto *Start = find<StartAttempt>(Effects))
      Own += Start->Owner == Self ? 1 : 0;
  }
  return Own;
}

// startTrial() sends a request to a server that was out of traffic.
AttemptFacts startTrial(State &Node) {
  base::BackendName Sick("cutlist-1");
  EffectList Effects;
  reduce(Node, Event{Now, {}, sampleRequest(1)}, Effects);
  routing::RoutingSet &Set = Node.Routing.Sets.at(Service);
  Set.Servers[Sick].Current = routing::Standing::Trial;
  Set.Servers[Sick].Since = Now;
  Set.OutOfRotation = {Sick};
  std::erase(Set.SameRegion, Sick);
  Effects.clear();
  reduce(Node, Event{Now, {}, sampleRequest(2)}, Effects);
  const StartAttempt *Trial = find<StartAttempt>(Effects);
  REQUIRE(Trial);
  REQUIRE(Trial->Facts.Preferred == Sick);
  return Trial->Facts;
}

// Of the request's 500 ms.
constexpr base::TimePoint HalfTime = Now + base::milliseconds(250);

} // namespace

TEST_CASE("an owner that refuses part of the rank is passed over") {
  State Node = fleetOfTwo("north");
  CHECK(countOwn(Node) > 0);
  Node = fleetOfTwo("north");
  press(Node);
  CHECK(countOwn(Node) == 0);
}

TEST_CASE("while the whole rank is shed its work stays spread") {
  State Node = fleetOfTwo("north");
  press(Node);
  Node.Admission.Budgets[{Service, Rank}].RefusedShare = 0.5;
  CHECK(countOwn(Node) > Requests / 4);
}

TEST_CASE("an owner that refuses a part is not passed over for the link") {
  State Node = fleetOfTwo("south");
  press(Node);
  std::uint32_t Own = countOwn(Node);
  CHECK(Own > Requests / 2);
  CHECK(Own < Requests);
}

TEST_CASE("a trial that hangs leaves its request time for another server") {
  State Node = fleetOfTwo("north");
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
  CHECK(Next->Facts.Preferred == base::BackendName("cutlist-2"));
  CHECK(Next->Facts.TimeLeft > base::milliseconds(200));
}

TEST_CASE("a trial is not broken off where no other attempt may follow") {
  State Node = fleetOfTwo("north");
  AttemptFacts Trial = startTrial(Node);
  Node.Entry.Requests.at(base::RequestId{1, 2}).Kind.Attempts = 1;
  EffectList Effects;
  reduce(Node, Event{HalfTime, {}, TimerFired{}}, Effects);
  CHECK_FALSE(find<CancelAttempt>(Effects));
  CHECK(Trial.TimeLeft > base::milliseconds(450));
  // Its answer still counts.
  AttemptEnded Ended{Trial.Attempt, {}};
  Ended.Outcome.What = base::Verdict::Ran;
  reduce(Node, Event{HalfTime + base::milliseconds(100), {}, Ended}, Effects);
  CHECK(find<DeliverAnswer>(Effects));
}

TEST_CASE("a trial is not broken off while no other server has room") {
  State Node = fleetOfTwo("north");
  startTrial(Node);
  routing::BackendServer &Near =
      Node.Routing.Servers.at(base::BackendName("cutlist-2"));
  Near.ReportedLoad = 1.5;
  Near.LoadReportedAt = HalfTime;
  EffectList Effects;
  reduce(Node, Event{HalfTime, {}, TimerFired{}}, Effects);
  CHECK_FALSE(find<CancelAttempt>(Effects));
}

TEST_CASE("a stopping node breaks off no trial") {
  State Node = fleetOfTwo("north");
  startTrial(Node);
  Node.Self.StopLimit = base::seconds(5);
  EffectList Effects;
  reduce(Node, Event{Now, {}, StopRequested{}}, Effects);
  reduce(Node, Event{HalfTime, {}, TimerFired{}}, Effects);
  CHECK_FALSE(find<CancelAttempt>(Effects));
}

// An owner takes a new connection, which is dear, for what failed at a server.
TEST_CASE("an attempt after a refusal counts as the first, one after a failure "
          "does not") {
  for (base::Verdict What :
       {base::Verdict::NotRun, base::Verdict::MayHaveRun}) {
    State Node = fleetOfTwo("north");
    EffectList Effects;
    reduce(Node, Event{Now, {}, sampleRequest(1)}, Effects);
    AttemptEnded Ended{find<StartAttempt>(Effects)->Facts.Attempt, {}};
    Ended.Outcome.What = What;
    Ended.Outcome.Why = What == base::Verdict::NotRun
                            ? base::Reason::BackendSuspect
                            : base::Reason::BackendReset;
    Effects.clear();
    reduce(Node, Event{Now, {}, Ended}, Effects);
    reduce(Node, Event{Now + base::milliseconds(10), {}, TimerFired{}},
           Effects);
    const StartAttempt *Next = find<StartAttempt>(Effects);
    REQUIRE(Next);
    CHECK(Next->Facts.Number == (What == base::Verdict::NotRun ? 1 : 2));
  }
}

TEST_CASE("an answer over the link is charged to the budget and counted") {
  State Node = fleetOfTwo("south");
  auto *Config = new config::Configuration(*Node.Config.Current);
  Config->Link.BytesPerSecond = base::ByteCount{1000000};
  Node.Config.Current = config::ConfigurationPtr(Config);
  Node.Routing.Servers.at(base::BackendName("cutlist-1")).Drained = true;
  EffectList Effects;
  reduce(Node, Event{Now, {}, sampleRequest(1)}, Effects);
  const StartAttempt *Start = find<StartAttempt>(Effects);
  REQUIRE(Start);
  CHECK(Start->Owner == Other);
  CHECK(Node.Admission.Link.Spent ==
        static_cast<double>(admission::AttemptOverhead.Bytes));
  AttemptEnded Ended{Start->Facts.Attempt, {}};
  Ended.Outcome.What = base::Verdict::Ran;
  Ended.Outcome.AnswerBytes = base::ByteCount{70000};
  Effects.clear();
  reduce(Node, Event{Now, {}, Ended}, Effects);
  CHECK(Node.Admission.Link.Spent ==
        static_cast<double>(admission::AttemptOverhead.Bytes) + 70000);
  double Received = 0;
  for (const Effect &Item : Effects)
    if (const auto *Counted = std::get_if<Measure>(&Item))
      if (Counted->Which == Metric::LinkBytes && Counted->LabelA == "south" &&
          Counted->LabelB == "received")
        Received += Counted->Amount;
  CHECK(Received == 70000);
}

TEST_CASE("an attempt that is handed back goes to the other server at once") {
  State Node = fleetOfTwo("north");
  EffectList Effects;
  reduce(Node, Event{Now, {}, sampleRequest(1)}, Effects);
  Node.Routing.Servers.at(base::BackendName("cutlist-1")).Running = 1;
  Effects.clear();
  reduce(Node, Event{Now, {}, sampleRequest(2)}, Effects);
  const StartAttempt *First = find<StartAttempt>(Effects);
  REQUIRE(First);
  REQUIRE(First->Owner == Other);
  CHECK(First->Facts.HandsBack);
  base::BackendName Before = First->Facts.Preferred;
  AttemptEnded Ended;
  Ended.Attempt = First->Facts.Attempt;
  Ended.Outcome.What = base::Verdict::NotRun;
  Ended.Outcome.Why = base::Reason::LongWait;
  Ended.Outcome.Load.Owner = First->Owner;
  Ended.Outcome.Load.Service = Service;
  Ended.Outcome.Load.Busy = 3;
  Effects.clear();
  reduce(Node, Event{Now + base::milliseconds(1), {}, Ended}, Effects);
  const StartAttempt *Second = find<StartAttempt>(Effects);
  REQUIRE(Second);
  CHECK(Second->Facts.Preferred != Before);
  // The first one is known to be full: there is nowhere else to go.
  CHECK_FALSE(Second->Facts.HandsBack);
  CHECK(Node.Entry.Requests.rbegin()->second.Attempts == 1);
}

} // namespace currantgauge::core
