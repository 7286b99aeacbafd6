// Decides whether an entry tries a request on another backend server.
//
//   if (scheduleRetry(Node, Request, Outcome, Effects)) return;
#ifndef CURRANTGAUGE_CORE_ENTRY_RETRIES_H
#define CURRANTGAUGE_CORE_ENTRY_RETRIES_H

#include "currantgauge/core/effect.h"
#include "currantgauge/core/request.h"
#include "currantgauge/core/state.h"

namespace currantgauge::core {

// scheduleRetry() starts the timer of a request's next attempt after one that
// failed. Returns false if there is to be none.
bool scheduleRetry(State &Node, EntryRequest &Request,
                   const AttemptOutcome &Outcome, EffectList &Effects);

} // namespace currantgauge::core

#endif // CURRANTGAUGE_CORE_ENTRY_RETRIES_H
