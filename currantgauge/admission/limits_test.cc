#include "currantgauge/admission/limits.h"

#include "currantgauge/admission/link.h"

#include <doctest/doctest.h>

#include <string>

namespace currantgauge::admission {
namespace {

constexpr base::TimePoint Start{1000000};

} // namespace

TEST_CASE("a workspace's limit holds and does not affect other workspaces") {
  config::Configuration Config;
  config::KindSettings Kind;
  base::WorkspaceName Busy("busy"), Quiet("quiet");
  Config.Workspaces[Busy].Limit = base::PerSecond{10};
  Config.Workspaces[Busy].Burst = 5;
  Config.Workspaces[Quiet].Limit = base::PerSecond{10};
  RateLimits Limits;
  int Admitted = 0;
  for (int I = 0; I < 1000; ++I) // ten seconds
    if (takeRequestTokens(Limits, Config, Kind, Busy,
                          Start + base::milliseconds(10 * I)) ==
        base::Reason::None)
      ++Admitted;
  CHECK(Admitted >= 100);
  CHECK(Admitted <= 106);
  CHECK(takeRequestTokens(Limits, Config, Kind, Quiet,
                          Start + base::seconds(10)) == base::Reason::None);
}

TEST_CASE(
    "a request refused by its kind's limit does not charge the workspace") {
  config::Configuration Config;
  config::KindSettings Kind;
  Kind.Limit = base::PerSecond{1};
  base::WorkspaceName Name("w");
  Config.Workspaces[Name].Limit = base::PerSecond{2};
  RateLimits Limits;
  CHECK(takeRequestTokens(Limits, Config, Kind, Name, Start) ==
        base::Reason::None);
  for (int I = 0; I < 5; ++I)
    CHECK(takeRequestTokens(Limits, Config, Kind, Name, Start) ==
          base::Reason::KindLimit);
  CHECK(Limits.Workspaces.Buckets.at(Name).Tokens == 1);
}

TEST_CASE("idle buckets of many workspaces are dropped") {
  constexpr int Count = 240000;
  config::Configuration Config;
  config::KindSettings Kind;
  RateLimits Limits;
  base::TimePoint Now = Start;
  std::size_t MaxBuckets = 0;
  for (int I = 0; I < Count; ++I) {
    base::WorkspaceName Name("workspace-" + std::to_string(I));
    Config.Workspaces[Name].Limit = base::PerSecond{10};
    Now = Now + base::microseconds(1850); // 540 requests a second
    takeRequestTokens(Limits, Config, Kind, Name, Now);
    MaxBuckets = std::max(MaxBuckets, Limits.Workspaces.Buckets.size());
  }
  // A bucket is full again after a tenth of a second.
  CHECK(MaxBuckets <= 60);
  CHECK(Limits.Workspaces.ByFullAt.size() == Limits.Workspaces.Buckets.size());
}

TEST_CASE("the link budget bounds bytes and reserves room for urgent ranks") {
  LinkBudget Budget;
  config::LinkSettings Settings{base::ByteCount{100000}};
  base::ByteCount Body{9400}; // 10,000 with AttemptOverhead
  int Lookups = 0, Urgent = 0;
  while (takeLinkBudget(Budget, Settings, 2, Body, Start))
    ++Lookups;
  while (takeLinkBudget(Budget, Settings, 0, Body, Start))
    ++Urgent;
  CHECK(Lookups == 5);
  CHECK(Urgent == 5);
  CHECK(takeLinkBudget(Budget, Settings, 0, Body,
                       Start + base::milliseconds(100)));
  // Responses are charged afterwards.
  chargeLinkBudget(Budget, Settings, base::ByteCount{100000},
                   Start + base::milliseconds(100));
  CHECK_FALSE(
      takeLinkBudget(Budget, Settings, 0, Body, Start + base::seconds(1)));
  CHECK(takeLinkBudget(Budget, Settings, 0, Body, Start + base::seconds(2)));
  config::LinkSettings None;
  CHECK(takeLinkBudget(Budget, None, 9, base::ByteCount{1ULL << 40}, Start));
}

} // namespace currantgauge::admission
