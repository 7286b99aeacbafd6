#include "currantgauge/admission/latency.h"

#include <algorithm>
#include <cmath>

namespace currantgauge::admission {
namespace {

constexpr double Shortest = 100; // microseconds
constexpr double Growth = 1.1;
constexpr double HedgeQuantile = 0.95;
constexpr std::uint32_t LeastSeen = 50;
constexpr std::uint32_t FadeAt = 2000;

std::size_t bucketOf(base::Duration Took) {
  double Ratio = static_cast<double>(Took.Micros) / Shortest;
  if (Ratio <= 1)
    return 0;
  auto Index = static_cast<std::size_t>(std::log(Ratio) / std::log(Growth)) + 1;
  return std::min(Index, LatencyHistogram::Size - 1);
}

void fade(LatencyHistogram &Times) {
  Times.Total = 0;
  for (std::uint32_t &Count : Times.Counts) {
    Count /= 2;
    Times.Total += Count;
  }
}

} // namespace

void noteLatency(LatencyHistogram &Times, base::Duration Took) {
  ++Times.Counts[bucketOf(Took)];
  if (++Times.Total >= FadeAt)
    fade(Times);
}

std::optional<base::Duration> hedgeDelay(const LatencyHistogram &Times) {
  if (Times.Total < LeastSeen)
    return std::nullopt;
  double Below = 0;
  std::size_t Index = 0;
  while (Index + 1 < LatencyHistogram::Size) {
    Below += Times.Counts[Index];
    if (Below >= HedgeQuantile * Times.Total)
      break;
    ++Index;
  }
  return base::Duration{static_cast<std::int64_t>(
      Shortest * std::pow(Growth, static_cast<double>(Index)))};
}

} // namespace currantgauge::admission
