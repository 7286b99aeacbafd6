// The distribution of exchange times of one kind of work, as a decaying
// histogram, and the classification of a duration by its tail probability.
//
//   addSample(Histogram, milliseconds(20));
//   TimeBounds Bounds = computeBounds(computeProfile(Histogram));
//   std::size_t Bin = findTailBin(Bounds, Age);
#ifndef CURRANTGAUGE_ROUTING_TIME_PROFILE_H
#define CURRANTGAUGE_ROUTING_TIME_PROFILE_H

#include "currantgauge/base/ids.h"
#include "currantgauge/base/units.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace currantgauge::routing {

// TimeProfile holds quantiles of a kind of work's exchange time; 0: unknown.
struct TimeProfile {
  base::Duration Median;
  base::Duration Q90;
  base::Duration Q99;

  bool isKnown() const { return this->Q99 > base::Duration{}; }
  bool operator==(const TimeProfile &) const = default;
};

// KindTime is the time profile of a kind at one backend server, as published.
struct KindTime {
  base::KindName Kind;
  TimeProfile Times;

  bool operator==(const KindTime &) const = default;
};

// TimeHistogram counts durations in logarithmic buckets, four per doubling.
struct TimeHistogram {
  static constexpr std::size_t BucketCount = 96;
  std::array<std::uint16_t, BucketCount> Buckets{};
  std::uint32_t Total = 0;
};

// addSample() adds one duration, and halves all counts when the window is full.
void addSample(TimeHistogram &Histogram, base::Duration Elapsed);

// hasEnoughSamples() returns whether there are enough samples for a profile.
bool hasEnoughSamples(const TimeHistogram &Histogram);

// computeProfile() returns the quantiles, or an unknown profile if there are
// too few samples.
TimeProfile computeProfile(const TimeHistogram &Histogram);

// computeMedianProfile() returns the median of each quantile, or an unknown
// profile if Profiles is empty.
TimeProfile computeMedianProfile(std::vector<TimeProfile> Profiles);

// TailBinCount is the number of bins by how rare a duration is. At most about
// one in 10 healthy exchanges falls into bin 1 or later, one in 100 into 2 or
// later, one in 333 into 3 or later, one in 1000 into 4.
constexpr std::size_t TailBinCount = 5;
// TailShare is the share of healthy exchanges in a bin or any later one.
constexpr std::array<double, TailBinCount> TailShare = {1, 0.1, 0.01, 0.003,
                                                        0.001};

// TimeBounds holds the lower edge of each tail bin except bin 0.
struct TimeBounds {
  std::array<base::Duration, TailBinCount - 1> LowerEdges{};

  bool isKnown() const { return this->LowerEdges[0] > base::Duration{}; }
};

// computeBounds() derives the bounds from a profile, with a tolerance for a
// server that is somewhat slower than the service's other servers.
TimeBounds computeBounds(const TimeProfile &Usual);

// findTailBin() returns the tail bin of a duration, or 0 if the bounds are
// unknown.
std::size_t findTailBin(const TimeBounds &Bounds, base::Duration Elapsed);

} // namespace currantgauge::routing

#endif // CURRANTGAUGE_ROUTING_TIME_PROFILE_H
