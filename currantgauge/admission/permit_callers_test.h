// Callers of a PermitFleet, and what they got of their workspaces' limits.
//
//   base::WorkspaceName Name = addWorkspace(Fleet, 0, {20, 20});
//   addDemand(Fleet, {.Workspace = Name, .Rate = 20, .Mode = Callers::Even});
#ifndef CURRANTGAUGE_ADMISSION_PERMIT_CALLERS_TEST_H
#define CURRANTGAUGE_ADMISSION_PERMIT_CALLERS_TEST_H

#include "currantgauge/admission/permit_fleet_test.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <string>
#include <vector>

namespace currantgauge::admission {

enum class Callers { Even, OneNode, Moving };

// Demand is a Poisson stream of a workspace's requests.
struct Demand {
  base::WorkspaceName Workspace;
  double Rate = 0;
  Callers Mode = Callers::Even;
};

inline std::size_t pickEntry(PermitFleet &Fleet, Callers Mode) {
  std::size_t Count = Fleet.Nodes.size();
  std::size_t Entry = base::uniformBelow(Fleet.Source, Count);
  if (Mode == Callers::OneNode)
    Entry = 0;
  if (Mode == Callers::Moving)
    Entry = static_cast<std::size_t>(Fleet.Now.Micros / 1500000) * 7 % Count;
  for (std::size_t Tries = 0; Tries < Count && !Fleet.Nodes[Entry].Up; ++Tries)
    Entry = (Entry + 1) % Count;
  return Entry;
}

inline void addDemand(PermitFleet &Fleet, const Demand &Of) {
  double Gap = -std::log(1 - base::uniformUnit(Fleet.Source)) / Of.Rate;
  schedule(Fleet, base::scale(base::seconds(1), Gap), [=, &Fleet] {
    std::size_t Entry = pickEntry(Fleet, Of.Mode);
    if (Fleet.Nodes[Entry].Up)
      requestAt(Fleet, Entry, Of.Workspace);
    addDemand(Fleet, Of);
  });
}

// addWorkspace() sets a workspace's limit at all nodes.
inline base::WorkspaceName addWorkspace(PermitFleet &Fleet, std::size_t Number,
                                        const FleetLimit &Limit) {
  base::WorkspaceName Name("workspace-" + std::to_string(Number));
  Fleet.Workspaces[Name].Limit = Limit;
  Fleet.Workspaces[Name].ReferenceTokens = Limit.Burst;
  for (PermitNode &Node : Fleet.Nodes)
    Node.Limits[Name] = Limit;
  return Name;
}

// mostRunsInWindow() returns the most runs of any five seconds.
inline std::size_t mostRunsInWindow(const std::vector<base::TimePoint> &Runs) {
  std::size_t Most = 0;
  std::size_t First = 0;
  for (std::size_t I = 0; I < Runs.size(); ++I) {
    while (Runs[I] - Runs[First] >= base::seconds(5))
      ++First;
    Most = std::max(Most, I - First + 1);
  }
  return Most;
}

} // namespace currantgauge::admission

#endif // CURRANTGAUGE_ADMISSION_PERMIT_CALLERS_TEST_H
