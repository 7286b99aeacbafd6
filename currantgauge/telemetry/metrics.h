// Metrics by prometheus-cpp: a counter for each refusal and retry reason,
// latency histograms by rank and service.
//
//   Metrics Board;
//   record(Board, core::Measure{core::Metric::Refusals, "queue_full", "low"});
//   std::string Page = renderMetrics(Board);
#ifndef CURRANTGAUGE_TELEMETRY_METRICS_H
#define CURRANTGAUGE_TELEMETRY_METRICS_H

#include "currantgauge/core/effect.h"

#include <memory>
#include <string>

namespace currantgauge::telemetry {

namespace detail {
struct MetricFamilies;
} // namespace detail

// Metrics holds the registry of one node.
struct Metrics {
  Metrics();
  ~Metrics();
  Metrics(const Metrics &) = delete;
  Metrics &operator=(const Metrics &) = delete;

  std::unique_ptr<detail::MetricFamilies> Families;
};

// record() applies one measure; any thread may call it.
void record(Metrics &Board, const core::Measure &Value);

// renderMetrics() returns the page in the Prometheus text format.
std::string renderMetrics(const Metrics &Board);

} // namespace currantgauge::telemetry

#endif // CURRANTGAUGE_TELEMETRY_METRICS_H
