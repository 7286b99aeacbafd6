// The owner's queue of a service. It is bounded and ordered by rank with
// guaranteed shares, by fair queueing over kinds and workspaces within a rank,
// and by earliest deadline within a flow, which is one workspace's attempts of
// one kind. Attempts that are expected to be served too late are refused on
// arrival.
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

// EnqueueResult holds the reason of a refusal, or None, and the waiting
// attempts that were evicted for the new one, which may be refused all the
// same. The caller ends the evicted ones with QueueFull.
struct EnqueueResult {
  base::Reason Reason = base::Reason::None;
  std::vector<base::AttemptId> Victims;
};

// enqueue() sets an attempt's ExpectedTime and Aim (target response time) and
// refuses it, or adds it to its service's queue and sets its StartBy.
EnqueueResult enqueue(AdmissionState &State,
                      const config::Configuration &Config,
                      QueuedAttempt &Attempt, std::uint32_t OpenSlots,
                      base::TimePoint Now);

// peekNextToRun() returns the attempt to run next without removing it, null if
// the queue is empty or no rank may take a slot. The attempt may be late (see
// isLate()).
QueuedAttempt *peekNextToRun(AdmissionState &State,
                             const base::ServiceName &Service,
                             std::uint32_t OpenSlots, base::TimePoint Now);

// dequeueToRun() removes an attempt from the queue and charges its flow and
// rank for the slot that it now holds.
void dequeueToRun(AdmissionState &State, const config::Configuration &Config,
                  QueuedAttempt &Attempt, base::TimePoint Now);

// finishRun() releases the slot of an attempt. If its exchange started and the
// server ran it or timed out, the average service times are updated.
void finishRun(AdmissionState &State, const QueuedAttempt &Attempt,
               const core::AttemptOutcome &Outcome, base::TimePoint Now);

// dequeue() removes an attempt from its queue. No effect if it is not queued.
void dequeue(AdmissionState &State, QueuedAttempt &Attempt);

// isLate() returns true if a waiting attempt should be refused instead of
// started: its StartBy has passed, or the expected service time of its kind now
// exceeds the time left. The latter is not checked at the time of its arrival.
bool isLate(const AdmissionState &State, const QueuedAttempt &Attempt,
            base::TimePoint Now);

// drainTime() returns the time in which the open slots serve what waits in a
// rank and in those above it.
base::Duration drainTime(const AdmissionState &State,
                         const base::ServiceName &Service,
                         std::uint32_t RankOrder);

// lateReason() returns the reason to refuse an attempt that waited too long.
base::Reason lateReason(const QueuedAttempt &Attempt, base::TimePoint Now);

} // namespace currantgauge::admission

#endif // CURRANTGAUGE_ADMISSION_QUEUE_H
