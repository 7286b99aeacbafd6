// Operation of the node itself: start, stop, timers, announcements of backend
// servers and operator commands.
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
void onBackendAnnounced(State &Node, const BackendAnnounced &Event,
                        EffectList &Effects);
void onOperatorCommand(State &Node, const OperatorCommandReceived &Received,
                       EffectList &Effects);

// stopWhenIdle() exits the process of a stopping node once StopLinger has
// passed, no request or attempt is in flight and no write of an action is
// pending.
void stopWhenIdle(State &Node, EffectList &Effects);

} // namespace currantgauge::core

#endif // CURRANTGAUGE_CORE_OPERATIONS_H
