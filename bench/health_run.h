// Runs a simulated fleet of health_fleet.h under one ejection policy and counts
// ejections and the remaining capacity.
//
//   auto Run = makePolicyRun(Setup, EjectionPolicy::Sequential, Seed);
//   advanceTime(*Run, base::seconds(90));
//   Run->Ejections;
#ifndef CURRANTGAUGE_BENCH_HEALTH_RUN_H
#define CURRANTGAUGE_BENCH_HEALTH_RUN_H

#include "health_fleet.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <utility>

namespace currantgauge::bench {

constexpr double FloorPercent = 50;
constexpr Duration BaselineHoldOff = base::seconds(5);
constexpr Duration BaselineWindow = base::seconds(10);
constexpr std::uint32_t BaselineFailureStreak = 5;
constexpr double BaselineFailureShare = 0.2;
constexpr std::size_t BaselineMinRequests = 10; // requests in the window

// EjectionPolicy decides when a server is ejected: the sequential test of the
// product, or one of the baselines.
enum class EjectionPolicy { Sequential, Consecutive, Window };
inline constexpr const char *PolicyNames[] = {
    "currantgauge", "five_consecutive", "error_rate_window"};

// BaselineHistory is the state of a baseline for one server at one entry.
struct BaselineHistory {
  std::uint32_t FailureStreak = 0;
  // Outcomes in the last BaselineWindow; true: failed.
  std::deque<std::pair<TimePoint, bool>> Recent;
  TimePoint EjectedUntil;
};

// PolicyRun is a simulated fleet under one policy and its counters. The maps
// are keyed by entry and server.
struct PolicyRun {
  FleetSimulation Sim;
  EjectionPolicy Policy = EjectionPolicy::Sequential;
  std::map<std::pair<std::size_t, base::BackendName>, BaselineHistory>
      Histories;
  std::map<std::pair<std::size_t, base::BackendName>, TimePoint> EjectedSince;
  std::uint64_t Ejections = 0;
  // The lowest share of the announced slots that an entry hadn't ejected.
  double MinCapacityPercent = 100;
  // Ejections that left an entry less than FloorPercent of the slots.
  std::uint64_t FloorViolations = 0;
};

inline bool isFailure(const core::AttemptOutcome &Outcome) {
  return Outcome.Status >= 500 ||
         (Outcome.Reason != base::Reason::None && Outcome.Status == 0 &&
          Outcome.Verdict != base::Verdict::NotRun);
}

inline void recordCapacity(PolicyRun &Run, std::size_t Entry) {
  const core::State &Node = Run.Sim.Nodes[Entry];
  double TotalSlots = 0, AvailableSlots = 0;
  for (const auto &[Name, Server] : Node.Routing.Servers) {
    TotalSlots += Server.Record.Slots;
    if (!Run.EjectedSince.contains({Entry, Name}))
      AvailableSlots += Server.Record.Slots;
  }
  double Share = TotalSlots > 0 ? 100 * AvailableSlots / TotalSlots : 100;
  Run.MinCapacityPercent = std::min(Run.MinCapacityPercent, Share);
  if (Share < FloorPercent)
    ++Run.FloorViolations;
}

inline void recordEjection(PolicyRun &Run, std::size_t Entry,
                           const base::BackendName &Server) {
  if (Run.EjectedSince.try_emplace({Entry, Server}, Run.Sim.Now).second)
    ++Run.Ejections;
  recordCapacity(Run, Entry);
}

inline void onLog(PolicyRun &Run, std::size_t Node, const core::LogLine &Line) {
  if (Line.Event.rfind("server_", 0) != 0)
    return;
  base::BackendName Server(Line.Fields[1].second);
  if (Line.Event == "server_ejected")
    recordEjection(Run, Node, Server);
  else if (Line.Event != "server_trial")
    Run.EjectedSince.erase({Node, Server});
}

inline bool shouldBaselineEject(PolicyRun &Run, BaselineHistory &History,
                                bool Failed) {
  History.FailureStreak = Failed ? History.FailureStreak + 1 : 0;
  History.Recent.emplace_back(Run.Sim.Now, Failed);
  while (History.Recent.front().first < Run.Sim.Now - BaselineWindow)
    History.Recent.pop_front();
  if (Run.Policy == EjectionPolicy::Consecutive)
    return History.FailureStreak >= BaselineFailureStreak;
  auto Failures =
      std::count_if(History.Recent.begin(), History.Recent.end(),
                    [](const auto &Sample) { return Sample.second; });
  return History.Recent.size() >= BaselineMinRequests &&
         static_cast<double>(Failures) >=
             BaselineFailureShare * static_cast<double>(History.Recent.size());
}

// Applies the baselines, which eject a server by draining it at the entry.
inline void onOutcome(PolicyRun &Run, std::size_t Entry,
                      const core::AttemptOutcome &Outcome) {
  if (Outcome.Server.empty())
    return;
  if (Run.Policy == EjectionPolicy::Sequential)
    return;
  BaselineHistory &History = Run.Histories[{Entry, Outcome.Server}];
  if (Run.Sim.Now < History.EjectedUntil ||
      !shouldBaselineEject(Run, History, isFailure(Outcome)))
    return;
  History = BaselineHistory();
  History.EjectedUntil = Run.Sim.Now + BaselineHoldOff;
  Run.Sim.Nodes[Entry].Routing.Servers[Outcome.Server].Drained = true;
  recordEjection(Run, Entry, Outcome.Server);
}

inline void readmitServers(PolicyRun &Run) {
  for (auto &[Key, History] : Run.Histories)
    if (History.EjectedUntil > TimePoint{} &&
        Run.Sim.Now >= History.EjectedUntil) {
      History.EjectedUntil = TimePoint{};
      Run.Sim.Nodes[Key.first].Routing.Servers[Key.second].Drained = false;
      Run.EjectedSince.erase(Key);
    }
}

inline std::unique_ptr<PolicyRun> makePolicyRun(const ServiceSetup &Setup,
                                                EjectionPolicy Policy,
                                                std::uint64_t Seed) {
  auto Result = std::make_unique<PolicyRun>();
  Result->Sim = makeSimulation(Setup, Seed, FloorPercent);
  Result->Policy = Policy;
  Result->Sim.ShareSuspicion = Policy == EjectionPolicy::Sequential;
  PolicyRun *Run = Result.get();
  Result->Sim.OnOutcome = [Run](std::size_t Entry, const auto &Outcome) {
    onOutcome(*Run, Entry, Outcome);
  };
  Result->Sim.OnLog = [Run](std::size_t Node, const auto &Line) {
    onLog(*Run, Node, Line);
  };
  return Result;
}

// advanceTime() advances virtual time in steps of 100 ms, after each of which
// the baselines readmit servers.
template <typename Step>
void advanceTime(PolicyRun &Run, Duration Interval, Step AfterStep) {
  TimePoint End = Run.Sim.Now + Interval;
  while (Run.Sim.Now < End) {
    runUntil(Run.Sim, std::min(End, Run.Sim.Now + base::milliseconds(100)));
    readmitServers(Run);
    AfterStep();
  }
}

inline void advanceTime(PolicyRun &Run, Duration Interval) {
  advanceTime(Run, Interval, [] {});
}

} // namespace currantgauge::bench

#endif // CURRANTGAUGE_BENCH_HEALTH_RUN_H
