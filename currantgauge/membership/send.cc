#include "currantgauge/membership/send.h"

#include "currantgauge/membership/member.h"

#include <string>
#include <utility>

namespace currantgauge::membership {
namespace {

std::string kindName(MessageKind Kind) {
  switch (Kind) {
  case MessageKind::Ping:
    return "ping";
  case MessageKind::Ack:
    return "ack";
  case MessageKind::PingRequest:
    return "ping_request";
  case MessageKind::Sync:
    return "sync";
  case MessageKind::Rumours:
    return "rumours";
  case MessageKind::Permits:
    return "permits";
  }
  return "";
}

} // namespace

PeerMessage newMessage(const MembershipState &State, MessageKind Kind) {
  PeerMessage Message;
  Message.From = State.Self.Name;
  Message.FromAddress = State.Self.PeerAddress;
  Message.Kind = Kind;
  Message.Version = State.NewestVersion;
  return Message;
}

void addRefutableRecord(const MembershipState &State,
                        const base::NodeName &Recipient, PeerMessage &Message) {
  const Member *Peer = findMember(State, Recipient);
  if (Peer && Peer->Record.Phase != MemberPhase::Alive)
    Message.Members.push_back(Peer->Record);
}

void sendTo(const MembershipState &State, const base::NodeName &Recipient,
            PeerMessage Message, core::EffectList &Effects) {
  const Member *Peer = findMember(State, Recipient);
  if (!Peer)
    return;
  Effects.push_back(core::Measure{core::Metric::PeerMessages,
                                  kindName(Message.Kind), "out", 1});
  Effects.push_back(core::SendPeerMessage{Recipient, Peer->Record.PeerAddress,
                                          std::move(Message)});
}

void reply(const PeerMessage &Request, PeerMessage Message,
           core::EffectList &Effects) {
  Effects.push_back(core::Measure{core::Metric::PeerMessages,
                                  kindName(Message.Kind), "out", 1});
  Effects.push_back(core::SendPeerMessage{Request.From, Request.FromAddress,
                                          std::move(Message)});
}

} // namespace currantgauge::membership
