#include "currantgauge/core/reduce.h"

#include <doctest/doctest.h>

#include <map>
#include <set>
#include <variant>

namespace currantgauge::core {
namespace {

config::ConfigurationPtr sampleConfig() {
  auto *Config = new config::Configuration;
  Config->Services[base::ServiceName("cutlist")].Name =
      base::ServiceName("cutlist");
  config::KindSettings &Read = Config->Kinds[base::KindName("read")];
  Read.Name = base::KindName("read");
  Read.Service = base::ServiceName("cutlist");
  Read.Rank = base::RankName("normal");
  Read.Deadline = base::milliseconds(500);
  Config->Ranks[base::RankName("normal")].Name = base::RankName("normal");
  Config->Routes["all"] =
      config::RouteSettings{"all", "", "/", base::KindName("read")};
  config::indexRoutes(*Config);
  return config::ConfigurationPtr(Config);
}

State nodeWithServer() {
  NodeIdentity Self;
  Self.Name = base::NodeName("a");
  Self.Life = base::Incarnation(1);
  State Node = makeState(Self, 7);
  Node.Config.Current = sampleConfig();
  EffectList Effects;
  BackendAnnounced Word;
  Word.Word.Name = base::BackendName("cutlist-1");
  Word.Word.Service = base::ServiceName("cutlist");
  Word.Word.Address = base::NetAddress("127.0.0.1:1");
  Word.Word.Incarnation = base::Incarnation(1);
  reduce(Node, Event{base::TimePoint{1000}, {}, Word}, Effects);
  return Node;
}

template <typename What> const What *find(const EffectList &Effects) {
  for (const Effect &Item : Effects)
    if (const What *Found = std::get_if<What>(&Item))
      return Found;
  return nullptr;
}

RequestArrived arrival(std::uint64_t Sequence) {
  RequestArrived Arrival;
  Arrival.Facts.Request = base::RequestId{1, Sequence};
  Arrival.Facts.Method = "GET";
  Arrival.Facts.Path = "/lists/7";
  return Arrival;
}

// place() lets a request arrive at this node as its entry and as its owner.
base::AttemptId place(State &Node, std::uint64_t Sequence, std::int64_t Micros,
                      EffectList &Effects) {
  Effects.clear();
  reduce(Node, Event{base::TimePoint{Micros}, {}, arrival(Sequence)}, Effects);
  const StartAttempt *Start = find<StartAttempt>(Effects);
  REQUIRE(Start);
  AttemptArrived AtOwner{Start->Facts};
  reduce(Node, Event{base::TimePoint{Micros}, {}, AtOwner}, Effects);
  return AtOwner.Facts.Attempt;
}

} // namespace

TEST_CASE("a request goes to its owner, into a slot and back to its caller") {
  State Node = nodeWithServer();
  EffectList Effects;
  reduce(Node, Event{base::TimePoint{2000}, {}, arrival(1)}, Effects);
  const StartAttempt *Start = find<StartAttempt>(Effects);
  REQUIRE(Start);
  AttemptArrived AtOwner{Start->Facts};
  Effects.clear();
  reduce(Node, Event{base::TimePoint{3000}, {}, AtOwner}, Effects);
  REQUIRE(find<SendToBackend>(Effects));
  BackendEnded Ended;
  Ended.Attempt = AtOwner.Facts.Attempt;
  Ended.Outcome.AnyByteSent = true;
  Ended.Outcome.AnswerWhole = true;
  Ended.Outcome.Status = 200;
  Effects.clear();
  reduce(Node, Event{base::TimePoint{4000}, {}, Ended}, Effects);
  const EndAttempt *End = find<EndAttempt>(Effects);
  REQUIRE(End);
  CHECK(End->Outcome.What == base::Verdict::Ran);
  AttemptEnded AtEntry{End->Attempt, End->Outcome};
  Effects.clear();
  reduce(Node, Event{base::TimePoint{5000}, {}, AtEntry}, Effects);
  CHECK(find<DeliverAnswer>(Effects));
  CHECK(Node.Entry.Requests.empty());
  CHECK(Node.Owner.Attempts.empty());
}

TEST_CASE("deadlines of ended requests wake nobody") {
  State Node = nodeWithServer();
  EffectList Effects;
  std::set<base::TimePoint> Deadlines;
  for (std::uint64_t I = 1; I <= 100; ++I) {
    base::TimePoint Now{static_cast<std::int64_t>(2000 + 1000 * I)};
    reduce(Node, Event{Now, {}, arrival(I)}, Effects);
    reduce(Node, Event{Now, {}, CallerGone{base::RequestId{1, I}}}, Effects);
    Deadlines.insert(Now + base::milliseconds(500));
  }
  CHECK(Node.Entry.Requests.empty());
  base::TimePoint Due = Node.Timers.Announced;
  for (; Due < base::TimePoint{2000000}; Due = Node.Timers.Announced) {
    CHECK_FALSE(Deadlines.contains(Due));
    reduce(Node, Event{Due, {}, TimerFired{}}, Effects);
  }
}

TEST_CASE("the deadline of a request in flight wakes the node in time") {
  State Node = nodeWithServer();
  EffectList Effects;
  reduce(Node, Event{base::TimePoint{2000}, {}, arrival(1)}, Effects);
  Effects.clear();
  reduce(Node, Event{base::TimePoint{3000}, {}, arrival(2)}, Effects);
  reduce(Node,
         Event{base::TimePoint{4000}, {}, CallerGone{base::RequestId{1, 1}}},
         Effects);
  Effects.clear();
  while (!find<RefuseRequest>(Effects)) {
    base::TimePoint Due = Node.Timers.Announced;
    REQUIRE(Due <= base::TimePoint{503000});
    Effects.clear();
    reduce(Node, Event{Due, {}, TimerFired{}}, Effects);
  }
  CHECK(Node.Now == base::TimePoint{503000});
  CHECK(find<RefuseRequest>(Effects)->Request == base::RequestId{1, 2});
}

TEST_CASE("a request that no server can take is refused as not run") {
  State Node = nodeWithServer();
  Node.Routing.Servers.begin()->second.Drained = true;
  EffectList Effects;
  reduce(Node, Event{base::TimePoint{2000}, {}, arrival(1)}, Effects);
  const RefuseRequest *Refusal = find<RefuseRequest>(Effects);
  REQUIRE(Refusal);
  CHECK(Refusal->What == base::Verdict::NotRun);
  CHECK(Refusal->Why == base::Reason::NoBackend);
}

TEST_CASE("a stopping node ends only when nothing is in flight") {
  State Node = nodeWithServer();
  EffectList Effects;
  reduce(Node, Event{base::TimePoint{2000}, {}, arrival(1)}, Effects);
  reduce(Node, Event{base::TimePoint{2500}, {}, StopRequested{}}, Effects);
  CHECK_FALSE(find<StopProcess>(Effects));
  CallerGone Gone{base::RequestId{1, 1}};
  reduce(Node, Event{base::TimePoint{3000}, {}, Gone}, Effects);
  CHECK(find<StopProcess>(Effects));
}

TEST_CASE("an answer cut short after its first bytes counts as may have run") {
  State Node = nodeWithServer();
  EffectList Effects;
  reduce(Node, Event{base::TimePoint{2000}, {}, arrival(1)}, Effects);
  base::AttemptId Attempt = find<StartAttempt>(Effects)->Facts.Attempt;
  reduce(Node, Event{base::TimePoint{3000}, {}, AnswerBuffered{Attempt, 200}},
         Effects);
  AttemptEnded Cut{Attempt, {}};
  Cut.Outcome.What = base::Verdict::MayHaveRun;
  Cut.Outcome.Why = base::Reason::AnswerCutShort;
  Effects.clear();
  reduce(Node, Event{base::TimePoint{4000}, {}, Cut}, Effects);
  CHECK(Node.Entry.Requests.empty());
  const Measure *Counted = find<Measure>(Effects);
  REQUIRE(Counted);
  CHECK(Counted->Which == Metric::Requests);
  CHECK(Counted->LabelB == "may_have_run");
}

TEST_CASE("at its deadline a request is not_run only if it never left here") {
  State Node = nodeWithServer();
  EffectList Effects;
  place(Node, 1, 2000, Effects);
  REQUIRE(find<SendToBackend>(Effects));
  base::AttemptId Waiting = place(Node, 2, 2000, Effects);
  REQUIRE_FALSE(find<SendToBackend>(Effects));
  Effects.clear();
  // The control thread is late: the deadlines of attempts and requests are due
  // in one turn, and no AttemptEnded came between.
  reduce(Node, Event{base::TimePoint{900000}, {}, TimerFired{}}, Effects);
  std::map<base::RequestId, RefuseRequest> Refusals;
  for (const Effect &Item : Effects)
    if (const auto *One = std::get_if<RefuseRequest>(&Item))
      Refusals[One->Request] = *One;
  REQUIRE(Refusals.size() == 2);
  CHECK(Refusals[base::RequestId{1, 1}].What == base::Verdict::MayHaveRun);
  CHECK(Refusals[base::RequestId{1, 2}].What == base::Verdict::NotRun);
  REQUIRE(find<EndAttempt>(Effects));
  CHECK(find<EndAttempt>(Effects)->Attempt == Waiting);
  CHECK_FALSE(Node.Owner.Attempts.contains(Waiting));
}

TEST_CASE("a request that is given up leaves the queue of its own node") {
  State Node = nodeWithServer();
  EffectList Effects;
  place(Node, 1, 2000, Effects);
  RequestArrived Short = arrival(2);
  Short.Facts.TimeLeft = base::milliseconds(50);
  Effects.clear();
  reduce(Node, Event{base::TimePoint{2000}, {}, Short}, Effects);
  AttemptArrived AtOwner{find<StartAttempt>(Effects)->Facts};
  // An owner whose own deadline for the attempt is later.
  AtOwner.Facts.TimeLeft = base::milliseconds(80);
  reduce(Node, Event{base::TimePoint{2000}, {}, AtOwner}, Effects);
  Effects.clear();
  reduce(Node, Event{base::TimePoint{52000}, {}, TimerFired{}}, Effects);
  REQUIRE(find<RefuseRequest>(Effects));
  CHECK(find<RefuseRequest>(Effects)->What == base::Verdict::NotRun);
  CHECK_FALSE(Node.Owner.Attempts.contains(AtOwner.Facts.Attempt));
}

TEST_CASE("nodes that start in one millisecond name their attempts apart") {
  auto FirstAttempt = [](std::uint64_t Origin) {
    State Node = nodeWithServer();
    Node.Self.Origin = Origin;
    EffectList Effects;
    reduce(Node, Event{base::TimePoint{2000}, {}, arrival(1)}, Effects);
    return find<StartAttempt>(Effects)->Facts.Attempt;
  };
  CHECK(FirstAttempt(11) != FirstAttempt(12));
}

TEST_CASE("a stopping node serves its callers while it lingers") {
  State Node = nodeWithServer();
  Node.Self.StopLinger = base::milliseconds(10);
  Node.Self.StopLimit = base::seconds(5);
  EffectList Effects;
  reduce(Node, Event{base::TimePoint{2000}, {}, StopRequested{}}, Effects);
  CHECK_FALSE(find<StopProcess>(Effects));
  reduce(Node, Event{base::TimePoint{3000}, {}, arrival(1)}, Effects);
  CHECK(find<StartAttempt>(Effects));
  Effects.clear();
  reduce(Node, Event{base::TimePoint{20000}, {}, arrival(2)}, Effects);
  REQUIRE(find<RefuseRequest>(Effects));
  CHECK(find<RefuseRequest>(Effects)->Why == base::Reason::NodeStopping);
  // What still waits gets an answer before the process ends.
  Effects.clear();
  reduce(Node, Event{base::TimePoint{4900000}, {}, TimerFired{}}, Effects);
  CHECK(find<RefuseRequest>(Effects));
  CHECK(Node.Entry.Requests.empty());
}

TEST_CASE("a stopping node takes other nodes' work for a part of its linger") {
  State Node = nodeWithServer();
  Node.Self.StopLinger = base::milliseconds(100);
  Node.Self.StopLimit = base::seconds(5);
  EffectList Effects;
  reduce(Node, Event{base::TimePoint{2000}, {}, StopRequested{}}, Effects);
  auto Arrives = [&](std::uint64_t Sequence, std::int64_t Millis) {
    AttemptArrived Arrival;
    Arrival.Facts.Attempt = base::AttemptId{9, Sequence};
    Arrival.Facts.Entry = base::NodeName("b");
    Arrival.Facts.Service = base::ServiceName("cutlist");
    Arrival.Facts.TimeLeft = base::milliseconds(400);
    Effects.clear();
    reduce(Node, Event{base::TimePoint{Millis * 1000}, {}, Arrival}, Effects);
  };
  Arrives(1, 30);
  CHECK(find<SendToBackend>(Effects));
  Arrives(2, 60);
  CHECK_FALSE(find<SendToBackend>(Effects));
  REQUIRE(find<EndAttempt>(Effects));
  CHECK(find<EndAttempt>(Effects)->Outcome.Why == base::Reason::NodeStopping);
  CHECK(find<EndAttempt>(Effects)->Outcome.What == base::Verdict::NotRun);
}

TEST_CASE("what waits at a stopping node for other nodes can run elsewhere") {
  State Node = nodeWithServer();
  Node.Self.StopLinger = base::milliseconds(100);
  Node.Self.StopLimit = base::seconds(5);
  EffectList Effects;
  for (std::uint64_t Sequence = 1; Sequence <= 20; ++Sequence) {
    AttemptArrived Arrival;
    Arrival.Facts.Attempt = base::AttemptId{9, Sequence};
    Arrival.Facts.Entry = base::NodeName("b");
    Arrival.Facts.Service = base::ServiceName("cutlist");
    Arrival.Facts.TimeLeft = base::seconds(4);
    reduce(Node, Event{base::TimePoint{2000}, {}, Arrival}, Effects);
  }
  reduce(Node, Event{base::TimePoint{3000}, {}, StopRequested{}}, Effects);
  Effects.clear();
  reduce(Node, Event{base::TimePoint{110000}, {}, TimerFired{}}, Effects);
  REQUIRE(find<EndAttempt>(Effects));
  CHECK(find<EndAttempt>(Effects)->Outcome.What == base::Verdict::NotRun);
  for (const auto &[Id, Attempt] : Node.Owner.Attempts)
    CHECK_FALSE(Attempt->Server.empty());
}

} // namespace currantgauge::core
