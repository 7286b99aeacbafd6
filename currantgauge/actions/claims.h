// Claims of non-idempotent actions. An action by key (with an Idempotency-Key)
// runs only at the owner that its row in the platform's table names.
//
//   GuardAnswer Guard = startClaim(Node, Attempt, Effects);
//   ... the exchange ...
//   finishClaim(Node, Attempt, Outcome, Effects);
#ifndef CURRANTGAUGE_ACTIONS_CLAIMS_H
#define CURRANTGAUGE_ACTIONS_CLAIMS_H

#include "currantgauge/actions/guard.h"
#include "currantgauge/actions/state.h"
#include "currantgauge/admission/queued_attempt.h"
#include "currantgauge/core/effect.h"
#include "currantgauge/core/state.h"

#include <optional>
#include <string>

namespace currantgauge::actions {

// startClaim() claims an action by key for an attempt that holds a slot.
GuardAnswer startClaim(core::State &Node,
                       const admission::QueuedAttempt &Attempt,
                       core::EffectList &Effects);

// startPermitted() starts an action by id. An attempt without the id's
// permission is refused with ActionLost.
GuardAnswer startPermitted(core::State &Node,
                           const admission::QueuedAttempt &Attempt,
                           core::EffectList &Effects);

// finishClaim() updates the claim after an attempt that had a slot ended.
void finishClaim(core::State &Node, const admission::QueuedAttempt &Attempt,
                 const core::AttemptOutcome &Outcome,
                 core::EffectList &Effects);

// answerFromClaim() returns the outcome of an attempt whose action is claimed
// or finished at this node. None if no claim decides it.
std::optional<core::AttemptOutcome>
answerFromClaim(core::State &Node, const core::AttemptFacts &Facts,
                core::EffectList &Effects);

// onRowWritten(), onRowRead() and onRowNotWritten() handle the result of a
// store call for a claim's row. Row is empty if the table has no such row, or
// if the read of a new claim's row failed.
void onRowWritten(core::State &Node, const std::string &Key,
                  const std::string &ETag, core::EffectList &Effects);
void onRowRead(core::State &Node, const std::string &Key,
               const std::optional<base::StoreRow> &Row,
               core::EffectList &Effects);
void onRowNotWritten(core::State &Node, const std::string &Key,
                     core::EffectList &Effects);

} // namespace currantgauge::actions

#endif // CURRANTGAUGE_ACTIONS_CLAIMS_H
