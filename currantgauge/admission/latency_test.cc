#include "currantgauge/admission/latency.h"

#include <doctest/doctest.h>

namespace currantgauge::admission {

TEST_CASE("the hedge delay is the 95th percentile of recent times") {
  LatencyHistogram Times;
  CHECK_FALSE(hedgeDelay(Times));
  for (int I = 0; I < 1000; ++I)
    noteLatency(Times, I % 100 < 94 ? base::milliseconds(20)
                                    : base::milliseconds(400));
  REQUIRE(hedgeDelay(Times));
  CHECK(*hedgeDelay(Times) >= base::milliseconds(400));
  CHECK(*hedgeDelay(Times) <= base::milliseconds(440));
  // Newer times replace older ones.
  for (int I = 0; I < 10000; ++I)
    noteLatency(Times, base::milliseconds(20));
  CHECK(*hedgeDelay(Times) <= base::milliseconds(22));
  noteLatency(Times, base::seconds(1000000));
}

} // namespace currantgauge::admission
