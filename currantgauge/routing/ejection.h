// An entry's routing set of one service: which servers it sends work to. Only
// evidence travels between nodes; each entry ejects for itself and holds the
// floor in its own set.
//
//   updateRoutingSet(State, Service, Settings, Source, Now, Changes);
//   if (acceptsWork(State.Sets[Service], Server)) ...
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

// RoutingSet is an entry's view of one service. It is worked out anew when a
// record changed or a time has come, not at every choice.
struct RoutingSet {
  std::map<base::BackendName, ServerStanding> Servers;
  std::uint32_t AnnouncedSlots = 0;
  std::uint32_t HealthySlots = 0; // of the servers in the set
  // Names by where choices look for them.
  std::vector<base::BackendName> SameRegion;    // in the set, own region
  std::vector<base::BackendName> OtherRegions;  // in the set, other regions
  std::vector<base::BackendName> OutOfRotation; // ejected or on trial
  std::size_t KnownServerCount = 0; // of the service, at the last update
  base::TimePoint NextUpdate;
  base::TimePoint ServiceSlowUntil; // no new ejection before
  bool Stale = true;
};

// StandingChange is an ejection or a return, for logs and counters.
struct StandingChange {
  base::BackendName Server;
  Standing From = Standing::In;
  Standing To = Standing::In;
  StandingReason Reason = StandingReason::Healthy;
  double Suspicion = 0;
};

// updateRoutingSet() moves servers in and out of a service's set and returns
// the changes.
std::vector<StandingChange>
updateRoutingSet(RoutingState &State, const base::ServiceName &Service,
                 const config::ServiceSettings &Settings, base::Random &Source,
                 base::TimePoint Now);

// needsUpdate() says that the set of a service may have changed.
bool needsUpdate(const RoutingState &State, const base::ServiceName &Service,
                 base::TimePoint Now);

// markStale() has the set of a service worked out anew at its next choice.
void markStale(RoutingState &State, const base::ServiceName &Service);

// indexRoutingSet() sorts the set's servers by where choices look for them.
void indexRoutingSet(const RoutingState &State, RoutingSet &Set);

// noteReportedSuspicion() takes the suspicion that came with an answer of a
// server.
void noteReportedSuspicion(RoutingSet &Set, const base::BackendName &Server,
                           double Level, base::TimePoint Now);

// TrialResult is what a trial request says of its server; Open: nothing.
enum class TrialResult { Passed, Failed, Inconclusive };

// noteTrialResult() takes the end of a trial request. Other attempts are
// ignored.
void noteTrialResult(RoutingSet &Set, const base::BackendName &Server,
                     base::AttemptId Attempt, TrialResult Result);

} // namespace currantgauge::routing

#endif // CURRANTGAUGE_ROUTING_EJECTION_H
