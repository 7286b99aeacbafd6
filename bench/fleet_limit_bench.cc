// Measures the processor time of a decision on a permit, at the home of a
// workspace and at the entry of a request, with 240,000 workspaces.
//
//   build/fleet_limit_bench [DECISIONS]

#include "currantgauge/admission/fleet_limit.h"
#include "currantgauge/base/random.h"

#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <string>
#include <vector>

namespace currantgauge::bench {
namespace {

constexpr std::size_t WorkspaceCount = 240000;
constexpr base::Duration DecisionInterval = base::microseconds(50);

struct Fleet {
  std::vector<base::NodeName> Names; // ordered
  std::vector<base::WorkspaceName> Workspaces;
  admission::FleetLimitState State;
  base::TimePoint Now{1000000};
};

Fleet makeFleet(std::size_t NodeCount) {
  Fleet Result;
  for (std::size_t I = 1; I < NodeCount; ++I)
    Result.Names.emplace_back("node-" + std::to_string(100000 + I));
  for (std::size_t I = 0; I < WorkspaceCount; ++I)
    Result.Workspaces.emplace_back("workspace-" + std::to_string(I));
  Result.State.Origin = 1;
  Result.State.Roster =
      admission::makeRoster(base::NodeName("node-100000"), true, true);
  return Result;
}

void updateMembers(Fleet &Of) {
  std::vector<admission::MemberView> Views;
  for (const base::NodeName &Name : Of.Names)
    Views.push_back({&Name, true, {}, Of.Now});
  admission::updateRoster(Of.State.Roster, Views, Of.Now);
}

// Runs a decision for random workspaces and returns the mean processor
// time in microseconds.
template <typename Decision>
double measure(Fleet &Of, std::size_t Count, Decision Decide) {
  base::Random Source(7);
  std::clock_t Start = std::clock();
  for (std::size_t I = 0; I < Count; ++I) {
    Of.Now = Of.Now + DecisionInterval;
    if (admission::updateIsDue(Of.State.Roster, Of.Now))
      updateMembers(Of);
    Decide(Of.Workspaces[base::uniformBelow(Source, WorkspaceCount)], I);
  }
  double Seconds = static_cast<double>(std::clock() - Start) / CLOCKS_PER_SEC;
  return Seconds * 1e6 / static_cast<double>(Count);
}

// Of the home: its choice and the bucket.
double measureHome(std::size_t NodeCount, std::size_t Count) {
  Fleet Of = makeFleet(NodeCount);
  updateMembers(Of);
  Of.Now = Of.Now + admission::SettleTime + base::seconds(1);
  updateMembers(Of);
  admission::FleetLimit Limit{20, 20};
  admission::BucketStart Start{Of.Now, true};
  return measure(Of, Count,
                 [&](const base::WorkspaceName &Name, std::size_t I) {
                   admission::chooseHome(Of.State.Roster, Name);
                   takePermits(Of.State.Buckets, {{2, I}, Name, 1, {}, {}, 0},
                               Limit, Start, Of.Now);
                 });
}

// Of the entry: the ask and the handling of its answer.
double measureEntry(std::size_t NodeCount, std::size_t Count) {
  Fleet Of = makeFleet(NodeCount);
  updateMembers(Of);
  return measure(
      Of, Count, [&](const base::WorkspaceName &Name, std::size_t I) {
        admission::PermitOutput Output;
        admission::requestPermit(Of.State, {1, I}, Name, Of.Now, Output);
        admission::onPermitAnswer(Of.State, {{1, I + 1}, 1, {}, {}}, Of.Now,
                                  Output);
      });
}

} // namespace
} // namespace currantgauge::bench

int main(int Count, char **Arguments) {
  namespace bench = currantgauge::bench;
  std::size_t Decisions =
      Count > 1 ? std::strtoull(Arguments[1], nullptr, 10) : 400000;
  std::printf("nodes  home us  entry us  (means of %zu decisions)\n",
              Decisions);
  for (std::size_t Nodes : {89, 235, 1000})
    std::printf("%5zu  %7.2f  %8.2f\n", Nodes,
                bench::measureHome(Nodes, Decisions),
                bench::measureEntry(Nodes, Decisions));
  return 0;
}
