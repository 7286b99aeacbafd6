// What a refusal for lack of room costs its caller depends on when the caller
// comes back. The loads meant are a service whose servers all reject a random
// part of what reaches them although they have free slots, and a queue that is
// full.
//
//   Refusal.RetryAfter = returnDelay(Work, Forecast, uniformUnit(Source));
#ifndef CURRANTGAUGE_ADMISSION_CALLER_COST_H
#define CURRANTGAUGE_ADMISSION_CALLER_COST_H

#include "currantgauge/base/units.h"
#include "currantgauge/base/verdict.h"
#include "currantgauge/config/model.h"
#include "currantgauge/core/request.h"

namespace currantgauge::admission {

// RefusedWork is work that a caller asked for.
struct RefusedWork {
  base::Duration Aim;      // zero: none
  base::Duration Waited;   // since the request arrived at its entry
  base::Duration TimeLeft; // until the caller's deadline
};

// isShortage() returns true for refusals because of a lack of room or of
// repeats. The same request may be served shortly afterwards.
bool isShortage(base::Reason Reason);

// returnDelay() returns the time after which a refused caller should come back,
// zero if it can't be served any more. Forecast is the time until there will
// be room, zero if another try may succeed at once. Draw is uniform in [0, 1).
base::Duration returnDelay(const RefusedWork &Work, base::Duration Forecast,
                           double Draw);

// isCall() returns true for a request that a backend server makes while it runs
// another one, as far as the configuration tells: callers need keys and this
// one has none.
bool isCall(const config::Configuration &Config,
            const core::AttemptFacts &Facts);

// usefulTime() returns how long the answer to an attempt is worth its whole:
// the aim of its kind, or all the time that is left to a call.
base::Duration usefulTime(const config::Configuration &Config,
                          const core::AttemptFacts &Facts, base::Duration Aim);

} // namespace currantgauge::admission

#endif // CURRANTGAUGE_ADMISSION_CALLER_COST_H
