#include "currantgauge/actions/guard.h"

namespace currantgauge::actions {

GuardAnswer beforeRun(ActionState &State,
                      const admission::QueuedAttempt &Attempt,
                      base::TimePoint Now, base::UnixTime Wall,
                      core::EffectList &Effects) {
  auto Found = State.Quarantine.find(Attempt.Facts.Print);
  if (Found != State.Quarantine.end() && !Found->second.Cleared)
    return GuardAnswer{GuardDecision::Refuse, base::Reason::Quarantined};
  return GuardAnswer{};
}

void afterRun(ActionState &State, const admission::QueuedAttempt &Attempt,
              const core::AttemptOutcome &Outcome, base::TimePoint Now,
              base::UnixTime Wall, core::EffectList &Effects) {}

} // namespace currantgauge::actions
