// Probes of a home of workspaces while many members seem to be lost. They show
// sooner than the failure detector whether this node is cut off with a few
// others, while another home takes over.
//
//   updateRoster(State.Roster, Views, Now);
//   addProbes(State, Random, Now, Output);
#ifndef CURRANTGAUGE_ADMISSION_FLEET_PROBE_H
#define CURRANTGAUGE_ADMISSION_FLEET_PROBE_H

#include "currantgauge/admission/fleet_limit.h"
#include "currantgauge/base/random.h"
#include "currantgauge/base/units.h"

namespace currantgauge::admission {

// isLosingMembers() returns true if a part of the fleet was lost recently.
bool isLosingMembers(const FleetRoster &Roster, base::TimePoint Now);

// addProbes() sends asks for no permits, which any member answers. Called after
// each update of the roster; does nothing unless it is losing members and this
// node has issued permits.
void addProbes(const FleetLimitState &State, base::Random &Random,
               base::TimePoint Now, PermitOutput &Output);

} // namespace currantgauge::admission

#endif // CURRANTGAUGE_ADMISSION_FLEET_PROBE_H
