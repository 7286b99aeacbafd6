// The number of open slots of a backend server, reduced after its start and
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

// countOpenSlots() returns how many attempts a server may run concurrently now.
std::uint32_t countOpenSlots(const BackendServer &Server, base::TimePoint Now);

// pauseServer() closes a server's slots until RetryAfter, clamped to a sensible
// range, has passed, then reopens them gradually. Returns the end of the pause;
// a longer earlier pause stays in force.
base::TimePoint pauseServer(BackendServer &Server, base::Duration RetryAfter,
                            base::TimePoint Now);

// OwnedSlots sums up the servers of a service that this node owns.
struct OwnedSlots {
  std::uint32_t Open = 0;    // slots, whether free or in use
  std::uint32_t Servers = 0; // accepting work, including paused ones
};

// countOwnedSlots() counts the servers of a service that this node owns, and
// their open slots.
OwnedSlots countOwnedSlots(const RoutingState &State,
                           const base::ServiceName &Service,
                           base::TimePoint Now);

} // namespace currantgauge::routing

#endif // CURRANTGAUGE_ROUTING_SLOTS_H
