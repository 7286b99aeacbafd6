#include "currantgauge/routing/standing.h"

namespace currantgauge::routing {

std::string_view standingName(Standing Where) {
  switch (Where) {
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

std::string_view whyName(StandingWhy Why) {
  switch (Why) {
  case StandingWhy::Healthy:
    return "healthy";
  case StandingWhy::Suspicious:
    return "suspicious";
  case StandingWhy::WholeService:
    return "whole_service";
  case StandingWhy::Floor:
    return "floor";
  case StandingWhy::HoldOffOver:
    return "hold_off_over";
  case StandingWhy::TrialsPassed:
    return "trials_passed";
  case StandingWhy::NoTrials:
    return "no_trials";
  case StandingWhy::Restarted:
    return "restarted";
  }
  return "";
}

bool isOut(const ServerStanding &Place) {
  return Place.Where == Standing::Ejected || Place.Where == Standing::Trial;
}

} // namespace currantgauge::routing
