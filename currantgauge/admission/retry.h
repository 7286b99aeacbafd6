// Whether an attempt is followed by another one: by verdict, deadline and a
// budget fed by successes, after a backoff with jitter. Entries alone retry.
//
//   RetryPlan Plan = planRetry(State, Config, Query, Source);
//   if (Plan.Retry) setTimer(Timers, Plan.At, RetryDue{Request});
#ifndef CURRANTGAUGE_ADMISSION_RETRY_H
#define CURRANTGAUGE_ADMISSION_RETRY_H

#include "currantgauge/admission/state.h"
#include "currantgauge/base/ids.h"
#include "currantgauge/base/random.h"
#include "currantgauge/base/units.h"
#include "currantgauge/base/verdict.h"
#include "currantgauge/config/model.h"
#include "currantgauge/core/request.h"

#include <cstddef>
#include <cstdint>

namespace currantgauge::admission {

// FleetRetryBound is what all nodes together may send beyond the first attempt
// of each request: in any window, Ratio of its requests and Slack more.
struct FleetRetryBound {
  double Ratio = 0; // 0: not set
  double Slack = 0; // attempts in a window
  base::Duration Window = base::seconds(10);
  std::size_t Nodes = 1; // that share Slack
};

// RetryQuery is what a retry depends on.
struct RetryQuery {
  const config::KindSettings &Kind;
  const core::AttemptOutcome &Outcome;
  bool Committed = false; // the caller has part of an answer
  std::uint32_t Attempts = 0;
  base::TimePoint ArrivedAt; // the request, at this entry
  base::TimePoint Deadline;  // of the request
  base::TimePoint Now;
  std::uint32_t Sends = 0;       // attempts that reached a backend server
  FleetRetryBound Bound;         // not set: the service's budget counts
  bool HasRoomElsewhere = false; // a server not yet tried seems to have a slot
};

// RetryPlan is the next attempt, or why there is none: Denied is RetryBudget
// when only the budget stood against it.
struct RetryPlan {
  bool Retry = false;
  base::TimePoint RetryAt;
  base::Reason DeniedReason = base::Reason::None;
};

// planRetry() takes a token of the budget when it plans an attempt.
RetryPlan planRetry(AdmissionState &State, const RetryQuery &Query,
                    base::Random &Source);

// noteRequest() earns this node's share of the bound for a service.
void noteRequest(AdmissionState &State, const base::ServiceName &Service,
                 const FleetRetryBound &Bound, base::TimePoint Now);

// returnSharedToken() gives a token back for an attempt that reached no server.
void returnSharedToken(AdmissionState &State, const base::ServiceName &Service);

// noteOutcome() learns how an attempt of a kind ended.
void noteOutcome(AdmissionState &State, const config::Configuration &Config,
                 const config::KindSettings &Kind,
                 const core::AttemptOutcome &Outcome, base::TimePoint Now);

// isRankShed() says whether owners refuse much of a kind's rank for their load,
// so that it is no accident of one of them.
bool isRankShed(const AdmissionState &State, const config::KindSettings &Kind);

// takeRetryToken() takes a token of a rank's budget for a service; false: none
// left.
bool takeRetryToken(AdmissionState &State, const config::KindSettings &Kind);

// hasReachedServer() says that a backend server was sent the attempt.
bool hasReachedServer(const core::AttemptOutcome &Outcome);

// retryDelay() returns the backoff before an attempt, with jitter. Number is 2
// for the first retry.
base::Duration retryDelay(std::uint32_t Number, base::Random &Source);

} // namespace currantgauge::admission

#endif // CURRANTGAUGE_ADMISSION_RETRY_H
