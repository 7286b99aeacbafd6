// Checks of an attempt before it runs, when it holds a slot and nothing has
// been sent.
//
//   GuardAnswer Guard = beforeRun(Node, Attempt, Effects);
//   if (Guard.Decision == GuardDecision::Run)
//     send();
#ifndef CURRANTGAUGE_ACTIONS_GUARD_H
#define CURRANTGAUGE_ACTIONS_GUARD_H

#include "currantgauge/admission/queued_attempt.h"
#include "currantgauge/core/effect.h"
#include "currantgauge/core/state.h"

#include <optional>

namespace currantgauge::actions {

// GuardDecision: run the attempt, wait for the store, or end it without a run.
enum class GuardDecision { Run, Wait, Refuse };

// GuardAnswer is the decision and, for Refuse, how the attempt ends.
struct GuardAnswer {
  GuardDecision Decision = GuardDecision::Run;
  core::AttemptOutcome Outcome;
};

// answerKnownAction() returns the outcome of an attempt that needs no slot
// because its action is known here: the kept response, or the reason why it
// can't run. For an action by id without permission, it is the answer of
// answerPermissionQuery(). None if the attempt may wait for a slot.
std::optional<core::AttemptOutcome>
answerKnownAction(core::State &Node, const core::AttemptFacts &Facts,
                  core::EffectList &Effects);

// beforeRun() decides whether an attempt may run now. After Wait, a
// StoreAnswered event starts or ends it.
GuardAnswer beforeRun(core::State &Node,
                      const admission::QueuedAttempt &Attempt,
                      core::EffectList &Effects);

// afterRun() updates claims and quarantine after an attempt that had a slot
// ended.
void afterRun(core::State &Node, const admission::QueuedAttempt &Attempt,
              const core::AttemptOutcome &Outcome, core::EffectList &Effects);

// onActionRound() does the periodic work and sets the timer of the next round:
// it erases old state, confirms crashes of servers that are gone, scans for old
// rows and sends deferred writes.
void onActionRound(core::State &Node, core::EffectList &Effects);

// hasPendingWrites() returns true while a planned stop should wait for writes
// to the store. False from a failed write to the next action round.
bool hasPendingWrites(const core::State &Node);

} // namespace currantgauge::actions

#endif // CURRANTGAUGE_ACTIONS_GUARD_H
