#include "currantgauge/routing/floor.h"

#include <algorithm>
#include <cstddef>

namespace currantgauge::routing {

std::vector<bool>
selectEjected(const std::vector<EjectionCandidate> &Candidates,
              base::Percent Floor) {
  double Announced = 0, Remaining = 0;
  std::vector<std::size_t> Order;
  for (std::size_t I = 0; I < Candidates.size(); ++I) {
    Announced += Candidates[I].Slots;
    if (!Candidates[I].AcceptsWork)
      continue;
    Remaining += Candidates[I].Slots;
    if (Candidates[I].ShouldEject)
      Order.push_back(I);
  }
  std::stable_sort(Order.begin(), Order.end(),
                   [&](std::size_t A, std::size_t B) {
                     return Candidates[A].Suspicion > Candidates[B].Suspicion;
                   });
  double Required = Announced * Floor.Value / 100;
  std::vector<bool> Out(Candidates.size(), false);
  for (std::size_t I : Order) {
    if (Remaining - Candidates[I].Slots < Required)
      continue;
    Remaining -= Candidates[I].Slots;
    Out[I] = true;
  }
  return Out;
}

} // namespace currantgauge::routing
