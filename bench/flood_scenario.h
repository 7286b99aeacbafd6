// Deployments, floods and arrivals for the admission benchmark and its tests,
// and the figures taken from a run.
//
//   Scenario Flood = makeScenario(waitaha(), FloodKind::LeastUrgent, 1);
//   std::vector<Arrival> Work = makeArrivals(Flood);
//   Report Figures = summarize(Flood, Records);
#ifndef BENCH_FLOOD_SCENARIO_H
#define BENCH_FLOOD_SCENARIO_H

#include "currantgauge/base/ids.h"
#include "currantgauge/base/random.h"
#include "currantgauge/base/units.h"
#include "currantgauge/base/verdict.h"
#include "currantgauge/config/model.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <string>
#include <vector>

namespace currantgauge::bench {

constexpr std::size_t RankCount = 3;

// RankPlan is one rank of the benchmark's configuration.
struct RankPlan {
  const char *Name;
  double Share;          // percent, guaranteed
  double Load;           // of the service's capacity, without a flood
  std::int64_t Deadline; // milliseconds
};

inline constexpr std::array<RankPlan, RankCount> Ranks = {
    RankPlan{"urgent", 50, 0.30, 1000},
    RankPlan{"normal", 15, 0.20, 500},
    RankPlan{"lookup", 10, 0.20, 500},
};

// ServicePlan is one service and its backend servers.
struct ServicePlan {
  std::string Name;
  std::uint32_t Servers = 0;
  std::uint32_t Slots = 0;
  base::Duration Mean; // service time
};

// Deployment is a fleet: one node beside each backend server.
struct Deployment {
  std::string Name;
  std::vector<ServicePlan> Services;
  base::Duration InRegion; // one way, between failure domains
  base::Duration Link;     // one way, between regions
};

inline Deployment waitaha() {
  return {"waitaha",
          {{"cutlist", 11, 4, base::milliseconds(20)},
           {"stocktally", 8, 4, base::milliseconds(20)}},
          base::microseconds(500),
          base::milliseconds(8)};
}

inline Deployment okonkwo() {
  return {"okonkwo",
          {{"field-ops", 14, 3, base::milliseconds(30)},
           {"asset-registry", 8, 3, base::milliseconds(20)}},
          base::microseconds(1500),
          base::milliseconds(8)};
}

// FloodKind is what happens beside the ordinary load.
enum class FloodKind { None, LeastUrgent, MostUrgent, SickThird, RegionCut };

inline constexpr std::array FloodKinds = {
    FloodKind::None, FloodKind::LeastUrgent, FloodKind::MostUrgent,
    FloodKind::SickThird, FloodKind::RegionCut};

inline const char *floodName(FloodKind Kind) {
  constexpr std::array Names = {"none", "least-urgent", "most-urgent",
                                "sick-third", "region-cut"};
  return Names[static_cast<std::size_t>(Kind)];
}

// Scenario is a deployment, a flood and the times of a run.
struct Scenario {
  Deployment Fleet;
  FloodKind Kind = FloodKind::None;
  std::uint64_t Seed = 1;
  double FloodFactor = 10; // times the capacity of the service
  double SickFactor = 8;   // service time of a sick server
  base::Duration Aim;      // of all kinds; zero: none
  base::TimePoint FloodStarts{1000000};
  base::TimePoint MeasureFrom{3000000};
  base::TimePoint Ends{8000000};
};

inline Scenario makeScenario(const Deployment &Fleet, FloodKind Kind,
                             std::uint64_t Seed) {
  Scenario Flood;
  Flood.Fleet = Fleet;
  Flood.Kind = Kind;
  Flood.Seed = Seed;
  return Flood;
}

// floodedRank() returns the rank that floods; RankCount when none does.
inline std::size_t floodedRank(FloodKind Kind) {
  if (Kind == FloodKind::None)
    return RankCount;
  return Kind == FloodKind::MostUrgent ? 0 : RankCount - 1;
}

// isSick() says whether a server of a service is one of the sick third.
inline bool isSick(const Scenario &Flood, std::uint32_t Server,
                   base::TimePoint Now) {
  return Flood.Kind == FloodKind::SickThird && Now >= Flood.FloodStarts &&
         Server % 3 == 0;
}

// Arrival is a caller's request.
struct Arrival {
  base::TimePoint At;
  std::size_t Service = 0;
  std::size_t Rank = 0;
  std::uint64_t Entry = 0;
  std::uint32_t Workspace = 0;
  base::Duration Work; // service time on a healthy server
};

inline double exponential(base::Random &Source) {
  return -std::log(1 - base::uniformUnit(Source));
}

inline void appendStream(const Scenario &Flood, std::size_t Service,
                         std::size_t Rank, double Rate, base::TimePoint From,
                         base::Random &Source, std::vector<Arrival> &Work) {
  const ServicePlan &Plan = Flood.Fleet.Services[Service];
  double At = static_cast<double>(From.Micros);
  while (true) {
    At += exponential(Source) / Rate * 1e6;
    base::TimePoint Time{static_cast<std::int64_t>(At)};
    if (Time >= Flood.Ends)
      return;
    double Unit = 0.25 + 0.75 * exponential(Source);
    Work.push_back({Time, Service, Rank, Source(),
                    static_cast<std::uint32_t>(base::uniformBelow(Source, 8)),
                    base::scale(Plan.Mean, Unit)});
  }
}

// makeArrivals() returns every request of a run, by time.
inline std::vector<Arrival> makeArrivals(const Scenario &Flood) {
  base::Random Source(Flood.Seed);
  std::vector<Arrival> Work;
  for (std::size_t S = 0; S < Flood.Fleet.Services.size(); ++S) {
    const ServicePlan &Plan = Flood.Fleet.Services[S];
    double Capacity = Plan.Servers * Plan.Slots / base::toSeconds(Plan.Mean);
    for (std::size_t R = 0; R < RankCount; ++R) {
      appendStream(Flood, S, R, Capacity * Ranks[R].Load, base::TimePoint{},
                   Source, Work);
      if (R == floodedRank(Flood.Kind))
        appendStream(Flood, S, R, Capacity * Flood.FloodFactor,
                     Flood.FloodStarts, Source, Work);
    }
  }
  std::stable_sort(
      Work.begin(), Work.end(),
      [](const Arrival &A, const Arrival &B) { return A.At < B.At; });
  return Work;
}

// makeConfig() returns the configuration of a deployment, with an aim for all
// kinds where one is given.
inline config::ConfigurationPtr makeConfig(const Deployment &Fleet,
                                           base::Duration Aim = {}) {
  auto *Config = new config::Configuration;
  for (std::size_t R = 0; R < RankCount; ++R) {
    base::RankName Rank(Ranks[R].Name);
    config::RankSettings &Settings = Config->Ranks[Rank];
    Settings.Name = Rank;
    Settings.Order = static_cast<std::uint32_t>(R);
    Settings.Share = base::Percent{Ranks[R].Share};
  }
  for (const ServicePlan &Plan : Fleet.Services) {
    base::ServiceName Service(Plan.Name);
    Config->Services[Service].Name = Service;
    for (const RankPlan &Rank : Ranks) {
      base::KindName Name(Plan.Name + "-" + Rank.Name);
      config::KindSettings &Kind = Config->Kinds[Name];
      Kind.Name = Name;
      Kind.Service = Service;
      Kind.Rank = base::RankName(Rank.Name);
      Kind.Deadline = base::milliseconds(Rank.Deadline);
      Kind.Aim = Aim;
      std::string Prefix = "/" + Plan.Name + "/" + Rank.Name;
      Config->Routes[Name.Value] =
          config::RouteSettings{Name.Value, "", Prefix, Name};
    }
  }
  config::indexRoutes(*Config);
  return config::ConfigurationPtr(Config);
}

// Record is how a request ended.
struct Record {
  Arrival Asked;
  base::TimePoint Ended;
  bool Answered = false;
  bool Known = true; // its entry knew the pressure of each owner it asked
  base::Verdict What = base::Verdict::NotRun;
  base::Reason Why = base::Reason::None;
  base::Duration SlotTime; // of the exchange whose answer was delivered
};

// RankFigures is what a rank got in the measured time.
struct RankFigures {
  std::uint64_t Asked = 0;
  std::uint64_t InTime = 0; // answered within the deadline
  double SlotShare = 0;     // of all slots, by answers in time; percent
  std::uint64_t Refused = 0;
  std::uint64_t MayHaveRun = 0;
  double InTimeShare = 0;        // percent of Asked
  base::Duration SlowestRefusal; // NotRun, from arrival
  base::Duration SlowestKnown;   // of those, where the entry knew the pressure
  base::Duration RefusalP99;
};

// Report is the figures of a run.
struct Report {
  std::array<RankFigures, RankCount> Rank;
  double UsefulWork = 0; // slot time of answers in time; percent of all slots
  std::uint64_t Attempts = 0;
  std::uint64_t Requests = 0;
  std::uint64_t SlotOverruns = 0; // exchanges above a server's slots
};

inline double slotCount(const Deployment &Fleet) {
  double Slots = 0;
  for (const ServicePlan &Plan : Fleet.Services)
    Slots += Plan.Servers * Plan.Slots;
  return Slots;
}

inline base::Duration quantile(std::vector<base::Duration> &Sorted, double Q) {
  if (Sorted.empty())
    return {};
  std::sort(Sorted.begin(), Sorted.end());
  auto Index = static_cast<std::size_t>(Q * static_cast<double>(Sorted.size()));
  return Sorted[std::min(Index, Sorted.size() - 1)];
}

// summarize() takes the figures of the requests of the measured time.
inline Report summarize(const Scenario &Flood,
                        const std::vector<Record> &Records) {
  Report Figures;
  std::array<std::vector<base::Duration>, RankCount> Refusals;
  double AllSlots =
      slotCount(Flood.Fleet) * base::toSeconds(Flood.Ends - Flood.MeasureFrom);
  for (const Record &One : Records) {
    base::Duration Took = One.Ended - One.Asked.At;
    const RankPlan &Plan = Ranks[One.Asked.Rank];
    RankFigures &Rank = Figures.Rank[One.Asked.Rank];
    bool InTime = One.Answered && Took <= base::milliseconds(Plan.Deadline);
    if (InTime && One.Ended >= Flood.MeasureFrom && One.Ended < Flood.Ends)
      Rank.SlotShare += base::toSeconds(One.SlotTime) / AllSlots * 100;
    if (One.Asked.At < Flood.MeasureFrom)
      continue;
    ++Rank.Asked;
    Rank.InTime += InTime ? 1 : 0;
    if (One.Answered)
      continue;
    if (One.What == base::Verdict::MayHaveRun) {
      ++Rank.MayHaveRun;
      continue;
    }
    ++Rank.Refused;
    if (One.Known)
      Rank.SlowestKnown = std::max(Rank.SlowestKnown, Took);
    Refusals[One.Asked.Rank].push_back(Took);
  }
  for (std::size_t R = 0; R < RankCount; ++R) {
    RankFigures &Rank = Figures.Rank[R];
    Rank.InTimeShare = Rank.Asked == 0
                           ? 100
                           : 100.0 * static_cast<double>(Rank.InTime) /
                                 static_cast<double>(Rank.Asked);
    Rank.RefusalP99 = quantile(Refusals[R], 0.99);
    Rank.SlowestRefusal = quantile(Refusals[R], 1);
    Figures.UsefulWork += Rank.SlotShare;
  }
  Figures.Requests = Records.size();
  return Figures;
}

} // namespace currantgauge::bench

#endif // BENCH_FLOOD_SCENARIO_H
