#include "currantgauge/core/owner_evidence.h"

#include "currantgauge/membership/rumours.h"
#include "currantgauge/routing/breaker.h"
#include "currantgauge/routing/registry.h"
#include "currantgauge/routing/spell.h"

#include <algorithm>
#include <string>

namespace currantgauge::core {
namespace {

constexpr std::uint32_t HttpMisdirected = 421;
constexpr std::uint32_t HttpTooManyRequests = 429;
constexpr std::uint32_t HttpFirstServerError = 500;
constexpr std::uint32_t HttpServiceUnavailable = 503;

// Below the level at which entries eject a server (see ejection.h): a spell
// ends by itself, sooner than a hold-off.
constexpr double MaxReportedSpell = 0.9;

// No process listens at the server's address, or a different server does: the
// server is absent until it announces itself again.
void markAbsentServer(State &Node, const base::BackendName &Name,
                      base::Reason Reason, EffectList &Effects) {
  if (Reason != base::Reason::BackendRefusedConnection &&
      Reason != base::Reason::BackendMisdirected)
    return;
  if (!routing::markAbsent(Node.Routing, Name))
    return;
  const routing::BackendRecord &Record = Node.Routing.Servers.at(Name).Record;
  membership::queueRumour(Node.Membership, Record);
  Effects.push_back(
      LogLine{LogLevel::Warn,
              "backend_server_absent",
              {{"server", Name.Value},
               {"service", Record.Service.Value},
               {"reason", std::string(base::reasonName(Reason))}}});
}

// BreakerSignal is the input of a circuit breaker for the end of an exchange.
enum class BreakerSignal { Success, Failure, None };

// Only error answers, resets and truncated answers count as failures. Timeouts
// and silent connections don't: they are judged by latency evidence, which
// needs further exchanges, and an open breaker would stop those. A refused
// connection or a wrong server marks the server absent instead.
BreakerSignal classifyForBreaker(const AttemptOutcome &Outcome) {
  if (Outcome.RequestAtFault)
    return BreakerSignal::None;
  switch (Outcome.Reason) {
  case base::Reason::None:
    return BreakerSignal::Success;
  case base::Reason::BackendError:
  case base::Reason::BackendReset:
  case base::Reason::AnswerCutShort:
    return BreakerSignal::Failure;
  default:
    return BreakerSignal::None;
  }
}

void updateBreaker(State &Node, const base::BackendName &Name,
                   const AttemptOutcome &Outcome, EffectList &Effects) {
  routing::Breaker &Breaker = Node.Routing.Breakers[Name];
  BreakerSignal Signal = classifyForBreaker(Outcome);
  if (Signal == BreakerSignal::None)
    return routing::noteInconclusiveEnd(Breaker);
  if (!routing::noteEnd(Breaker, Signal == BreakerSignal::Failure, Node.Now))
    return;
  bool Opened = Breaker.Phase != routing::BreakerPhase::Closed;
  Effects.push_back(LogLine{
      Opened ? LogLevel::Warn : LogLevel::Info,
      Opened ? "breaker_opened" : "breaker_closed",
      {{"server", Name.Value},
       {"reason", std::string(base::reasonName(Outcome.Reason))},
       {"status", std::to_string(Outcome.Status)},
       {"pause_ms", std::to_string(base::toMillis(Breaker.OpenDuration))}}});
}

bool isSilence(const AttemptOutcome &Outcome) {
  return Outcome.Reason == base::Reason::BackendSilent ||
         Outcome.Reason == base::Reason::BackendTimeout;
}

// A healthy server would have needed longer, too.
bool startedTooLate(const admission::QueuedAttempt &Attempt,
                    const AttemptOutcome &Outcome) {
  return Outcome.Reason == base::Reason::BackendTimeout &&
         Attempt.Deadline - Attempt.StartedAt < Attempt.ExpectedTime;
}

// A server may be silent in a spell instead of failing its requests.
BreakerSignal classifyForSpell(const admission::QueuedAttempt &Attempt,
                               const AttemptOutcome &Outcome) {
  if (startedTooLate(Attempt, Outcome))
    return BreakerSignal::None;
  return isSilence(Outcome) && !Outcome.RequestAtFault
             ? BreakerSignal::Failure
             : classifyForBreaker(Outcome);
}

void updateSpell(State &Node, const admission::QueuedAttempt &Attempt,
                 AttemptOutcome &Outcome, EffectList &Effects) {
  routing::SpellBelief &Belief = Node.Routing.Spells[Attempt.Server];
  routing::SpellPrior &Prior = Node.Routing.SpellPriors[Attempt.Facts.Service];
  BreakerSignal Signal = classifyForSpell(Attempt, Outcome);
  if (Signal == BreakerSignal::None)
    return routing::noteInconclusiveExchange(Belief);
  bool WasSuspected = routing::isSpellSuspected(Belief, Prior, Node.Now);
  routing::noteExchange(Belief, Prior,
                        {Attempt.StartedAt, Node.Now,
                         Signal == BreakerSignal::Failure,
                         Attempt.Facts.Number > 1 || isSilence(Outcome)});
  bool Suspected = routing::isSpellSuspected(Belief, Prior, Node.Now);
  double Probability =
      routing::computeSpellProbability(Belief, Prior, Node.Now);
  // Successes report the tests' suspicion alone: entries eject no server while
  // many others report one.
  if (Suspected && Signal == BreakerSignal::Failure)
    Outcome.Suspicion =
        std::max(Outcome.Suspicion, std::min(Probability, MaxReportedSpell));
  if (Suspected == WasSuspected)
    return;
  Effects.push_back(
      LogLine{LogLevel::Info,
              Suspected ? "spell_suspected" : "spell_over",
              {{"server", Attempt.Server.Value},
               {"reason", std::string(base::reasonName(Outcome.Reason))},
               {"status", std::to_string(Outcome.Status)},
               {"probability", std::to_string(Probability)}}});
}

} // namespace

// The request did not run if no byte was sent or the server confirmed it
// (ConfirmedNotRun). Otherwise a complete answer confirms that it ran; without
// one, it may have run.
AttemptOutcome makeAttemptOutcome(const ExchangeOutcome &Exchange) {
  AttemptOutcome Outcome;
  Outcome.Reason = Exchange.Reason;
  Outcome.Status = Exchange.Status;
  Outcome.RetryAfter = Exchange.RetryAfter;
  Outcome.AnswerBytes = Exchange.AnswerBytes;
  Outcome.Verdict = !Exchange.AnyByteSent     ? base::Verdict::NotRun
                    : Exchange.AnswerComplete ? base::Verdict::Ran
                                              : base::Verdict::MayHaveRun;
  if (Exchange.ConfirmedNotRun) {
    Outcome.Verdict = base::Verdict::NotRun;
    Outcome.Reason = Exchange.Status == HttpMisdirected
                         ? base::Reason::BackendMisdirected
                         : base::Reason::BackendShed;
    return Outcome;
  }
  if (!Exchange.AnswerComplete)
    return Outcome;
  bool Sheds = Exchange.Status == HttpTooManyRequests ||
               (Exchange.Status == HttpServiceUnavailable &&
                Exchange.RetryAfter > base::Duration{});
  if (Sheds)
    Outcome.Reason = base::Reason::BackendShed;
  else if (Exchange.Status >= HttpFirstServerError)
    Outcome.Reason = base::Reason::BackendError;
  return Outcome;
}

void noteExchangeEvidence(State &Node, const admission::QueuedAttempt &Attempt,
                          AttemptOutcome &Outcome, EffectList &Effects) {
  markAbsentServer(Node, Attempt.Server, Outcome.Reason, Effects);
  if (Node.Routing.UnevenServers)
    updateSpell(Node, Attempt, Outcome, Effects);
  updateBreaker(Node, Attempt.Server, Outcome, Effects);
}

} // namespace currantgauge::core
