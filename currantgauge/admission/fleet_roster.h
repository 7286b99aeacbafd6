// The members of the fleet as candidates for the home of a workspace: the one
// node that issues permits under the workspace's fleet-wide rate limit. The
// home is the live member that ranks first by a hash of workspace and member.
//
//   updateRoster(Roster, Views, Now);
//   HomeChoice Choice = chooseHome(Roster, Workspace);
#ifndef CURRANTGAUGE_ADMISSION_FLEET_ROSTER_H
#define CURRANTGAUGE_ADMISSION_FLEET_ROSTER_H

#include "currantgauge/base/ids.h"
#include "currantgauge/base/units.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace currantgauge::admission {

// SettleTime is how long a new home waits before it issues permits: longer than
// the one before needs to notice that it is cut off, or to refute a suspicion.
constexpr base::Duration SettleTime = base::seconds(2);

// ContactTimeout is how long a home issues permits without hearing from more
// members than it failed to reach. Shorter than a suspicion and SettleTime.
constexpr base::Duration ContactTimeout = base::seconds(2);

// RosterMemory is the least time for which members that are gone count towards
// the majority that a home must see.
constexpr base::Duration RosterMemory = base::seconds(10);

// MemberView is another node as membership sees it. A suspected node isn't
// alive: it may be cut off.
struct MemberView {
  const base::NodeName *Name = nullptr;
  bool Alive = false;
  base::TimePoint PhaseSince;
  base::TimePoint HeardAt; // its last message
  bool HasLeft = false;    // it announced its departure
};

// RosterMember is another node as a candidate.
struct RosterMember {
  base::NodeName Name;
  std::uint64_t Hash = 0; // of Name
  bool Alive = false;
  base::TimePoint Since;    // when Alive changed
  base::TimePoint HeardAt;  // its last message
  base::TimePoint FailedAt; // the last message that didn't reach it
};

// FleetRoster is a node's view of all candidates.
struct FleetRoster {
  base::NodeName Self;
  std::uint64_t SelfHash = 0;
  bool FirstStart = false;   // of the whole fleet; no node has run before
  bool HasSeeds = false;     // other nodes are expected
  base::TimePoint StartedAt; // the first update
  base::TimePoint UpdatedAt; // zero: never
  std::vector<RosterMember> Members; // other nodes, by name
  std::size_t AliveCount = 1;        // with this node
  // The most members alive in the current and in the previous RosterMemory.
  std::size_t MostAlive = 1;
  std::size_t MostAliveBefore = 1;
  base::TimePoint MemoryStartedAt;
  std::size_t SettledSize = 1; // of the fleet, when InTouchSince was set
  base::TimePoint LastContactAt;
  // Since when this node has been in contact with a majority, without a pause.
  base::TimePoint InTouchSince;
  bool InTouch = false;
  bool WasInterrupted = false;  // InTouch has ended before
  base::TimePoint LeavingSince; // zero: this node isn't leaving
};

// makeRoster() returns the roster of a node before its first update.
FleetRoster makeRoster(const base::NodeName &Self, bool FirstStart,
                       bool HasSeeds);

// updateIsDue() returns true if the roster should be updated again.
bool updateIsDue(const FleetRoster &Roster, base::TimePoint Now);

// updateRoster() records the other nodes, ordered by name.
void updateRoster(FleetRoster &Roster, const std::vector<MemberView> &Views,
                  base::TimePoint Now);

// noteUnreachable() records that a message didn't reach a node.
void noteUnreachable(FleetRoster &Roster, const base::NodeName &Name,
                     base::TimePoint Now);

// noteLeaving() records that this node has announced that it leaves.
void noteLeaving(FleetRoster &Roster, base::TimePoint Now);

// HomeChoice is the home of a workspace as this node sees it.
struct HomeChoice {
  base::NodeName Home;
  base::NodeName Next; // ranks after Home; empty: none
  bool IsSelf = false;
  // The rest is set if IsSelf. Former ranks before this node and has recently
  // ceased to be alive; empty: none.
  base::NodeName Former;
  base::TimePoint Since; // when this node became the home
  bool IsFirst = false;  // it has been the home since the fleet's first start
};

HomeChoice chooseHome(const FleetRoster &Roster,
                      const base::WorkspaceName &Workspace);

// isAlone() returns true if no other nodes are known or expected.
bool isAlone(const FleetRoster &Roster);

// earliestPermitTime() returns the earliest time at which this node, the home,
// may issue permits, as far as is known now; Never if it is leaving.
base::TimePoint earliestPermitTime(const FleetRoster &Roster,
                                   const HomeChoice &Choice,
                                   base::TimePoint Now);

// canIssuePermits() returns true if this node, the home, may issue permits now.
bool canIssuePermits(const FleetRoster &Roster, const HomeChoice &Choice,
                     base::TimePoint Now);

} // namespace currantgauge::admission

#endif // CURRANTGAUGE_ADMISSION_FLEET_ROSTER_H
