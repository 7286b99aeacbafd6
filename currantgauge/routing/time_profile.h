// How long exchanges of one kind of work usually take, as a decaying histogram,
// and how rare a longer one is.
//
//   learn(Histogram, milliseconds(20));
//   TimeBounds Bounds = computeBounds(computeProfile(Histogram));
//   TailBin Bin = findTailBin(Bounds, Age);
#ifndef CURRANTGAUGE_ROUTING_TIME_PROFILE_H
#define CURRANTGAUGE_ROUTING_TIME_PROFILE_H

#include "currantgauge/base/ids.h"
#include "currantgauge/base/units.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace currantgauge::routing {

// TimeProfile is three quantiles of a kind's usual time. Zero: not known.
struct TimeProfile {
  base::Duration Median;
  base::Duration Q90;
  base::Duration Q99;

  bool isKnown() const { return this->Q99 > base::Duration{}; }
  bool operator==(const TimeProfile &) const = default;
};

// KindTime is a kind's usual time at one backend server, as nodes tell it.
struct KindTime {
  base::KindName Kind;
  TimeProfile Times;

  bool operator==(const KindTime &) const = default;
};

// TimeHistogram counts durations in buckets that grow by a quarter power of 2.
struct TimeHistogram {
  static constexpr std::size_t BucketCount = 96;
  std::array<std::uint16_t, BucketCount> Buckets{};
  std::uint32_t Total = 0;
};

// learn() adds one duration and halves old counts when the window is full.
void addSample(TimeHistogram &Histogram, base::Duration Elapsed);

// isKnown() says that there are samples enough for a profile.
bool hasEnoughSamples(const TimeHistogram &Histogram);

// computeProfile() returns the quantiles; unknown while samples are too few.
TimeProfile computeProfile(const TimeHistogram &Histogram);

// computeMedianProfile() returns the median of each quantile; unknown when
// empty.
TimeProfile computeMedianProfile(std::vector<TimeProfile> Profiles);

// TailBin says how rare a duration is: in Bin 1 and later is one exchange in
// 10, in 2 one in 100, in 3 one in 333, in 4 one in 1000.
constexpr std::size_t TailBinCount = 5;
// TailShare is the share of healthy exchanges in a bin or a later one.
constexpr std::array<double, TailBinCount> TailShare = {1, 0.1, 0.01, 0.003,
                                                        0.001};

// TimeBounds holds the shortest duration of each bin but the first.
struct TimeBounds {
  std::array<base::Duration, TailBinCount - 1> LowerEdges{};

  bool isKnown() const { return this->LowerEdges[0] > base::Duration{}; }
};

// computeBounds() allows for a server somewhat slower than its peers.
TimeBounds computeBounds(const TimeProfile &Usual);

// findTailBin() returns the bin of a duration, 0 when the bounds are not known.
std::size_t findTailBin(const TimeBounds &Bounds, base::Duration Elapsed);

} // namespace currantgauge::routing

#endif // CURRANTGAUGE_ROUTING_TIME_PROFILE_H
