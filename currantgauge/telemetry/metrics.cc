#include "currantgauge/telemetry/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <cstddef>
#include <iterator>
#include <map>

namespace currantgauge::telemetry {
namespace {

enum class MetricType { Counter, Gauge, Histogram };

struct MetricRow {
  core::Metric Which;
  MetricType Type;
  const char *Name;
  const char *Help;
  const char *LabelA;
  const char *LabelB;
};

// One row a core::Metric, in its order.
constexpr MetricRow MetricRows[] = {
    {core::Metric::Requests, MetricType::Counter, "currantgauge_requests_total",
     "Requests of callers that ended", "kind", "verdict"},
    {core::Metric::Refusals, MetricType::Counter, "currantgauge_refusals_total",
     "Requests that ended without a good answer", "reason", "rank"},
    {core::Metric::Retries, MetricType::Counter, "currantgauge_retries_total",
     "Attempts after the first", "reason", "service"},
    {core::Metric::RequestSeconds, MetricType::Histogram,
     "currantgauge_request_seconds", "Time from arrival to the answer", "rank",
     "service"},
    {core::Metric::Ejections, MetricType::Counter,
     "currantgauge_ejections_total", "Backend servers taken out of traffic",
     "service", "server"},
    {core::Metric::PeerMessages, MetricType::Counter,
     "currantgauge_peer_messages_total", "Messages between nodes", "kind",
     "direction"},
    {core::Metric::StoreCalls, MetricType::Counter,
     "currantgauge_store_calls_total", "Calls of the platform's service",
     "operation", "status"},
    {core::Metric::LinkBytes, MetricType::Counter,
     "currantgauge_link_bytes_total", "Bytes between regions", "region",
     "direction"},
    {core::Metric::QueueLength, MetricType::Gauge, "currantgauge_queue_length",
     "Attempts that wait at this owner", "service", "rank"},
    {core::Metric::ConfigInForce, MetricType::Gauge,
     "currantgauge_config_version", "Configuration version in force", "scope",
     "origin"},
};

const prometheus::Histogram::BucketBoundaries LatencyBuckets = {
    0.0005, 0.001, 0.002, 0.004, 0.0057, 0.01, 0.02, 0.05,
    0.1,    0.2,   0.5,   1,     2,      5,    10,   30};

} // namespace

namespace detail {

struct MetricFamilies {
  prometheus::Registry Registry;
  std::map<core::Metric, prometheus::Family<prometheus::Counter> *> Counters;
  std::map<core::Metric, prometheus::Family<prometheus::Gauge> *> Gauges;
  std::map<core::Metric, prometheus::Family<prometheus::Histogram> *>
      Histograms;
};

} // namespace detail

namespace {

template <typename Builder>
auto *buildFamily(Builder Start, const MetricRow &Row,
                  prometheus::Registry &Registry) {
  return &Start.Name(Row.Name).Help(Row.Help).Register(Registry);
}

} // namespace

Metrics::Metrics() : Families(std::make_unique<detail::MetricFamilies>()) {
  detail::MetricFamilies &All = *this->Families;
  for (const MetricRow &Row : MetricRows) {
    if (Row.Type == MetricType::Counter)
      All.Counters[Row.Which] =
          buildFamily(prometheus::BuildCounter(), Row, All.Registry);
    if (Row.Type == MetricType::Gauge)
      All.Gauges[Row.Which] =
          buildFamily(prometheus::BuildGauge(), Row, All.Registry);
    if (Row.Type == MetricType::Histogram)
      All.Histograms[Row.Which] =
          buildFamily(prometheus::BuildHistogram(), Row, All.Registry);
  }
}

Metrics::~Metrics() = default;

void record(Metrics &Board, const core::Measure &Value) {
  detail::MetricFamilies &All = *Board.Families;
  auto Index = static_cast<std::size_t>(Value.Which);
  if (Index >= std::size(MetricRows))
    return;
  const MetricRow &Row = MetricRows[Index];
  std::map<std::string, std::string> Labels = {{Row.LabelA, Value.LabelA},
                                               {Row.LabelB, Value.LabelB}};
  switch (Row.Type) {
  case MetricType::Counter:
    All.Counters.at(Value.Which)->Add(Labels).Increment(Value.Amount);
    break;
  case MetricType::Gauge:
    All.Gauges.at(Value.Which)->Add(Labels).Set(Value.Amount);
    break;
  case MetricType::Histogram:
    All.Histograms.at(Value.Which)
        ->Add(Labels, LatencyBuckets)
        .Observe(Value.Amount);
    break;
  }
}

std::string metricsText(const Metrics &Board) {
  return prometheus::TextSerializer().Serialize(
      Board.Families->Registry.Collect());
}

} // namespace currantgauge::telemetry
