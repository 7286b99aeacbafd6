#include "currantgauge/core/request_log.h"

#include <doctest/doctest.h>

#include <string>

namespace currantgauge::core {
namespace {

constexpr std::uint64_t Followed = 2 * LogSampleSize;
constexpr std::uint64_t Others = Followed + 1;

State someNode() {
  NodeIdentity Self;
  Self.Name = base::NodeName("a");
  State Node = makeState(Self, 1);
  Node.Now = base::TimePoint{} + base::seconds(100);
  return Node;
}

EntryRequest requestOf(const State &Node, std::uint64_t Sequence) {
  EntryRequest Request;
  Request.Facts.Request = {7, Sequence};
  Request.Facts.CallerAttempt = "caller's";
  Request.Kind.Aim = base::milliseconds(400);
  Request.Arrived = Node.Now - base::milliseconds(100);
  return Request;
}

admission::QueuedAttempt attemptOf(const State &Node, std::uint64_t Sequence) {
  admission::QueuedAttempt Attempt;
  Attempt.Facts.Request = {7, Sequence};
  Attempt.Facts.Attempt = {9, 4};
  Attempt.ArrivedAt = Node.Now - base::milliseconds(20);
  return Attempt;
}

// eventsOf() lists the lines, apart by commas.
std::string eventsOf(const EffectList &Effects) {
  std::string Events;
  for (const Effect &Item : Effects)
    if (const auto *Line = std::get_if<LogLine>(&Item))
      Events += (Events.empty() ? "" : ",") + Line->What;
  return Events;
}

std::string fieldOf(const EffectList &Effects, const std::string &Key) {
  for (const auto &[Name, Value] : std::get<LogLine>(Effects.back()).Fields)
    if (Name == Key)
      return Value;
  return "";
}

std::string endOf(std::uint64_t Sequence, base::Reason Why,
                  base::Duration More = {}) {
  State Node = someNode();
  EntryRequest Request = requestOf(Node, Sequence);
  Request.Arrived = Request.Arrived - More;
  EffectList Effects;
  logRequestEnd(Node, Request, base::Verdict::Ran, Why, Effects);
  return eventsOf(Effects);
}

} // namespace

TEST_CASE("failures and late answers are told, successes of the sample alone") {
  CHECK(endOf(Others, base::Reason::None) == "");
  CHECK(endOf(Followed, base::Reason::None) == "request_served");
  CHECK(endOf(Others, base::Reason::None, base::seconds(1)) == "request_late");
  CHECK(endOf(Others, base::Reason::QueueFull) == "request_failed");
  CHECK(endOf(Others, base::Reason::CallerGone) == "request_abandoned");
}

TEST_CASE("a refusal at the owner names the caller's request and the queue") {
  State Node = someNode();
  admission::QueuedAttempt Attempt = attemptOf(Node, Others);
  Node.Admission.Queues[Attempt.Facts.Service].Length = 12;
  Node.Admission.Queues[Attempt.Facts.Service].OpenSlots = 3;
  AttemptOutcome Outcome;
  Outcome.What = base::Verdict::NotRun;
  Outcome.Why = base::Reason::QueueFull;
  EffectList Effects;
  logAttemptEnd(Node, Attempt, Outcome, Effects);
  REQUIRE(eventsOf(Effects) == "attempt_refused");
  CHECK(fieldOf(Effects, "request") == "7-81");
  CHECK(fieldOf(Effects, "attempt") == "9-4");
  CHECK(fieldOf(Effects, "reason") == "queue_full");
  CHECK(fieldOf(Effects, "held_ms") == "20");
  CHECK(fieldOf(Effects, "waiting") == "12");
  CHECK(fieldOf(Effects, "open_slots") == "3");
}

TEST_CASE("a followed request is followed at its owner too") {
  State Node = someNode();
  EffectList Effects;
  for (std::uint64_t Sequence : {Followed, Others}) {
    admission::QueuedAttempt Attempt = attemptOf(Node, Sequence);
    logQueued(Node, Attempt, Effects);
    logStarted(Node, Attempt, Effects);
    Attempt.StartedAt = Node.Now;
    logAttemptEnd(Node, Attempt, AttemptOutcome{base::Verdict::Ran}, Effects);
  }
  CHECK(eventsOf(Effects) == "attempt_queued,attempt_started,attempt_served");
}

TEST_CASE("a long wait for a slot is told of any request") {
  State Node = someNode();
  admission::QueuedAttempt Attempt = attemptOf(Node, Others);
  Attempt.ArrivedAt = Node.Now - base::milliseconds(61);
  EffectList Effects;
  logStarted(Node, Attempt, Effects);
  CHECK(eventsOf(Effects) == "attempt_waited");
}

} // namespace currantgauge::core
