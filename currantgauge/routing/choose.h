// The entry's choice of a backend server, and the owner's among its own.
//
//   const BackendServer *Server = chooseServer(State, Query, Source);
#ifndef CURRANTGAUGE_ROUTING_CHOOSE_H
#define CURRANTGAUGE_ROUTING_CHOOSE_H

#include "currantgauge/base/ids.h"
#include "currantgauge/base/random.h"
#include "currantgauge/base/units.h"
#include "currantgauge/config/model.h"
#include "currantgauge/routing/state.h"

#include <vector>

namespace currantgauge::routing {

// ChoiceQuery is what a choice depends on.
struct ChoiceQuery {
  base::ServiceName Service;
  const config::ServiceSettings *Settings = nullptr; // null: defaults
  double Worth = 1;
  std::vector<base::BackendName> Tried; // avoided while others remain
  base::TimePoint Now;
};

// chooseServer() returns the server to try, null when the service has none.
const BackendServer *chooseServer(const RoutingState &State,
                                  const ChoiceQuery &Query,
                                  base::Random &Source);

// chooseOwnServer() returns an owned server with a free slot that may take
// work of the service now; Preferred wins when it is one. Null: none.
BackendServer *chooseOwnServer(RoutingState &State, const ChoiceQuery &Query,
                               const base::BackendName &Preferred);

} // namespace currantgauge::routing

#endif // CURRANTGAUGE_ROUTING_CHOOSE_H
