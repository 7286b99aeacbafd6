// A node's queues as owner of servers, and its limits and budgets as entry.
//
//   ServiceQueue &Queue = State.Queues[Service];
#ifndef CURRANTGAUGE_ADMISSION_STATE_H
#define CURRANTGAUGE_ADMISSION_STATE_H

#include "currantgauge/admission/fair_schedule.h"
#include "currantgauge/admission/fleet_retry.h"
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

// KindQueue holds the waiting attempts of one kind of work.
struct KindQueue {
  FairSchedule<base::WorkspaceName> Schedule;
  std::map<base::WorkspaceName, DeadlineQueue> Waiting;
};

// RefusalWindow counts the attempts of a rank that were started and that were
// refused because of load, since StartTime.
struct RefusalWindow {
  base::TimePoint StartTime;
  std::uint32_t Started = 0;
  std::uint32_t Refused = 0;
};

// RankQueue holds the waiting attempts of one rank and its use of slots.
struct RankQueue {
  FairSchedule<base::KindName> Schedule;
  std::map<base::KindName, KindQueue> Kinds;
  base::Percent Share; // guaranteed share of the open slots and of the queue
  std::uint32_t Length = 0;
  base::ByteCount Bytes;
  base::Duration QueuedWork;      // expected slot time of waiting attempts
  std::uint32_t Running = 0;      // slots held
  base::Duration RunningWork;     // expected slot time of running attempts
  double SlotUse = 0;             // moving average of slots held
  double LongTermSlotUse = 0;     // the same, over some seconds
  base::Duration MeanServiceTime; // zero: unknown
  double Credit = 0;              // unused guaranteed slot time in microseconds
  RefusalWindow Window;
  double AdmittedShare = 1;       // of the rank's work, that entries may send
  base::TimePoint PressureEndsAt; // see isPressed()
};

// ServiceQueue is the owner's queue of one service.
struct ServiceQueue {
  std::map<std::uint32_t, RankQueue> ByRank;             // by rank order
  std::map<base::KindName, base::Duration> ServiceTimes; // averaged
  std::uint32_t Length = 0;
  base::ByteCount Bytes;
  std::uint32_t OpenSlots = 0;
  base::TimePoint AdvancedAt; // when credit and use were last updated
};

// RetryBudget is an entry's token bucket for retries of one rank of a service.
struct RetryBudget {
  double Tokens = 1;    // retries left; filled by successes
  double Successes = 0; // decaying count
  base::TimePoint UpdatedAt;
  double RefusedShare = 0; // of recent attempts, by owners because of load
  double BudgetRefusedShare = 0; // same, by owners without a retry budget
};

// PressureKey identifies a rank of a service at one owner.
struct PressureKey {
  base::ServiceName Service;
  base::NodeName Owner;
  std::uint32_t RankOrder = 0;

  auto operator<=>(const PressureKey &) const = default;
};

// KnownPressure is the last pressure that an owner reported of a rank. It is
// not stored if the owner refuses nothing.
struct KnownPressure {
  core::Pressure Pressure;
  base::TimePoint ReceivedAt;
};

// AdmissionState is the admission state of a node.
struct AdmissionState {
  std::map<base::ServiceName, ServiceQueue> Queues;           // at the owner
  std::map<base::ServiceName, FleetRetryBudget> FleetRetries; // at the owner
  // The members below are used at the entry.
  std::map<std::pair<base::ServiceName, base::RankName>, RetryBudget> Budgets;
  std::map<PressureKey, KnownPressure> RankPressures;
  RateLimits Limits;
  LinkBudget Link;
};

} // namespace currantgauge::admission

#endif // CURRANTGAUGE_ADMISSION_STATE_H
