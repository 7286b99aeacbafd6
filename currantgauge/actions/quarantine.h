// Quarantine of requests that crash backend servers. A request that was running
// when two different servers crashed, or at three crashes of one server, is
// refused in the whole fleet.
//
//   if (isQuarantined(State, Fingerprint)) refuse(Reason::Quarantined);
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

// fingerprintOf() returns a hash of a request's service, kind, method, path and
// body.
base::Fingerprint fingerprintOf(const core::RequestFacts &Facts,
                                const config::KindSettings &Kind);

// isQuarantined() returns true for requests that must not run.
bool isQuarantined(const ActionState &State, base::Fingerprint Fingerprint);

// detectServerCrash() marks the outcome of an exchange that ended as if the
// server had crashed after at least one byte was sent, and records a CrashHint.
// RequestAtFault is set if the request is also suspected of crashing another
// server. A broken connection is no proof, so the hint awaits confirmation: the
// server's next announcement, or its silence, shows whether the process
// crashed.
void detectServerCrash(core::State &Node,
                       const admission::QueuedAttempt &Attempt,
                       const core::ExchangeOutcome &Exchange,
                       core::AttemptOutcome &Outcome,
                       core::EffectList &Effects);

// onServerAnnounced() confirms hints by a server's announcement of a later
// incarnation. One of the same incarnation refutes them, unless it comes so
// soon that it may have been sent before the crash.
void onServerAnnounced(core::State &Node, const base::BackendName &Server,
                       base::Incarnation Incarnation,
                       core::EffectList &Effects);

// confirmCrashesOfGoneServers() confirms hints about servers that are gone, for
// instance because their lease has expired.
void confirmCrashesOfGoneServers(core::State &Node, core::EffectList &Effects);

// clearSuspicion() is called after a complete response to a request. It removes
// the request's crash hints and clears its suspicion unless that is confirmed.
void clearSuspicion(core::State &Node, base::Fingerprint Fingerprint);

// eraseOldQuarantine() erases old suspicions that no second crash confirmed,
// and old cleared records.
void eraseOldQuarantine(core::State &Node);

// listQuarantine() and clearQuarantine() answer operator commands.
core::OperatorReply listQuarantine(const ActionState &State);
core::OperatorReply clearQuarantine(core::State &Node,
                                    base::Fingerprint Fingerprint);

} // namespace currantgauge::actions

#endif // CURRANTGAUGE_ACTIONS_QUARANTINE_H
