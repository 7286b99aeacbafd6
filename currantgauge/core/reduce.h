// The reducer: applies an event to the node's state and returns effects. It is
// deterministic: it uses no clock, socket or thread, and the same events
// produce the same effects.
//
//   EffectList Effects;
//   reduce(Node, Event{Now, Wall, StopRequested{}}, Effects);
#ifndef CURRANTGAUGE_CORE_REDUCE_H
#define CURRANTGAUGE_CORE_REDUCE_H

#include "currantgauge/core/effect.h"
#include "currantgauge/core/event.h"
#include "currantgauge/core/state.h"

namespace currantgauge::core {

// reduce() applies one event to the state and appends the resulting effects.
void reduce(State &Node, const Event &NewEvent, EffectList &Effects);

} // namespace currantgauge::core

#endif // CURRANTGAUGE_CORE_REDUCE_H
