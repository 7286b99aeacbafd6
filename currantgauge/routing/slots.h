// How many slots of a backend server are open now: fewer after its start and
// after it shed load.
//
//   if (Server.Running < countOpenSlots(Server, Now)) send();
#ifndef CURRANTGAUGE_ROUTING_SLOTS_H
#define CURRANTGAUGE_ROUTING_SLOTS_H

#include "currantgauge/base/ids.h"
#include "currantgauge/base/units.h"
#include "currantgauge/routing/state.h"

#include <cstdint>

namespace currantgauge::routing {

// countOpenSlots() returns how many attempts a server may run at a time now.
std::uint32_t countOpenSlots(const BackendServer &Server, base::TimePoint Now);

// pauseServer() closes a server's slots until RetryAfter has passed, and opens
// them one by one after that. Returns when the first opens again.
base::TimePoint pauseServer(BackendServer &Server, base::Duration RetryAfter,
                            base::TimePoint Now);

// OwnedSlots sums up the slots of this node's servers of a service.
struct OwnedSlots {
  std::uint32_t Open = 0;
  std::uint32_t Servers = 0; // that take work, paused ones included
};

// countOwnedSlots() counts the servers of a service that this node owns.
OwnedSlots countOwnedSlots(const RoutingState &State,
                           const base::ServiceName &Service,
                           base::TimePoint Now);

} // namespace currantgauge::routing

#endif // CURRANTGAUGE_ROUTING_SLOTS_H
