// The event of a request and the search for an effect, for tests of the
// reducer.
//
//   reduce(Node, Event{Now, {}, makeRequest(1)}, Effects);
//   const StartAttempt *Start = find<StartAttempt>(Effects);
#ifndef CURRANTGAUGE_CORE_EVENTS_TEST_H
#define CURRANTGAUGE_CORE_EVENTS_TEST_H

#include "currantgauge/core/effect.h"
#include "currantgauge/core/event.h"

#include <cstdint>
#include <variant>

namespace currantgauge::core {

inline RequestArrived makeRequest(std::uint64_t Sequence) {
  RequestArrived Arrival;
  Arrival.Facts.Request = base::RequestId{1, Sequence};
  Arrival.Facts.Method = "GET";
  Arrival.Facts.Path = "/lists/7";
  return Arrival;
}

template <typename T> const T *find(const EffectList &Effects) {
  for (const Effect &Item : Effects)
    if (const T *Found = std::get_if<T>(&Item))
      return Found;
  return nullptr;
}

} // namespace currantgauge::core

#endif // CURRANTGAUGE_CORE_EVENTS_TEST_H
