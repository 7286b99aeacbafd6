// A fleet of health_fleet.h under one policy, with what was seen of it: how
// servers left traffic, and the capacity that stayed.
//
//   auto Now = makeRun(What, Policy::Sequential, Seed);
//   pass(*Now, base::seconds(90));
//   Now->Ejections;
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

constexpr double Floor = 50; // percent
constexpr Duration BaselineHoldOff = base::seconds(5);
constexpr Duration BaselineWindow = base::seconds(10);
constexpr std::uint32_t BaselineStreak = 5;
constexpr double BaselineShare = 0.2;
constexpr std::size_t BaselineLeast = 10; // requests in the window

enum class Policy { Sequential, Consecutive, Window };
inline constexpr const char *PolicyNames[] = {
    "currantgauge", "five_consecutive", "error_rate_window"};

// Track is a baseline's memory of one server at one entry.
struct Track {
  std::uint32_t Streak = 0;
  std::deque<std::pair<TimePoint, bool>> Recent;
  TimePoint OutUntil;
};

// Run is one fleet under one policy, with what was seen of it.
struct Run {
  Fleet World;
  Policy Which = Policy::Sequential;
  std::map<std::pair<std::size_t, base::BackendName>, Track> Tracks;
  std::map<std::pair<std::size_t, base::BackendName>, TimePoint> OutSince;
  std::uint64_t Ejections = 0;
  double LeastCapacity = 100; // percent of announced slots, in any entry
  std::uint64_t FloorBroken = 0;
};

inline bool isFailure(const core::AttemptOutcome &Outcome) {
  return Outcome.Status >= 500 ||
         (Outcome.Reason != base::Reason::None && Outcome.Status == 0 &&
          Outcome.Verdict != base::Verdict::NotRun);
}

inline void noteCapacity(Run &Now, std::size_t Entry) {
  const core::State &Node = Now.World.Nodes[Entry];
  double All = 0, Left = 0;
  for (const auto &[Name, Server] : Node.Routing.Servers) {
    All += Server.Record.Slots;
    if (!Now.OutSince.contains({Entry, Name}))
      Left += Server.Record.Slots;
  }
  double Share = All > 0 ? 100 * Left / All : 100;
  Now.LeastCapacity = std::min(Now.LeastCapacity, Share);
  if (Share < Floor)
    ++Now.FloorBroken;
}

inline void markOut(Run &Now, std::size_t Entry,
                    const base::BackendName &Server) {
  if (Now.OutSince.try_emplace({Entry, Server}, Now.World.Now).second)
    ++Now.Ejections;
  noteCapacity(Now, Entry);
}

inline void onLog(Run &Now, std::size_t Node, const core::LogLine &Line) {
  if (Line.Event.rfind("server_", 0) != 0)
    return;
  base::BackendName Server(Line.Fields[1].second);
  if (Line.Event == "server_ejected")
    markOut(Now, Node, Server);
  else if (Line.Event != "server_trial")
    Now.OutSince.erase({Node, Server});
}

inline bool baselineTrips(Run &Now, Track &Seen, bool Failed) {
  Seen.Streak = Failed ? Seen.Streak + 1 : 0;
  Seen.Recent.emplace_back(Now.World.Now, Failed);
  while (Seen.Recent.front().first < Now.World.Now - BaselineWindow)
    Seen.Recent.pop_front();
  if (Now.Which == Policy::Consecutive)
    return Seen.Streak >= BaselineStreak;
  auto Bad = std::count_if(Seen.Recent.begin(), Seen.Recent.end(),
                           [](const auto &One) { return One.second; });
  return Seen.Recent.size() >= BaselineLeast &&
         static_cast<double>(Bad) >=
             BaselineShare * static_cast<double>(Seen.Recent.size());
}

inline void onOutcome(Run &Now, std::size_t Entry,
                      const core::AttemptOutcome &Outcome) {
  if (Outcome.Server.empty())
    return;
  if (Now.Which == Policy::Sequential)
    return;
  Track &Seen = Now.Tracks[{Entry, Outcome.Server}];
  if (Now.World.Now < Seen.OutUntil ||
      !baselineTrips(Now, Seen, isFailure(Outcome)))
    return;
  Seen = Track();
  Seen.OutUntil = Now.World.Now + BaselineHoldOff;
  Now.World.Nodes[Entry].Routing.Servers[Outcome.Server].Drained = true;
  markOut(Now, Entry, Outcome.Server);
}

inline void returnBaselines(Run &Now) {
  for (auto &[Key, Seen] : Now.Tracks)
    if (Seen.OutUntil > TimePoint{} && Now.World.Now >= Seen.OutUntil) {
      Seen.OutUntil = TimePoint{};
      Now.World.Nodes[Key.first].Routing.Servers[Key.second].Drained = false;
      Now.OutSince.erase(Key);
    }
}

inline std::unique_ptr<Run> makeRun(const Shape &What, Policy Which,
                                    std::uint64_t Seed) {
  auto Made = std::make_unique<Run>();
  Made->World = makeFleet(What, Seed, Floor);
  Made->Which = Which;
  Made->World.TellSuspicion = Which == Policy::Sequential;
  Run *Now = Made.get();
  Made->World.OnOutcome = [Now](std::size_t Entry, const auto &Outcome) {
    onOutcome(*Now, Entry, Outcome);
  };
  Made->World.OnLog = [Now](std::size_t Node, const auto &Line) {
    onLog(*Now, Node, Line);
  };
  return Made;
}

// pass() lets virtual time run, in steps that baselines return in.
template <typename Step> void pass(Run &Now, Duration Span, Step Each) {
  TimePoint End = Now.World.Now + Span;
  while (Now.World.Now < End) {
    runUntil(Now.World, std::min(End, Now.World.Now + base::milliseconds(100)));
    returnBaselines(Now);
    Each();
  }
}

inline void pass(Run &Now, Duration Span) {
  pass(Now, Span, [] {});
}

} // namespace currantgauge::bench

#endif // CURRANTGAUGE_BENCH_HEALTH_RUN_H
