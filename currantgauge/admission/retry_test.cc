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

core::AttemptOutcome outcome(base::Verdict What, base::Reason Why) {
  core::AttemptOutcome Outcome;
  Outcome.What = What;
  Outcome.Why = Why;
  return Outcome;
}

// Load is requests of a kind that arrive one after the other.
struct Load {
  AdmissionState State;
  config::Configuration Config;
  config::KindSettings Kind = sampleKind();
  base::Random Source{7};
  base::TimePoint Now = Start;
  std::uint64_t Attempts = 0;
};

// runRequest() makes all attempts of a request, each of which ends like End.
void runRequest(Load &Case, const core::AttemptOutcome &End) {
  Case.Now = Case.Now + base::milliseconds(10);
  for (std::uint32_t Number = 1;; ++Number) {
    ++Case.Attempts;
    noteOutcome(Case.State, Case.Config, Case.Kind, End, Case.Now);
    RetryQuery Query{.Kind = Case.Kind,
                     .Outcome = End,
                     .Attempts = Number,
                     .ArrivedAt = Case.Now,
                     .Deadline = Case.Now + base::seconds(1),
                     .Now = Case.Now};
    if (End.Why == base::Reason::None ||
        !planRetry(Case.State, Query, Case.Source).Retry)
      return;
  }
}

RetryPlan planOnce(const config::KindSettings &Kind,
                   const core::AttemptOutcome &Outcome, base::Duration Left) {
  AdmissionState State;
  base::Random Source(7);
  return planRetry(State, {Kind, Outcome, false, 1, Start, Start + Left, Start},
                   Source);
}

} // namespace

TEST_CASE("an outage gets no more than a tenth of retries") {
  Load Case;
  for (int I = 0; I < 6000; ++I)
    runRequest(Case, outcome(base::Verdict::Ran, base::Reason::None));
  CHECK(Case.Attempts == 6000);
  Case.Attempts = 0;
  auto Down =
      outcome(base::Verdict::NotRun, base::Reason::BackendRefusedConnection);
  for (int I = 0; I < 3000; ++I)
    runRequest(Case, Down);
  CHECK(Case.Attempts > 3000);
  CHECK(Case.Attempts <= 1.1 * 3000);
}

TEST_CASE("an outage from the start gets next to no retries") {
  Load Case;
  auto Down = outcome(base::Verdict::MayHaveRun, base::Reason::BackendTimeout);
  for (int I = 0; I < 100; ++I)
    runRequest(Case, Down);
  CHECK(Case.Attempts <= 1.1 * 100);
}

TEST_CASE("what may have run is tried again only when it is idempotent") {
  config::KindSettings Kind = sampleKind();
  auto Reset = outcome(base::Verdict::MayHaveRun, base::Reason::BackendReset);
  CHECK(planOnce(Kind, Reset, base::seconds(1)).Retry);
  Kind.Idempotent = false;
  CHECK_FALSE(planOnce(Kind, Reset, base::seconds(1)).Retry);
  auto NotRun =
      outcome(base::Verdict::NotRun, base::Reason::BackendRefusedConnection);
  CHECK(planOnce(Kind, NotRun, base::seconds(1)).Retry);
}

TEST_CASE("Retry-After is the least backoff, and the deadline its bound") {
  auto Shed = outcome(base::Verdict::Ran, base::Reason::BackendShed);
  Shed.RetryAfter = base::milliseconds(300);
  RetryPlan Plan = planOnce(sampleKind(), Shed, base::seconds(1));
  CHECK(Plan.Retry);
  CHECK(Plan.RetryAt >= Start + base::milliseconds(300));
  CHECK_FALSE(planOnce(sampleKind(), Shed, base::milliseconds(200)).Retry);
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

TEST_CASE("a rank that is shed is not tried elsewhere late") {
  Load Case;
  auto Refused = outcome(base::Verdict::NotRun, base::Reason::ShedByPressure);
  RetryQuery Query{Case.Kind,
                   Refused,
                   false,
                   1,
                   Start,
                   Start + base::seconds(1),
                   Start + base::milliseconds(40)};
  CHECK(planRetry(Case.State, Query, Case.Source).Retry);
  for (int I = 0; I < 20; ++I)
    noteOutcome(Case.State, Case.Config, Case.Kind, Refused, Start);
  Case.State.Budgets.begin()->second.Tokens = 5;
  CHECK_FALSE(planRetry(Case.State, Query, Case.Source).Retry);
}

TEST_CASE("a late refusal for load is tried again where room is known") {
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
  Query.HasRoomElsewhere = true;
  CHECK(planRetry(State, Query, Source).Retry);
}

} // namespace currantgauge::admission
