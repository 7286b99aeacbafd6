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
enum class Breakage {
  None,
  UnknownTakenAsDone, // a write whose answer is lost is reported as applied
  ConditionIgnored,   // a failed condition is reported as applied
  LostPeerIsNotRun,   // a peer lost after sending is reported as NotRun
  LifeIsKept,         // a restarted node keeps its incarnation
};

// ScheduleResult is what went wrong, and how often what happened.
struct ScheduleResult {
  std::vector<std::string> Violations;
  std::map<std::string, std::uint64_t> Endings; // "ran", "not_run queue_full"
  std::uint64_t Runs = 0;
};

// runSchedule() plays the schedule of a seed to its end.
ScheduleResult runSchedule(std::uint64_t Seed, Breakage Broken);

namespace detail {

// ScheduledNode is a node and what its runtime would hold.
struct ScheduledNode {
  core::State State;
  std::uint64_t Life = 0;
  base::TimePoint PausedUntil;
  std::map<base::AttemptId, std::string> Answers;
  std::map<base::AttemptId, std::string> Kept;
  std::map<base::AttemptId, core::AttemptFacts> Exchanges;
  core::EffectList Effects;
};

// ScheduledAction is what callers want done once.
struct ScheduledAction {
  base::IdempotencyKey Key;
  base::ActionToken Token;
  std::uint32_t Runs = 0;
};

// ScheduledAsk is one request of a caller.
struct ScheduledAsk {
  std::size_t Action = 0;
  std::uint64_t Body = 0;
  std::size_t Entry = 0;
  std::uint64_t EntryLife = 0;
  std::uint32_t Runs = 0;
  bool CallerGone = false;
  bool Ended = false;
  base::Verdict What = base::Verdict::MayHaveRun;
};

// AttemptTrack is where an attempt came from and where it went.
struct AttemptTrack {
  std::size_t Entry = 0;
  std::uint64_t EntryLife = 0;
  std::size_t Owner = 0;
  std::uint64_t Request = 0; // sequence of its RequestId
};

// World is one schedule in progress.
struct World {
  base::Random Source;
  Breakage Broken = Breakage::None;
  base::TimePoint Now;
  std::uint64_t Sequence = 0;
  std::map<std::pair<base::TimePoint, std::uint64_t>, std::function<void()>>
      Queue;
  std::deque<ScheduledNode> Nodes;
  base::MemoryStore Store;
  base::TimePoint StoreOutFrom = base::Never;
  base::TimePoint StoreOutUntil = base::Never;
  std::vector<ScheduledAction> Actions;
  std::vector<ScheduledAsk> Asks; // by sequence of RequestId
  std::map<base::AttemptId, AttemptTrack> Attempts;
  ScheduleResult Result;
};

void after(World &In, base::Duration Delay, std::function<void()> What);
void deliver(World &In, std::size_t To, std::uint64_t Life,
             core::EventBody Body);
bool chance(World &In, unsigned PerCent);
base::Duration upTo(World &In, std::int64_t Millis);

// The fakes: what becomes of each effect.
void sendStart(World &In, std::size_t From, const core::StartAttempt &Start);
void sendCancel(World &In, const core::CancelAttempt &Cancel);
void sendEnd(World &In, std::size_t From, const core::EndAttempt &End);
void exchange(World &In, std::size_t From, const core::SendToBackend &Send);
void cancelExchange(World &In, std::size_t From,
                    const core::CancelExchange &Cancel);
void callStore(World &In, std::size_t From, const core::CallStore &Call);
// losePeer() tells the entries of a node's attempts that it is gone.
void losePeer(World &In, std::size_t Gone);

} // namespace detail
} // namespace currantgauge::stand_ins

#endif // CURRANTGAUGE_TESTS_STAND_INS_SCHEDULE_H
