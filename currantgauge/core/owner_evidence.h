// What the end of an exchange says, at its owner: about the attempt, and about
// the backend server, whose circuit breaker it updates and whose absence it
// detects.
//
//   AttemptOutcome Outcome = makeAttemptOutcome(Ended.Outcome);
//   noteExchangeEvidence(Node, Attempt.Server, Outcome, Effects);
#ifndef CURRANTGAUGE_CORE_OWNER_EVIDENCE_H
#define CURRANTGAUGE_CORE_OWNER_EVIDENCE_H

#include "currantgauge/base/ids.h"
#include "currantgauge/core/effect.h"
#include "currantgauge/core/request.h"
#include "currantgauge/core/state.h"

namespace currantgauge::core {

// makeAttemptOutcome() returns the outcome of the attempt that the exchange was
// for.
AttemptOutcome makeAttemptOutcome(const ExchangeOutcome &Exchange);

// noteExchangeEvidence() evaluates the outcome of an exchange with server Name.
void noteExchangeEvidence(State &Node, const base::BackendName &Name,
                          const AttemptOutcome &Outcome, EffectList &Effects);

} // namespace currantgauge::core

#endif // CURRANTGAUGE_CORE_OWNER_EVIDENCE_H
