#include "currantgauge/membership/gossip.h"

#include "currantgauge/routing/registry.h"

#include <set>
#include <utility>

namespace currantgauge::membership {
namespace {

PeerMessage ownNews(const MembershipState &State,
                    const routing::RoutingState &Routing, MessageKind Kind) {
  PeerMessage Message;
  Message.From = State.Self.Name;
  Message.FromAddress = State.Self.PeerAddress;
  Message.Kind = Kind;
  Message.Version = State.Self.Version;
  Message.Members.push_back(State.Self);
  for (const auto &[Name, Member] : State.Members)
    Message.Members.push_back(Member.Record);
  for (const base::BackendName &Name : Routing.Owned)
    Message.Backends.push_back(Routing.Servers.at(Name).Record);
  return Message;
}

} // namespace

void startRound(MembershipState &State, const routing::RoutingState &Routing,
                base::Random &Source, base::TimePoint Now,
                core::EffectList &Effects) {
  std::set<base::NetAddress> Reached;
  for (const auto &[Name, Member] : State.Members) {
    Effects.push_back(
        core::SendPeerMessage{Name, Member.Record.PeerAddress,
                              ownNews(State, Routing, MessageKind::Sync)});
    Reached.insert(Member.Record.PeerAddress);
  }
  for (const base::NetAddress &Seed : State.Seeds)
    if (!Reached.contains(Seed) && Seed != State.Self.PeerAddress)
      Effects.push_back(core::SendPeerMessage{
          base::NodeName(), Seed, ownNews(State, Routing, MessageKind::Sync)});
}

void onMessage(MembershipState &State, routing::RoutingState &Routing,
               const PeerMessage &Message, base::TimePoint Now,
               core::EffectList &Effects) {
  for (const MemberRecord &Record : Message.Members) {
    if (Record.Name == State.Self.Name)
      continue;
    Member &Known = State.Members[Record.Name];
    if (Known.Record.Name.empty() || Record.Life >= Known.Record.Life)
      Known.Record = Record;
  }
  State.Members[Message.From].LastHeard = Now;
  for (const routing::BackendRecord &Record : Message.Backends)
    routing::mergeRecord(Routing, Record, Now);
}

} // namespace currantgauge::membership
