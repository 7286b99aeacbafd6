// What the end of an exchange says of its backend server, at its owner: the
// breaker's count, and whether the server is there at all.
//
//   noteServerWord(Node, Attempt.Server, Outcome, Effects);
#ifndef CURRANTGAUGE_CORE_OWNER_EVIDENCE_H
#define CURRANTGAUGE_CORE_OWNER_EVIDENCE_H

#include "currantgauge/base/ids.h"
#include "currantgauge/core/effect.h"
#include "currantgauge/core/request.h"
#include "currantgauge/core/state.h"

namespace currantgauge::core {

// noteServerWord() takes the outcome of an attempt that held a slot.
void noteServerWord(State &Node, const base::BackendName &Name,
                    const AttemptOutcome &Outcome, EffectList &Effects);

} // namespace currantgauge::core

#endif // CURRANTGAUGE_CORE_OWNER_EVIDENCE_H
