#include "currantgauge/admission/caller_cost.h"

#include "currantgauge/admission/pressure.h"

#include <algorithm>
#include <cstdint>

namespace currantgauge::admission {
namespace {

// Callers come back a few times. These tries, spread over the time in which an
// answer is still worth its whole, leave room for the last one to be served.
constexpr std::int64_t TriesWithinAim = 5;
constexpr base::Duration MinReturnDelay = base::milliseconds(100);
// Delays vary by this share, so that callers refused together don't return
// together.
constexpr double JitterShare = 0.5;
// Callers wait at most a third of their remaining time.
constexpr std::int64_t MaxDelayDivisor = 3;

} // namespace

bool isShortage(base::Reason Reason) {
  return isLoadRefusal(Reason) || Reason == base::Reason::BackendShed ||
         Reason == base::Reason::RetryBudget;
}

// Time already waited shortens the delay, so that callers that came first
// return first.
base::Duration returnDelay(const RefusedWork &Work, base::Duration Forecast,
                           double Draw) {
  base::Duration Usable = Work.TimeLeft;
  if (Work.Aim > Work.Waited)
    Usable = std::min(Usable, Work.Aim - Work.Waited);
  base::Duration Step = std::max(Usable / TriesWithinAim, MinReturnDelay);
  base::Duration Delay =
      Forecast + base::scale(Step, 1 + JitterShare * (Draw - 0.5));
  if (Forecast + MinReturnDelay >= Work.TimeLeft)
    return {};
  return std::min(Delay, Work.TimeLeft / MaxDelayDivisor);
}

bool isCall(const config::Configuration &Config,
            const core::AttemptFacts &Facts) {
  return Config.RequiresKeys && Facts.Workspace.empty();
}

// A call that is answered late still lets the request end that waits for it. A
// call that is refused wastes the work already done for that request.
base::Duration usefulTime(const config::Configuration &Config,
                          const core::AttemptFacts &Facts, base::Duration Aim) {
  if (Aim <= base::Duration{} || !isCall(Config, Facts))
    return Aim;
  return std::max(Aim, Facts.TimeLeft);
}

} // namespace currantgauge::admission
