// The entry's choice of a backend server, and the owner's among its own.
//
//   Choice Chosen = chooseServer(State, Query, Source);
//   if (Chosen.Server && Chosen.Trial) ...
#ifndef CURRANTGAUGE_ROUTING_CHOOSE_H
#define CURRANTGAUGE_ROUTING_CHOOSE_H

#include "currantgauge/base/ids.h"
#include "currantgauge/base/random.h"
#include "currantgauge/base/units.h"
#include "currantgauge/config/model.h"
#include "currantgauge/routing/state.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace currantgauge::admission {
struct AdmissionState;
} // namespace currantgauge::admission

namespace currantgauge::routing {

// ChoiceQuery is what a choice depends on.
struct ChoiceQuery {
  base::ServiceName Service;
  const admission::AdmissionState *Pressure = nullptr; // null: none known
  std::uint32_t RankOrder = 0;
  double Worth = 1;
  bool Idempotent = false;              // may be a trial request
  std::vector<base::BackendName> Tried; // avoided while others remain
  config::PlacementSettings Placement;
  base::TimePoint Now;
};

// ChoiceReason says which rule chose the server.
enum class ChoiceReason { Local, Spill, Trial, LastResort };

// choiceReasonName() returns the snake_case name used by explain.
std::string_view choiceReasonName(ChoiceReason Reason);

// Choice is a server to try; Server is null when the service has none.
struct Choice {
  const BackendServer *Server = nullptr;
  ChoiceReason Reason = ChoiceReason::Local;
  bool HasRoom = false;      // a slot seems to be free there
  bool OtherHasRoom = false; // and at another server of the own region
};

// chooseServer() returns the least loaded of a few servers of the routing set,
// in the own region while it has capacity that the work is worth waiting for.
// The routing set must be up to date (updateRoutingSet()); a trial is to be
// recorded in it by the caller.
Choice chooseServer(const RoutingState &State, const ChoiceQuery &Query,
                    base::Random &Source);

// canOwnedServerAdmit() says whether some ready owned server of the service
// would take such work, by its breaker; ShortestDelay is the shortest wait
// where none does.
bool canOwnedServerAdmit(const RoutingState &State, const ChoiceQuery &Query,
                         base::Duration &ShortestDelay);

// chooseOwnedServer() returns an owned server with a free slot that may take
// work of the service now; Preferred wins when it is one. Null: none.
BackendServer *chooseOwnedServer(RoutingState &State, const ChoiceQuery &Query,
                                 const base::BackendName &Preferred);

// computeEffectiveSlots() returns a server's slots, fewer during its slow
// start.
double computeEffectiveSlots(const BackendServer &Server,
                             const ServerStanding *Status, base::TimePoint Now);

} // namespace currantgauge::routing

#endif // CURRANTGAUGE_ROUTING_CHOOSE_H
