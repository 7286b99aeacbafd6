// Prometheus metrics of a node, by prometheus-cpp: among others, a counter for
// each refusal and retry reason, and latency histograms by rank and service.
//
//   Metrics NodeMetrics;
//   record(NodeMetrics, {core::Metric::Refusals, "queue_full", "low"});
//   std::string Text = renderMetrics(NodeMetrics);
#ifndef CURRANTGAUGE_TELEMETRY_METRICS_H
#define CURRANTGAUGE_TELEMETRY_METRICS_H

#include "currantgauge/core/effect.h"

#include <memory>
#include <string>

namespace currantgauge::telemetry {

namespace detail {
struct MetricFamilies;
} // namespace detail

// Metrics holds the metrics registry of one node.
struct Metrics {
  Metrics();
  ~Metrics();
  Metrics(const Metrics &) = delete;
  Metrics &operator=(const Metrics &) = delete;

  std::unique_ptr<detail::MetricFamilies> Families;
};

// record() adds a measure to its counter, sets its gauge or observes it in its
// histogram; any thread may call it.
void record(Metrics &NodeMetrics, const core::Measure &Measure);

// renderMetrics() returns all metrics in the Prometheus text format.
std::string renderMetrics(const Metrics &NodeMetrics);

} // namespace currantgauge::telemetry

#endif // CURRANTGAUGE_TELEMETRY_METRICS_H
