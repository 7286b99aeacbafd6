#include "currantgauge/core/events_test.h"
#include "currantgauge/core/reduce.h"

#include <doctest/doctest.h>

#include <map>
#include <set>
#include <variant>

namespace currantgauge::core {
namespace {

config::ConfigurationPtr makeConfig() {
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

State makeNodeWithServer() {
  NodeIdentity Self;
  Self.Name = base::NodeName("a");
  Self.Incarnation = base::Incarnation(1);
  State Node = makeState(Self, 7);
  Node.Config.Current = makeConfig();
  EffectList Effects;
  BackendAnnounced Announced;
  Announced.Announcement.Name = base::BackendName("cutlist-1");
  Announced.Announcement.Service = base::ServiceName("cutlist");
  Announced.Announcement.Address = base::NetAddress("127.0.0.1:1");
  Announced.Announcement.Incarnation = base::Incarnation(1);
  reduce(Node, Event{base::TimePoint{1000}, {}, Announced}, Effects);
  return Node;
}

// sendRequestToOwner() lets a request arrive at this node as its entry, and its
// attempt arrive at this node as the owner.
base::AttemptId sendRequestToOwner(State &Node, std::uint64_t Sequence,
                                   std::int64_t Micros, EffectList &Effects) {
  Effects.clear();
  reduce(Node, Event{base::TimePoint{Micros}, {}, makeRequest(Sequence)},
         Effects);
  const StartAttempt *Start = find<StartAttempt>(Effects);
  REQUIRE(Start);
  AttemptArrived AtOwner{Start->Facts};
  reduce(Node, Event{base::TimePoint{Micros}, {}, AtOwner}, Effects);
  return AtOwner.Facts.Attempt;
}

} // namespace

TEST_CASE("a request is sent to its owner, runs in a slot and is answered") {
  State Node = makeNodeWithServer();
  EffectList Effects;
  reduce(Node, Event{base::TimePoint{2000}, {}, makeRequest(1)}, Effects);
  const StartAttempt *Start = find<StartAttempt>(Effects);
  REQUIRE(Start);
  AttemptArrived AtOwner{Start->Facts};
  Effects.clear();
  reduce(Node, Event{base::TimePoint{3000}, {}, AtOwner}, Effects);
  REQUIRE(find<SendToBackend>(Effects));
  ExchangeEnded Ended;
  Ended.Attempt = AtOwner.Facts.Attempt;
  Ended.Outcome.AnyByteSent = true;
  Ended.Outcome.AnswerComplete = true;
  Ended.Outcome.Status = 200;
  Effects.clear();
  reduce(Node, Event{base::TimePoint{4000}, {}, Ended}, Effects);
  const EndAttempt *End = find<EndAttempt>(Effects);
  REQUIRE(End);
  CHECK(End->Outcome.Verdict == base::Verdict::Ran);
  AttemptEnded AtEntry{End->Attempt, End->Outcome};
  Effects.clear();
  reduce(Node, Event{base::TimePoint{5000}, {}, AtEntry}, Effects);
  CHECK(find<DeliverAnswer>(Effects));
  CHECK(Node.Entry.Requests.empty());
  CHECK(Node.Owner.Attempts.empty());
}

TEST_CASE("deadlines of ended requests cause no wake-ups") {
  State Node = makeNodeWithServer();
  EffectList Effects;
  std::set<base::TimePoint> Deadlines;
  for (std::uint64_t I = 1; I <= 100; ++I) {
    base::TimePoint Now{static_cast<std::int64_t>(2000 + 1000 * I)};
    reduce(Node, Event{Now, {}, makeRequest(I)}, Effects);
    reduce(Node, Event{Now, {}, CallerGone{base::RequestId{1, I}}}, Effects);
    Deadlines.insert(Now + base::milliseconds(500));
  }
  CHECK(Node.Entry.Requests.empty());
  base::TimePoint Due = Node.Timers.WakeTime;
  for (; Due < base::TimePoint{2000000}; Due = Node.Timers.WakeTime) {
    CHECK_FALSE(Deadlines.contains(Due));
    reduce(Node, Event{Due, {}, TimerFired{}}, Effects);
  }
}

TEST_CASE("a request in flight is refused exactly at its deadline") {
  State Node = makeNodeWithServer();
  EffectList Effects;
  reduce(Node, Event{base::TimePoint{2000}, {}, makeRequest(1)}, Effects);
  Effects.clear();
  reduce(Node, Event{base::TimePoint{3000}, {}, makeRequest(2)}, Effects);
  reduce(Node,
         Event{base::TimePoint{4000}, {}, CallerGone{base::RequestId{1, 1}}},
         Effects);
  Effects.clear();
  while (!find<RefuseRequest>(Effects)) {
    base::TimePoint Due = Node.Timers.WakeTime;
    REQUIRE(Due <= base::TimePoint{503000});
    Effects.clear();
    reduce(Node, Event{Due, {}, TimerFired{}}, Effects);
  }
  CHECK(Node.Now == base::TimePoint{503000});
  CHECK(find<RefuseRequest>(Effects)->Request == base::RequestId{1, 2});
}

TEST_CASE("a request without an available server is refused as not run") {
  State Node = makeNodeWithServer();
  Node.Routing.Servers.begin()->second.Drained = true;
  EffectList Effects;
  reduce(Node, Event{base::TimePoint{2000}, {}, makeRequest(1)}, Effects);
  const RefuseRequest *Refusal = find<RefuseRequest>(Effects);
  REQUIRE(Refusal);
  CHECK(Refusal->Verdict == base::Verdict::NotRun);
  CHECK(Refusal->Reason == base::Reason::NoBackend);
}

TEST_CASE("a stopping node exits only when nothing is in flight") {
  State Node = makeNodeWithServer();
  EffectList Effects;
  reduce(Node, Event{base::TimePoint{2000}, {}, makeRequest(1)}, Effects);
  reduce(Node, Event{base::TimePoint{2500}, {}, StopRequested{}}, Effects);
  CHECK_FALSE(find<StopProcess>(Effects));
  CallerGone Gone{base::RequestId{1, 1}};
  reduce(Node, Event{base::TimePoint{3000}, {}, Gone}, Effects);
  CHECK(find<StopProcess>(Effects));
}

TEST_CASE("an answer truncated after its first bytes counts as may have run") {
  State Node = makeNodeWithServer();
  EffectList Effects;
  reduce(Node, Event{base::TimePoint{2000}, {}, makeRequest(1)}, Effects);
  base::AttemptId Attempt = find<StartAttempt>(Effects)->Facts.Attempt;
  reduce(Node, Event{base::TimePoint{3000}, {}, AnswerBufferFull{Attempt, 200}},
         Effects);
  AttemptEnded Cut{Attempt, {}};
  Cut.Outcome.Verdict = base::Verdict::MayHaveRun;
  Cut.Outcome.Reason = base::Reason::AnswerCutShort;
  Effects.clear();
  reduce(Node, Event{base::TimePoint{4000}, {}, Cut}, Effects);
  CHECK(Node.Entry.Requests.empty());
  const Measure *Counted = find<Measure>(Effects);
  REQUIRE(Counted);
  CHECK(Counted->Name == Metric::Requests);
  CHECK(Counted->LabelValueB == "may_have_run");
}

TEST_CASE("at its deadline a request is not_run only if it was never sent") {
  State Node = makeNodeWithServer();
  EffectList Effects;
  sendRequestToOwner(Node, 1, 2000, Effects);
  REQUIRE(find<SendToBackend>(Effects));
  base::AttemptId Waiting = sendRequestToOwner(Node, 2, 2000, Effects);
  REQUIRE_FALSE(find<SendToBackend>(Effects));
  Effects.clear();
  // The control thread is late: the deadlines of attempts and requests are
  // handled in one event, without an AttemptEnded event between them.
  reduce(Node, Event{base::TimePoint{900000}, {}, TimerFired{}}, Effects);
  std::map<base::RequestId, RefuseRequest> Refusals;
  for (const Effect &Item : Effects)
    if (const auto *Refusal = std::get_if<RefuseRequest>(&Item))
      Refusals[Refusal->Request] = *Refusal;
  REQUIRE(Refusals.size() == 2);
  CHECK(Refusals[base::RequestId{1, 1}].Verdict == base::Verdict::MayHaveRun);
  CHECK(Refusals[base::RequestId{1, 2}].Verdict == base::Verdict::NotRun);
  REQUIRE(find<EndAttempt>(Effects));
  CHECK(find<EndAttempt>(Effects)->Attempt == Waiting);
  CHECK_FALSE(Node.Owner.Attempts.contains(Waiting));
}

TEST_CASE("an abandoned request leaves the queue if its entry is the owner") {
  State Node = makeNodeWithServer();
  EffectList Effects;
  sendRequestToOwner(Node, 1, 2000, Effects);
  RequestArrived Short = makeRequest(2);
  Short.Facts.TimeLeft = base::milliseconds(50);
  Effects.clear();
  reduce(Node, Event{base::TimePoint{2000}, {}, Short}, Effects);
  AttemptArrived AtOwner{find<StartAttempt>(Effects)->Facts};
  // The owner's deadline for the attempt is later than the entry's.
  AtOwner.Facts.TimeLeft = base::milliseconds(80);
  reduce(Node, Event{base::TimePoint{2000}, {}, AtOwner}, Effects);
  Effects.clear();
  reduce(Node, Event{base::TimePoint{52000}, {}, TimerFired{}}, Effects);
  REQUIRE(find<RefuseRequest>(Effects));
  CHECK(find<RefuseRequest>(Effects)->Verdict == base::Verdict::NotRun);
  CHECK_FALSE(Node.Owner.Attempts.contains(AtOwner.Facts.Attempt));
}

TEST_CASE("nodes with the same incarnation have different attempt ids") {
  auto FirstAttempt = [](std::uint64_t Origin) {
    State Node = makeNodeWithServer();
    Node.Self.Origin = Origin;
    EffectList Effects;
    reduce(Node, Event{base::TimePoint{2000}, {}, makeRequest(1)}, Effects);
    return find<StartAttempt>(Effects)->Facts.Attempt;
  };
  CHECK(FirstAttempt(11) != FirstAttempt(12));
}

TEST_CASE("a stopping node accepts requests until StopLinger has passed") {
  State Node = makeNodeWithServer();
  Node.Self.StopLinger = base::milliseconds(10);
  Node.Self.StopLimit = base::seconds(5);
  EffectList Effects;
  reduce(Node, Event{base::TimePoint{2000}, {}, StopRequested{}}, Effects);
  CHECK_FALSE(find<StopProcess>(Effects));
  reduce(Node, Event{base::TimePoint{3000}, {}, makeRequest(1)}, Effects);
  CHECK(find<StartAttempt>(Effects));
  Effects.clear();
  reduce(Node, Event{base::TimePoint{20000}, {}, makeRequest(2)}, Effects);
  REQUIRE(find<RefuseRequest>(Effects));
  CHECK(find<RefuseRequest>(Effects)->Reason == base::Reason::NodeStopping);
  // Unanswered requests are refused before the process exits.
  Effects.clear();
  reduce(Node, Event{base::TimePoint{4900000}, {}, TimerFired{}}, Effects);
  CHECK(find<RefuseRequest>(Effects));
  CHECK(Node.Entry.Requests.empty());
}

TEST_CASE("a stopping node accepts peers' attempts for part of StopLinger") {
  State Node = makeNodeWithServer();
  Node.Self.StopLinger = base::milliseconds(100);
  Node.Self.StopLimit = base::seconds(5);
  EffectList Effects;
  reduce(Node, Event{base::TimePoint{2000}, {}, StopRequested{}}, Effects);
  auto SendAttempt = [&](std::uint64_t Sequence, std::int64_t Millis) {
    AttemptArrived Arrival;
    Arrival.Facts.Attempt = base::AttemptId{9, Sequence};
    Arrival.Facts.Entry = base::NodeName("b");
    Arrival.Facts.Service = base::ServiceName("cutlist");
    Arrival.Facts.TimeLeft = base::milliseconds(400);
    Effects.clear();
    reduce(Node, Event{base::TimePoint{Millis * 1000}, {}, Arrival}, Effects);
  };
  SendAttempt(1, 30);
  CHECK(find<SendToBackend>(Effects));
  SendAttempt(2, 60);
  CHECK_FALSE(find<SendToBackend>(Effects));
  REQUIRE(find<EndAttempt>(Effects));
  CHECK(find<EndAttempt>(Effects)->Outcome.Reason ==
        base::Reason::NodeStopping);
  CHECK(find<EndAttempt>(Effects)->Outcome.Verdict == base::Verdict::NotRun);
}

TEST_CASE("a stopping node refuses queued attempts of other nodes as not run") {
  State Node = makeNodeWithServer();
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
  CHECK(find<EndAttempt>(Effects)->Outcome.Verdict == base::Verdict::NotRun);
  for (const auto &[Id, Attempt] : Node.Owner.Attempts)
    CHECK_FALSE(Attempt->Server.empty());
}

} // namespace currantgauge::core
