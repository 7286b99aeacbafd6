// One seeded schedule of faults around the real reducers of two entries and
// two owners: a small fake at each interface (network, store, backend servers)
// loses, delays and reorders, nodes pause and restart, callers ask again.
//
//   ScheduleResult Result = runSchedule(Seed, Breakage::None);
//   CHECK(Result.Violations.empty());
#ifndef CURRANTGAUGE_TESTS_STAND_INS_SCHEDULE_H
#define CURRANTGAUGE_TESTS_STAND_INS_SCHEDULE_H

#include "currantgauge/base/ids.h"
#include "currantgauge/base/memory_store.h"
#include "currantgauge/base/random.h"
#include "currantgauge/base/units.h"
#include "currantgauge/base/verdict.h"
#include "currantgauge/core/effect.h"
#include "currantgauge/core/event.h"
#include "currantgauge/core/state.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace currantgauge::stand_ins {

// Breakage makes a fake lie, so that a test shows that it would see it.
enum class InjectedDefect {
  None,
  ReportUnknownAsDone,    // a write whose answer is lost is reported as applied
  IgnoreCondition,        // a failed condition is reported as applied
  ReportLostPeerAsNotRun, // a peer lost after sending is reported as NotRun
  KeepIncarnation,        // a restarted node keeps its incarnation
};

// ScheduleResult is what went wrong, and how often what happened.
struct ScheduleResult {
  std::vector<std::string> Violations;
  std::map<std::string, std::uint64_t> Outcomes; // "ran", "not_run queue_full"
  std::uint64_t Runs = 0;
};

// runSchedule() plays the schedule of a seed to its end.
ScheduleResult runSchedule(std::uint64_t Seed, InjectedDefect Defect);

namespace detail {

// ScheduledNode is a node and what its runtime would hold.
struct ScheduledNode {
  core::State State;
  std::uint64_t Incarnation = 0;
  base::TimePoint PausedUntil;
  std::map<base::AttemptId, std::string> Answers;
  std::map<base::AttemptId, std::string> StoredAnswers;
  std::map<base::AttemptId, core::AttemptFacts> Exchanges;
  core::EffectList Effects;
};

// ScheduledAction is what callers want done once.
struct ScheduledAction {
  base::IdempotencyKey Key;
  base::ActionToken Token;
  std::uint32_t Runs = 0;
};

// ScheduledRequest is one request of a caller.
struct ScheduledRequest {
  std::size_t Action = 0;
  std::uint64_t Body = 0;
  std::size_t Entry = 0;
  std::uint64_t EntryIncarnation = 0;
  std::uint32_t Runs = 0;
  bool CallerGone = false;
  bool Ended = false;
  base::Verdict Verdict = base::Verdict::MayHaveRun;
};

// AttemptOrigin is where an attempt came from and where it went.
struct AttemptOrigin {
  std::size_t Entry = 0;
  std::uint64_t EntryIncarnation = 0;
  std::size_t Owner = 0;
  std::uint64_t Request = 0; // sequence of its RequestId
};

// World is one schedule in progress.
struct Simulation {
  base::Random Random;
  InjectedDefect Defect = InjectedDefect::None;
  base::TimePoint Now;
  std::uint64_t Sequence = 0;
  std::map<std::pair<base::TimePoint, std::uint64_t>, std::function<void()>>
      Queue;
  std::deque<ScheduledNode> Nodes;
  base::MemoryStore Store;
  base::TimePoint StoreOutageStart = base::Never;
  base::TimePoint StoreOutageEnd = base::Never;
  std::vector<ScheduledAction> Actions;
  std::vector<ScheduledRequest> Requests; // by sequence of RequestId
  std::map<base::AttemptId, AttemptOrigin> Attempts;
  ScheduleResult Result;
};

void scheduleAfter(Simulation &Sim, base::Duration Delay,
                   std::function<void()> Callback);
void deliver(Simulation &Sim, std::size_t To, std::uint64_t Incarnation,
             core::EventBody Body);
bool drawChance(Simulation &Sim, unsigned PerCent);
base::Duration drawDuration(Simulation &Sim, std::int64_t Millis);

// The fakes: what becomes of each effect.
void startAttempt(Simulation &Sim, std::size_t From,
                  const core::StartAttempt &Start);
void cancelAttempt(Simulation &Sim, const core::CancelAttempt &Cancel);
void endAttempt(Simulation &Sim, std::size_t From, const core::EndAttempt &End);
void startExchange(Simulation &Sim, std::size_t From,
                   const core::SendToBackend &Send);
void cancelExchange(Simulation &Sim, std::size_t From,
                    const core::CancelExchange &Cancel);
void callStore(Simulation &Sim, std::size_t From, const core::CallStore &Call);
// reportLostPeer() tells the entries of a node's attempts that it is gone.
void reportLostPeer(Simulation &Sim, std::size_t Lost);

} // namespace detail
} // namespace currantgauge::stand_ins

#endif // CURRANTGAUGE_TESTS_STAND_INS_SCHEDULE_H
