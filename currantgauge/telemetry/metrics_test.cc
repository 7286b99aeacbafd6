#include "currantgauge/telemetry/metrics.h"

#include <doctest/doctest.h>

#include <string>

namespace currantgauge::telemetry {

TEST_CASE("each refusal reason has a counter of its own") {
  Metrics Board;
  record(Board, {core::Metric::Refusals, "queue_full", "urgent", 1});
  record(Board, {core::Metric::Refusals, "queue_full", "urgent", 1});
  record(Board, {core::Metric::Refusals, "no_backend", "urgent", 1});
  std::string Page = renderMetrics(Board);
  CHECK(Page.find("currantgauge_refusals_total{rank=\"urgent\",reason=\"queue_"
                  "full\"} 2") != std::string::npos);
  CHECK(Page.find("reason=\"no_backend\"} 1") != std::string::npos);
}

TEST_CASE("series with one label alike are counted apart") {
  Metrics Board;
  record(Board, {core::Metric::Retries, "peer_lost", "cutlist", 1});
  record(Board, {core::Metric::Retries, "peer_lost", "stocktally", 2});
  record(Board, {core::Metric::Retries, "peer_lost", "cutlist", 3});
  record(Board, {core::Metric::Refusals, "peer_lost", "cutlist", 5});
  record(Board, {core::Metric::QueueLength, "cutlist", "urgent", 7});
  record(Board, {core::Metric::QueueLength, "cutlist", "urgent", 2});
  std::string Page = renderMetrics(Board);
  for (const char *Line :
       {"retries_total{reason=\"peer_lost\",service=\"cutlist\"} 4",
        "retries_total{reason=\"peer_lost\",service=\"stocktally\"} 2",
        "refusals_total{rank=\"cutlist\",reason=\"peer_lost\"} 5",
        "queue_length{rank=\"urgent\",service=\"cutlist\"} 2"})
    CHECK(Page.find(Line) != std::string::npos);
}

TEST_CASE("latency is a histogram with a bucket at the target") {
  Metrics Board;
  record(Board, {core::Metric::RequestSeconds, "urgent", "cutlist", 0.005});
  CHECK(renderMetrics(Board).find("le=\"0.0057\"} 1") != std::string::npos);
}

} // namespace currantgauge::telemetry
