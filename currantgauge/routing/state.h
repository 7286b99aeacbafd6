// What a node knows of backend servers: those it owns and those of its peers.
//
//   for (const base::BackendName &Name : serversOf(State, Service)) ...
#ifndef CURRANTGAUGE_ROUTING_STATE_H
#define CURRANTGAUGE_ROUTING_STATE_H

#include "currantgauge/base/ids.h"
#include "currantgauge/base/units.h"
#include "currantgauge/routing/backend_server.h"
#include "currantgauge/routing/breaker.h"
#include "currantgauge/routing/ejection.h"
#include "currantgauge/routing/evidence.h"
#include "currantgauge/routing/path.h"

#include <cstdint>
#include <map>
#include <set>

namespace currantgauge::routing {

// LeaseTime is how long a backend server lives without a renewal.
constexpr base::Duration LeaseTime = base::milliseconds(3000);

// BackendServer is one backend server as this node sees it.
struct BackendServer {
  BackendRecord Record;
  base::TimePoint LeaseEnds = base::Never; // at the owner alone
  base::TimePoint ReadySince;
  base::TimePoint PausedUntil; // owner: it shed load; zero: never
  std::uint32_t Running = 0;   // owner: slots in use; entry: own attempts there
  bool Drained = false;        // by an operator
  // Owner: of the last announcement in this life.
  std::uint64_t Sequence = 0;
  bool AnnouncedGone = false; // owner: it announced that it is gone
  // Entry: its owner's breaker refused work; until then none is sent, and after
  // it idempotent work alone, for a while.
  base::TimePoint AvoidUntil;
  base::TimePoint TrialUntil;
  // Entry: what its owner last said of its load, by its slots, and when.
  double ReportedLoad = 0;
  base::TimePoint LoadReportedAt;
};

// UpdateUrgency says how a changed record of an own server goes to other nodes.
enum class UpdateUrgency {
  Deferred,  // may wait, at a bounded rate
  Normal,    // with the next messages
  Immediate, // in messages of its own
};

// RoutingState holds every known backend server, indexed by service.
struct RoutingState {
  base::Duration Lease = LeaseTime;
  base::NodeName Self;
  base::RegionName Region;
  base::DomainName Domain;
  std::map<base::BackendName, BackendServer> Servers;
  std::map<base::ServiceName, std::set<base::BackendName>> ByService;
  std::set<base::BackendName> Owned;
  std::map<base::BackendName, ServerEvidence> Evidence; // at the owner
  std::map<base::BackendName, Breaker> Breakers;        // at the owner
  std::map<base::ServiceName, RoutingSet> Sets;         // at the entry
  std::map<base::NodeName, PathEvidence> Paths;         // at the entry
  // Own records that changed since membership looked.
  std::map<base::BackendName, UpdateUrgency> PendingUpdates;
  bool HealthRoundArmed = false; // a timer for the next health round is set
};

} // namespace currantgauge::routing

#endif // CURRANTGAUGE_ROUTING_STATE_H
