// Retry-After of refusals for lack of room (see admission/caller_cost.h).
// Without PolicySwitches::ShortageByCost it is as long as suggested.
#ifndef CURRANTGAUGE_CORE_SHORTAGE_H
#define CURRANTGAUGE_CORE_SHORTAGE_H

#include "currantgauge/base/units.h"
#include "currantgauge/base/verdict.h"
#include "currantgauge/core/request.h"
#include "currantgauge/core/state.h"

namespace currantgauge::core {

// queueFullDelay() returns the Retry-After of an attempt that found its queue
// full.
base::Duration queueFullDelay(const State &Node, const AttemptFacts &Attempt);

// retryAfterOf() returns the Retry-After for a caller whose request ends with a
// refusal. Suggested is that of the last attempt's owner or server.
base::Duration retryAfterOf(State &Node, const EntryRequest &Request,
                            base::Reason Reason, base::Duration Suggested);

} // namespace currantgauge::core

#endif // CURRANTGAUGE_CORE_SHORTAGE_H
