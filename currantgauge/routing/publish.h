// What an owner tells of its backend servers: suspicion, shares and usual
// times, in steps, so that wavering figures make no rumours.
//
//   publish(State, Peers, Server, Evidence, Now, Effects);
#ifndef CURRANTGAUGE_ROUTING_PUBLISH_H
#define CURRANTGAUGE_ROUTING_PUBLISH_H

#include "currantgauge/base/units.h"
#include "currantgauge/core/effect.h"
#include "currantgauge/membership/state.h"
#include "currantgauge/routing/state.h"

namespace currantgauge::routing {

// publish() brings the server's record up to date with its evidence. Entries
// that sent work lately hear of a rise at once, the others by gossip.
void publish(RoutingState &State, const membership::MembershipState &Peers,
             BackendServer &Server, ServerEvidence &Evidence,
             base::TimePoint Now, core::EffectList &Effects);

} // namespace currantgauge::routing

#endif // CURRANTGAUGE_ROUTING_PUBLISH_H
