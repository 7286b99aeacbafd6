// Servers that announced to this node that they leave or are gone. A departure
// ends an incarnation, whether or not the server is known here and whatever
// happens to its record.
//
//   noteDeparture(State, Name, Incarnation, BackendPhase::Gone, Now);
//   if (departedPhase(State, Name, Incarnation, Now) == BackendPhase::Gone) ...
#ifndef CURRANTGAUGE_ROUTING_DEPARTURES_H
#define CURRANTGAUGE_ROUTING_DEPARTURES_H

#include "currantgauge/base/ids.h"
#include "currantgauge/base/units.h"
#include "currantgauge/routing/backend_server.h"
#include "currantgauge/routing/state.h"

namespace currantgauge::routing {

// noteDeparture() records that an incarnation of a server has announced Phase,
// Leaving or Gone, or renews that record. A departure of an older incarnation
// than the recorded one is ignored.
void noteDeparture(RoutingState &State, const base::BackendName &Name,
                   base::Incarnation Incarnation, BackendPhase Phase,
                   base::TimePoint Now);

// departedPhase() returns the phase, Leaving or Gone, that a server has
// announced in this incarnation, Gone if it has departed in a later one, else
// Ready.
BackendPhase departedPhase(const RoutingState &State,
                           const base::BackendName &Name,
                           base::Incarnation Incarnation, base::TimePoint Now);

// forgetExpiredDepartures() removes departures that were not renewed in time.
void forgetExpiredDepartures(RoutingState &State, base::TimePoint Now);

} // namespace currantgauge::routing

#endif // CURRANTGAUGE_ROUTING_DEPARTURES_H
