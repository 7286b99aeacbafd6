#include "currantgauge/admission/latency.h"

#include <algorithm>
#include <cmath>

namespace currantgauge::admission {
namespace {

constexpr double MinLatencyMicros = 100;
constexpr double BucketGrowth = 1.1;
constexpr double HedgeQuantile = 0.95;
constexpr std::uint32_t MinSamples = 50;
constexpr std::uint32_t HalveAtTotal = 2000;

std::size_t bucketIndex(base::Duration Latency) {
  double Ratio = static_cast<double>(Latency.Micros) / MinLatencyMicros;
  if (Ratio <= 1)
    return 0;
  auto Index =
      static_cast<std::size_t>(std::log(Ratio) / std::log(BucketGrowth)) + 1;
  return std::min(Index, LatencyHistogram::Size - 1);
}

void halveCounts(LatencyHistogram &Histogram) {
  Histogram.Total = 0;
  for (std::uint32_t &Count : Histogram.Counts) {
    Count /= 2;
    Histogram.Total += Count;
  }
}

} // namespace

void noteLatency(LatencyHistogram &Histogram, base::Duration Latency) {
  ++Histogram.Counts[bucketIndex(Latency)];
  if (++Histogram.Total >= HalveAtTotal)
    halveCounts(Histogram);
}

std::optional<base::Duration> hedgeDelay(const LatencyHistogram &Histogram) {
  if (Histogram.Total < MinSamples)
    return std::nullopt;
  double Cumulative = 0;
  std::size_t Index = 0;
  while (Index + 1 < LatencyHistogram::Size) {
    Cumulative += Histogram.Counts[Index];
    if (Cumulative >= HedgeQuantile * Histogram.Total)
      break;
    ++Index;
  }
  return base::Duration{static_cast<std::int64_t>(
      MinLatencyMicros * std::pow(BucketGrowth, static_cast<double>(Index)))};
}

} // namespace currantgauge::admission
