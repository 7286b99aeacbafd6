// Measures the time to choose a server, by the number of services and of
// servers per service. It must not grow with the size of the fleet.
//
//   choice_bench
#include "currantgauge/routing/health.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <string>

namespace currantgauge::bench {
namespace {

routing::RoutingState makeState(std::size_t Services, std::size_t Servers) {
  routing::RoutingState State;
  State.Self = base::NodeName("self");
  State.Region = base::RegionName("r0");
  State.Domain = base::DomainName("d0");
  for (std::size_t I = 0; I < Services * Servers; ++I) {
    routing::BackendRecord Record;
    Record.Name = base::BackendName("backend-" + std::to_string(I));
    Record.Service =
        base::ServiceName("service-" + std::to_string(I % Services));
    Record.Owner = base::NodeName("node-" + std::to_string(I / 27));
    Record.Region = base::RegionName("r" + std::to_string(I / Services % 2));
    Record.Domain = base::DomainName("d" + std::to_string(I / Services % 4));
    Record.Slots = 4;
    Record.Incarnation = base::Incarnation(1);
    State.ByService[Record.Service].insert(Record.Name);
    State.Servers[Record.Name].Record = Record;
  }
  return State;
}

double measureMicrosPerChoice(std::size_t Services, std::size_t Servers) {
  constexpr std::size_t Choices = 100000;
  routing::RoutingState State = makeState(Services, Servers);
  config::ServiceSettings Settings;
  base::Random Source(1);
  core::EffectList Effects;
  routing::ChoiceQuery Query;
  Query.Idempotent = true;
  auto Start = std::chrono::steady_clock::now();
  for (std::size_t I = 0; I < Choices; ++I) {
    Query.Service = base::ServiceName(
        "service-" + std::to_string(base::uniformBelow(Source, Services)));
    Query.Now = base::TimePoint{static_cast<std::int64_t>(I) * 1800};
    routing::selectServer(State, Query, Settings, Source, Effects);
  }
  std::chrono::duration<double, std::micro> Elapsed =
      std::chrono::steady_clock::now() - Start;
  return Elapsed.count() / Choices;
}

} // namespace
} // namespace currantgauge::bench

int main() {
  std::printf("services servers/service targets us/choice\n");
  for (auto [Services, Servers] : {std::pair<std::size_t, std::size_t>{2, 11},
                                   {29, 38},
                                   {290, 38},
                                   {2900, 38},
                                   {1, 500}})
    std::printf("%8zu %15zu %7zu %9.2f\n", Services, Servers,
                Services * Servers,
                currantgauge::bench::measureMicrosPerChoice(Services, Servers));
}
