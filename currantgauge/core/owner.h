// The owner's side of an attempt: queue, slot, guard, exchange, end.
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
void onBackendEnded(State &Node, const ExchangeEnded &Ended,
                    EffectList &Effects);
void onAttemptDeadline(State &Node, const AttemptDeadline &Due,
                       EffectList &Effects);

// takesPeersUntil() returns when a stopping node takes no more attempts of
// other nodes: while its own callers are still served, so is a part of theirs,
// since its backend server may live on.
base::TimePoint takesPeersUntil(const State &Node);

// refuseWaitingOfPeers() refuses what other nodes' attempts still wait here:
// they can run elsewhere.
void refuseWaitingOfPeers(State &Node, EffectList &Effects);

// withdrawWaiting() ends an attempt that still waits in this node's queue; no
// effect on one that holds a slot or is not here.
void withdrawWaiting(State &Node, base::AttemptId Attempt, EffectList &Effects);

// runQueued() starts waiting attempts of a service while slots are free.
void runQueued(State &Node, const base::ServiceName &Service,
               EffectList &Effects);

// startExchange() sends an attempt that holds a slot and passed the guard.
void startExchange(State &Node, admission::QueuedAttempt &Attempt,
                   EffectList &Effects);

// endAttempt() tells the entry and frees what the attempt held.
void endAttempt(State &Node, base::AttemptId Attempt, AttemptOutcome Outcome,
                EffectList &Effects);

} // namespace currantgauge::core

#endif // CURRANTGAUGE_CORE_OWNER_H
