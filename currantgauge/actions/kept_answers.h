// Finished actions and their responses, kept for repeated requests within
// bounds of age, count and bytes.
//
//   keepAnswer(Node, ActionClaim, AnswerBytes, Effects);
//   evictOldAnswers(Node, Effects);
#ifndef CURRANTGAUGE_ACTIONS_KEPT_ANSWERS_H
#define CURRANTGAUGE_ACTIONS_KEPT_ANSWERS_H

#include "currantgauge/actions/state.h"
#include "currantgauge/base/units.h"
#include "currantgauge/core/effect.h"
#include "currantgauge/core/state.h"

#include <string>

namespace currantgauge::actions {

// AnswerKeepTime is how long a finished claim and its response are kept at
// most.
constexpr base::Duration AnswerKeepTime = base::minutes(10);
// KeptAnswerLimit is the size of the largest response that is kept.
constexpr base::ByteCount KeptAnswerLimit{64 * 1024};

// keepAnswer() keeps the response of a finished claim unless it is too large.
void keepAnswer(core::State &Node, Claim &ActionClaim, base::ByteCount Size,
                core::EffectList &Effects);

// retain() records that a claim ended now. It is kept within the bounds, unless
// it is claimed again.
void retain(core::State &Node, const std::string &Key, base::AttemptId Attempt);

// evictOldAnswers() erases claims and responses beyond the bounds.
void evictOldAnswers(core::State &Node, core::EffectList &Effects);

} // namespace currantgauge::actions

#endif // CURRANTGAUGE_ACTIONS_KEPT_ANSWERS_H
