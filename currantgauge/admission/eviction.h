// Decides what leaves a service's queue for a new attempt when the queue is
// full by bytes or by the number of attempts.
//
//   if (boundedBytes(Queue, Settings) + Size > Settings.QueueBytes)
//     Victim = chooseVictim(Queue, EvictionQuery{Settings, Attempt, true});
#ifndef CURRANTGAUGE_ADMISSION_EVICTION_H
#define CURRANTGAUGE_ADMISSION_EVICTION_H

#include "currantgauge/admission/queued_attempt.h"
#include "currantgauge/admission/state.h"
#include "currantgauge/base/units.h"
#include "currantgauge/config/model.h"

namespace currantgauge::admission {

// EvictionQuery describes a queue that is full for a new attempt, by bytes or
// by the number of attempts.
struct EvictionQuery {
  const config::ServiceSettings &Settings;
  const QueuedAttempt &NewAttempt;
  bool ByBytes = false;
};

// isOversized() returns whether an attempt alone exceeds the bound in bytes.
bool isOversized(const QueuedAttempt &Attempt,
                 const config::ServiceSettings &Settings);

// boundedBytes() returns the bytes of a queue that count towards its bound: all
// but those of an oversized attempt, which waits beside the others.
base::ByteCount boundedBytes(const ServiceQueue &Queue,
                             const config::ServiceSettings &Settings);

// chooseVictim() picks, in the least urgent rank above its share, the attempt
// with the latest deadline, of the kind with the most waiting attempts and its
// workspace with the most.
// Returns null if the new attempt itself is the one to refuse.
QueuedAttempt *chooseVictim(ServiceQueue &Queue, const EvictionQuery &Query);

} // namespace currantgauge::admission

#endif // CURRANTGAUGE_ADMISSION_EVICTION_H
