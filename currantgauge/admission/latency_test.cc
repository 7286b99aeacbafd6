#include "currantgauge/admission/latency.h"

#include <doctest/doctest.h>

namespace currantgauge::admission {

TEST_CASE("the hedge delay is the 95th percentile of recent times") {
  LatencyHistogram Histogram;
  CHECK_FALSE(hedgeDelay(Histogram));
  for (int I = 0; I < 1000; ++I)
    noteLatency(Histogram, I % 100 < 94 ? base::milliseconds(20)
                                        : base::milliseconds(400));
  REQUIRE(hedgeDelay(Histogram));
  CHECK(*hedgeDelay(Histogram) >= base::milliseconds(400));
  CHECK(*hedgeDelay(Histogram) <= base::milliseconds(440));
  // Newer latencies replace older ones.
  for (int I = 0; I < 10000; ++I)
    noteLatency(Histogram, base::milliseconds(20));
  CHECK(*hedgeDelay(Histogram) <= base::milliseconds(22));
  noteLatency(Histogram, base::seconds(1000000));
}

} // namespace currantgauge::admission
