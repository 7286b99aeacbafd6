// The periodic gossip round of a node, and the handling of received messages.
//
//   startRound(Node, Effects);            // every GossipInterval
//   onMessage(Node, Message, Effects);
#ifndef CURRANTGAUGE_MEMBERSHIP_GOSSIP_H
#define CURRANTGAUGE_MEMBERSHIP_GOSSIP_H

#include "currantgauge/core/effect.h"
#include "currantgauge/core/state.h"
#include "currantgauge/membership/message.h"

namespace currantgauge::membership {

// startRound() runs one gossip round: expiry of suspicions and of old records,
// queueing of updates, discovery of members, probes and anti-entropy.
void startRound(core::State &Node, core::EffectList &Effects);

// onMessage() merges the records of a peer's message, and replies if its kind
// requires a reply.
void onMessage(core::State &Node, const PeerMessage &Message,
               core::EffectList &Effects);

// announceLeaving() notifies some nodes of each region at once that this node
// is stopping, and removes its row from the nodes table.
void announceLeaving(core::State &Node, core::EffectList &Effects);

} // namespace currantgauge::membership

#endif // CURRANTGAUGE_MEMBERSHIP_GOSSIP_H
