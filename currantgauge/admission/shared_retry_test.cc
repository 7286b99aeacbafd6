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

// FleetLoad is the traffic of a fleet in which every attempt fails at its
// server.
struct FleetLoad {
  std::vector<AdmissionState> States = std::vector<AdmissionState>(Nodes);
  config::KindSettings Kind = sampleKind();
  base::Random Source{7};
  std::vector<std::int64_t> Requests; // by tenth of a second
  std::vector<std::int64_t> Retries;
};

void runRequest(FleetLoad &Load, std::size_t Node, std::int64_t Tenth) {
  base::TimePoint Now = Start + base::milliseconds(100) * Tenth;
  AdmissionState &State = Load.States[Node];
  noteRequest(State, Load.Kind.Service, sampleBound(), Now);
  ++Load.Requests[static_cast<std::size_t>(Tenth)];
  core::AttemptOutcome Failed;
  Failed.Verdict = base::Verdict::Ran;
  Failed.Reason = base::Reason::BackendError;
  for (std::uint32_t Sends = 1; Sends < 4; ++Sends) {
    RetryQuery Query{.Kind = Load.Kind,
                     .Outcome = Failed,
                     .Attempts = Sends,
                     .ArrivedAt = Now,
                     .Deadline = Now + base::seconds(5),
                     .Now = Now,
                     .Sends = Sends,
                     .Bound = sampleBound()};
    if (!planRetry(State, Query, Load.Source).Retry)
      return;
    ++Load.Retries[static_cast<std::size_t>(Tenth)];
  }
}

std::int64_t sumOf(const std::vector<std::int64_t> &Counts, std::int64_t From,
                   std::int64_t To) {
  std::int64_t Sum = 0;
  for (std::int64_t I = std::max<std::int64_t>(From, 0); I < To; ++I)
    Sum += Counts[static_cast<std::size_t>(I)];
  return Sum;
}

// The bound is based on the most requests of three windows: the same one, the
// one half a window earlier and the one a whole window earlier.
void checkWindows(const FleetLoad &Load) {
  constexpr std::int64_t Window = 100; // tenths of a second
  auto End = static_cast<std::int64_t>(Load.Requests.size());
  for (std::int64_t To = Window; To <= End; ++To) {
    std::int64_t MaxRequests = 0;
    for (std::int64_t Shift : {std::int64_t{0}, Window / 2, Window})
      MaxRequests = std::max(
          MaxRequests, sumOf(Load.Requests, To - Window - Shift, To - Shift));
    CHECK(static_cast<double>(sumOf(Load.Retries, To - Window, To)) <=
          0.2 * static_cast<double>(MaxRequests) + 56);
  }
}

} // namespace

TEST_CASE("the fleet's retries stay within their bound for any distribution") {
  for (std::uint64_t Seed = 1; Seed <= 10; ++Seed) {
    CAPTURE(Seed);
    FleetLoad Load;
    base::Random TrafficSource(Seed);
    constexpr std::int64_t Tenths = 600;
    Load.Requests.resize(Tenths);
    Load.Retries.resize(Tenths);
    for (std::int64_t Tenth = 0; Tenth < Tenths; ++Tenth) {
      // Normal traffic, a flood at three nodes, no traffic, a flood at all
      // nodes.
      std::uint64_t Count = Tenth < 200   ? 6
                            : Tenth < 300 ? 30
                            : Tenth < 400 ? 0
                                          : 20;
      std::size_t Width = Tenth >= 200 && Tenth < 300 ? 3 : Nodes;
      for (std::uint64_t I = 0; I < Count; ++I)
        runRequest(Load, base::uniformBelow(TrafficSource, Width), Tenth);
    }
    checkWindows(Load);
    CHECK(sumOf(Load.Retries, 0, Tenths) > 100);
  }
}

TEST_CASE("an attempt that reached no server takes nothing from the bound") {
  AdmissionState State;
  config::KindSettings Kind = sampleKind();
  base::Random Source(7);
  core::AttemptOutcome Refused;
  Refused.Verdict = base::Verdict::NotRun;
  Refused.Reason = base::Reason::BackendSuspect;
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
    // The owner's Retry-After is about its server: another owner is tried at
    // once.
    CHECK(Plan.RetryAt < Start + base::milliseconds(50));
  }
}

} // namespace currantgauge::admission
