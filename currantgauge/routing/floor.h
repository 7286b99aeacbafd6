// The floor of a routing set: who of the sick may be out.
//
//   std::vector<bool> Out = selectEjected(Candidates, Settings.Floor);
#ifndef CURRANTGAUGE_ROUTING_FLOOR_H
#define CURRANTGAUGE_ROUTING_FLOOR_H

#include "currantgauge/base/units.h"

#include <cstdint>
#include <vector>

namespace currantgauge::routing {

// EjectionCandidate is one announced server in selectEjected().
struct EjectionCandidate {
  std::uint32_t Slots = 1;
  bool AcceptsWork = true;  // false: leaving or drained, counted as announced
  bool ShouldEject = false; // should be out
  double Suspicion = 0;
};

// selectEjected() returns the sick candidates that may be out, most suspicious
// first, while the others' slots stay at or above the floor.
std::vector<bool>
selectEjected(const std::vector<EjectionCandidate> &Candidates,
              base::Percent Floor);

} // namespace currantgauge::routing

#endif // CURRANTGAUGE_ROUTING_FLOOR_H
