#include "tests/soak/plan.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>
#include <stdexcept>

namespace currantgauge::soak {

TEST_CASE("a seed gives the same plan each time, and text gives it back") {
  std::vector<Fault> Plan = makePlan(7, Millis(20000), 5);
  CHECK(Plan == makePlan(7, Millis(20000), 5));
  CHECK(Plan != makePlan(8, Millis(20000), 5));
  CHECK(parsePlan(planText(Plan)) == Plan);
  CHECK(std::is_sorted(
      Plan.begin(), Plan.end(),
      [](const Fault &A, const Fault &B) { return A.At < B.At; }));
}

TEST_CASE("every kind of fault comes in some plan, and some overlap") {
  std::set<FaultKind> Kinds;
  bool Overlap = false;
  for (std::uint64_t Seed = 1; Seed <= 50; ++Seed) {
    std::vector<Fault> Plan = makePlan(Seed, Millis(20000), 5);
    for (std::size_t I = 0; I < Plan.size(); ++I) {
      Kinds.insert(Plan[I].Kind);
      CHECK(Plan[I].Machine < 5);
      Overlap =
          Overlap || (I > 0 && Plan[I - 1].At + Plan[I - 1].For > Plan[I].At);
    }
  }
  CHECK(Kinds.size() == static_cast<std::size_t>(LastFault) + 1);
  CHECK(Overlap);
}

TEST_CASE("a plan that can't be read is refused with its line") {
  CHECK_THROWS_WITH_AS(parsePlan("# a plan\n100 node_kill 1 200\nnonsense\n"),
                       doctest::Contains("line 3"), std::runtime_error);
  CHECK_THROWS_AS(parsePlan("100 node_tickle 1 200\n"), std::runtime_error);
}

} // namespace currantgauge::soak
