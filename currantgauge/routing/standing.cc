#include "currantgauge/routing/standing.h"

namespace currantgauge::routing {

std::string_view standingName(Standing Value) {
  switch (Value) {
  case Standing::In:
    return "in";
  case Standing::Ejected:
    return "ejected";
  case Standing::Trial:
    return "trial";
  case Standing::SlowStart:
    return "slow_start";
  }
  return "";
}

std::string_view standingReasonName(StandingReason Reason) {
  switch (Reason) {
  case StandingReason::Healthy:
    return "healthy";
  case StandingReason::Suspicious:
    return "suspicious";
  case StandingReason::WholeService:
    return "whole_service";
  case StandingReason::Floor:
    return "floor";
  case StandingReason::HoldOffOver:
    return "hold_off_over";
  case StandingReason::TrialsPassed:
    return "trials_passed";
  case StandingReason::NoTrials:
    return "no_trials";
  case StandingReason::Restarted:
    return "restarted";
  }
  return "";
}

bool isOutOfRotation(const ServerStanding &Status) {
  return Status.Current == Standing::Ejected ||
         Status.Current == Standing::Trial;
}

} // namespace currantgauge::routing
