// Writes of claim rows to the platform's table. Group commit: one transaction
// is in flight while the next one collects writes. If a result is unknown, the
// rows of new claims are read and the other writes are repeated.
//
//   queueWrite(Node, Key, ClaimWrite::Insert);
//   sendNextTransaction(Node, Effects);
#ifndef CURRANTGAUGE_ACTIONS_CLAIM_STORE_H
#define CURRANTGAUGE_ACTIONS_CLAIM_STORE_H

#include "currantgauge/actions/state.h"
#include "currantgauge/core/effect.h"
#include "currantgauge/core/event.h"
#include "currantgauge/core/state.h"

#include <string>

namespace currantgauge::actions {

// queueWrite() queues a write of a claim's row.
void queueWrite(core::State &Node, const std::string &Key, ClaimWrite Write);

// sendNextTransaction() sends the next transaction unless one is in flight.
// Done marks and removals alone are sent only if FlushDeferred is set or the
// node is stopping.
void sendNextTransaction(core::State &Node, core::EffectList &Effects);

// onStoreAnswered() handles the result of a store call of this folder. Returns
// false if the call is not one of its own.
bool onStoreAnswered(core::State &Node, const core::StoreAnswered &Answered,
                     core::EffectList &Effects);

} // namespace currantgauge::actions

#endif // CURRANTGAUGE_ACTIONS_CLAIM_STORE_H
