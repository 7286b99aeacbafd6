// Finished actions and their answers, kept for later asks within bounds of
// age, count and bytes.
//
//   keepAnswer(Node, Claim, AnswerBytes, Effects);
//   evictOldAnswers(Node, Effects);
#ifndef CURRANTGAUGE_ACTIONS_KEPT_ANSWERS_H
#define CURRANTGAUGE_ACTIONS_KEPT_ANSWERS_H

#include "currantgauge/actions/state.h"
#include "currantgauge/base/units.h"
#include "currantgauge/core/effect.h"
#include "currantgauge/core/state.h"

#include <string>

namespace currantgauge::actions {

// AnswerKeepTime is how long a first answer is repeated.
constexpr base::Duration AnswerKeepTime = base::minutes(10);
// KeptAnswerLimit is the largest answer that is kept.
constexpr base::ByteCount KeptAnswerLimit{64 * 1024};

// keepAnswer() keeps the answer of a finished claim unless it is too large.
void keepAnswer(core::State &Node, Claim &Of, base::ByteCount Size,
                core::EffectList &Effects);

// retain() notes that a claim is remembered from now on, within the bounds.
void retain(core::State &Node, const std::string &Key, base::AttemptId Attempt);

// evictOldAnswers() drops what is beyond the bounds.
void evictOldAnswers(core::State &Node, core::EffectList &Effects);

} // namespace currantgauge::actions

#endif // CURRANTGAUGE_ACTIONS_KEPT_ANSWERS_H
