#include "currantgauge/telemetry/metrics.h"

#include <doctest/doctest.h>

#include <string>

namespace currantgauge::telemetry {

TEST_CASE("each refusal reason has a counter of its own") {
  Metrics Board;
  record(Board, {core::Metric::Refusals, "queue_full", "urgent", 1});
  record(Board, {core::Metric::Refusals, "queue_full", "urgent", 1});
  record(Board, {core::Metric::Refusals, "no_backend", "urgent", 1});
  std::string Page = metricsText(Board);
  CHECK(Page.find("currantgauge_refusals_total{rank=\"urgent\",reason=\"queue_"
                  "full\"} 2") != std::string::npos);
  CHECK(Page.find("reason=\"no_backend\"} 1") != std::string::npos);
}

TEST_CASE("latency is a histogram with a bucket at the target") {
  Metrics Board;
  record(Board, {core::Metric::RequestSeconds, "urgent", "cutlist", 0.005});
  CHECK(metricsText(Board).find("le=\"0.0057\"} 1") != std::string::npos);
}

} // namespace currantgauge::telemetry
