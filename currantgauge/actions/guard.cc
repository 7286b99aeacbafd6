#include "currantgauge/actions/guard.h"

namespace currantgauge::actions {

GuardAnswer beforeRun(ActionState &State,
                      const admission::QueuedAttempt &Attempt,
                      base::TimePoint Now, base::UnixTime Wall,
                      core::EffectList &Effects) {
  return GuardAnswer{};
}

void afterRun(ActionState &State, const admission::QueuedAttempt &Attempt,
              const core::AttemptOutcome &Outcome, base::TimePoint Now,
              base::UnixTime Wall, core::EffectList &Effects) {}

} // namespace currantgauge::actions
