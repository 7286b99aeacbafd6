#include "tests/soak/plan.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>
#include <stdexcept>

namespace currantgauge::soak {

TEST_CASE("a seed always gives the same plan, and text round-trips") {
  std::vector<Fault> Plan = makePlan(7, Millis(20000), 5);
  CHECK(Plan == makePlan(7, Millis(20000), 5));
  CHECK(Plan != makePlan(8, Millis(20000), 5));
  CHECK(parsePlan(formatPlan(Plan)) == Plan);
  CHECK(std::is_sorted(Plan.begin(), Plan.end(),
                       [](const Fault &A, const Fault &B) {
                         return A.StartTime < B.StartTime;
                       }));
}

TEST_CASE("every kind of fault occurs in some plan, and some faults overlap") {
  std::set<FaultKind> Kinds;
  bool HasOverlap = false;
  for (std::uint64_t Seed = 1; Seed <= 50; ++Seed) {
    std::vector<Fault> Plan = makePlan(Seed, Millis(20000), 5);
    for (std::size_t I = 0; I < Plan.size(); ++I) {
      Kinds.insert(Plan[I].Kind);
      CHECK(Plan[I].Machine < 5);
      HasOverlap =
          HasOverlap || (I > 0 && Plan[I - 1].StartTime + Plan[I - 1].Duration >
                                      Plan[I].StartTime);
    }
  }
  CHECK(Kinds.size() == static_cast<std::size_t>(LastFaultKind) + 1);
  CHECK(HasOverlap);
}

TEST_CASE("restored copies of every age from 1 to 9 s occur in plans") {
  std::set<Millis> Ages;
  for (std::uint64_t Seed = 1; Seed <= 50; ++Seed)
    for (const Fault &Entry : makePlan(Seed, Millis(20000), 5))
      if (Entry.Kind == FaultKind::StoreRestored)
        Ages.insert(copyAge(Entry));
  CHECK(Ages == std::set<Millis>{Millis(1000), Millis(3000), Millis(5000),
                                 Millis(7000), Millis(9000)});
}

TEST_CASE("a malformed plan is rejected with its line number") {
  CHECK_THROWS_WITH_AS(parsePlan("# a plan\n100 node_kill 1 200\nnonsense\n"),
                       doctest::Contains("line 3"), std::runtime_error);
  CHECK_THROWS_AS(parsePlan("100 node_tickle 1 200\n"), std::runtime_error);
}

} // namespace currantgauge::soak
