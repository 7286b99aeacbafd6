// The owner's queue of a service: bounded, by rank with guaranteed shares, fair
// between kinds and workspaces inside a rank, earliest deadline first inside a
// flow, and early in its refusals.
//
//   EnqueueResult Queued = enqueue(State, Config, Attempt, OpenSlots, Now);
//   QueuedAttempt *Next = peekNextToRun(State, Service, OpenSlots, Now);
//   dequeueToRun(State, Config, *Next, Now);
//   finishRun(State, *Next, Outcome, Now);
#ifndef CURRANTGAUGE_ADMISSION_QUEUE_H
#define CURRANTGAUGE_ADMISSION_QUEUE_H

#include "currantgauge/admission/queued_attempt.h"
#include "currantgauge/admission/state.h"
#include "currantgauge/base/ids.h"
#include "currantgauge/base/units.h"
#include "currantgauge/base/verdict.h"
#include "currantgauge/config/model.h"
#include "currantgauge/core/request.h"

#include <cstdint>
#include <vector>

namespace currantgauge::admission {

// EnqueueResult says why an attempt is refused, else None, and which waiting
// attempts left the queue for it; the caller ends those as QueueFull.
struct EnqueueResult {
  base::Reason Reason = base::Reason::None;
  std::vector<base::AttemptId> Victims;
};

// enqueue() takes an attempt into its service's queue and sets its StartBy.
EnqueueResult enqueue(AdmissionState &State,
                      const config::Configuration &Config,
                      QueuedAttempt &Attempt, std::uint32_t OpenSlots,
                      base::TimePoint Now);

// peekNextToRun() returns the attempt to run next, still in the queue; null
// when nothing waits.
QueuedAttempt *peekNextToRun(AdmissionState &State,
                             const base::ServiceName &Service,
                             std::uint32_t OpenSlots, base::TimePoint Now);

// dequeueToRun() takes an attempt out of the queue and charges its flow and
// rank for the slot it now holds.
void dequeueToRun(AdmissionState &State, const config::Configuration &Config,
                  QueuedAttempt &Attempt, base::TimePoint Now);

// finishRun() learns that an attempt gave its slot back.
void finishRun(AdmissionState &State, const QueuedAttempt &Attempt,
               const core::AttemptOutcome &Outcome, base::TimePoint Now);

// dequeue() takes an attempt out of its queue; no effect when it is in none.
void dequeue(AdmissionState &State, QueuedAttempt &Attempt);

// isLate() says whether a waiting attempt should be refused in place of
// started: its StartBy has passed, or its kind is now known to take longer than
// is left.
bool isLate(const AdmissionState &State, const QueuedAttempt &Attempt,
            base::TimePoint Now);

// lateReason() says why an attempt that waited too long is refused.
base::Reason lateReason(const QueuedAttempt &Attempt, base::TimePoint Now);

} // namespace currantgauge::admission

#endif // CURRANTGAUGE_ADMISSION_QUEUE_H
