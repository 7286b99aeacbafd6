// The clocks. The reducer doesn't read them; it gets the time from its events.
//
//   core::Event Event{steadyNow(), wallNow(), Body};
#ifndef CURRANTGAUGE_RUNTIME_CLOCK_H
#define CURRANTGAUGE_RUNTIME_CLOCK_H

#include "currantgauge/base/units.h"

#include <chrono>

namespace currantgauge::runtime {

// steadyNow() returns the time of the monotonic clock.
inline base::TimePoint steadyNow() {
  return base::TimePoint{
      std::chrono::duration_cast<std::chrono::microseconds>(
          std::chrono::steady_clock::now().time_since_epoch())
          .count()};
}

// wallNow() returns the wall-clock time.
inline base::UnixTime wallNow() {
  return base::UnixTime{std::chrono::duration_cast<std::chrono::milliseconds>(
                            std::chrono::system_clock::now().time_since_epoch())
                            .count()};
}

} // namespace currantgauge::runtime

#endif // CURRANTGAUGE_RUNTIME_CLOCK_H
