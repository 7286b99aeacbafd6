// Backend server selection by an owner, among the servers that it owns.
//
//   if (!canOwnedServerAdmit(State, Query, RetryAfter)) refuse(RetryAfter);
//   BackendServer *Server = chooseOwnedServer(State, Query, Preferred);
#ifndef CURRANTGAUGE_ROUTING_CHOOSE_OWNED_H
#define CURRANTGAUGE_ROUTING_CHOOSE_OWNED_H

#include "currantgauge/base/ids.h"
#include "currantgauge/base/units.h"
#include "currantgauge/routing/choose.h"
#include "currantgauge/routing/state.h"

namespace currantgauge::routing {

// canOwnedServerAdmit() returns whether the breaker of some ready owned server
// of the service would admit the request; true as well when there is no such
// server. If false, ShortestDelay is the shortest retry delay of the breakers.
bool canOwnedServerAdmit(const RoutingState &State, const ChoiceQuery &Query,
                         base::Duration &ShortestDelay);

// chooseOwnedServer() returns Preferred if it is an owned server that has a
// free slot and may run the request now, else the least loaded such server, or
// null.
BackendServer *chooseOwnedServer(RoutingState &State, const ChoiceQuery &Query,
                                 const base::BackendName &Preferred);

// noteOwnedAdmitted() records that an owned server is sent an attempt, which
// may be a trial of its breaker or of its spell.
void noteOwnedAdmitted(RoutingState &State, const BackendServer &Server,
                       const ChoiceQuery &Query);

} // namespace currantgauge::routing

#endif // CURRANTGAUGE_ROUTING_CHOOSE_OWNED_H
