// Usual times of kinds of work at an entry, to hedge what takes longer.
//
//   noteLatency(Times[Kind], Took);
//   if (auto After = hedgeDelay(Times[Kind])) setTimer(...);
#ifndef CURRANTGAUGE_ADMISSION_LATENCY_H
#define CURRANTGAUGE_ADMISSION_LATENCY_H

#include "currantgauge/base/units.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace currantgauge::admission {

// LatencyHistogram counts recent times in buckets a tenth apart, from 0.1 ms
// to 1000 s. Older counts fade.
struct LatencyHistogram {
  static constexpr std::size_t Size = 170;
  std::array<std::uint32_t, Size> Counts{};
  std::uint32_t Total = 0;
};

// noteLatency() counts a request that was answered.
void noteLatency(LatencyHistogram &Times, base::Duration Took);

// hedgeDelay() returns the 95th percentile, at most a tenth too long; nothing
// while too few requests were seen.
std::optional<base::Duration> hedgeDelay(const LatencyHistogram &Times);

} // namespace currantgauge::admission

#endif // CURRANTGAUGE_ADMISSION_LATENCY_H
