#include "currantgauge/admission/retry.h"

#include "currantgauge/admission/pressure.h"

#include <algorithm>
#include <cmath>

namespace currantgauge::admission {
namespace {

constexpr std::uint32_t MaxAttempts = 3; // of one request
// If owners keep the budget, attempts that reach backend servers are bounded
// separately, so more owners may be tried.
constexpr std::uint32_t MaxAttemptsWithFleetBound = 5;
constexpr base::Duration FirstBackoff = base::milliseconds(5);
constexpr base::Duration MaxBackoff = base::milliseconds(200);
constexpr base::Duration MinAttemptTime = base::milliseconds(2); // to deadline
// Time constant of the decaying count of successes. A budget holds at most the
// tokens earned by that count, so an outage of about this length gets no more
// than its share of retries.
constexpr base::Duration SuccessDecayTime = base::seconds(10);
constexpr double SampleWeight = 0.05;     // of one attempt in RefusedShare
constexpr double RareRefusalShare = 0.1;  // of recent attempts
constexpr double ShedRefusalShare = 0.25; // of recent attempts
// Above this share of recent attempts refused for the retry budget, the service
// fails faster than its budget allows, and no further owner is asked.
constexpr double MaxBudgetRefusalShare = 0.25;
// A refusal is quick within this time from the request's arrival at the entry.
constexpr base::Duration QuickRefusalLimit = base::milliseconds(25);

// isFinal() returns true for refusals that every other owner would repeat.
bool isFinal(base::Reason Reason) {
  switch (Reason) {
  case base::Reason::Quarantined:
  case base::Reason::ActionRunning:
  case base::Reason::ActionMismatch:
  case base::Reason::ActionExpired:
  case base::Reason::ActionForged:
  case base::Reason::ActionForeign:
  case base::Reason::ActionLost:
  case base::Reason::StoreUnavailable:
  case base::Reason::DeadlinePassed:
  case base::Reason::CallerGone:
    return true;
  default:
    return false;
  }
}

// budgetOf() returns the budget of a kind's service and rank, without refusals
// if there is none yet.
const RetryBudget &budgetOf(const AdmissionState &State,
                            const config::KindSettings &Kind) {
  static const RetryBudget Unused;
  auto It = State.Budgets.find({Kind.Service, Kind.Rank});
  return It == State.Budgets.end() ? Unused : It->second;
}

// While refusals because of load are rare, another owner may accept the
// request. When they are common, an early response is worth more than a second
// attempt, unless the refusal came quickly or another server appears to have a
// free slot.
bool canRetry(const AdmissionState &State, const RetryQuery &Query) {
  const core::AttemptOutcome &Outcome = Query.Outcome;
  std::uint32_t Limit =
      Query.OwnersKeepBudget ? MaxAttemptsWithFleetBound : MaxAttempts;
  if (Query.Committed || Query.Attempts >= Limit ||
      Query.Sends >= Query.Kind.Attempts || isFinal(Outcome.Reason))
    return false;
  if (Outcome.Verdict != base::Verdict::NotRun)
    return Query.Kind.Idempotent;
  const RetryBudget &Budget = budgetOf(State, Query.Kind);
  if (Outcome.Reason == base::Reason::RetryBudget)
    return Budget.BudgetRefusedShare <= MaxBudgetRefusalShare;
  if (!isLoadRefusal(Outcome.Reason) || Query.HasFreeSlotElsewhere ||
      Query.Now - Query.ArrivedAt < QuickRefusalLimit)
    return true;
  return Budget.RefusedShare < RareRefusalShare;
}

// budgetShare() returns the tokens that a success adds to the retry budget.
double budgetShare(const config::Configuration &Config,
                   const base::ServiceName &Service) {
  auto It = Config.Services.find(Service);
  return (It == Config.Services.end() ? config::ServiceSettings() : It->second)
             .RetryBudget.Value /
         100;
}

void noteSuccess(RetryBudget &Budget, double Share, base::TimePoint Now) {
  double Elapsed = base::toSeconds(Now - Budget.UpdatedAt);
  Budget.UpdatedAt = Now;
  Budget.Successes =
      Budget.Successes *
          std::exp(-Elapsed / base::toSeconds(SuccessDecayTime)) +
      1;
  double Limit = std::max(1.0, Share * Budget.Successes);
  Budget.Tokens = std::min(Budget.Tokens + Share, Limit);
}

} // namespace

bool hasReachedServer(const core::AttemptOutcome &Outcome) {
  return Outcome.Verdict != base::Verdict::NotRun ||
         Outcome.Reason == base::Reason::BackendShed ||
         Outcome.Reason == base::Reason::BackendMisdirected;
}

base::Duration retryDelay(std::uint32_t Number, base::Random &Source) {
  base::Duration MaxDelay = FirstBackoff;
  for (std::uint32_t I = 2; I < Number && MaxDelay < MaxBackoff; ++I)
    MaxDelay = MaxDelay * 2;
  return base::scale(std::min(MaxDelay, MaxBackoff), base::uniformUnit(Source));
}

bool isRankShed(const AdmissionState &State, const config::KindSettings &Kind) {
  return budgetOf(State, Kind).RefusedShare > ShedRefusalShare;
}

bool areRefusalsRare(const AdmissionState &State,
                     const config::KindSettings &Kind) {
  const RetryBudget &Budget = budgetOf(State, Kind);
  return Budget.RefusedShare < RareRefusalShare &&
         Budget.BudgetRefusedShare < RareRefusalShare;
}

bool takeRetryToken(AdmissionState &State, const config::KindSettings &Kind) {
  RetryBudget &Budget = State.Budgets[{Kind.Service, Kind.Rank}];
  if (Budget.Tokens < 1)
    return false;
  Budget.Tokens -= 1;
  return true;
}

RetryPlan planRetry(AdmissionState &State, const RetryQuery &Query,
                    base::Random &Source) {
  RetryPlan Plan;
  if (!canRetry(State, Query))
    return Plan;
  // Retry-After from an owner applies to its own queue or server, and the next
  // attempt may use another. From a backend server it applies to the service.
  bool FromOwner = isLoadRefusal(Query.Outcome.Reason) ||
                   Query.Outcome.Reason == base::Reason::BackendSuspect;
  base::Duration MinDelay =
      FromOwner ? base::Duration{} : Query.Outcome.RetryAfter;
  Plan.RetryAt =
      Query.Now + std::max(MinDelay, retryDelay(Query.Attempts + 1, Source));
  if (Plan.RetryAt + MinAttemptTime >= Query.Deadline)
    return Plan;
  Plan.Retry = Query.OwnersKeepBudget || takeRetryToken(State, Query.Kind);
  if (!Plan.Retry)
    Plan.DeniedReason = base::Reason::RetryBudget;
  return Plan;
}

void noteOutcome(AdmissionState &State, const config::Configuration &Config,
                 const config::KindSettings &Kind,
                 const core::AttemptOutcome &Outcome, base::TimePoint Now) {
  RetryBudget &Budget = State.Budgets[{Kind.Service, Kind.Rank}];
  bool Refused =
      Outcome.Verdict == base::Verdict::NotRun && isLoadRefusal(Outcome.Reason);
  Budget.RefusedShare +=
      ((Refused ? 1 : 0) - Budget.RefusedShare) * SampleWeight;
  bool OverBudget = Outcome.Reason == base::Reason::RetryBudget;
  Budget.BudgetRefusedShare +=
      ((OverBudget ? 1 : 0) - Budget.BudgetRefusedShare) * SampleWeight;
  if (Outcome.Verdict == base::Verdict::Ran &&
      Outcome.Reason == base::Reason::None)
    noteSuccess(Budget, budgetShare(Config, Kind.Service), Now);
}

} // namespace currantgauge::admission
