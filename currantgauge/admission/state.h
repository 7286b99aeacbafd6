// Queues, limits and budgets of a node.
//
//   ServiceQueue &Queue = State.Queues[Service];
#ifndef CURRANTGAUGE_ADMISSION_STATE_H
#define CURRANTGAUGE_ADMISSION_STATE_H

#include "currantgauge/admission/queued_attempt.h"
#include "currantgauge/base/ids.h"
#include "currantgauge/base/units.h"
#include "currantgauge/core/request.h"

#include <cstdint>
#include <map>
#include <utility>

namespace currantgauge::admission {

// ServiceQueue is the owner's queue of one service, by rank order.
struct ServiceQueue {
  std::map<std::uint32_t, AttemptQueue> ByRank;
  std::uint32_t Length = 0;
  base::ByteCount Bytes;
};

// RetryBudget is a token bucket fed by successes.
struct RetryBudget {
  double Tokens = 10;
};

// AdmissionState is what admission decides by.
struct AdmissionState {
  std::map<base::ServiceName, ServiceQueue> Queues; // at the owner
  std::map<base::ServiceName, RetryBudget> Budgets; // at the entry
  std::map<std::pair<base::ServiceName, base::NodeName>, core::Pressure>
      Pressures; // at the entry
};

} // namespace currantgauge::admission

#endif // CURRANTGAUGE_ADMISSION_STATE_H
