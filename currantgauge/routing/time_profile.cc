#include "currantgauge/routing/time_profile.h"

#include <algorithm>
#include <cmath>

namespace currantgauge::routing {
namespace {

constexpr std::uint32_t HistogramWindow = 4096; // samples
constexpr std::uint32_t MinSamples = 100;
constexpr base::Duration FirstBucket = base::microseconds(100);
constexpr double BucketsPerDoubling = 4;

// A server up to this factor slower than others counts as healthy, since VMs
// differ in speed and the quantiles are estimates.
constexpr double SlowTolerance = 1.5;
// Delays up to this are harmless, however short the usual time is.
constexpr base::Duration PauseTolerance = base::milliseconds(10);
// Limits of the factor from one quantile to the ten times rarer one. The lower
// limit guards against samples whose tail ends too abruptly.
constexpr double MinFactorPerDecade = 2.15;
constexpr double MaxFactorPerDecade = 10;

std::size_t findBucket(base::Duration Elapsed) {
  if (Elapsed <= FirstBucket)
    return 0;
  double Ratio = static_cast<double>(Elapsed.Micros) /
                 static_cast<double>(FirstBucket.Micros);
  auto Bucket =
      static_cast<std::size_t>(std::log2(Ratio) * BucketsPerDoubling) + 1;
  return std::min(Bucket, TimeHistogram::BucketCount - 1);
}

base::Duration computeUpperEdge(std::size_t Bucket) {
  return base::scale(
      FirstBucket, std::exp2(static_cast<double>(Bucket) / BucketsPerDoubling));
}

base::Duration computeQuantile(const TimeHistogram &Histogram, double Share) {
  double Target = Share * Histogram.Total;
  double Below = 0;
  for (std::size_t I = 0; I < TimeHistogram::BucketCount; ++I) {
    double Count = Histogram.Buckets[I];
    if (Count > 0 && Below + Count >= Target) {
      base::Duration Low = I == 0 ? base::Duration{} : computeUpperEdge(I - 1);
      return Low +
             base::scale(computeUpperEdge(I) - Low, (Target - Below) / Count);
    }
    Below += Count;
  }
  return computeUpperEdge(TimeHistogram::BucketCount - 1);
}

base::Duration computeMedian(std::vector<base::Duration> &Values) {
  auto Middle = Values.begin() + static_cast<std::ptrdiff_t>(Values.size() / 2);
  std::nth_element(Values.begin(), Middle, Values.end());
  return *Middle;
}

} // namespace

void addSample(TimeHistogram &Histogram, base::Duration Elapsed) {
  ++Histogram.Buckets[findBucket(Elapsed)];
  if (++Histogram.Total < HistogramWindow)
    return;
  Histogram.Total = 0;
  for (std::uint16_t &Bucket : Histogram.Buckets) {
    Bucket /= 2;
    Histogram.Total += Bucket;
  }
}

bool hasEnoughSamples(const TimeHistogram &Histogram) {
  return Histogram.Total >= MinSamples;
}

TimeProfile computeProfile(const TimeHistogram &Histogram) {
  if (!hasEnoughSamples(Histogram))
    return {};
  return {computeQuantile(Histogram, 0.5), computeQuantile(Histogram, 0.9),
          computeQuantile(Histogram, 0.99)};
}

TimeProfile computeMedianProfile(std::vector<TimeProfile> Profiles) {
  if (Profiles.empty())
    return {};
  std::vector<base::Duration> Medians, Q90s, Q99s;
  for (const TimeProfile &Profile : Profiles) {
    Medians.push_back(Profile.Median);
    Q90s.push_back(Profile.Q90);
    Q99s.push_back(Profile.Q99);
  }
  return {computeMedian(Medians), computeMedian(Q90s), computeMedian(Q99s)};
}

// Beyond the 99th percentile there are too few samples, so the tail is
// extrapolated as a power law with the slope between the 90th and 99th
// percentiles.
TimeBounds computeBounds(const TimeProfile &Usual) {
  if (!Usual.isKnown())
    return {};
  double FactorPerDecade = std::clamp(
      static_cast<double>(Usual.Q99.Micros) /
          static_cast<double>(std::max<std::int64_t>(Usual.Q90.Micros, 1)),
      MinFactorPerDecade, MaxFactorPerDecade);
  auto BoundAt = [&](base::Duration Quantile, double Share,
                     double QuantileShare) {
    double Decades = std::log10(QuantileShare / Share);
    return base::scale(Quantile,
                       SlowTolerance * std::pow(FactorPerDecade, Decades)) +
           PauseTolerance;
  };
  TimeBounds Bounds;
  Bounds.LowerEdges[0] = BoundAt(Usual.Q90, TailShare[1], TailShare[1]);
  for (std::size_t Bin = 2; Bin < TailBinCount; ++Bin)
    Bounds.LowerEdges[Bin - 1] =
        BoundAt(Usual.Q99, TailShare[Bin], TailShare[2]);
  return Bounds;
}

std::size_t findTailBin(const TimeBounds &Bounds, base::Duration Elapsed) {
  if (!Bounds.isKnown())
    return 0;
  std::size_t Bin = 0;
  while (Bin < Bounds.LowerEdges.size() && Elapsed >= Bounds.LowerEdges[Bin])
    ++Bin;
  return Bin;
}

} // namespace currantgauge::routing
