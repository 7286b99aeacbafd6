// The routing set of an entry: the standings of one service's servers. Nodes
// exchange only evidence; each entry decides on ejections itself and keeps its
// own set at or above the floor (see floor.h).
//
//   auto Changes = updateRoutingSet(State, Service, Settings, Source, Now);
//   if (isOutOfRotation(State.Sets[Service].Servers[Server])) ...
#ifndef CURRANTGAUGE_ROUTING_EJECTION_H
#define CURRANTGAUGE_ROUTING_EJECTION_H

#include "currantgauge/base/ids.h"
#include "currantgauge/base/random.h"
#include "currantgauge/base/units.h"
#include "currantgauge/config/model.h"
#include "currantgauge/routing/standing.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace currantgauge::routing {

struct RoutingState;

// RoutingSet is an entry's view of one service. It is recomputed when a record
// has changed or NextUpdate has passed, not for every choice.
struct RoutingSet {
  std::map<base::BackendName, ServerStanding> Servers;
  std::uint32_t AnnouncedSlots = 0; // of all servers that aren't gone
  std::uint32_t HealthySlots = 0;   // in rotation, of servers that accept work
  // Server names, grouped as chooseServer() searches them.
  std::vector<base::BackendName> SameRegion; // in rotation, region of this node
  std::vector<base::BackendName> OtherRegions;  // in rotation, other regions
  std::vector<base::BackendName> OutOfRotation; // ejected or on trial
  std::size_t KnownServerCount = 0; // of the service, at the last update
  base::TimePoint NextUpdate;
  base::TimePoint ServiceSlowUntil; // no new ejection until then
  bool Stale = true;
  // Moving average of the loads that owners reported (BackendServer), at
  // LoadReportedAt; see computeMeanLoad().
  double MeanReportedLoad = 0;
  base::TimePoint LoadReportedAt;
};

// computeMeanLoad() returns the mean reported load of a service's servers at
// Now. Without reports it falls to zero within seconds.
double computeMeanLoad(const RoutingSet &Set, base::TimePoint Now);

// noteReportedLoad() adds an owner's report to the mean.
void noteReportedLoad(RoutingSet &Set, double Load, base::TimePoint Now);

// StandingChange is a change of a server's standing, for logs and metrics.
struct StandingChange {
  base::BackendName Server;
  Standing From = Standing::In;
  Standing To = Standing::In;
  StandingReason Reason = StandingReason::Healthy;
  double Suspicion = 0;
};

// updateRoutingSet() recomputes the standings of a service's servers and
// returns the changes of standing; a change of the reason alone is none.
std::vector<StandingChange>
updateRoutingSet(RoutingState &State, const base::ServiceName &Service,
                 const config::ServiceSettings &Settings, base::Random &Source,
                 base::TimePoint Now);

// needsUpdate() returns whether the routing set of a service must be recomputed
// before its next use.
bool needsUpdate(const RoutingState &State, const base::ServiceName &Service,
                 base::TimePoint Now);

// markStale() causes the routing set of a service to be recomputed before its
// next use.
void markStale(RoutingState &State, const base::ServiceName &Service);

// indexRoutingSet() groups the set's servers as chooseServer() searches them.
void indexRoutingSet(const RoutingState &State, RoutingSet &Set);

// noteReportedSuspicion() records the suspicion that the owner reported with an
// answer of a server.
void noteReportedSuspicion(RoutingSet &Set, const base::BackendName &Server,
                           double Level, base::TimePoint Now);

// TrialResult is what a trial request shows about the health of its server.
enum class TrialResult { Passed, Failed, Inconclusive };

// noteTrialResult() records the end of a trial request. After an inconclusive
// one another trial may start. Attempts that are not the server's running trial
// are ignored.
void noteTrialResult(RoutingSet &Set, const base::BackendName &Server,
                     base::AttemptId Attempt, TrialResult Result);

} // namespace currantgauge::routing

#endif // CURRANTGAUGE_ROUTING_EJECTION_H
