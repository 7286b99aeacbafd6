// Log lines about the decisions on a request, at its entry and at the owner of
// the backend server. All refusals, failures, retries, late answers and long
// waits in a queue are logged. Other steps are logged only for a sample of
// requests, which is the same on every node, so that a sampled request can be
// traced end to end.
//
//   logPlaced(Node, Request, Choice, Effects);
//   logAttemptEnd(Node, *Attempt, Outcome, Effects);
#ifndef CURRANTGAUGE_CORE_REQUEST_LOG_H
#define CURRANTGAUGE_CORE_REQUEST_LOG_H

#include "currantgauge/admission/queued_attempt.h"
#include "currantgauge/admission/retry.h"
#include "currantgauge/base/ids.h"
#include "currantgauge/base/verdict.h"
#include "currantgauge/core/effect.h"
#include "currantgauge/core/event.h"
#include "currantgauge/core/state.h"
#include "currantgauge/routing/choose.h"

#include <cstdint>
#include <string_view>

namespace currantgauge::core {

// LogSampleInterval: one in this many requests of a node is sampled.
constexpr std::uint64_t LogSampleInterval = 64;

// isInLogSample() returns whether a request is sampled.
constexpr bool isInLogSample(base::RequestId Request) {
  return Request.Sequence % LogSampleInterval == 0;
}

// logAdmitted() logs that a sampled request was admitted at its entry.
void logAdmitted(const State &Node, const EntryRequest &Request,
                 EffectList &Effects);

// logPlaced() logs the server that an attempt is sent to and the data that the
// choice was based on, for sampled requests and for all attempts after the
// first.
void logPlaced(const State &Node, const EntryRequest &Request,
               const routing::Choice &Choice, EffectList &Effects);

// logRetry() logs that a failed attempt is retried, or that the retry was
// denied for Plan.DeniedReason.
void logRetry(const State &Node, const EntryRequest &Request,
              const AttemptOutcome &Outcome, const admission::RetryPlan &Plan,
              EffectList &Effects);

// logRequestEnd() logs the end of a request as request_failed, request_late,
// request_abandoned (by its caller) or, if sampled, request_served.
void logRequestEnd(const State &Node, const EntryRequest &Request,
                   base::Verdict Verdict, base::Reason Reason,
                   EffectList &Effects);

// connectionEndName() returns the snake_case name of End for logs and metrics.
std::string_view connectionEndName(ConnectionEnd End);

// logUnanswered() logs that a connection ended before the answer to a request
// was written, unless its caller closed it, and how far the request had come.
void logUnanswered(const State &Node, const CallerGone &Gone,
                   EffectList &Effects);

// logQueued() logs that a sampled attempt was queued at its owner.
void logQueued(const State &Node, const admission::QueuedAttempt &Attempt,
               EffectList &Effects);

// logStarted() logs that an attempt was sent to its backend server, if it is
// sampled or waited long in the queue.
void logStarted(const State &Node, const admission::QueuedAttempt &Attempt,
                EffectList &Effects);

// logAttemptEnd() logs the end of an attempt at its owner as attempt_refused,
// attempt_failed or, if sampled, attempt_served.
void logAttemptEnd(const State &Node, const admission::QueuedAttempt &Attempt,
                   const AttemptOutcome &Outcome, EffectList &Effects);

} // namespace currantgauge::core

#endif // CURRANTGAUGE_CORE_REQUEST_LOG_H
