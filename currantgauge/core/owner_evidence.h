// What the end of an exchange says, at its owner: about the attempt, and about
// the backend server, whose circuit breaker it updates and whose absence it
// detects.
//
//   AttemptOutcome Outcome = makeAttemptOutcome(Ended.Outcome);
//   noteExchangeEvidence(Node, Attempt, Outcome, Effects);
#ifndef CURRANTGAUGE_CORE_OWNER_EVIDENCE_H
#define CURRANTGAUGE_CORE_OWNER_EVIDENCE_H

#include "currantgauge/admission/queued_attempt.h"
#include "currantgauge/core/effect.h"
#include "currantgauge/core/request.h"
#include "currantgauge/core/state.h"

namespace currantgauge::core {

// makeAttemptOutcome() returns the outcome of the attempt that the exchange was
// for.
AttemptOutcome makeAttemptOutcome(const ExchangeOutcome &Exchange);

// noteExchangeEvidence() evaluates the outcome of an attempt's exchange with
// its server. Raises Outcome.Suspicion if it suspects a spell.
void noteExchangeEvidence(State &Node, const admission::QueuedAttempt &Attempt,
                          AttemptOutcome &Outcome, EffectList &Effects);

} // namespace currantgauge::core

#endif // CURRANTGAUGE_CORE_OWNER_EVIDENCE_H
