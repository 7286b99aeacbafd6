// The floor of a routing set: the minimum share of announced slots that stays
// in rotation.
//
//   std::vector<bool> Out = selectEjected(Candidates, Settings.Floor);
#ifndef CURRANTGAUGE_ROUTING_FLOOR_H
#define CURRANTGAUGE_ROUTING_FLOOR_H

#include "currantgauge/base/units.h"

#include <cstdint>
#include <vector>

namespace currantgauge::routing {

// EjectionCandidate is an announced server as selectEjected() needs it.
struct EjectionCandidate {
  std::uint32_t Slots = 1;
  bool AcceptsWork = true;  // false: counted as announced, never ejected
  bool ShouldEject = false; // false: stays in rotation anyway
  double Suspicion = 0;
};

// selectEjected() ejects candidates with ShouldEject, most suspicious first. It
// skips each one whose ejection would reduce the remaining slots below the
// floor. The result has one element per candidate; true: ejected.
std::vector<bool>
selectEjected(const std::vector<EjectionCandidate> &Candidates,
              base::Percent Floor);

} // namespace currantgauge::routing

#endif // CURRANTGAUGE_ROUTING_FLOOR_H
