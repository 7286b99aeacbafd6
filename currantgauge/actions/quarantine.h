// Requests that were running when backend servers died. After two different
// servers such a request is quarantined in the fleet.
//
//   if (isQuarantined(State, Print)) refuse(Reason::Quarantined);
#ifndef CURRANTGAUGE_ACTIONS_QUARANTINE_H
#define CURRANTGAUGE_ACTIONS_QUARANTINE_H

#include "currantgauge/actions/state.h"
#include "currantgauge/admission/queued_attempt.h"
#include "currantgauge/base/ids.h"
#include "currantgauge/config/model.h"
#include "currantgauge/core/effect.h"
#include "currantgauge/core/operator.h"
#include "currantgauge/core/state.h"

#include <vector>

namespace currantgauge::actions {

// fingerprintOf() identifies what a request asks for: its service, kind,
// method, path and body hash.
base::Fingerprint fingerprintOf(const core::RequestFacts &Facts,
                                const config::KindSettings &Kind);

// isQuarantined() is true for requests that must not run.
bool isQuarantined(const ActionState &State, base::Fingerprint Print);

// noteDeath() notes that a server died while it ran the request.
void noteDeath(core::State &Node, base::Fingerprint Print,
               const config::KindSettings &Kind,
               const base::BackendName &Server, core::EffectList &Effects);

// judgeDeath() does so at the owner and marks the outcome.
void judgeDeath(core::State &Node, const admission::QueuedAttempt &Attempt,
                const core::BackendOutcome &Seen, core::AttemptOutcome &Outcome,
                core::EffectList &Effects);

// exonerate() clears suspicion after a whole answer to such a request.
void exonerate(ActionState &State, base::Fingerprint Print);

// mergeQuarantine() takes in what another node knows.
void mergeQuarantine(core::State &Node,
                     const std::vector<membership::QuarantineRecord> &Records,
                     core::EffectList &Effects);

// forgetOldSuspects() drops suspicions that no second death confirmed.
void forgetOldSuspects(core::State &Node);

// listQuarantine() and clearQuarantine() answer operators.
core::OperatorReply listQuarantine(const ActionState &State);
core::OperatorReply clearQuarantine(core::State &Node, base::Fingerprint Print);

} // namespace currantgauge::actions

#endif // CURRANTGAUGE_ACTIONS_QUARANTINE_H
