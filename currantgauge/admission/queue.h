// The owner's queue: bounded, by rank, and early in its refusals.
//
//   Reason Why = enqueue(State, Config, Attempt, Now);
//   QueuedAttempt *Next = nextToRun(State, Config, Service, Now);
#ifndef CURRANTGAUGE_ADMISSION_QUEUE_H
#define CURRANTGAUGE_ADMISSION_QUEUE_H

#include "currantgauge/admission/queued_attempt.h"
#include "currantgauge/admission/state.h"
#include "currantgauge/base/ids.h"
#include "currantgauge/base/units.h"
#include "currantgauge/base/verdict.h"
#include "currantgauge/config/model.h"

namespace currantgauge::admission {

// enqueue() takes an attempt into its service's queue. Returns why it is
// refused, else None.
base::Reason enqueue(AdmissionState &State, const config::Configuration &Config,
                     QueuedAttempt &Attempt, base::TimePoint Now);

// nextToRun() returns the attempt to run next, still in the queue; null when
// nothing waits.
QueuedAttempt *nextToRun(AdmissionState &State,
                         const config::Configuration &Config,
                         const base::ServiceName &Service, base::TimePoint Now);

// dequeue() takes an attempt out of its queue; no effect when it is in none.
void dequeue(AdmissionState &State, QueuedAttempt &Attempt);

// pressureOf() returns what entries are told of a service's queue here.
core::Pressure pressureOf(const AdmissionState &State,
                          const config::Configuration &Config,
                          const base::ServiceName &Service);

} // namespace currantgauge::admission

#endif // CURRANTGAUGE_ADMISSION_QUEUE_H
