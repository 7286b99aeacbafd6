// Retries of failed attempts: permitted by verdict, deadline and a retry budget
// that successes fill, after a backoff with jitter. Only entries retry.
//
//   RetryPlan Plan = planRetry(State, Query, Source);
//   if (Plan.Retry)
//     setTimer(Timers, Plan.RetryAt, RetryDue{Request});
#ifndef CURRANTGAUGE_ADMISSION_RETRY_H
#define CURRANTGAUGE_ADMISSION_RETRY_H

#include "currantgauge/admission/state.h"
#include "currantgauge/base/ids.h"
#include "currantgauge/base/random.h"
#include "currantgauge/base/units.h"
#include "currantgauge/base/verdict.h"
#include "currantgauge/config/model.h"
#include "currantgauge/core/request.h"

#include <cstdint>

namespace currantgauge::admission {

// RetryQuery holds the inputs of a retry decision.
struct RetryQuery {
  const config::KindSettings &Kind;
  const core::AttemptOutcome &Outcome;
  bool Committed = false;     // the caller has received part of a response
  std::uint32_t Attempts = 0; // started so far
  base::TimePoint ArrivedAt;  // of the request at this entry
  base::TimePoint Deadline;   // of the request
  base::TimePoint Now;
  std::uint32_t Sends = 0; // attempts that reached a backend server
  // Owners keep the budget (see fleet_retry.h) and refuse what exceeds it.
  bool OwnersKeepBudget = false;
  bool HasFreeSlotElsewhere = false; // of an untried server, as far as known
};

// RetryPlan is the time of the next attempt, if there is one. DeniedReason is
// RetryBudget if only the budget prevented it.
struct RetryPlan {
  bool Retry = false;
  base::TimePoint RetryAt;
  base::Reason DeniedReason = base::Reason::None;
};

// planRetry() decides on a retry and takes a token of the budget for it, unless
// owners keep the budget.
RetryPlan planRetry(AdmissionState &State, const RetryQuery &Query,
                    base::Random &Source);

// noteOutcome() updates the budget of a kind's rank from an attempt's outcome.
void noteOutcome(AdmissionState &State, const config::Configuration &Config,
                 const config::KindSettings &Kind,
                 const core::AttemptOutcome &Outcome, base::TimePoint Now);

// isRankShed() returns true if owners in general refuse a kind's rank because
// of load: a large share of this entry's recent attempts, whatever the owner.
bool isRankShed(const AdmissionState &State, const config::KindSettings &Kind);

// areRefusalsRare() returns whether a retry for the rank will probably not be
// refused because of load or of the retry budget.
bool areRefusalsRare(const AdmissionState &State,
                     const config::KindSettings &Kind);

// takeRetryToken() takes a token of the budget of a kind's service and rank.
// Returns false if none is left.
bool takeRetryToken(AdmissionState &State, const config::KindSettings &Kind);

// hasReachedServer() returns true if the attempt reached, or may have reached,
// a backend server.
bool hasReachedServer(const core::AttemptOutcome &Outcome);

// retryDelay() returns a random backoff before an attempt, from zero to a limit
// that doubles with each retry. Number counts attempts: it is 2 for the first
// retry.
base::Duration retryDelay(std::uint32_t Number, base::Random &Source);

} // namespace currantgauge::admission

#endif // CURRANTGAUGE_ADMISSION_RETRY_H
