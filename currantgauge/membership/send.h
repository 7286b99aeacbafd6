// Creation and sending of messages to other nodes.
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

// newMessage() returns a message of a kind, with the fields of its sender set.
PeerMessage newMessage(const MembershipState &State, MessageKind Kind);

// addRefutableRecord() adds the recipient's own record if it isn't alive here,
// so that the recipient can refute it.
void addRefutableRecord(const MembershipState &State,
                        const base::NodeName &Recipient, PeerMessage &Message);

// sendTo() sends to a member; does nothing if it is unknown.
void sendTo(const MembershipState &State, const base::NodeName &Recipient,
            PeerMessage Message, core::EffectList &Effects);

// reply() sends a message to the sender of Request.
void reply(const PeerMessage &Request, PeerMessage Message,
           core::EffectList &Effects);

} // namespace currantgauge::membership

#endif // CURRANTGAUGE_MEMBERSHIP_SEND_H
