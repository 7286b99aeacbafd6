#include "currantgauge/admission/retry.h"

#include "currantgauge/admission/pressure.h"

#include <algorithm>
#include <cmath>

namespace currantgauge::admission {
namespace {

constexpr std::uint32_t AttemptLimit = 3; // of one request
// Where attempts that reach servers have a bound of their own, more owners may
// be asked.
constexpr std::uint32_t OwnerLimit = 5;
constexpr base::Duration FirstBackoff = base::milliseconds(5);
constexpr base::Duration LongestBackoff = base::milliseconds(200);
constexpr base::Duration LeastTime = base::milliseconds(2); // for an attempt
// A budget holds what the successes of this time have earned, so that an
// outage as long as this gets no more than its share of retries.
constexpr base::Duration BudgetSpan = base::seconds(10);
constexpr double FreshShare = 0.05; // of an attempt in RefusedShare
constexpr double RareRefusals = 0.1;
constexpr double ShedRefusals = 0.25; // share of attempts
constexpr base::Duration QuickRefusal = base::milliseconds(25);

// Refusals that every other owner would repeat are final.
bool isFinal(base::Reason Why) {
  switch (Why) {
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

// One owner that refuses for its load is an accident and another one may have
// room; many mean that the rank is shed, and an early answer is worth more than
// a second try, but for one that costs no time or is known to have room.
bool mayRetry(const AdmissionState &State, const RetryQuery &Query) {
  const core::AttemptOutcome &Outcome = Query.Outcome;
  std::uint32_t Limit = Query.Bound.Ratio > 0 ? OwnerLimit : AttemptLimit;
  if (Query.Committed || Query.Attempts >= Limit ||
      Query.Sends >= Query.Kind.Attempts || isFinal(Outcome.Why))
    return false;
  if (Outcome.What != base::Verdict::NotRun)
    return Query.Kind.Idempotent;
  if (!isLoadRefusal(Outcome.Why) || Query.HasRoomElsewhere ||
      Query.Now - Query.ArrivedAt < QuickRefusal)
    return true;
  auto Known = State.Budgets.find({Query.Kind.Service, Query.Kind.Rank});
  return Known == State.Budgets.end() ||
         Known->second.RefusedShare < RareRefusals;
}

double budgetShare(const config::Configuration &Config,
                   const base::ServiceName &Service) {
  auto Found = Config.Services.find(Service);
  return (Found == Config.Services.end() ? config::ServiceSettings()
                                         : Found->second)
             .RetryBudget.Value /
         100;
}

void noteSuccess(RetryBudget &Budget, double Share, base::TimePoint Now) {
  double Elapsed = base::toSeconds(Now - Budget.UpdatedAt);
  Budget.UpdatedAt = Now;
  Budget.Successes =
      Budget.Successes * std::exp(-Elapsed / base::toSeconds(BudgetSpan)) + 1;
  double Limit = std::max(1.0, Share * Budget.Successes);
  Budget.Tokens = std::min(Budget.Tokens + Share, Limit);
}

// Slack is shared out evenly and half of a node's part may be used at once, so
// that no window of any node holds more than its part. What requests earn is
// kept for half a window.
void refill(SharedRetryBudget &Budget, const FleetRetryBound &Bound,
            base::TimePoint Now) {
  double Part = Bound.Slack / static_cast<double>(Bound.Nodes) / 2;
  double Windows =
      base::toSeconds(Now - Budget.UpdatedAt) / base::toSeconds(Bound.Window);
  if (Budget.UpdatedAt == base::TimePoint{})
    Budget.Slack = Part;
  Budget.UpdatedAt = Now;
  Budget.Slack = std::min(Part, Budget.Slack + Part * Windows);
  Budget.Earned *= std::exp(-2 * Windows);
}

// Servers see nothing of an attempt that no server was sent.
bool takeShared(AdmissionState &State, const RetryQuery &Query) {
  if (Query.Sends == 0)
    return true;
  SharedRetryBudget &Budget = State.SharedBudgets[Query.Kind.Service];
  refill(Budget, Query.Bound, Query.Now);
  double &From = Budget.Earned >= 1 ? Budget.Earned : Budget.Slack;
  if (From < 1)
    return false;
  From -= 1;
  return true;
}

} // namespace

void noteRequest(AdmissionState &State, const base::ServiceName &Service,
                 const FleetRetryBound &Bound, base::TimePoint Now) {
  if (Bound.Ratio <= 0)
    return;
  SharedRetryBudget &Budget = State.SharedBudgets[Service];
  refill(Budget, Bound, Now);
  Budget.Earned += Bound.Ratio;
}

void returnSharedToken(AdmissionState &State,
                       const base::ServiceName &Service) {
  auto Found = State.SharedBudgets.find(Service);
  if (Found != State.SharedBudgets.end())
    Found->second.Earned += 1;
}

bool hasReachedServer(const core::AttemptOutcome &Outcome) {
  return Outcome.What != base::Verdict::NotRun ||
         Outcome.Why == base::Reason::BackendShed ||
         Outcome.Why == base::Reason::BackendMisdirected;
}

base::Duration retryDelay(std::uint32_t Number, base::Random &Source) {
  base::Duration Full = FirstBackoff;
  for (std::uint32_t I = 2; I < Number && Full < LongestBackoff; ++I)
    Full = Full * 2;
  return base::scaled(std::min(Full, LongestBackoff),
                      base::uniformUnit(Source));
}

bool isRankShed(const AdmissionState &State, const config::KindSettings &Kind) {
  auto Known = State.Budgets.find({Kind.Service, Kind.Rank});
  return Known != State.Budgets.end() &&
         Known->second.RefusedShare > ShedRefusals;
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
  if (!mayRetry(State, Query))
    return Plan;
  // An owner's Retry-After speaks of its own queue or server, a server's of its
  // service.
  bool OwnersAlone = isLoadRefusal(Query.Outcome.Why) ||
                     Query.Outcome.Why == base::Reason::BackendSuspect;
  base::Duration Floor =
      OwnersAlone ? base::Duration{} : Query.Outcome.RetryAfter;
  Plan.RetryAt =
      Query.Now + std::max(Floor, retryDelay(Query.Attempts + 1, Source));
  if (Plan.RetryAt + LeastTime >= Query.Deadline)
    return Plan;
  Plan.Retry = Query.Bound.Ratio > 0 ? takeShared(State, Query)
                                     : takeRetryToken(State, Query.Kind);
  if (!Plan.Retry)
    Plan.DeniedReason = base::Reason::RetryBudget;
  return Plan;
}

void noteOutcome(AdmissionState &State, const config::Configuration &Config,
                 const config::KindSettings &Kind,
                 const core::AttemptOutcome &Outcome, base::TimePoint Now) {
  RetryBudget &Budget = State.Budgets[{Kind.Service, Kind.Rank}];
  bool Refused =
      Outcome.What == base::Verdict::NotRun && isLoadRefusal(Outcome.Why);
  Budget.RefusedShare += ((Refused ? 1 : 0) - Budget.RefusedShare) * FreshShare;
  if (Outcome.What == base::Verdict::Ran && Outcome.Why == base::Reason::None)
    noteSuccess(Budget, budgetShare(Config, Kind.Service), Now);
}

} // namespace currantgauge::admission
