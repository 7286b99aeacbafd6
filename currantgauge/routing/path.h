// An entry's evidence on its path to an owner, kept apart from evidence on
// backend servers: a partition that one node sees makes no server sick.
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

// PathEvidence counts failures in a row on the way to one owner.
struct PathEvidence {
  std::uint32_t Failures = 0;
  base::TimePoint BadUntil;
  bool Unreachable = false; // membership says so
};

// notePathFailure() counts an attempt that the owner could not be given, or
// whose end never came back. One alone may be a dead connection.
void notePathFailure(PathEvidence &Path, base::TimePoint Now);

// notePathSuccess() forgets the failures: the owner was heard.
void notePathSuccess(std::map<base::NodeName, PathEvidence> &Paths,
                     const base::NodeName &Owner);

// setUnreachable() is membership's word on a node: suspected, dead, or alive
// but silent towards this node.
void setUnreachable(std::map<base::NodeName, PathEvidence> &Paths,
                    const base::NodeName &Owner, bool Unreachable);

// isUnreachable() returns membership's last word on a node.
bool isUnreachable(const std::map<base::NodeName, PathEvidence> &Paths,
                   const base::NodeName &Owner);

// isPathBad() says that work should go elsewhere while it can.
bool isPathBad(const std::map<base::NodeName, PathEvidence> &Paths,
               const base::NodeName &Owner, base::TimePoint Now);

} // namespace currantgauge::routing

#endif // CURRANTGAUGE_ROUTING_PATH_H
