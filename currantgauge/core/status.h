// The status of a node for operators: its view of the fleet, servers, queues
// and the store.
//
//   OperatorReply Reply = makeStatusReply(Node);
#ifndef CURRANTGAUGE_CORE_STATUS_H
#define CURRANTGAUGE_CORE_STATUS_H

#include "currantgauge/core/effect.h"
#include "currantgauge/core/event.h"
#include "currantgauge/core/operator.h"
#include "currantgauge/core/state.h"

namespace currantgauge::core {

// noteStoreAnswer() updates StoreStats with the result of a store call.
void noteStoreAnswer(State &Node, const StoreAnswered &Answer);

// reportMalformedRow() counts a malformed row of the store, and logs its error
// unless the last one was the same.
void reportMalformedRow(State &Node, const std::string &Error,
                        EffectList &Effects);

// reportRowError() counts a store result that contains a malformed row, and
// logs the error unless it was the last one logged.
void reportRowError(State &Node, const StoreAnswered &Answer,
                    EffectList &Effects);

// makeStatusReply() returns the reply to StatusCommand.
OperatorReply makeStatusReply(const State &Node);

} // namespace currantgauge::core

#endif // CURRANTGAUGE_CORE_STATUS_H
