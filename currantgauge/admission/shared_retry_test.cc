#include "currantgauge/admission/retry.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstdint>
#include <vector>

namespace currantgauge::admission {
namespace {

constexpr base::TimePoint Start{1000000};
constexpr std::size_t Nodes = 19;

FleetRetryBound sampleBound() {
  FleetRetryBound Bound;
  Bound.Ratio = 0.2;
  Bound.Slack = 56;
  Bound.Nodes = Nodes;
  return Bound;
}

config::KindSettings sampleKind() {
  config::KindSettings Kind;
  Kind.Name = base::KindName("read");
  Kind.Service = base::ServiceName("cutlist");
  Kind.Attempts = 100;
  return Kind;
}

// Load is a fleet in which every attempt fails at its server.
struct Load {
  std::vector<AdmissionState> States = std::vector<AdmissionState>(Nodes);
  config::KindSettings Kind = sampleKind();
  base::Random Source{7};
  std::vector<std::int64_t> Requests; // by tenth of a second
  std::vector<std::int64_t> Retries;
};

void runRequest(Load &Case, std::size_t Node, std::int64_t Tenth) {
  base::TimePoint Now = Start + base::milliseconds(100) * Tenth;
  AdmissionState &State = Case.States[Node];
  noteRequest(State, Case.Kind.Service, sampleBound(), Now);
  ++Case.Requests[static_cast<std::size_t>(Tenth)];
  core::AttemptOutcome Failed;
  Failed.What = base::Verdict::Ran;
  Failed.Why = base::Reason::BackendError;
  for (std::uint32_t Sends = 1; Sends < 4; ++Sends) {
    RetryQuery Query{.Kind = Case.Kind,
                     .Outcome = Failed,
                     .Attempts = Sends,
                     .ArrivedAt = Now,
                     .Deadline = Now + base::seconds(5),
                     .Now = Now,
                     .Sends = Sends,
                     .Bound = sampleBound()};
    if (!planRetry(State, Query, Case.Source).Retry)
      return;
    ++Case.Retries[static_cast<std::size_t>(Tenth)];
  }
}

std::int64_t sumOf(const std::vector<std::int64_t> &Counts, std::int64_t From,
                   std::int64_t To) {
  std::int64_t Sum = 0;
  for (std::int64_t I = std::max<std::int64_t>(From, 0); I < To; ++I)
    Sum += Counts[static_cast<std::size_t>(I)];
  return Sum;
}

// The bound counts a window's requests, or those of the window before it or of
// the one half a window before, whichever are most.
void checkWindows(const Load &Case) {
  constexpr std::int64_t Window = 100; // tenths of a second
  auto End = static_cast<std::int64_t>(Case.Requests.size());
  for (std::int64_t To = Window; To <= End; ++To) {
    std::int64_t Most = 0;
    for (std::int64_t Back : {std::int64_t{0}, Window / 2, Window})
      Most =
          std::max(Most, sumOf(Case.Requests, To - Window - Back, To - Back));
    CHECK(static_cast<double>(sumOf(Case.Retries, To - Window, To)) <=
          0.2 * static_cast<double>(Most) + 56);
  }
}

} // namespace

TEST_CASE("the fleet's retries keep their bound for any spread of traffic") {
  for (std::uint64_t Seed = 1; Seed <= 10; ++Seed) {
    CAPTURE(Seed);
    Load Case;
    base::Random Spread(Seed);
    constexpr std::int64_t Tenths = 600;
    Case.Requests.resize(Tenths);
    Case.Retries.resize(Tenths);
    for (std::int64_t Tenth = 0; Tenth < Tenths; ++Tenth) {
      // A calm fleet, a flood at a few nodes, silence, a flood at all.
      std::uint64_t Count = Tenth < 200   ? 6
                            : Tenth < 300 ? 30
                            : Tenth < 400 ? 0
                                          : 20;
      std::size_t Width = Tenth >= 200 && Tenth < 300 ? 3 : Nodes;
      for (std::uint64_t I = 0; I < Count; ++I)
        runRequest(Case, base::uniformBelow(Spread, Width), Tenth);
    }
    checkWindows(Case);
    CHECK(sumOf(Case.Retries, 0, Tenths) > 100);
  }
}

TEST_CASE("an attempt that reached no server costs nothing of the bound") {
  AdmissionState State;
  config::KindSettings Kind = sampleKind();
  base::Random Source(7);
  core::AttemptOutcome Refused;
  Refused.What = base::Verdict::NotRun;
  Refused.Why = base::Reason::BackendSuspect;
  Refused.RetryAfter = base::seconds(1);
  for (int I = 0; I < 100; ++I) {
    RetryPlan Plan = planRetry(State,
                               {.Kind = Kind,
                                .Outcome = Refused,
                                .Attempts = 1,
                                .ArrivedAt = Start,
                                .Deadline = Start + base::seconds(5),
                                .Now = Start,
                                .Sends = 0,
                                .Bound = sampleBound()},
                               Source);
    CHECK(Plan.Retry);
    // The owner's pause is of its server: another owner is asked at once.
    CHECK(Plan.RetryAt < Start + base::milliseconds(50));
  }
}

} // namespace currantgauge::admission
