// Evidence about a backend server from the end of an exchange, at its owner:
// updates the circuit breaker and detects that the server is absent.
//
//   noteExchangeEvidence(Node, Attempt.Server, Outcome, Effects);
#ifndef CURRANTGAUGE_CORE_OWNER_EVIDENCE_H
#define CURRANTGAUGE_CORE_OWNER_EVIDENCE_H

#include "currantgauge/base/ids.h"
#include "currantgauge/core/effect.h"
#include "currantgauge/core/request.h"
#include "currantgauge/core/state.h"

namespace currantgauge::core {

// noteExchangeEvidence() evaluates the outcome of an exchange with server Name.
void noteExchangeEvidence(State &Node, const base::BackendName &Name,
                          const AttemptOutcome &Outcome, EffectList &Effects);

} // namespace currantgauge::core

#endif // CURRANTGAUGE_CORE_OWNER_EVIDENCE_H
