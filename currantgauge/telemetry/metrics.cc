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

struct MetricDescriptor {
  core::Metric Metric;
  MetricType Type;
  const char *Name;
  const char *Help;
  const char *LabelNameA;
  const char *LabelNameB;
};

// One entry for each core::Metric, in the order of its enumerators.
constexpr MetricDescriptor MetricDescriptors[] = {
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
    {core::Metric::UnansweredRequests, MetricType::Counter,
     "currantgauge_unanswered_requests_total",
     "Requests whose connection ended before their answer was written", "cause",
     "decided"},
    {core::Metric::StoreRestores, MetricType::Counter,
     "currantgauge_store_restores_total",
     "Restores of the platform's service from an older copy", "scope",
     "origin"},
    {core::Metric::Permits, MetricType::Counter, "currantgauge_permits_total",
     "Permits under the rate limits for all nodes together", "outcome", "role"},
};

// Upper bounds in seconds.
const prometheus::Histogram::BucketBoundaries LatencyBuckets = {
    0.0005, 0.001, 0.002, 0.004, 0.0057, 0.01, 0.02, 0.05,
    0.1,    0.2,   0.5,   1,     2,      5,    10,   30};

} // namespace

namespace detail {

using Series = std::variant<prometheus::Counter *, prometheus::Gauge *,
                            prometheus::Histogram *>;

// Orders measures by metric and label values, which identify a time series. The
// amount is ignored.
struct SeriesLess {
  bool operator()(const core::Measure &A, const core::Measure &B) const {
    return std::tie(A.Name, A.LabelValueA, A.LabelValueB) <
           std::tie(B.Name, B.LabelValueA, B.LabelValueB);
  }
};

struct MetricFamilies {
  prometheus::Registry Registry;
  std::map<core::Metric, prometheus::Family<prometheus::Counter> *> Counters;
  std::map<core::Metric, prometheus::Family<prometheus::Gauge> *> Gauges;
  std::map<core::Metric, prometheus::Family<prometheus::Histogram> *>
      Histograms;
  std::mutex Lock; // guards KnownSeries
  std::map<core::Measure, Series, SeriesLess> KnownSeries;
};

} // namespace detail

namespace {

template <typename Builder>
auto *buildFamily(Builder FamilyBuilder, const MetricDescriptor &Descriptor,
                  prometheus::Registry &Registry) {
  return &FamilyBuilder.Name(Descriptor.Name)
              .Help(Descriptor.Help)
              .Register(Registry);
}

} // namespace

Metrics::Metrics() : Families(std::make_unique<detail::MetricFamilies>()) {
  detail::MetricFamilies &Families = *this->Families;
  for (const MetricDescriptor &Descriptor : MetricDescriptors) {
    if (Descriptor.Type == MetricType::Counter)
      Families.Counters[Descriptor.Metric] = buildFamily(
          prometheus::BuildCounter(), Descriptor, Families.Registry);
    if (Descriptor.Type == MetricType::Gauge)
      Families.Gauges[Descriptor.Metric] =
          buildFamily(prometheus::BuildGauge(), Descriptor, Families.Registry);
    if (Descriptor.Type == MetricType::Histogram)
      Families.Histograms[Descriptor.Metric] = buildFamily(
          prometheus::BuildHistogram(), Descriptor, Families.Registry);
  }
}

Metrics::~Metrics() = default;

namespace {

detail::Series addSeries(detail::MetricFamilies &Families,
                         const core::Measure &Measure) {
  const MetricDescriptor &Descriptor =
      MetricDescriptors[static_cast<std::size_t>(Measure.Name)];
  std::map<std::string, std::string> Labels = {
      {Descriptor.LabelNameA, Measure.LabelValueA},
      {Descriptor.LabelNameB, Measure.LabelValueB}};
  switch (Descriptor.Type) {
  case MetricType::Counter:
    return &Families.Counters.at(Measure.Name)->Add(Labels);
  case MetricType::Gauge:
    return &Families.Gauges.at(Measure.Name)->Add(Labels);
  case MetricType::Histogram:
    break;
  }
  return &Families.Histograms.at(Measure.Name)->Add(Labels, LatencyBuckets);
}

// Returns a measure's time series from a cache. The library looks it up by a
// map of labels, which would be built, hashed and copied for each measure, and
// a node has few series.
detail::Series findOrAddSeries(detail::MetricFamilies &Families,
                               const core::Measure &Measure) {
  std::lock_guard<std::mutex> Guard(Families.Lock);
  auto It = Families.KnownSeries.find(Measure);
  if (It != Families.KnownSeries.end())
    return It->second;
  detail::Series Added = addSeries(Families, Measure);
  Families.KnownSeries.emplace(Measure, Added);
  return Added;
}

struct ApplyMeasure {
  double Amount;

  void operator()(prometheus::Counter *Series) const {
    Series->Increment(this->Amount);
  }
  void operator()(prometheus::Gauge *Series) const {
    Series->Set(this->Amount);
  }
  void operator()(prometheus::Histogram *Series) const {
    Series->Observe(this->Amount);
  }
};

} // namespace

void record(Metrics &NodeMetrics, const core::Measure &Measure) {
  if (static_cast<std::size_t>(Measure.Name) >= std::size(MetricDescriptors))
    return;
  std::visit(ApplyMeasure{Measure.Amount},
             findOrAddSeries(*NodeMetrics.Families, Measure));
}

std::string renderMetrics(const Metrics &NodeMetrics) {
  return prometheus::TextSerializer().Serialize(
      NodeMetrics.Families->Registry.Collect());
}

} // namespace currantgauge::telemetry
