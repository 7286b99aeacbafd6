// The table of members: merging of received member records, and look-ups.
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

// isLive() returns whether a node in that phase takes part in the fleet.
constexpr bool isLive(MemberPhase Phase) {
  return Phase == MemberPhase::Alive || Phase == MemberPhase::Suspect;
}

// phaseName() returns the name of a phase in logs and in operators' output.
std::string_view phaseName(MemberPhase Phase);

// findMember() returns the Member of another node, null if it is unknown.
const Member *findMember(const MembershipState &State,
                         const base::NodeName &Name);

// isLiveNode() returns whether a node is alive or suspected. True for this
// node.
bool isLiveNode(const MembershipState &State, const base::NodeName &Name);

// isReachable() returns whether requests may be sent to a node: it is alive
// (not suspected, dead or left) and its direct path has not failed. True for
// this node.
bool isReachable(const MembershipState &State, const base::NodeName &Name);

// updateRoutingPath() updates in routing whether a node is reachable; one that
// is unknown here counts as reachable.
void updateRoutingPath(core::State &Node, const base::NodeName &Name);

// addressOf() returns a member's peer address, empty if it is unknown.
base::NetAddress addressOf(const MembershipState &State,
                           const base::NodeName &Name);

// mergeMember() merges a received record of a node; this node may refute one of
// itself. Returns true if the record caused a change, which is then queued as a
// rumour. Priority applies to records of new members; a change of a known one
// is Persistent, or Deferred if only its configuration version changed.
bool mergeMember(core::State &Node, const MemberRecord &Record,
                 RumourPriority Priority, core::EffectList &Effects);

// suspectMember() marks a node as suspected after it failed to answer direct
// and indirect probes.
void suspectMember(core::State &Node, const base::NodeName &Name,
                   core::EffectList &Effects);

// endSuspicions() declares suspected nodes dead that did not refute in time.
void endSuspicions(core::State &Node, core::EffectList &Effects);

// forgetMembers() removes nodes whose retention time after their death or
// departure has passed, with their backend servers and their rows in the nodes
// table.
void forgetMembers(core::State &Node, core::EffectList &Effects);

} // namespace currantgauge::membership

#endif // CURRANTGAUGE_MEMBERSHIP_MEMBER_H
