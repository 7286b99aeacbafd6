// An entry's evidence on the network path to an owner of backend servers. It is
// separate from the evidence on the servers: a partition between two nodes says
// nothing about the health of a server.
//
//   notePathFailure(State.Paths[Owner], Now);
//   if (isPathBad(State.Paths, Owner, Now)) ...
#ifndef CURRANTGAUGE_ROUTING_PATH_H
#define CURRANTGAUGE_ROUTING_PATH_H

#include "currantgauge/base/ids.h"
#include "currantgauge/base/units.h"

#include <cstdint>
#include <map>

namespace currantgauge::routing {

// PathEvidence counts consecutive failures on the path to one owner.
struct PathEvidence {
  std::uint32_t Failures = 0;
  base::TimePoint BadUntil;
  bool Unreachable = false; // reported by membership
};

// notePathFailure() counts an attempt that could not be delivered to the owner
// or whose outcome never arrived. The path counts as bad from the second
// consecutive failure on, for longer with each; one may be a dead connection.
void notePathFailure(PathEvidence &Path, base::TimePoint Now);

// notePathSuccess() clears the failures after a message from the owner. A node
// that membership considers unreachable stays so.
void notePathSuccess(std::map<base::NodeName, PathEvidence> &Paths,
                     const base::NodeName &Owner);

// setUnreachable() records whether membership considers a node unreachable:
// suspected, dead, or alive but silent towards this node.
void setUnreachable(std::map<base::NodeName, PathEvidence> &Paths,
                    const base::NodeName &Owner, bool Unreachable);

// isUnreachable() returns what membership last reported through
// setUnreachable().
bool isUnreachable(const std::map<base::NodeName, PathEvidence> &Paths,
                   const base::NodeName &Owner);

// isPathBad() returns whether work should avoid this owner while other servers
// are available.
bool isPathBad(const std::map<base::NodeName, PathEvidence> &Paths,
               const base::NodeName &Owner, base::TimePoint Now);

} // namespace currantgauge::routing

#endif // CURRANTGAUGE_ROUTING_PATH_H
