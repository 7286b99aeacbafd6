#include "currantgauge/admission/retry.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstdint>

namespace currantgauge::admission {
namespace {

constexpr base::TimePoint Start{1000000};

config::KindSettings sampleKind() {
  config::KindSettings Kind;
  Kind.Name = base::KindName("read");
  Kind.Service = base::ServiceName("cutlist");
  Kind.Rank = base::RankName("normal");
  return Kind;
}

core::AttemptOutcome outcome(base::Verdict Verdict, base::Reason Reason) {
  core::AttemptOutcome Outcome;
  Outcome.Verdict = Verdict;
  Outcome.Reason = Reason;
  return Outcome;
}

// RequestLoad is a series of requests of one kind.
struct RequestLoad {
  AdmissionState State;
  config::Configuration Config;
  config::KindSettings Kind = sampleKind();
  base::Random Source{7};
  base::TimePoint Now = Start;
  std::uint64_t Attempts = 0;
};

// runRequest() makes all attempts of a request, each of which ends with Ending.
void runRequest(RequestLoad &Load, const core::AttemptOutcome &Ending) {
  Load.Now = Load.Now + base::milliseconds(10);
  for (std::uint32_t Number = 1;; ++Number) {
    ++Load.Attempts;
    noteOutcome(Load.State, Load.Config, Load.Kind, Ending, Load.Now);
    RetryQuery Query{.Kind = Load.Kind,
                     .Outcome = Ending,
                     .Attempts = Number,
                     .ArrivedAt = Load.Now,
                     .Deadline = Load.Now + base::seconds(1),
                     .Now = Load.Now};
    if (Ending.Reason == base::Reason::None ||
        !planRetry(Load.State, Query, Load.Source).Retry)
      return;
  }
}

RetryPlan planFirstRetry(const config::KindSettings &Kind,
                         const core::AttemptOutcome &Outcome,
                         base::Duration TimeLeft) {
  AdmissionState State;
  base::Random Source(7);
  return planRetry(
      State, {Kind, Outcome, false, 1, Start, Start + TimeLeft, Start}, Source);
}

} // namespace

TEST_CASE("in an outage retries are at most a tenth of the requests") {
  RequestLoad Load;
  for (int I = 0; I < 6000; ++I)
    runRequest(Load, outcome(base::Verdict::Ran, base::Reason::None));
  CHECK(Load.Attempts == 6000);
  Load.Attempts = 0;
  auto Down =
      outcome(base::Verdict::NotRun, base::Reason::BackendRefusedConnection);
  for (int I = 0; I < 3000; ++I)
    runRequest(Load, Down);
  CHECK(Load.Attempts > 3000);
  CHECK(Load.Attempts <= 1.1 * 3000);
}

TEST_CASE("an outage from the start gets almost no retries") {
  RequestLoad Load;
  auto Down = outcome(base::Verdict::MayHaveRun, base::Reason::BackendTimeout);
  for (int I = 0; I < 100; ++I)
    runRequest(Load, Down);
  CHECK(Load.Attempts <= 1.1 * 100);
}

TEST_CASE("a request that may have run is retried only if it is idempotent") {
  config::KindSettings Kind = sampleKind();
  auto Reset = outcome(base::Verdict::MayHaveRun, base::Reason::BackendReset);
  CHECK(planFirstRetry(Kind, Reset, base::seconds(1)).Retry);
  Kind.Idempotent = false;
  CHECK_FALSE(planFirstRetry(Kind, Reset, base::seconds(1)).Retry);
  auto NotRun =
      outcome(base::Verdict::NotRun, base::Reason::BackendRefusedConnection);
  CHECK(planFirstRetry(Kind, NotRun, base::seconds(1)).Retry);
}

TEST_CASE("Retry-After is the minimum backoff and the deadline bounds it") {
  auto Shed = outcome(base::Verdict::Ran, base::Reason::BackendShed);
  Shed.RetryAfter = base::milliseconds(300);
  RetryPlan Plan = planFirstRetry(sampleKind(), Shed, base::seconds(1));
  CHECK(Plan.Retry);
  CHECK(Plan.RetryAt >= Start + base::milliseconds(300));
  CHECK_FALSE(
      planFirstRetry(sampleKind(), Shed, base::milliseconds(200)).Retry);
}

TEST_CASE("backoff doubles and is jittered") {
  base::Random Source(7);
  base::Duration Longest;
  for (int I = 0; I < 1000; ++I) {
    CHECK(retryDelay(2, Source) <= base::milliseconds(5));
    Longest = std::max(Longest, retryDelay(4, Source));
  }
  CHECK(Longest > base::milliseconds(15));
  CHECK(Longest <= base::milliseconds(20));
}

TEST_CASE("a late refusal is not retried while its rank is shed") {
  RequestLoad Load;
  auto Refused = outcome(base::Verdict::NotRun, base::Reason::ShedByPressure);
  RetryQuery Query{Load.Kind,
                   Refused,
                   false,
                   1,
                   Start,
                   Start + base::seconds(1),
                   Start + base::milliseconds(40)};
  CHECK(planRetry(Load.State, Query, Load.Source).Retry);
  for (int I = 0; I < 20; ++I)
    noteOutcome(Load.State, Load.Config, Load.Kind, Refused, Start);
  Load.State.Budgets.begin()->second.Tokens = 5;
  CHECK_FALSE(planRetry(Load.State, Query, Load.Source).Retry);
}

TEST_CASE("a late refusal is retried if another server has a free slot") {
  AdmissionState State;
  base::Random Source(7);
  config::KindSettings Kind = sampleKind();
  State.Budgets[{Kind.Service, Kind.Rank}].RefusedShare = 0.5;
  State.Budgets[{Kind.Service, Kind.Rank}].Tokens = 5;
  core::AttemptOutcome Shed =
      outcome(base::Verdict::NotRun, base::Reason::ShedByPressure);
  RetryQuery Query{.Kind = Kind,
                   .Outcome = Shed,
                   .Attempts = 1,
                   .ArrivedAt = Start,
                   .Deadline = Start + base::seconds(1),
                   .Now = Start + base::milliseconds(300)};
  CHECK_FALSE(planRetry(State, Query, Source).Retry);
  Query.HasFreeSlotElsewhere = true;
  CHECK(planRetry(State, Query, Source).Retry);
}

TEST_CASE("a refusal for the budget leads to another owner until most are") {
  AdmissionState State;
  config::Configuration Config;
  base::Random Source(7);
  config::KindSettings Kind = sampleKind();
  core::AttemptOutcome Refused =
      outcome(base::Verdict::NotRun, base::Reason::RetryBudget);
  RetryQuery Query{.Kind = Kind,
                   .Outcome = Refused,
                   .Attempts = 2,
                   .ArrivedAt = Start,
                   .Deadline = Start + base::seconds(1),
                   .Now = Start + base::milliseconds(300),
                   .Sends = 1,
                   .OwnersKeepBudget = true};
  CHECK(planRetry(State, Query, Source).Retry);
  for (int I = 0; I < 10; ++I)
    noteOutcome(State, Config, Kind, Refused, Start);
  CHECK_FALSE(planRetry(State, Query, Source).Retry);
}

TEST_CASE("where owners keep the budget an unsent attempt is tried again") {
  AdmissionState State;
  base::Random Source(7);
  config::KindSettings Kind = sampleKind();
  core::AttemptOutcome Refused =
      outcome(base::Verdict::NotRun, base::Reason::BackendSuspect);
  Refused.RetryAfter = base::seconds(1);
  for (int I = 0; I < 100; ++I) {
    RetryPlan Plan = planRetry(State,
                               {.Kind = Kind,
                                .Outcome = Refused,
                                .Attempts = 1,
                                .ArrivedAt = Start,
                                .Deadline = Start + base::seconds(5),
                                .Now = Start,
                                .OwnersKeepBudget = true},
                               Source);
    CHECK(Plan.Retry);
    // The owner's Retry-After is about its server: another owner is tried at
    // once.
    CHECK(Plan.RetryAt < Start + base::milliseconds(50));
  }
}

} // namespace currantgauge::admission
