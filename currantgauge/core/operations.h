// The node's own life: start, stop, timers, announcements, operators.
//
//   onStarted(Node, Started{}, Effects);
#ifndef CURRANTGAUGE_CORE_OPERATIONS_H
#define CURRANTGAUGE_CORE_OPERATIONS_H

#include "currantgauge/core/effect.h"
#include "currantgauge/core/event.h"
#include "currantgauge/core/state.h"

namespace currantgauge::core {

void onStarted(State &Node, const Started &Event, EffectList &Effects);
void onStopRequested(State &Node, const StopRequested &Event,
                     EffectList &Effects);
void onTimerFired(State &Node, const TimerFired &Event, EffectList &Effects);
void onBackendAnnounced(State &Node, const BackendAnnounced &Announced,
                        EffectList &Effects);
void onOperatorAsked(State &Node, const OperatorCommandReceived &Asked,
                     EffectList &Effects);

// stopWhenIdle() ends the process once a stopping node has nothing in flight.
void stopWhenIdle(State &Node, EffectList &Effects);

} // namespace currantgauge::core

#endif // CURRANTGAUGE_CORE_OPERATIONS_H
