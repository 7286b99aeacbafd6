// The entry's side of a request: from a caller's arrival to its answer.
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
void onAnswerBuffered(State &Node, const AnswerBufferFull &Buffered,
                      EffectList &Effects);
void onAttemptEnded(State &Node, const AttemptEnded &Ended,
                    EffectList &Effects);
void onRequestDeadline(State &Node, const RequestDeadline &Due,
                       EffectList &Effects);
void onTrialDue(State &Node, const TrialTimeout &Due, EffectList &Effects);
void onRetryDue(State &Node, const RetryDue &Due, EffectList &Effects);

// answerBeforeStop() ends what still waits for an answer: the process is about
// to end, and a closed connection would say less.
void answerBeforeStop(State &Node, EffectList &Effects);

// noteRefusedHere() tells the entry's side that this node, as the owner, ended
// the attempt as not run, before AttemptEnded brings the whole outcome.
void noteRefusedHere(State &Node, base::AttemptId Attempt);

} // namespace currantgauge::core

#endif // CURRANTGAUGE_CORE_ENTRY_H
