// Backend server selection by the entry, among all servers of a service. An
// owner chooses among those that it owns (see choose_owned.h).
//
//   Choice Chosen = chooseServer(State, Query, Source);
//   if (Chosen.Server && Chosen.Reason == ChoiceReason::Trial) ...
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

// ChoiceQuery holds the properties of a request that its choice depends on.
struct ChoiceQuery {
  base::ServiceName Service;
  const admission::AdmissionState *Admission = nullptr; // null: queues unknown
  std::uint32_t RankOrder = 0; // of its rank (priority); 0: most important
  double Worth = 1;            // divides the cost of crossing regions
  bool Idempotent = false;     // may serve as a trial request
  bool AvoidsDoubt = false;    // owner: no server whose last exchange failed
  bool HasAlternative = false; // owner: the entry knows another free server
  bool Repeated = false;       // an earlier attempt reached a server
  std::vector<base::BackendName> Tried; // or excluded: last resort only
  config::PlacementSettings Placement;  // costs of other nodes and regions
  base::TimePoint Now;
};

// ChoiceReason is the rule that selected the server. Local: in this node's
// region; Spill: in another region.
enum class ChoiceReason { Local, Spill, Trial, LastResort };

// choiceReasonName() returns the snake_case name that explain prints.
std::string_view choiceReasonName(ChoiceReason Reason);

// Choice is the selected server; Server is null when no server of the service
// accepts work. Only Local and Spill choices set the free slot flags.
struct Choice {
  const BackendServer *Server = nullptr;
  ChoiceReason Reason = ChoiceReason::Local;
  bool HasFreeSlot = false;      // the server appears to have a free slot
  bool OtherHasFreeSlot = false; // another server of this region does as well
};

// chooseServer() returns a server that is due for a trial if the request may
// serve as one, else the cheapest server of the routing set or of a random
// sample of a large one. It leaves this node's region only if no server there
// is eligible or the wait there costs more than crossing the link. If no server
// is eligible in any region, it returns, as a last resort, one that was tried,
// has a bad path, would probably refuse or is out of rotation. The routing set
// must be up to date (updateRoutingSet()), and the caller records a trial in it
// (onAttemptStarted()).
Choice chooseServer(const RoutingState &State, const ChoiceQuery &Query,
                    base::Random &Source);

// acceptsWork() returns whether a server is ready and not drained.
bool acceptsWork(const BackendServer &Server);

// computeEffectiveSlots() returns a server's slots, reduced during its cold
// start and its slow start, to a tenth at the lowest. Pauses after load
// shedding are not included.
double computeEffectiveSlots(const BackendServer &Server,
                             const ServerStanding *Status, base::TimePoint Now);

} // namespace currantgauge::routing

#endif // CURRANTGAUGE_ROUTING_CHOOSE_H
