// Handling of a caller's request at its entry, the node that received it.
//
//   onRequestArrived(Node, RequestArrived{Facts}, Effects);
#ifndef CURRANTGAUGE_CORE_ENTRY_H
#define CURRANTGAUGE_CORE_ENTRY_H

#include "currantgauge/base/ids.h"
#include "currantgauge/core/effect.h"
#include "currantgauge/core/event.h"
#include "currantgauge/core/state.h"

namespace currantgauge::core {

void onRequestArrived(State &Node, const RequestArrived &Arrival,
                      EffectList &Effects);
void onCallerGone(State &Node, const CallerGone &Gone, EffectList &Effects);
void onInputRefused(State &Node, const InputRefused &Refused,
                    EffectList &Effects);
void onAnswerBufferFull(State &Node, const AnswerBufferFull &Event,
                        EffectList &Effects);
void onAttemptEnded(State &Node, const AttemptEnded &Ended,
                    EffectList &Effects);
void onRequestDeadline(State &Node, const RequestDeadline &Due,
                       EffectList &Effects);
void onTrialTimeout(State &Node, const TrialTimeout &Due, EffectList &Effects);
void onRetryDue(State &Node, const RetryDue &Due, EffectList &Effects);

// endPermitWait() continues a request that waits for a permit, or refuses it if
// Reason isn't None. Does nothing if the request doesn't wait for one.
void endPermitWait(State &Node, base::RequestId Id, base::Reason Reason,
                   base::Duration RetryAfter, EffectList &Effects);

// refuseUnansweredRequests() refuses requests whose answer hasn't been started.
// Called shortly before the stop limit expires, since an error tells the caller
// more than a closed connection.
void refuseUnansweredRequests(State &Node, EffectList &Effects);

// noteLocalNotRun() records that this node, as the owner, ended the attempt as
// not run. It does nothing if this node isn't also the entry. The AttemptEnded
// event with the full outcome arrives later.
void noteLocalNotRun(State &Node, base::AttemptId Attempt);

} // namespace currantgauge::core

#endif // CURRANTGAUGE_CORE_ENTRY_H
