// The guard before an attempt runs: the slot is reserved, nothing was sent.
//
//   GuardAnswer Guard = beforeRun(State, Attempt, Now, Wall, Effects);
//   if (Guard.What == GuardDecision::Run) send();
#ifndef CURRANTGAUGE_ACTIONS_GUARD_H
#define CURRANTGAUGE_ACTIONS_GUARD_H

#include "currantgauge/actions/state.h"
#include "currantgauge/admission/queued_attempt.h"
#include "currantgauge/base/units.h"
#include "currantgauge/base/verdict.h"
#include "currantgauge/core/effect.h"

namespace currantgauge::actions {

// GuardDecision says what becomes of an attempt that holds a slot.
enum class GuardDecision { Run, Wait, Refuse };

// GuardAnswer is the decision and, for Refuse, the reason.
struct GuardAnswer {
  GuardDecision What = GuardDecision::Run;
  base::Reason Why = base::Reason::None;
};

// beforeRun() decides whether the attempt may run now. Wait: a StoreAnswered
// event settles it.
GuardAnswer beforeRun(ActionState &State,
                      const admission::QueuedAttempt &Attempt,
                      base::TimePoint Now, base::UnixTime Wall,
                      core::EffectList &Effects);

// afterRun() learns how the exchange of an attempt ended.
void afterRun(ActionState &State, const admission::QueuedAttempt &Attempt,
              const core::AttemptOutcome &Outcome, base::TimePoint Now,
              base::UnixTime Wall, core::EffectList &Effects);

} // namespace currantgauge::actions

#endif // CURRANTGAUGE_ACTIONS_GUARD_H
