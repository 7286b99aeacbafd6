// Deployments, floods and requests for the admission benchmark and its tests,
// and the figures of a run.
//
//   Scenario Flood = makeScenario(waitaha(), FloodKind::LeastUrgent, 1);
//   std::vector<CallerRequest> Requests = makeRequests(Flood);
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

// RankPlan is a rank of the benchmark's configuration and its load.
struct RankPlan {
  const char *Name;
  double Share;          // guaranteed, in percent of a service's slots
  double Load;           // fraction of the service's capacity, without a flood
  std::int64_t Deadline; // milliseconds
};

inline constexpr std::array<RankPlan, RankCount> Ranks = {
    RankPlan{"urgent", 50, 0.30, 1000},
    RankPlan{"normal", 15, 0.20, 500},
    RankPlan{"lookup", 10, 0.20, 500},
};

// ServicePlan describes a service and its backend servers.
struct ServicePlan {
  std::string Name;
  std::uint32_t Servers = 0;
  std::uint32_t Slots = 0; // of each server
  base::Duration MeanServiceTime;
};

// Deployment describes a fleet, with one node for each backend server.
struct Deployment {
  std::string Name;
  std::vector<ServicePlan> Services;
  base::Duration DomainDelay; // one way, between failure domains
  base::Duration RegionDelay; // one way, between regions
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

// FloodKind is the overload or fault added to the regular load: a flood of the
// least or the most urgent rank, or one of the least urgent rank while a third
// of the servers is slow or the regions can't reach each other.
enum class FloodKind { None, LeastUrgent, MostUrgent, SickThird, RegionCut };

inline constexpr std::array FloodKinds = {
    FloodKind::None, FloodKind::LeastUrgent, FloodKind::MostUrgent,
    FloodKind::SickThird, FloodKind::RegionCut};

inline const char *getFloodName(FloodKind Kind) {
  constexpr std::array Names = {"none", "least-urgent", "most-urgent",
                                "sick-third", "region-cut"};
  return Names[static_cast<std::size_t>(Kind)];
}

// Scenario is a deployment, a flood and the phases of a run.
struct Scenario {
  Deployment Fleet;
  FloodKind Kind = FloodKind::None;
  std::uint64_t Seed = 1;
  double FloodFactor = 10;   // added load, as a multiple of service capacity
  double SlowdownFactor = 8; // of the service time of a slowed server
  base::Duration Aim;        // of all kinds; zero for none
  base::TimePoint FloodStart{1000000};
  base::TimePoint MeasureStart{3000000};
  base::TimePoint End{8000000};
};

inline Scenario makeScenario(const Deployment &Fleet, FloodKind Kind,
                             std::uint64_t Seed) {
  Scenario Flood;
  Flood.Fleet = Fleet;
  Flood.Kind = Kind;
  Flood.Seed = Seed;
  return Flood;
}

// getFloodedRank() returns the rank of the flood, or RankCount if there is
// none.
inline std::size_t getFloodedRank(FloodKind Kind) {
  if (Kind == FloodKind::None)
    return RankCount;
  return Kind == FloodKind::MostUrgent ? 0 : RankCount - 1;
}

// isSlowed() returns whether a server, by its index in the service, is slow at
// Now: with SickThird, every third one is from FloodStart on.
inline bool isSlowed(const Scenario &Flood, std::uint32_t Server,
                     base::TimePoint Now) {
  return Flood.Kind == FloodKind::SickThird && Now >= Flood.FloodStart &&
         Server % 3 == 0;
}

// CallerRequest is a request of a caller.
struct CallerRequest {
  base::TimePoint ArrivalTime;
  std::size_t Service = 0;
  std::size_t Rank = 0;
  std::uint64_t Entry = 0; // random; modulo the number of nodes
  std::uint32_t Workspace = 0;
  base::Duration ServiceTime; // on a healthy server
};

inline double drawExponential(base::Random &Source) {
  return -std::log(1 - base::uniformUnit(Source));
}

inline void appendRequests(const Scenario &Flood, std::size_t Service,
                           std::size_t Rank, double Rate, base::TimePoint Start,
                           base::Random &Source,
                           std::vector<CallerRequest> &Requests) {
  const ServicePlan &Plan = Flood.Fleet.Services[Service];
  double Micros = static_cast<double>(Start.Micros);
  while (true) {
    Micros += drawExponential(Source) / Rate * 1e6;
    base::TimePoint Time{static_cast<std::int64_t>(Micros)};
    if (Time >= Flood.End)
      return;
    double Factor = 0.25 + 0.75 * drawExponential(Source);
    Requests.push_back(
        {Time, Service, Rank, Source(),
         static_cast<std::uint32_t>(base::uniformBelow(Source, 8)),
         base::scale(Plan.MeanServiceTime, Factor)});
  }
}

// makeRequests() returns all requests of a run, ordered by arrival time.
inline std::vector<CallerRequest> makeRequests(const Scenario &Flood) {
  base::Random Source(Flood.Seed);
  std::vector<CallerRequest> Requests;
  for (std::size_t S = 0; S < Flood.Fleet.Services.size(); ++S) {
    const ServicePlan &Plan = Flood.Fleet.Services[S];
    double Capacity =
        Plan.Servers * Plan.Slots / base::toSeconds(Plan.MeanServiceTime);
    for (std::size_t R = 0; R < RankCount; ++R) {
      appendRequests(Flood, S, R, Capacity * Ranks[R].Load, base::TimePoint{},
                     Source, Requests);
      if (R == getFloodedRank(Flood.Kind))
        appendRequests(Flood, S, R, Capacity * Flood.FloodFactor,
                       Flood.FloodStart, Source, Requests);
    }
  }
  std::stable_sort(Requests.begin(), Requests.end(),
                   [](const CallerRequest &A, const CallerRequest &B) {
                     return A.ArrivalTime < B.ArrivalTime;
                   });
  return Requests;
}

// makeConfig() returns the configuration of a deployment. Aim applies to all
// kinds.
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

// RequestRecord is the outcome of a request.
struct RequestRecord {
  CallerRequest Request;
  base::TimePoint EndTime;
  bool Answered = false;
  // Whether the entry knew the pressure of every owner it sent an attempt to.
  bool PressureKnown = true;
  base::Verdict Verdict = base::Verdict::NotRun;
  base::Reason Reason = base::Reason::None;
  base::Duration SlotTime; // of the exchange whose answer was delivered
};

// RankFigures are the results of a rank for the requests that arrived in the
// measured time, and for SlotShare for the answers delivered in it.
struct RankFigures {
  std::uint64_t Requests = 0;
  std::uint64_t InTime = 0; // answered within the deadline
  double SlotShare = 0;     // of all slots, used by answers in time; percent
  std::uint64_t Refused = 0;
  std::uint64_t MayHaveRun = 0;
  double InTimeShare = 0;        // percent of Requests; 100 if there are none
  base::Duration SlowestRefusal; // with verdict NotRun; from arrival
  // The slowest refusal of a request whose entry knew the pressure.
  base::Duration SlowestWithPressureKnown;
  base::Duration RefusalP99;
};

// Report holds the results of a run. The three counts at the end are of the
// whole run.
struct Report {
  std::array<RankFigures, RankCount> Rank;
  double UsefulWork = 0; // slot time of answers in time; percent of all slots
  std::uint64_t Attempts = 0;
  std::uint64_t Requests = 0;
  std::uint64_t SlotOverruns = 0; // exchanges beyond a server's slots
};

inline double countSlots(const Deployment &Fleet) {
  double Slots = 0;
  for (const ServicePlan &Plan : Fleet.Services)
    Slots += Plan.Servers * Plan.Slots;
  return Slots;
}

inline base::Duration quantile(std::vector<base::Duration> &Values,
                               double Share) {
  if (Values.empty())
    return {};
  std::sort(Values.begin(), Values.end());
  auto Index =
      static_cast<std::size_t>(Share * static_cast<double>(Values.size()));
  return Values[std::min(Index, Values.size() - 1)];
}

// summarize() computes the results of the measured time from all requests.
inline Report summarize(const Scenario &Flood,
                        const std::vector<RequestRecord> &Records) {
  Report Figures;
  std::array<std::vector<base::Duration>, RankCount> Refusals;
  double AvailableSlotTime =
      countSlots(Flood.Fleet) * base::toSeconds(Flood.End - Flood.MeasureStart);
  for (const RequestRecord &Record : Records) {
    base::Duration Elapsed = Record.EndTime - Record.Request.ArrivalTime;
    const RankPlan &Plan = Ranks[Record.Request.Rank];
    RankFigures &Rank = Figures.Rank[Record.Request.Rank];
    bool InTime =
        Record.Answered && Elapsed <= base::milliseconds(Plan.Deadline);
    if (InTime && Record.EndTime >= Flood.MeasureStart &&
        Record.EndTime < Flood.End)
      Rank.SlotShare +=
          base::toSeconds(Record.SlotTime) / AvailableSlotTime * 100;
    if (Record.Request.ArrivalTime < Flood.MeasureStart)
      continue;
    ++Rank.Requests;
    Rank.InTime += InTime ? 1 : 0;
    if (Record.Answered)
      continue;
    if (Record.Verdict == base::Verdict::MayHaveRun) {
      ++Rank.MayHaveRun;
      continue;
    }
    ++Rank.Refused;
    if (Record.PressureKnown)
      Rank.SlowestWithPressureKnown =
          std::max(Rank.SlowestWithPressureKnown, Elapsed);
    Refusals[Record.Request.Rank].push_back(Elapsed);
  }
  for (std::size_t R = 0; R < RankCount; ++R) {
    RankFigures &Rank = Figures.Rank[R];
    Rank.InTimeShare = Rank.Requests == 0
                           ? 100
                           : 100.0 * static_cast<double>(Rank.InTime) /
                                 static_cast<double>(Rank.Requests);
    Rank.RefusalP99 = quantile(Refusals[R], 0.99);
    Rank.SlowestRefusal = quantile(Refusals[R], 1);
    Figures.UsefulWork += Rank.SlotShare;
  }
  Figures.Requests = Records.size();
  return Figures;
}

} // namespace currantgauge::bench

#endif // BENCH_FLOOD_SCENARIO_H
