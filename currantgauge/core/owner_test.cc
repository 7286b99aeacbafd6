#include "currantgauge/core/owner.h"

#include "currantgauge/core/owner_evidence.h"
#include "currantgauge/core/reduce.h"

#include <doctest/doctest.h>

#include <variant>
#include <vector>

namespace currantgauge::core {
namespace {

const base::ServiceName TestService("cutlist");

config::ConfigurationPtr makeConfig() {
  auto *Config = new config::Configuration;
  Config->Services[TestService].Name = TestService;
  Config->Ranks[base::RankName("normal")].Name = base::RankName("normal");
  return config::ConfigurationPtr(Config);
}

void applyEvent(State &Node, std::int64_t Millis, EventBody Body,
                EffectList &Effects) {
  Effects.clear();
  reduce(Node, Event{base::TimePoint{Millis * 1000}, {}, std::move(Body)},
         Effects);
}

BackendAnnounced makeAnnouncement(routing::BackendPhase Phase) {
  BackendAnnounced Announced;
  Announced.Announcement.Name = base::BackendName("cutlist-1");
  Announced.Announcement.Service = TestService;
  Announced.Announcement.Incarnation = base::Incarnation(1);
  Announced.Announcement.Phase = Phase;
  return Announced;
}

State makeNodeWithOneSlot() {
  NodeIdentity Self;
  Self.Name = base::NodeName("a");
  Self.Incarnation = base::Incarnation(1);
  State Node = makeState(Self, 7);
  Node.Config.Current = makeConfig();
  EffectList Effects;
  applyEvent(Node, 1, makeAnnouncement(routing::BackendPhase::Ready), Effects);
  return Node;
}

AttemptArrived makeAttempt(std::uint64_t Sequence) {
  AttemptArrived Arrival;
  Arrival.Facts.Attempt = base::AttemptId{2, Sequence};
  Arrival.Facts.Service = TestService;
  Arrival.Facts.Kind = base::KindName("read");
  Arrival.Facts.Rank = base::RankName("normal");
  Arrival.Facts.TimeLeft = base::milliseconds(500);
  return Arrival;
}

template <typename T> std::vector<T> all(const EffectList &Effects) {
  std::vector<T> Found;
  for (const Effect &Item : Effects)
    if (const T *Typed = std::get_if<T>(&Item))
      Found.push_back(*Typed);
  return Found;
}

ExchangeEnded makeExchangeEnd(std::uint64_t Sequence, std::uint32_t Status) {
  ExchangeEnded Ended;
  Ended.Attempt = base::AttemptId{2, Sequence};
  Ended.Outcome.AnyByteSent = true;
  Ended.Outcome.AnswerComplete = true;
  Ended.Outcome.Status = Status;
  return Ended;
}

} // namespace

TEST_CASE("a cancelled attempt leaves the queue immediately") {
  State Node = makeNodeWithOneSlot();
  EffectList Effects;
  for (std::uint64_t Sequence : {1, 2, 3})
    applyEvent(Node, 10, makeAttempt(Sequence), Effects);
  CHECK(Node.Admission.Queues[TestService].Length == 2);
  applyEvent(Node, 11, AttemptCancelled{base::AttemptId{2, 2}}, Effects);
  REQUIRE(all<EndAttempt>(Effects).size() == 1);
  CHECK(all<EndAttempt>(Effects)[0].Outcome.Verdict == base::Verdict::NotRun);
  CHECK(Node.Admission.Queues[TestService].Length == 1);
  applyEvent(Node, 20, makeExchangeEnd(1, 200), Effects);
  REQUIRE(all<SendToBackend>(Effects).size() == 1);
  CHECK(all<SendToBackend>(Effects)[0].Attempt.Sequence == 3);
}

TEST_CASE("a cancelled exchange frees its slot for the next attempt") {
  State Node = makeNodeWithOneSlot();
  EffectList Effects;
  applyEvent(Node, 10, makeAttempt(1), Effects);
  applyEvent(Node, 10, makeAttempt(2), Effects);
  applyEvent(Node, 11, AttemptCancelled{base::AttemptId{2, 1}}, Effects);
  REQUIRE(all<CancelExchange>(Effects).size() == 1);
  ExchangeEnded Ended = makeExchangeEnd(1, 0);
  Ended.Outcome.AnswerComplete = false;
  Ended.Outcome.Reason = base::Reason::CallerGone;
  applyEvent(Node, 11, Ended, Effects);
  REQUIRE(all<SendToBackend>(Effects).size() == 1);
  CHECK(all<SendToBackend>(Effects)[0].Attempt.Sequence == 2);
  CHECK(Node.Routing.Servers.begin()->second.Running == 1);
}

TEST_CASE("an attempt that waited too long is refused before its deadline") {
  State Node = makeNodeWithOneSlot();
  EffectList Effects;
  applyEvent(Node, 10, makeAttempt(1), Effects);
  applyEvent(Node, 110, makeExchangeEnd(1, 200),
             Effects); // 100 ms of service time
  applyEvent(Node, 200, makeAttempt(2), Effects);
  applyEvent(Node, 200, makeAttempt(3), Effects);
  applyEvent(Node, 600, TimerFired{},
             Effects); // deadline 700 minus service time 100
  REQUIRE(all<EndAttempt>(Effects).size() == 1);
  CHECK(all<EndAttempt>(Effects)[0].Attempt.Sequence == 3);
  CHECK(all<EndAttempt>(Effects)[0].Outcome.Verdict == base::Verdict::NotRun);
  CHECK(all<EndAttempt>(Effects)[0].Outcome.Reason ==
        base::Reason::DeadlineTooShort);
  CHECK(all<CancelExchange>(Effects).empty());
  applyEvent(Node, 700, TimerFired{}, Effects);
  CHECK(all<CancelExchange>(Effects).size() == 1);
}

TEST_CASE("a server that sheds load is paused for its Retry-After") {
  State Node = makeNodeWithOneSlot();
  EffectList Effects;
  applyEvent(Node, 10, makeAttempt(1), Effects);
  applyEvent(Node, 10, makeAttempt(2), Effects);
  ExchangeEnded Shed = makeExchangeEnd(1, 503);
  Shed.Outcome.RetryAfter = base::milliseconds(200);
  applyEvent(Node, 20, Shed, Effects);
  REQUIRE(all<EndAttempt>(Effects).size() == 1);
  CHECK(all<EndAttempt>(Effects)[0].Outcome.Reason ==
        base::Reason::BackendShed);
  CHECK(all<SendToBackend>(Effects).empty());
  applyEvent(Node, 220, TimerFired{}, Effects);
  CHECK(all<SendToBackend>(Effects).size() == 1);
}

TEST_CASE("attempts queued for a leaving server are refused as not run") {
  State Node = makeNodeWithOneSlot();
  EffectList Effects;
  applyEvent(Node, 10, makeAttempt(1), Effects);
  applyEvent(Node, 10, makeAttempt(2), Effects);
  applyEvent(Node, 11, makeAnnouncement(routing::BackendPhase::Leaving),
             Effects);
  REQUIRE(all<EndAttempt>(Effects).size() == 1);
  CHECK(all<EndAttempt>(Effects)[0].Attempt.Sequence == 2);
  CHECK(all<EndAttempt>(Effects)[0].Outcome.Reason ==
        base::Reason::BackendLeaving);
  applyEvent(Node, 12, makeAttempt(3), Effects);
  REQUIRE(all<EndAttempt>(Effects).size() == 1);
  CHECK(all<EndAttempt>(Effects)[0].Outcome.Reason == base::Reason::NoBackend);
}

TEST_CASE("after a failure non-idempotent work goes to another free server") {
  for (bool OtherIsFree : {true, false})
    for (bool Idempotent : {true, false}) {
      CAPTURE(OtherIsFree);
      CAPTURE(Idempotent);
      State Node = makeNodeWithOneSlot();
      EffectList Effects;
      applyEvent(Node, 10, makeAttempt(1), Effects);
      applyEvent(Node, 20, makeExchangeEnd(1, 500), Effects);
      AttemptArrived Next = makeAttempt(2);
      Next.Facts.Idempotent = Idempotent;
      Next.Facts.ReturnOnLongWait = OtherIsFree;
      applyEvent(Node, 30, Next, Effects);
      bool Refused = OtherIsFree && !Idempotent;
      REQUIRE(all<EndAttempt>(Effects).size() == (Refused ? 1 : 0));
      CHECK(all<SendToBackend>(Effects).size() == (Refused ? 0 : 1));
      if (Refused) {
        CHECK(all<EndAttempt>(Effects)[0].Outcome.Verdict ==
              base::Verdict::NotRun);
        CHECK(all<EndAttempt>(Effects)[0].Outcome.Reason ==
              base::Reason::BackendSuspect);
      }
    }
}

TEST_CASE("where servers fail in spells a failure is reported and outlasts the "
          "breaker's doubt") {
  for (bool Uneven : {false, true}) {
    CAPTURE(Uneven);
    State Node = makeNodeWithOneSlot();
    Node.Routing.UnevenServers = Uneven;
    EffectList Effects;
    applyEvent(Node, 1000, makeAttempt(1), Effects);
    applyEvent(Node, 1020, makeExchangeEnd(1, 500), Effects);
    REQUIRE(all<EndAttempt>(Effects).size() == 1);
    CHECK((all<EndAttempt>(Effects)[0].Outcome.Suspicion > 0.3) == Uneven);
    AttemptArrived Once = makeAttempt(2);
    Once.Facts.Idempotent = false;
    Once.Facts.ReturnOnLongWait = true;
    applyEvent(Node, 3100, Once, Effects);
    CHECK(all<SendToBackend>(Effects).size() == (Uneven ? 0 : 1));
  }
}

TEST_CASE("a suspected server runs what has no alternative until its breaker "
          "opens") {
  State Node = makeNodeWithOneSlot();
  Node.Routing.UnevenServers = true;
  EffectList Effects;
  for (std::uint64_t Sequence = 1; Sequence <= 4; ++Sequence) {
    AttemptArrived Once = makeAttempt(Sequence);
    Once.Facts.Idempotent = false;
    std::int64_t Millis = 1000 + static_cast<std::int64_t>(Sequence) * 20;
    applyEvent(Node, Millis, Once, Effects);
    CHECK(all<SendToBackend>(Effects).size() == (Sequence <= 3 ? 1 : 0));
    applyEvent(Node, Millis + 10, makeExchangeEnd(Sequence, 500), Effects);
  }
}

TEST_CASE("a repeat beyond the owner's part of the fleet's bound isn't sent") {
  State Node = makeNodeWithOneSlot();
  Node.Self.RetryBound.Ratio = 0.2;
  Node.Self.RetryBound.Slack = 1;
  Node.Self.FirstStart = true;
  EffectList Effects;
  for (std::uint64_t Sequence : {1, 2}) {
    AttemptArrived Repeat = makeAttempt(Sequence);
    Repeat.Facts.Number = 2;
    applyEvent(Node, 10, Repeat, Effects);
    CHECK(all<SendToBackend>(Effects).size() == (Sequence == 1 ? 1 : 0));
    if (Sequence == 1)
      applyEvent(Node, 20, makeExchangeEnd(1, 200), Effects);
  }
  REQUIRE(all<EndAttempt>(Effects).size() == 1);
  CHECK(all<EndAttempt>(Effects)[0].Outcome.Verdict == base::Verdict::NotRun);
  CHECK(all<EndAttempt>(Effects)[0].Outcome.Reason ==
        base::Reason::RetryBudget);
}

TEST_CASE("a restarted owner sends no repeats from the slack for a window") {
  State Node = makeNodeWithOneSlot();
  Node.Self.RetryBound.Ratio = 0.2;
  Node.Self.RetryBound.Slack = 10;
  EffectList Effects;
  applyEvent(Node, 5, Started{}, Effects);
  applyEvent(Node, 6, makeAnnouncement(routing::BackendPhase::Ready), Effects);
  AttemptArrived Repeat = makeAttempt(1);
  Repeat.Facts.Number = 2;
  applyEvent(Node, 9000, Repeat, Effects);
  CHECK(all<SendToBackend>(Effects).empty());
  applyEvent(Node, 10100, makeAnnouncement(routing::BackendPhase::Ready),
             Effects);
  Repeat.Facts.Attempt.Sequence = 2;
  applyEvent(Node, 10100, Repeat, Effects);
  CHECK(all<SendToBackend>(Effects).size() == 1);
}

TEST_CASE("a timeout of an attempt that started too late for its kind is no "
          "evidence of a spell") {
  for (bool TooLate : {false, true}) {
    CAPTURE(TooLate);
    State Node = makeNodeWithOneSlot();
    Node.Routing.UnevenServers = true;
    Node.Now = base::TimePoint{5000000};
    admission::QueuedAttempt Attempt;
    Attempt.Server = base::BackendName("cutlist-1");
    Attempt.Facts.Service = TestService;
    Attempt.ExpectedTime = base::milliseconds(300);
    Attempt.Deadline = Node.Now;
    Attempt.StartedAt = Node.Now - base::milliseconds(TooLate ? 299 : 300);
    AttemptOutcome Outcome;
    Outcome.Reason = base::Reason::BackendTimeout;
    EffectList Effects;
    noteExchangeEvidence(Node, Attempt, Outcome, Effects);
    CHECK(routing::isSpellSuspected(Node.Routing.Spells[Attempt.Server],
                                    Node.Routing.SpellPriors[TestService],
                                    Node.Now) == !TooLate);
    CHECK((Outcome.Suspicion > 0) == !TooLate);
  }
}

} // namespace currantgauge::core
