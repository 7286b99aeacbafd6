#include "currantgauge/admission/caller_cost.h"

#include <doctest/doctest.h>

#include <cstdint>

namespace currantgauge::admission {
namespace {

RefusedWork makeWork(std::int64_t AimMillis, std::int64_t LeftMillis) {
  return {.Aim = base::milliseconds(AimMillis),
          .Waited = {},
          .TimeLeft = base::milliseconds(LeftMillis)};
}

} // namespace

TEST_CASE("a refused caller is told to wait at most a third of its time") {
  for (std::int64_t Aim : {0, 600, 2500})
    for (std::int64_t Left : {50, 200, 600, 3000, 20000})
      for (std::int64_t Forecast : {0, 500, 5000})
        for (double Draw : {0.0, 0.5, 0.999}) {
          RefusedWork Work = makeWork(Aim, Left);
          CHECK(returnDelay(Work, base::milliseconds(Forecast), Draw) <=
                Work.TimeLeft / 3);
        }
}

TEST_CASE("a caller whose time ends before there is room isn't told to come "
          "back") {
  CHECK(returnDelay(makeWork(0, 1000), base::seconds(1), 0.5) ==
        base::Duration{});
  CHECK(returnDelay(makeWork(0, 3000), base::seconds(1), 0.5) >
        base::Duration{});
}

TEST_CASE("a caller can come back three times within its aim") {
  RefusedWork Work = makeWork(2500, 10000);
  CHECK(returnDelay(Work, {}, 0.999) * 3 < Work.Aim);
}

TEST_CASE("a caller that has waited longer returns first") {
  RefusedWork Late = makeWork(2500, 6000);
  RefusedWork Early = Late;
  Early.Waited = base::milliseconds(500);
  CHECK(returnDelay(Early, {}, 0.5) < returnDelay(Late, {}, 0.5));
}

TEST_CASE("callers that are refused together don't return together") {
  RefusedWork Work = makeWork(2500, 6000);
  base::Duration Spread =
      returnDelay(Work, {}, 0.999) - returnDelay(Work, {}, 0);
  CHECK(Spread >= base::milliseconds(200));
}

} // namespace currantgauge::admission
