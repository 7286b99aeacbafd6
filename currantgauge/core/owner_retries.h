// The owner's use of its part of the fleet's retry bound (see
// admission/fleet_retry.h).
#ifndef CURRANTGAUGE_CORE_OWNER_RETRIES_H
#define CURRANTGAUGE_CORE_OWNER_RETRIES_H

#include "currantgauge/admission/queued_attempt.h"
#include "currantgauge/core/request.h"
#include "currantgauge/core/state.h"

namespace currantgauge::core {

// mayRepeat() returns false if the attempt is a further send of its request and
// this node's part of the bound is used up.
bool mayRepeat(State &Node, const AttemptFacts &Attempt);

// noteAttemptSent() counts a send; undoAttemptSent() takes it back if there was
// one. Call it for an attempt that reached no backend server.
void noteAttemptSent(State &Node, const AttemptFacts &Attempt);
void undoAttemptSent(State &Node, const admission::QueuedAttempt &Attempt);

} // namespace currantgauge::core

#endif // CURRANTGAUGE_CORE_OWNER_RETRIES_H
