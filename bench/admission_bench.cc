// Measures the service of each rank during floods, in virtual time with fixed
// seeds, and compares it with a FIFO queue and strict priority. Prints a table
// and then a JSON document.
//
//   build/admission_bench [SEEDS [ours]]
//
// "ours" skips the two baselines.

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
    Json &RankJson = Result["ranks"][Ranks[R].Name];
    RankJson["asked"] = Rank.Requests;
    RankJson["in_time"] = Rank.InTime;
    RankJson["in_time_percent"] = Rank.InTimeShare;
    RankJson["slot_share_percent"] = Rank.SlotShare;
    RankJson["refused"] = Rank.Refused;
    RankJson["may_have_run"] = Rank.MayHaveRun;
    RankJson["refusal_p99_ms"] = base::toSeconds(Rank.RefusalP99) * 1000;
    RankJson["slowest_known_refusal_ms"] =
        base::toSeconds(Rank.SlowestWithPressureKnown) * 1000;
    RankJson["slowest_refusal_ms"] =
        base::toSeconds(Rank.SlowestRefusal) * 1000;
  }
  return Result;
}

void printRow(const Scenario &Flood, const char *Policy,
              const Report &Figures) {
  std::printf("%-8s %-12s %4llu %-8s", Flood.Fleet.Name.c_str(),
              getFloodName(Flood.Kind),
              static_cast<unsigned long long>(Flood.Seed), Policy);
  for (const RankFigures &Rank : Figures.Rank)
    std::printf(" %7.3f %5.1f", Rank.InTimeShare, Rank.SlotShare);
  double SlowestRefusal = 0, SlowestKnown = 0, RefusalP99 = 0;
  std::uint64_t MayHaveRun = 0;
  for (const RankFigures &Rank : Figures.Rank) {
    SlowestRefusal =
        std::max(SlowestRefusal, base::toSeconds(Rank.SlowestRefusal) * 1000);
    SlowestKnown = std::max(
        SlowestKnown, base::toSeconds(Rank.SlowestWithPressureKnown) * 1000);
    RefusalP99 = std::max(RefusalP99, base::toSeconds(Rank.RefusalP99) * 1000);
    MayHaveRun += Rank.MayHaveRun;
  }
  std::printf(" %6.1f %7.1f %7.1f %7.1f %6llu %6.3f\n", Figures.UsefulWork,
              RefusalP99, SlowestKnown, SlowestRefusal,
              static_cast<unsigned long long>(MayHaveRun),
              static_cast<double>(Figures.Attempts) /
                  static_cast<double>(Figures.Requests));
  std::fflush(stdout);
}

void addRow(const Scenario &Flood, const char *Policy, const Report &Figures,
            Json &Results) {
  printRow(Flood, Policy, Figures);
  Json Result = toJson(Figures);
  Result["deployment"] = Flood.Fleet.Name;
  Result["flood"] = getFloodName(Flood.Kind);
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
  Simulation Sim = makeSimulation(Flood);
  runSimulation(Sim);
  addRow(Flood, "ours", makeReport(Sim), Results);
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

int main(int Count, char **Arguments) {
  std::uint64_t Seeds =
      Count > 1 ? std::strtoull(Arguments[1], nullptr, 10) : 1;
  bool Baselines = Count < 3 || std::string_view(Arguments[2]) != "ours";
  currantgauge::bench::runAll(Seeds, Baselines);
  return 0;
}
