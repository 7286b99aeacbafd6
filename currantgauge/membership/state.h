// What a node knows of the other nodes.
//
//   const MemberRecord &Owner = State.Members.at(Name).Record;
#ifndef CURRANTGAUGE_MEMBERSHIP_STATE_H
#define CURRANTGAUGE_MEMBERSHIP_STATE_H

#include "currantgauge/base/ids.h"
#include "currantgauge/base/units.h"
#include "currantgauge/membership/message.h"

#include <map>
#include <vector>

namespace currantgauge::membership {

// GossipInterval is the time between two rounds of a node.
constexpr base::Duration GossipInterval = base::milliseconds(1000);

// Member is another node as this one sees it.
struct Member {
  MemberRecord Record;
  base::TimePoint LastHeard;
};

// MembershipState holds the other nodes and the way to the first of them.
struct MembershipState {
  MemberRecord Self;
  std::vector<base::NetAddress> Seeds;
  std::map<base::NodeName, Member> Members;
};

} // namespace currantgauge::membership

#endif // CURRANTGAUGE_MEMBERSHIP_STATE_H
