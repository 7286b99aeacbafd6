// Claims: an action runs at one owner alone, by the row that names it.
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

// startPermitted() notes an action by id whose attempt bears the permission.
GuardAnswer startPermitted(core::State &Node,
                           const admission::QueuedAttempt &Attempt,
                           core::EffectList &Effects);

// finishClaim() learns how an attempt that had a slot ended.
void finishClaim(core::State &Node, const admission::QueuedAttempt &Attempt,
                 const core::AttemptOutcome &Outcome,
                 core::EffectList &Effects);

// answerFromClaim() answers an ask from what this node remembers of its action;
// none when it remembers nothing that decides it.
std::optional<core::AttemptOutcome>
answerFromClaim(core::State &Node, const core::AttemptFacts &Facts,
                core::EffectList &Effects);

// What is known of the write or read of a claim's row. Row: none when there
// is no row.
void onRowWritten(core::State &Node, const std::string &Key,
                  const std::string &ETag, core::EffectList &Effects);
void onRowRead(core::State &Node, const std::string &Key,
               const std::optional<base::StoreRow> &Row,
               core::EffectList &Effects);
void onRowNotWritten(core::State &Node, const std::string &Key,
                     core::EffectList &Effects);

} // namespace currantgauge::actions

#endif // CURRANTGAUGE_ACTIONS_CLAIMS_H
