// Claims' rows in the platform's table: one transaction in flight, the next
// one collects (group commit); lost answers are settled by reads.
//
//   queueWrite(Node, Key, ClaimWrite::Insert);
//   flushWrites(Node, Effects);
#ifndef CURRANTGAUGE_ACTIONS_CLAIM_STORE_H
#define CURRANTGAUGE_ACTIONS_CLAIM_STORE_H

#include "currantgauge/actions/state.h"
#include "currantgauge/core/effect.h"
#include "currantgauge/core/event.h"
#include "currantgauge/core/state.h"

#include <string>

namespace currantgauge::actions {

// queueWrite() asks for a write of a claim's row.
void queueWrite(core::State &Node, const std::string &Key, ClaimWrite What);

// flushWrites() sends the next transaction unless one is in flight.
void flushWrites(core::State &Node, core::EffectList &Effects);

// onStoreAnswered() takes an answer to a call of this component. Returns false
// when the call is another's.
bool onStoreAnswered(core::State &Node, const core::StoreAnswered &Answered,
                     core::EffectList &Effects);

} // namespace currantgauge::actions

#endif // CURRANTGAUGE_ACTIONS_CLAIM_STORE_H
