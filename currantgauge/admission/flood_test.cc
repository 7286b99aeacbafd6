#include "bench/flood_scenario.h"
#include "bench/flood_simulation.h"

#include <doctest/doctest.h>

#include <cstddef>
#include <cstdint>

namespace currantgauge::bench {
namespace {

constexpr base::Duration MaxRefusalTime = base::milliseconds(50);

Report runFlood(FloodKind Kind, std::uint64_t Seed) {
  Deployment Fleet = waitaha();
  Fleet.Services = {{"cutlist", 6, 4, base::milliseconds(20)}};
  Simulation Run = makeSimulation(makeScenario(Fleet, Kind, Seed));
  runSimulation(Run);
  return makeReport(Run);
}

void checkInvariants(const Report &Figures) {
  CHECK(Figures.SlotOverruns == 0);
  for (const RankFigures &Rank : Figures.Rank) {
    CHECK(Rank.SlowestWithPressureKnown <= MaxRefusalTime);
    CHECK(Rank.MayHaveRun == 0);
  }
}

} // namespace

TEST_CASE("without a flood every rank is served") {
  Report Figures = runFlood(FloodKind::None, 1);
  checkInvariants(Figures);
  for (const RankFigures &Rank : Figures.Rank)
    CHECK(Rank.InTimeShare >= 99.9);
  CHECK(Figures.Attempts <= Figures.Requests * 1.1);
}

TEST_CASE(
    "a flood of the least urgent rank does not affect the most urgent one") {
  for (FloodKind Kind : {FloodKind::LeastUrgent, FloodKind::RegionCut}) {
    Report Figures = runFlood(Kind, 2);
    checkInvariants(Figures);
    CHECK(Figures.Rank[0].InTimeShare >= 99.9);
    CHECK(Figures.UsefulWork >= 95);
    CHECK(Figures.Attempts < Figures.Requests / 2);
  }
}

TEST_CASE("in a simulated flood of the most urgent rank the others keep their "
          "share") {
  for (std::uint64_t Seed : {3, 5, 6, 10, 12}) {
    CAPTURE(Seed);
    Report Figures = runFlood(FloodKind::MostUrgent, Seed);
    checkInvariants(Figures);
    for (std::size_t R = 1; R < RankCount; ++R)
      CHECK(Figures.Rank[R].SlotShare >= 0.95 * Ranks[R].Share);
    CHECK(Figures.UsefulWork >= 95);
  }
}

TEST_CASE("in an overload served requests are answered within their aim") {
  Deployment Fleet = waitaha();
  Fleet.Services = {{"cutlist", 6, 4, base::milliseconds(20)}};
  Scenario Flood = makeScenario(Fleet, FloodKind::MostUrgent, 4);
  Flood.FloodFactor = 0.6; // of the capacity, on top of the regular 0.7
  Flood.Aim = base::milliseconds(150);
  Simulation Run = makeSimulation(Flood);
  runSimulation(Run);
  std::size_t Answered = 0, WithinAim = 0;
  for (const RequestRecord &Record : Run.Records) {
    if (Record.Request.ArrivalTime < Flood.FloodStart || !Record.Answered)
      continue;
    ++Answered;
    WithinAim +=
        Record.EndTime - Record.Request.ArrivalTime <= Flood.Aim ? 1 : 0;
  }
  CAPTURE(Answered);
  CAPTURE(WithinAim);
  CHECK(makeReport(Run).UsefulWork >= 95);
  CHECK(static_cast<double>(WithinAim) >= 0.95 * static_cast<double>(Answered));
}

} // namespace currantgauge::bench
