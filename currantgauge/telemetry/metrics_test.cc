#include "currantgauge/telemetry/metrics.h"

#include <doctest/doctest.h>

#include <string>

namespace currantgauge::telemetry {

TEST_CASE("each refusal reason has its own counter") {
  Metrics NodeMetrics;
  record(NodeMetrics, {core::Metric::Refusals, "queue_full", "urgent", 1});
  record(NodeMetrics, {core::Metric::Refusals, "queue_full", "urgent", 1});
  record(NodeMetrics, {core::Metric::Refusals, "no_backend", "urgent", 1});
  std::string Text = renderMetrics(NodeMetrics);
  CHECK(Text.find("currantgauge_refusals_total{rank=\"urgent\",reason=\"queue_"
                  "full\"} 2") != std::string::npos);
  CHECK(Text.find("reason=\"no_backend\"} 1") != std::string::npos);
}

TEST_CASE("series that share one label value are counted separately") {
  Metrics NodeMetrics;
  record(NodeMetrics, {core::Metric::Retries, "peer_lost", "cutlist", 1});
  record(NodeMetrics, {core::Metric::Retries, "peer_lost", "stocktally", 2});
  record(NodeMetrics, {core::Metric::Retries, "peer_lost", "cutlist", 3});
  record(NodeMetrics, {core::Metric::Refusals, "peer_lost", "cutlist", 5});
  record(NodeMetrics, {core::Metric::QueueLength, "cutlist", "urgent", 7});
  record(NodeMetrics, {core::Metric::QueueLength, "cutlist", "urgent", 2});
  std::string Text = renderMetrics(NodeMetrics);
  for (const char *Line :
       {"retries_total{reason=\"peer_lost\",service=\"cutlist\"} 4",
        "retries_total{reason=\"peer_lost\",service=\"stocktally\"} 2",
        "refusals_total{rank=\"cutlist\",reason=\"peer_lost\"} 5",
        "queue_length{rank=\"urgent\",service=\"cutlist\"} 2"})
    CHECK(Text.find(Line) != std::string::npos);
}

TEST_CASE("the latency histogram has a bucket boundary at 5.7 ms") {
  Metrics NodeMetrics;
  record(NodeMetrics,
         {core::Metric::RequestSeconds, "urgent", "cutlist", 0.005});
  CHECK(renderMetrics(NodeMetrics).find("le=\"0.0057\"} 1") !=
        std::string::npos);
}

} // namespace currantgauge::telemetry
