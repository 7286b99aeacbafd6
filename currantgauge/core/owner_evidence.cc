#include "currantgauge/core/owner_evidence.h"

#include "currantgauge/membership/rumours.h"
#include "currantgauge/routing/breaker.h"
#include "currantgauge/routing/registry.h"

#include <string>

namespace currantgauge::core {
namespace {

constexpr std::uint32_t HttpMisdirected = 421;
constexpr std::uint32_t HttpTooManyRequests = 429;
constexpr std::uint32_t HttpFirstServerError = 500;
constexpr std::uint32_t HttpServiceUnavailable = 503;

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

void noteExchangeEvidence(State &Node, const base::BackendName &Name,
                          const AttemptOutcome &Outcome, EffectList &Effects) {
  markAbsentServer(Node, Name, Outcome.Reason, Effects);
  updateBreaker(Node, Name, Outcome, Effects);
}

} // namespace currantgauge::core
