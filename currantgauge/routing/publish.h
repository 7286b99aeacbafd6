// Publication of an owner's evidence on its backend servers: suspicion, shares
// and usual times, quantized so that small fluctuations cause no gossip.
//
//   publish(State, Peers, Server, Evidence, Now, Effects);
#ifndef CURRANTGAUGE_ROUTING_PUBLISH_H
#define CURRANTGAUGE_ROUTING_PUBLISH_H

#include "currantgauge/base/units.h"
#include "currantgauge/core/effect.h"
#include "currantgauge/membership/state.h"
#include "currantgauge/routing/state.h"

namespace currantgauge::routing {

// publish() updates the server's record from its evidence. When the published
// suspicion rises, entries that recently sent work are notified at once; all
// other nodes receive the record by gossip.
void publish(RoutingState &State, const membership::MembershipState &Peers,
             BackendServer &Server, ServerEvidence &Evidence,
             base::TimePoint Now, core::EffectList &Effects);

} // namespace currantgauge::routing

#endif // CURRANTGAUGE_ROUTING_PUBLISH_H
