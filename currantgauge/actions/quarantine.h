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

namespace currantgauge::actions {

// fingerprintOf() identifies what a request asks for: its service, kind,
// method, path and body hash.
base::Fingerprint fingerprintOf(const core::RequestFacts &Facts,
                                const config::KindSettings &Kind);

// isQuarantined() is true for requests that must not run.
bool isQuarantined(const ActionState &State, base::Fingerprint Print);

// judgeDeath() looks at how an exchange ended at the owner and marks the
// outcome. A broken connection is a hint alone: the server's next announcement
// or its silence tells whether its process died.
void judgeDeath(core::State &Node, const admission::QueuedAttempt &Attempt,
                const core::ExchangeOutcome &Seen,
                core::AttemptOutcome &Outcome, core::EffectList &Effects);

// onServerWord() settles hints by an announcement of the server.
void onServerWord(core::State &Node, const base::BackendName &Server,
                  base::Incarnation Life, core::EffectList &Effects);

// confirmSilentDeaths() settles hints of servers whose lease has passed.
void confirmSilentDeaths(core::State &Node, core::EffectList &Effects);

// exonerate() clears a suspicion after a whole answer to such a request.
void exonerate(core::State &Node, base::Fingerprint Print);

// forgetOldQuarantine() drops suspicions that no second death confirmed, and
// old clearings.
void forgetOldQuarantine(core::State &Node);

// listQuarantine() and clearQuarantine() answer operators.
core::OperatorReply listQuarantine(const ActionState &State);
core::OperatorReply clearQuarantine(core::State &Node, base::Fingerprint Print);

} // namespace currantgauge::actions

#endif // CURRANTGAUGE_ACTIONS_QUARANTINE_H
