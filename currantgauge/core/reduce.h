// The one reducer: an event and a state give a new state and effects. It reads
// no clock, socket or thread; the same events give the same effects.
//
//   EffectList Effects;
//   reduce(Node, Event{Now, Wall, StopRequested{}}, Effects);
#ifndef CURRANTGAUGE_CORE_REDUCE_H
#define CURRANTGAUGE_CORE_REDUCE_H

#include "currantgauge/core/effect.h"
#include "currantgauge/core/event.h"
#include "currantgauge/core/state.h"

namespace currantgauge::core {

// reduce() applies one event and appends its effects.
void reduce(State &Node, const Event &Happened, EffectList &Effects);

} // namespace currantgauge::core

#endif // CURRANTGAUGE_CORE_REDUCE_H
