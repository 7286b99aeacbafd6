// Queues, limits and budgets of a node.
//
//   ServiceQueue &Queue = State.Queues[Service];
#ifndef CURRANTGAUGE_ADMISSION_STATE_H
#define CURRANTGAUGE_ADMISSION_STATE_H

#include "currantgauge/admission/fair_schedule.h"
#include "currantgauge/admission/limits.h"
#include "currantgauge/admission/link.h"
#include "currantgauge/admission/queued_attempt.h"
#include "currantgauge/base/ids.h"
#include "currantgauge/base/units.h"
#include "currantgauge/core/request.h"

#include <compare>
#include <cstdint>
#include <map>
#include <utility>

namespace currantgauge::admission {

// KindQueue is what waits of one kind of work.
struct KindQueue {
  FairSchedule<base::WorkspaceName> Schedule;
  std::map<base::WorkspaceName, DeadlineQueue> Waiting;
};

// RefusalWindow counts how attempts of a rank fared since its start.
struct RefusalWindow {
  base::TimePoint StartTime;
  std::uint32_t Started = 0;
  std::uint32_t Refused = 0;
};

// RankQueue is what waits of one rank and what the rank has used.
struct RankQueue {
  FairSchedule<base::KindName> Schedule;
  std::map<base::KindName, KindQueue> Kinds;
  base::Percent Share; // guaranteed, of the open slots
  std::uint32_t Length = 0;
  base::ByteCount Bytes;
  base::Duration QueuedWork;      // expected slot time of all that waits
  std::uint32_t Running = 0;      // slots held
  base::Duration RunningWork;     // expected slot time of those
  double SlotUse = 0;             // slots held, averaged over time
  double LongTermSlotUse = 0;     // the same, over some seconds
  base::Duration MeanServiceTime; // of its attempts in a slot; zero: not known
  double Credit = 0; // guaranteed slot time not yet used, microseconds
  RefusalWindow Window;
  double AdmittedShare =
      1; // share of the rank's work that entries may send here
  base::TimePoint PressureEndsAt;
};

// ServiceQueue is the owner's queue of one service, by rank order.
struct ServiceQueue {
  std::map<std::uint32_t, RankQueue> ByRank;
  std::map<base::KindName, base::Duration> ServiceTimes; // averaged
  std::uint32_t Length = 0;
  base::ByteCount Bytes;
  std::uint32_t OpenSlots = 0;
  base::TimePoint AdvancedAt; // up to when credit and use are counted
};

// RetryBudget is a token bucket fed by successes, of a rank of a service.
struct RetryBudget {
  double Tokens = 1;
  double Successes = 0; // of the last seconds, fading
  base::TimePoint UpdatedAt;
  double RefusedShare = 0; // of recent attempts, refused for an owner's load
};

// SharedRetryBudget is this node's part of what the fleet may retry of a
// service, in attempts.
struct SharedRetryBudget {
  double Earned = 0; // by requests
  double Slack = 0;
  base::TimePoint UpdatedAt; // zero: not yet
};

// PressureKey is a rank of a service at one owner.
struct PressureKey {
  base::ServiceName Service;
  base::NodeName Owner;
  std::uint32_t RankOrder = 0;

  auto operator<=>(const PressureKey &) const = default;
};

// KnownPressure is what an owner said of a rank, and when.
struct KnownPressure {
  core::Pressure Pressure;
  base::TimePoint ReceivedAt;
};

// AdmissionState is what admission decides by.
struct AdmissionState {
  std::map<base::ServiceName, ServiceQueue> Queues; // at the owner
  // The rest is used at the entry.
  std::map<std::pair<base::ServiceName, base::RankName>, RetryBudget> Budgets;
  std::map<base::ServiceName, SharedRetryBudget> SharedBudgets;
  std::map<PressureKey, KnownPressure> RankPressures;
  RateLimits Limits;
  LinkBudget Link;
};

} // namespace currantgauge::admission

#endif // CURRANTGAUGE_ADMISSION_STATE_H
