#include "currantgauge/core/request_log.h"

#include <doctest/doctest.h>

#include <string>

namespace currantgauge::core {
namespace {

constexpr std::uint64_t SampledSequence = 2 * LogSampleInterval;
constexpr std::uint64_t UnsampledSequence = SampledSequence + 1;

State makeNode() {
  NodeIdentity Self;
  Self.Name = base::NodeName("a");
  State Node = makeState(Self, 1);
  Node.Now = base::TimePoint{} + base::seconds(100);
  return Node;
}

EntryRequest makeRequest(const State &Node, std::uint64_t Sequence) {
  EntryRequest Request;
  Request.Facts.Request = {7, Sequence};
  Request.Facts.CallerAttempt = "caller's";
  Request.Kind.Aim = base::milliseconds(400);
  Request.ArrivedAt = Node.Now - base::milliseconds(100);
  return Request;
}

admission::QueuedAttempt makeAttempt(const State &Node,
                                     std::uint64_t Sequence) {
  admission::QueuedAttempt Attempt;
  Attempt.Facts.Request = {7, Sequence};
  Attempt.Facts.Attempt = {9, 4};
  Attempt.ArrivedAt = Node.Now - base::milliseconds(20);
  return Attempt;
}

// listEvents() returns the events of all log lines, separated by commas.
std::string listEvents(const EffectList &Effects) {
  std::string Events;
  for (const Effect &Item : Effects)
    if (const auto *Line = std::get_if<LogLine>(&Item))
      Events += (Events.empty() ? "" : ",") + Line->Event;
  return Events;
}

std::string findField(const EffectList &Effects, const std::string &Key) {
  for (const auto &[Name, Value] : std::get<LogLine>(Effects.back()).Fields)
    if (Name == Key)
      return Value;
  return "";
}

std::string logEnd(std::uint64_t Sequence, base::Reason Reason,
                   base::Duration ExtraTime = {}) {
  State Node = makeNode();
  EntryRequest Request = makeRequest(Node, Sequence);
  Request.ArrivedAt = Request.ArrivedAt - ExtraTime;
  EffectList Effects;
  logRequestEnd(Node, Request, base::Verdict::Ran, Reason, Effects);
  return listEvents(Effects);
}

} // namespace

TEST_CASE("all failures and late answers but only sampled successes are "
          "logged") {
  CHECK(logEnd(UnsampledSequence, base::Reason::None) == "");
  CHECK(logEnd(SampledSequence, base::Reason::None) == "request_served");
  CHECK(logEnd(UnsampledSequence, base::Reason::None, base::seconds(1)) ==
        "request_late");
  CHECK(logEnd(UnsampledSequence, base::Reason::QueueFull) == "request_failed");
  CHECK(logEnd(UnsampledSequence, base::Reason::CallerGone) ==
        "request_abandoned");
}

TEST_CASE("a request unanswered for another reason than a close by its caller "
          "is logged with the cause") {
  State Node = makeNode();
  EffectList Effects;
  CallerGone Gone{{7, UnsampledSequence}, ConnectionEnd::CallerClosed};
  logUnanswered(Node, Gone, Effects);
  CHECK(listEvents(Effects) == "");
  Gone.End = ConnectionEnd::WriteTimeout;
  Gone.SinceRead = base::milliseconds(30);
  logUnanswered(Node, Gone, Effects);
  REQUIRE(listEvents(Effects) == "request_unanswered");
  CHECK(findField(Effects, "request") == "7-81");
  CHECK(findField(Effects, "cause") == "write_timeout");
  CHECK(findField(Effects, "decided") == "true");
  CHECK(findField(Effects, "since_read_ms") == "30");
}

TEST_CASE("the log line of an owner's refusal has the request and the queue") {
  State Node = makeNode();
  admission::QueuedAttempt Attempt = makeAttempt(Node, UnsampledSequence);
  Node.Admission.Queues[Attempt.Facts.Service].Length = 12;
  Node.Admission.Queues[Attempt.Facts.Service].OpenSlots = 3;
  AttemptOutcome Outcome;
  Outcome.Verdict = base::Verdict::NotRun;
  Outcome.Reason = base::Reason::QueueFull;
  EffectList Effects;
  logAttemptEnd(Node, Attempt, Outcome, Effects);
  REQUIRE(listEvents(Effects) == "attempt_refused");
  CHECK(findField(Effects, "request") == "7-81");
  CHECK(findField(Effects, "attempt") == "9-4");
  CHECK(findField(Effects, "reason") == "queue_full");
  CHECK(findField(Effects, "held_ms") == "20");
  CHECK(findField(Effects, "waiting") == "12");
  CHECK(findField(Effects, "open_slots") == "3");
}

TEST_CASE("a request sampled at its entry is also sampled at its owner") {
  State Node = makeNode();
  EffectList Effects;
  for (std::uint64_t Sequence : {SampledSequence, UnsampledSequence}) {
    admission::QueuedAttempt Attempt = makeAttempt(Node, Sequence);
    logQueued(Node, Attempt, Effects);
    logStarted(Node, Attempt, Effects);
    Attempt.StartedAt = Node.Now;
    logAttemptEnd(Node, Attempt, AttemptOutcome{base::Verdict::Ran}, Effects);
  }
  CHECK(listEvents(Effects) == "attempt_queued,attempt_started,attempt_served");
}

TEST_CASE("a long wait for a slot is logged for any request") {
  State Node = makeNode();
  admission::QueuedAttempt Attempt = makeAttempt(Node, UnsampledSequence);
  Attempt.ArrivedAt = Node.Now - base::milliseconds(61);
  EffectList Effects;
  logStarted(Node, Attempt, Effects);
  CHECK(listEvents(Effects) == "attempt_waited");
}

} // namespace currantgauge::core
