// A server's standing: in or out of one entry's rotation, and the reason.
//
//   if (isOutOfRotation(Status)) Text = standingReasonName(Status.Reason);
#ifndef CURRANTGAUGE_ROUTING_STANDING_H
#define CURRANTGAUGE_ROUTING_STANDING_H

#include "currantgauge/base/ids.h"
#include "currantgauge/base/units.h"

#include <cstdint>
#include <string_view>

namespace currantgauge::routing {

// Standing is whether an entry (a node that receives requests) sends a server
// work. Trial: single trial requests only; SlowStart: a gradually rising load.
enum class Standing { In, Ejected, Trial, SlowStart };

// StandingReason is the reason for a server's standing.
enum class StandingReason {
  Healthy,
  Suspicious,   // ejected: unhealthy unlike the others, or failed a trial
  WholeService, // kept or returned: others are or may be affected too
  Floor,        // kept or returned: the floor (see floor.h) forbids ejection
  HoldOffOver,  // on trial with real requests
  TrialsPassed, // returned, in slow start
  NoTrials,     // returned without trials for lack of idempotent requests
  Restarted,    // new process: evidence on the old one is void
};

// standingName() and standingReasonName() return snake_case names for status
// and logs.
std::string_view standingName(Standing Value);
std::string_view standingReasonName(StandingReason Reason);

// ServerStanding is the state of one server in the routing set of one entry.
struct ServerStanding {
  Standing Current = Standing::In;
  StandingReason Reason = StandingReason::Healthy;
  base::Incarnation Incarnation;
  base::TimePoint Since;
  base::TimePoint Until;             // end of the hold-off or the slow start
  base::Duration HoldOff;            // minimum time from ejection to trials
  std::uint32_t RecentEjections = 0; // each one doubles the next HoldOff
  std::uint32_t TrialsPassed = 0;    // in the current trial phase
  base::AttemptId Trial;             // running trial; Sequence 0: none
  bool TrialFailed = false;
  double OtherServersSuspicion = 0; // median of the service's other servers
  double ReportedSuspicion = 0;     // by the owner, with the last answer
  base::TimePoint ReportedAt;
  base::TimePoint SuspectSince = base::Never; // Never: not suspect
};

// isOutOfRotation() returns whether a server receives no work except trials.
bool isOutOfRotation(const ServerStanding &Status);

} // namespace currantgauge::routing

#endif // CURRANTGAUGE_ROUTING_STANDING_H
