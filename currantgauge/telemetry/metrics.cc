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
#include <mutex>
#include <string>
#include <tuple>
#include <variant>

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
    {core::Metric::PartSeconds, MetricType::Histogram,
     "currantgauge_part_seconds",
     "Time of an attempt in its owner's queue, at the backend server, and "
     "between entry and owner",
     "part", "rank"},
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
    {core::Metric::LogLines, MetricType::Counter,
     "currantgauge_log_lines_total", "Log lines by what became of them",
     "outcome", "origin"},
};

const prometheus::Histogram::BucketBoundaries LatencyBuckets = {
    0.0005, 0.001, 0.002, 0.004, 0.0057, 0.01, 0.02, 0.05,
    0.1,    0.2,   0.5,   1,     2,      5,    10,   30};

} // namespace

namespace detail {

using Series = std::variant<prometheus::Counter *, prometheus::Gauge *,
                            prometheus::Histogram *>;

// The amount is no part of a series' name.
struct BySeries {
  bool operator()(const core::Measure &A, const core::Measure &B) const {
    return std::tie(A.Name, A.LabelA, A.LabelB) <
           std::tie(B.Name, B.LabelA, B.LabelB);
  }
};

struct MetricFamilies {
  prometheus::Registry Registry;
  std::map<core::Metric, prometheus::Family<prometheus::Counter> *> Counters;
  std::map<core::Metric, prometheus::Family<prometheus::Gauge> *> Gauges;
  std::map<core::Metric, prometheus::Family<prometheus::Histogram> *>
      Histograms;
  std::mutex Lock; // of Known
  std::map<core::Measure, Series, BySeries> Known;
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

namespace {

detail::Series openSeries(detail::MetricFamilies &All,
                          const core::Measure &Value) {
  const MetricRow &Row = MetricRows[static_cast<std::size_t>(Value.Name)];
  std::map<std::string, std::string> Labels = {{Row.LabelA, Value.LabelA},
                                               {Row.LabelB, Value.LabelB}};
  switch (Row.Type) {
  case MetricType::Counter:
    return &All.Counters.at(Value.Name)->Add(Labels);
  case MetricType::Gauge:
    return &All.Gauges.at(Value.Name)->Add(Labels);
  case MetricType::Histogram:
    break;
  }
  return &All.Histograms.at(Value.Name)->Add(Labels, LatencyBuckets);
}

// The library looks a series up by a map of labels that is built, hashed and
// copied for each call; a node measures a handful of series over and over.
detail::Series seriesOf(detail::MetricFamilies &All,
                        const core::Measure &Value) {
  std::lock_guard<std::mutex> Guard(All.Lock);
  auto Found = All.Known.find(Value);
  if (Found != All.Known.end())
    return Found->second;
  detail::Series Opened = openSeries(All, Value);
  All.Known.emplace(Value, Opened);
  return Opened;
}

struct Apply {
  double Amount;

  void operator()(prometheus::Counter *One) const {
    One->Increment(this->Amount);
  }
  void operator()(prometheus::Gauge *One) const { One->Set(this->Amount); }
  void operator()(prometheus::Histogram *One) const {
    One->Observe(this->Amount);
  }
};

} // namespace

void record(Metrics &Board, const core::Measure &Value) {
  if (static_cast<std::size_t>(Value.Name) >= std::size(MetricRows))
    return;
  std::visit(Apply{Value.Amount}, seriesOf(*Board.Families, Value));
}

std::string renderMetrics(const Metrics &Board) {
  return prometheus::TextSerializer().Serialize(
      Board.Families->Registry.Collect());
}

} // namespace currantgauge::telemetry
