// The guard before an attempt runs: the slot is reserved, nothing was sent.
//
//   GuardAnswer Guard = beforeRun(Node, Attempt, Effects);
//   if (Guard.What == GuardDecision::Run) send();
#ifndef CURRANTGAUGE_ACTIONS_GUARD_H
#define CURRANTGAUGE_ACTIONS_GUARD_H

#include "currantgauge/admission/queued_attempt.h"
#include "currantgauge/core/effect.h"
#include "currantgauge/core/state.h"

#include <optional>

namespace currantgauge::actions {

// GuardDecision says what becomes of an attempt that holds a slot.
enum class GuardDecision { Run, Wait, Refuse };

// GuardAnswer is the decision and, for Refuse, how the attempt ends.
struct GuardAnswer {
  GuardDecision Decision = GuardDecision::Run;
  core::AttemptOutcome Outcome;
};

// answerKnownAction() ends an attempt without a slot when its action is known
// here: by its answer, or by why it can't run. None: it may wait for a slot.
std::optional<core::AttemptOutcome>
answerKnownAction(core::State &Node, const core::AttemptFacts &Facts,
                  core::EffectList &Effects);

// beforeRun() decides whether the attempt may run now. Wait: a StoreAnswered
// event settles it.
GuardAnswer beforeRun(core::State &Node,
                      const admission::QueuedAttempt &Attempt,
                      core::EffectList &Effects);

// afterRun() learns how an attempt ended that had a slot.
void afterRun(core::State &Node, const admission::QueuedAttempt &Attempt,
              const core::AttemptOutcome &Outcome, core::EffectList &Effects);

// onActionRound() does the regular work: old answers, old rows, late writes.
void onActionRound(core::State &Node, core::EffectList &Effects);

// hasPendingWrites() is true while a planned stop should wait for the store.
bool hasPendingWrites(const core::State &Node);

} // namespace currantgauge::actions

#endif // CURRANTGAUGE_ACTIONS_GUARD_H
