// What an operator sees of a node: its fleet, servers, queues and store.
//
//   OperatorReply Reply = statusOf(Node);
#ifndef CURRANTGAUGE_CORE_STATUS_H
#define CURRANTGAUGE_CORE_STATUS_H

#include "currantgauge/core/effect.h"
#include "currantgauge/core/event.h"
#include "currantgauge/core/operator.h"
#include "currantgauge/core/state.h"

namespace currantgauge::core {

// noteStoreAnswer() counts an answer of the platform's service.
void noteStoreAnswer(State &Node, const StoreAnswered &Answer);

// tellUnreadable() counts an answer with a row that names nothing to use, and
// logs what is wrong with it once.
void tellUnreadable(State &Node, const StoreAnswered &Answer,
                    EffectList &Effects);

// statusOf() returns a node's view of the fleet.
OperatorReply statusOf(const State &Node);

} // namespace currantgauge::core

#endif // CURRANTGAUGE_CORE_STATUS_H
