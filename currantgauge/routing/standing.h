// A server's place in a routing set of one entry, and why it has it.
//
//   if (isOutOfRotation(Place)) Text = standingReasonName(Place.Why);
#ifndef CURRANTGAUGE_ROUTING_STANDING_H
#define CURRANTGAUGE_ROUTING_STANDING_H

#include "currantgauge/base/ids.h"
#include "currantgauge/base/units.h"

#include <cstdint>
#include <string_view>

namespace currantgauge::routing {

// Standing is a server's place in a routing set.
enum class Standing { In, Ejected, Trial, SlowStart };

// StandingReason says why a server has its standing.
enum class StandingReason {
  Healthy,
  Suspicious,   // ejected: sick while its peers are well
  WholeService, // kept: its peers are as suspicious
  Floor,        // kept: no other may go, or this one had to come back
  HoldOffOver,  // tried with real requests
  TrialsPassed, // back, with growing load
  NoTrials,     // back without a trial: no idempotent work came
  Restarted,    // a new process: the old one's evidence is void
};

// standingName() and standingReasonName() return snake_case names for status
// and logs.
std::string_view standingName(Standing Value);
std::string_view standingReasonName(StandingReason Reason);

// ServerStanding is one server's place in the set of one entry.
struct ServerStanding {
  Standing Current = Standing::In;
  StandingReason Reason = StandingReason::Healthy;
  base::Incarnation Incarnation;
  base::TimePoint Since;
  base::TimePoint Until; // of the hold-off or the slow start
  base::Duration HoldOff;
  std::uint32_t RecentEjections = 0;
  std::uint32_t TrialsPassed = 0;
  base::AttemptId Trial; // that runs; Sequence 0: none
  bool TrialFailed = false;
  double PeerSuspicion = 0;
  double ReportedSuspicion = 0; // suspicion that came with the last answer
  base::TimePoint ReportedAt;
  base::TimePoint SuspectSince = base::Never; // Never: not sick
};

// isOutOfRotation() says that a server takes no work but trials.
bool isOutOfRotation(const ServerStanding &Status);

} // namespace currantgauge::routing

#endif // CURRANTGAUGE_ROUTING_STANDING_H
