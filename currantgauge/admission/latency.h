// Latencies of kinds of work as seen by an entry, the node that received the
// request, and the delay after which a request may be hedged (attempted twice).
//
//   noteLatency(Histograms[Kind], Latency);
//   if (auto Delay = hedgeDelay(Histograms[Kind]))
//     setTimer(...);
#ifndef CURRANTGAUGE_ADMISSION_LATENCY_H
#define CURRANTGAUGE_ADMISSION_LATENCY_H

#include "currantgauge/base/units.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace currantgauge::admission {

// LatencyHistogram counts recent latencies from 0.1 ms to 1000 s in buckets
// that grow by a tenth each. All counts are halved when Total reaches a limit,
// so that recent ones prevail.
struct LatencyHistogram {
  static constexpr std::size_t Size = 170;
  std::array<std::uint32_t, Size> Counts{};
  std::uint32_t Total = 0;
};

// noteLatency() counts an answered request.
void noteLatency(LatencyHistogram &Histogram, base::Duration Latency);

// hedgeDelay() returns the 95th percentile of the latencies, overestimated by
// at most a tenth. None while there are too few samples.
std::optional<base::Duration> hedgeDelay(const LatencyHistogram &Histogram);

} // namespace currantgauge::admission

#endif // CURRANTGAUGE_ADMISSION_LATENCY_H
