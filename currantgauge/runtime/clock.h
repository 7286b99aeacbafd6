// The clocks, read by the edges alone.
//
//   core::Event Happened{steadyNow(), wallNow(), Body};
#ifndef CURRANTGAUGE_RUNTIME_CLOCK_H
#define CURRANTGAUGE_RUNTIME_CLOCK_H

#include "currantgauge/base/units.h"

#include <chrono>

namespace currantgauge::runtime {

// steadyNow() is the node's steady clock.
inline base::TimePoint steadyNow() {
  return base::TimePoint{
      std::chrono::duration_cast<std::chrono::microseconds>(
          std::chrono::steady_clock::now().time_since_epoch())
          .count()};
}

// wallNow() is wall-clock time.
inline base::UnixTime wallNow() {
  return base::UnixTime{std::chrono::duration_cast<std::chrono::milliseconds>(
                            std::chrono::system_clock::now().time_since_epoch())
                            .count()};
}

} // namespace currantgauge::runtime

#endif // CURRANTGAUGE_RUNTIME_CLOCK_H
