// Handling of an attempt at the owner, the node that calls its backend server:
// queue, slot, action guard (whether an action may run), exchange and end.
//
//   onAttemptArrived(Node, AttemptArrived{Facts}, Effects);
#ifndef CURRANTGAUGE_CORE_OWNER_H
#define CURRANTGAUGE_CORE_OWNER_H

#include "currantgauge/base/ids.h"
#include "currantgauge/core/effect.h"
#include "currantgauge/core/event.h"
#include "currantgauge/core/state.h"

namespace currantgauge::core {

void onAttemptArrived(State &Node, const AttemptArrived &Arrival,
                      EffectList &Effects);
void onAttemptCancelled(State &Node, const AttemptCancelled &Cancelled,
                        EffectList &Effects);
void onExchangeEnded(State &Node, const ExchangeEnded &Ended,
                     EffectList &Effects);
void onAttemptDeadline(State &Node, const AttemptDeadline &Due,
                       EffectList &Effects);

// peerAttemptsAcceptedUntil() returns when a stopping node stops accepting
// attempts of other nodes. They are accepted for the first part of StopLinger,
// since the backend server may keep running after this node.
base::TimePoint peerAttemptsAcceptedUntil(const State &Node);

// refuseQueuedPeerAttempts() refuses the queued attempts of other nodes, which
// can retry them at another owner.
void refuseQueuedPeerAttempts(State &Node, EffectList &Effects);

// cancelQueuedAttempt() ends an attempt that is still queued at this node. It
// does nothing if the attempt holds a slot or is unknown.
void cancelQueuedAttempt(State &Node, base::AttemptId Attempt,
                         EffectList &Effects);

// startQueuedAttempts() starts queued attempts of a service while slots are
// free. It refuses those that are too late or that no breaker admits, and
// all of them if this node owns no server of the service any longer.
void startQueuedAttempts(State &Node, const base::ServiceName &Service,
                         EffectList &Effects);

// startExchange() sends an attempt, which holds a slot and has passed the
// action guard, to its backend server.
void startExchange(State &Node, admission::QueuedAttempt &Attempt,
                   EffectList &Effects);

// endAttempt() releases the resources of an attempt and reports its outcome to
// the entry.
void endAttempt(State &Node, base::AttemptId Attempt, AttemptOutcome Outcome,
                EffectList &Effects);

} // namespace currantgauge::core

#endif // CURRANTGAUGE_CORE_OWNER_H
