// Rounds of talk between nodes.
//
//   startRound(State, Routing, Effects);
#ifndef CURRANTGAUGE_MEMBERSHIP_GOSSIP_H
#define CURRANTGAUGE_MEMBERSHIP_GOSSIP_H

#include "currantgauge/base/random.h"
#include "currantgauge/base/units.h"
#include "currantgauge/core/effect.h"
#include "currantgauge/membership/message.h"
#include "currantgauge/membership/state.h"
#include "currantgauge/routing/state.h"

namespace currantgauge::membership {

// startRound() sends this round's messages.
void startRound(MembershipState &State, const routing::RoutingState &Routing,
                base::Random &Source, base::TimePoint Now,
                core::EffectList &Effects);

// onMessage() takes a peer's message, merges what is new and answers it.
void onMessage(MembershipState &State, routing::RoutingState &Routing,
               const PeerMessage &Message, base::TimePoint Now,
               core::EffectList &Effects);

} // namespace currantgauge::membership

#endif // CURRANTGAUGE_MEMBERSHIP_GOSSIP_H
