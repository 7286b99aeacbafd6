// Service by rank in floods, in virtual time with fixed seeds, beside a plain
// queue and strict priority. Prints a table, then one JSON document.
//
//   build/admission_bench [SEEDS [ours]]
//
// "ours" leaves the two baselines out.

#include "bench/flood_baseline.h"
#include "bench/flood_scenario.h"
#include "bench/flood_simulation.h"

#include <nlohmann/json.hpp>

#include <cstdio>
#include <cstdlib>
#include <string>
#include <string_view>

namespace currantgauge::bench {
namespace {

using Json = nlohmann::ordered_json;

Json toJson(const Report &Figures) {
  Json Result;
  Result["useful_work_percent"] = Figures.UsefulWork;
  Result["requests"] = Figures.Requests;
  Result["attempts"] = Figures.Attempts;
  Result["slot_overruns"] = Figures.SlotOverruns;
  for (std::size_t R = 0; R < RankCount; ++R) {
    const RankFigures &Rank = Figures.Rank[R];
    Json &Out = Result["ranks"][Ranks[R].Name];
    Out["asked"] = Rank.Asked;
    Out["in_time"] = Rank.InTime;
    Out["in_time_percent"] = Rank.InTimeShare;
    Out["slot_share_percent"] = Rank.SlotShare;
    Out["refused"] = Rank.Refused;
    Out["may_have_run"] = Rank.MayHaveRun;
    Out["refusal_p99_ms"] = base::toSeconds(Rank.RefusalP99) * 1000;
    Out["slowest_known_refusal_ms"] = base::toSeconds(Rank.SlowestKnown) * 1000;
    Out["slowest_refusal_ms"] = base::toSeconds(Rank.SlowestRefusal) * 1000;
  }
  return Result;
}

void printRow(const Scenario &Flood, const char *Policy,
              const Report &Figures) {
  std::printf("%-8s %-12s %4llu %-8s", Flood.Fleet.Name.c_str(),
              floodName(Flood.Kind),
              static_cast<unsigned long long>(Flood.Seed), Policy);
  for (const RankFigures &Rank : Figures.Rank)
    std::printf(" %7.3f %5.1f", Rank.InTimeShare, Rank.SlotShare);
  double Slowest = 0, Known = 0, P99 = 0;
  std::uint64_t Unknown = 0;
  for (const RankFigures &Rank : Figures.Rank) {
    Slowest = std::max(Slowest, base::toSeconds(Rank.SlowestRefusal) * 1000);
    Known = std::max(Known, base::toSeconds(Rank.SlowestKnown) * 1000);
    P99 = std::max(P99, base::toSeconds(Rank.RefusalP99) * 1000);
    Unknown += Rank.MayHaveRun;
  }
  std::printf(" %6.1f %7.1f %7.1f %7.1f %6llu %6.3f\n", Figures.UsefulWork, P99,
              Known, Slowest, static_cast<unsigned long long>(Unknown),
              static_cast<double>(Figures.Attempts) /
                  static_cast<double>(Figures.Requests));
  std::fflush(stdout);
}

void addRow(const Scenario &Flood, const char *Policy, const Report &Figures,
            Json &Results) {
  printRow(Flood, Policy, Figures);
  Json Result = toJson(Figures);
  Result["deployment"] = Flood.Fleet.Name;
  Result["flood"] = floodName(Flood.Kind);
  Result["seed"] = Flood.Seed;
  Result["policy"] = Policy;
  Results.push_back(std::move(Result));
}

void runScenario(const Scenario &Flood, bool Baselines, Json &Results) {
  if (Baselines) {
    addRow(Flood, "fifo", runBaseline(Flood, BaselineKind::Fifo), Results);
    addRow(Flood, "strict", runBaseline(Flood, BaselineKind::StrictPriority),
           Results);
  }
  Simulation Run = makeSimulation(Flood);
  runSimulation(Run);
  addRow(Flood, "ours", reportOf(Run), Results);
}

void runAll(std::uint64_t Seeds, bool Baselines) {
  std::printf("%-8s %-12s %4s %-8s %13s %13s %13s %6s %7s %7s %7s %6s %6s\n",
              "fleet", "flood", "seed", "policy", "urgent %/slot",
              "normal %/slot", "lookup %/slot", "useful", "ref p99", "known",
              "ref max", "mayrun", "att/rq");
  Json Results = Json::array();
  for (const Deployment &Fleet : {waitaha(), okonkwo()})
    for (FloodKind Kind : FloodKinds)
      for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed)
        runScenario(makeScenario(Fleet, Kind, Seed), Baselines, Results);
  std::printf("%s\n", Results.dump().c_str());
}

} // namespace
} // namespace currantgauge::bench

int main(int Count, char **Words) {
  std::uint64_t Seeds = Count > 1 ? std::strtoull(Words[1], nullptr, 10) : 1;
  bool Baselines = Count < 3 || std::string_view(Words[2]) != "ours";
  currantgauge::bench::runAll(Seeds, Baselines);
  return 0;
}
