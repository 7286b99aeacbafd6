// Messages to other nodes.
//
//   PeerMessage Message = newMessage(State, MessageKind::Rumours);
//   sendTo(State, Peer, std::move(Message), Effects);
#ifndef CURRANTGAUGE_MEMBERSHIP_SEND_H
#define CURRANTGAUGE_MEMBERSHIP_SEND_H

#include "currantgauge/base/ids.h"
#include "currantgauge/core/effect.h"
#include "currantgauge/membership/message.h"
#include "currantgauge/membership/state.h"

namespace currantgauge::membership {

// newMessage() returns a message with its sender filled in.
PeerMessage newMessage(const MembershipState &State, MessageKind Kind);

// addRefutableRecord() puts in what the addressee must refute, when it isn't
// thought alive here.
void addRefutableRecord(const MembershipState &State,
                        const base::NodeName &Recipient, PeerMessage &Message);

// sendTo() sends to a member; nothing happens when it is unknown.
void sendTo(const MembershipState &State, const base::NodeName &Recipient,
            PeerMessage Message, core::EffectList &Effects);

// answer() sends to the sender of a message.
void reply(const PeerMessage &Request, PeerMessage Message,
           core::EffectList &Effects);

} // namespace currantgauge::membership

#endif // CURRANTGAUGE_MEMBERSHIP_SEND_H
