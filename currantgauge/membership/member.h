// The table of nodes: how word of a node changes it, and what others ask of it.
//
//   if (!isReachable(State, Server.Record.Owner)) avoid(Server);
#ifndef CURRANTGAUGE_MEMBERSHIP_MEMBER_H
#define CURRANTGAUGE_MEMBERSHIP_MEMBER_H

#include "currantgauge/base/ids.h"
#include "currantgauge/core/effect.h"
#include "currantgauge/core/state.h"
#include "currantgauge/membership/message.h"
#include "currantgauge/membership/rumours.h"
#include "currantgauge/membership/state.h"

#include <string_view>

namespace currantgauge::membership {

// isLive() says whether a node of that phase takes part in the fleet.
constexpr bool isLive(MemberPhase Phase) {
  return Phase == MemberPhase::Alive || Phase == MemberPhase::Suspect;
}

// phaseName() returns the word that operators see.
std::string_view phaseName(MemberPhase Phase);

// findMember() returns what is known of another node, null when nothing is.
const Member *findMember(const MembershipState &State,
                         const base::NodeName &Name);

// isLiveNode() says whether a node, this one included, is alive or suspected.
bool isLiveNode(const MembershipState &State, const base::NodeName &Name);

// isReachable() says whether work may be sent to a node: not suspected, dead
// or left, and it answers this node itself. True for this node.
bool isReachable(const MembershipState &State, const base::NodeName &Name);

// updateRoutingPath() passes on to routing whether a node is reachable.
void updateRoutingPath(core::State &Node, const base::NodeName &Name);

// addressOf() returns a node's peer address, empty when it is unknown.
base::NetAddress addressOf(const MembershipState &State,
                           const base::NodeName &Name);

// mergeMember() takes word of a node, this one included. Returns true when it
// was news; it is passed on then, a new member as How says.
bool mergeMember(core::State &Node, const MemberRecord &Record,
                 RumourPriority Priority, core::EffectList &Effects);

// suspectMember() marks a node that answers nobody.
void suspectMember(core::State &Node, const base::NodeName &Name,
                   core::EffectList &Effects);

// endSuspicions() declares dead whose time to refute has passed.
void endSuspicions(core::State &Node, core::EffectList &Effects);

// forgetMembers() drops nodes that have been dead or gone for long, with their
// backend servers.
void forgetMembers(core::State &Node, core::EffectList &Effects);

} // namespace currantgauge::membership

#endif // CURRANTGAUGE_MEMBERSHIP_MEMBER_H
