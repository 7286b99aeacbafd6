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

// detectServerCrash() looks at how an exchange ended at the owner and marks the
// outcome. A broken connection is a hint alone: the server's next announcement
// or its silence tells whether its process died.
void detectServerCrash(core::State &Node,
                       const admission::QueuedAttempt &Attempt,
                       const core::BackendOutcome &Seen,
                       core::AttemptOutcome &Outcome,
                       core::EffectList &Effects);

// onServerAnnounced() settles hints by an announcement of the server.
void onServerAnnounced(core::State &Node, const base::BackendName &Server,
                       base::Incarnation Life, core::EffectList &Effects);

// confirmCrashesOfGoneServers() settles hints of servers whose lease has
// passed.
void confirmCrashesOfGoneServers(core::State &Node, core::EffectList &Effects);

// exonerate() clears a suspicion after a whole answer to such a request.
void clearSuspicion(core::State &Node, base::Fingerprint Print);

// eraseOldQuarantine() drops suspicions that no second death confirmed, and
// old clearings.
void eraseOldQuarantine(core::State &Node);

// listQuarantine() and clearQuarantine() answer operators.
core::OperatorReply listQuarantine(const ActionState &State);
core::OperatorReply clearQuarantine(core::State &Node, base::Fingerprint Print);

} // namespace currantgauge::actions

#endif // CURRANTGAUGE_ACTIONS_QUARANTINE_H
