// A node's routing state, as the owner of the servers that announce to it and
// as the entry of requests, which it receives and sends to any owner's servers.
//
//   for (const base::BackendName &Name : State.ByService[Service]) ...
#ifndef CURRANTGAUGE_ROUTING_STATE_H
#define CURRANTGAUGE_ROUTING_STATE_H

#include "currantgauge/base/ids.h"
#include "currantgauge/base/units.h"
#include "currantgauge/routing/backend_server.h"
#include "currantgauge/routing/breaker.h"
#include "currantgauge/routing/ejection.h"
#include "currantgauge/routing/evidence.h"
#include "currantgauge/routing/path.h"
#include "currantgauge/routing/spell.h"

#include <cstdint>
#include <map>
#include <set>

namespace currantgauge::routing {

// LeaseTime is how long an announcement of a backend server stays valid without
// renewal.
constexpr base::Duration LeaseTime = base::milliseconds(3000);

// BackendServer is one backend server as this node sees it.
struct BackendServer {
  BackendRecord Record;
  base::TimePoint LeaseEnds = base::Never; // set at the owner only
  base::TimePoint ReadySince;
  base::TimePoint PausedUntil; // owner: after load shedding; zero: never
  std::uint32_t Running = 0;   // owner: slots in use; entry: its own attempts
  bool Drained = false;        // by an operator
  // Owner: sequence number of the last announcement of this incarnation.
  std::uint64_t Sequence = 0;
  bool Replaced = false; // owner: a newer process has its address
  // Entry: set when the owner's breaker refused work. While other servers are
  // available, no work is sent before AvoidUntil, and only idempotent requests
  // before RecoveringUntil.
  base::TimePoint AvoidUntil;
  base::TimePoint RecoveringUntil;
  // Entry: load that the owner last reported for all of its servers of the
  // service: running and queued attempts divided by their open slots.
  double ReportedLoad = 0;
  base::TimePoint LoadReportedAt;
};

// Departure is the announced end of an incarnation of a backend server.
struct Departure {
  base::Incarnation Incarnation;
  BackendPhase Phase = BackendPhase::Leaving; // or Gone
  base::TimePoint ExpiresAt;
};

// UpdateUrgency determines how a changed record of an owned server is sent to
// other nodes.
enum class UpdateUrgency {
  Deferred,  // at a bounded rate
  Normal,    // piggybacked on the next messages
  Immediate, // in dedicated messages
};

// RoutingState holds all known backend servers and the evidence on them.
struct RoutingState {
  base::Duration Lease = LeaseTime; // of the owned servers' announcements
  base::NodeName Self;
  base::RegionName Region;
  base::DomainName Domain;
  std::map<base::BackendName, BackendServer> Servers;
  std::map<base::ServiceName, std::set<base::BackendName>> ByService;
  std::set<base::BackendName> Owned;
  // Departures that servers announced to this node.
  std::map<base::BackendName, Departure> Departures;
  std::map<base::BackendName, ServerEvidence> Evidence; // at the owner
  std::map<base::BackendName, Breaker> Breakers;        // at the owner
  std::map<base::ServiceName, RoutingSet> Sets;         // at the entry
  std::map<base::NodeName, PathEvidence> Paths;         // at the entry
  // Changed records of owned servers that membership hasn't collected yet.
  std::map<base::BackendName, UpdateUrgency> PendingUpdates;
  bool HealthRoundArmed = false; // a timer for the next health round is set
  // Servers differ in speed and fail in spells: spells hold back more than the
  // breakers, and load is spread over servers that look about equally loaded.
  bool UnevenServers = false;
  std::map<base::BackendName, SpellBelief> Spells;     // at the owner
  std::map<base::ServiceName, SpellPrior> SpellPriors; // at the owner
};

} // namespace currantgauge::routing

#endif // CURRANTGAUGE_ROUTING_STATE_H
