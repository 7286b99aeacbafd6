#include "currantgauge/routing/ejection.h"

#include <algorithm>
#include <cmath>

namespace currantgauge::routing {
namespace {

// Weight of a report in the mean load of a service's servers.
constexpr double LoadSampleWeight = 0.1;
// Half-life of the mean without reports: an entry with little traffic must not
// presume that servers are still as busy as they were.
constexpr base::Duration MeanLoadHalfLife = base::seconds(2);

} // namespace

double computeMeanLoad(const RoutingSet &Set, base::TimePoint Now) {
  double Age = std::max(0.0, base::toSeconds(Now - Set.LoadReportedAt));
  return Set.MeanReportedLoad *
         std::exp2(-Age / base::toSeconds(MeanLoadHalfLife));
}

// After a pause the report replaces the mean.
void noteReportedLoad(RoutingSet &Set, double Load, base::TimePoint Now) {
  double Age = std::max(0.0, base::toSeconds(Now - Set.LoadReportedAt));
  double Kept = (1 - LoadSampleWeight) *
                std::exp2(-Age / base::toSeconds(MeanLoadHalfLife));
  Set.MeanReportedLoad = Set.MeanReportedLoad * Kept + Load * (1 - Kept);
  Set.LoadReportedAt = Now;
}

} // namespace currantgauge::routing
