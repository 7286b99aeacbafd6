// Rounds of talk between nodes, and what a node does with a message.
//
//   startRound(Node, Effects);            // every GossipInterval
//   onMessage(Node, Message, Effects);
#ifndef CURRANTGAUGE_MEMBERSHIP_GOSSIP_H
#define CURRANTGAUGE_MEMBERSHIP_GOSSIP_H

#include "currantgauge/core/effect.h"
#include "currantgauge/core/state.h"
#include "currantgauge/membership/message.h"

namespace currantgauge::membership {

// startRound() probes a member, ends suspicions and does what else is due.
void startRound(core::State &Node, core::EffectList &Effects);

// onMessage() takes a peer's message, merges what is new and answers it.
void onMessage(core::State &Node, const PeerMessage &Message,
               core::EffectList &Effects);

// announceLeaving() tells other nodes, at once, that this one stops.
void announceLeaving(core::State &Node, core::EffectList &Effects);

} // namespace currantgauge::membership

#endif // CURRANTGAUGE_MEMBERSHIP_GOSSIP_H
