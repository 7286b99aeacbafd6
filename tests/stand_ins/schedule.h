// Simulates a seeded schedule of faults with the real reducers of four nodes.
// Any node can be a request's entry, which a caller sends it to; two own
// backend servers. Fakes of the network, the store and the servers lose, delay
// and reorder messages. Nodes pause and restart, and callers repeat requests.
//
//   ScheduleResult Result = runSchedule(Seed, InjectedDefect::None);
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

// InjectedDefect makes a fake report something false, so that a test can show
// that the checks detect it.
enum class InjectedDefect {
  None,
  ReportUnknownAsDone, // a write of unknown result is reported as applied
  IgnoreCondition,     // a write whose condition failed is reported as applied
  ReportLostPeerAsNotRun, // an attempt whose peer was lost after sending is
                          // reported as NotRun
  KeepIncarnation,        // a restarted node keeps its incarnation
};

// ScheduleResult lists the violated guarantees and counts how the requests
// ended. Runs counts the executions by backend servers.
struct ScheduleResult {
  std::vector<std::string> Violations;
  std::map<std::string, std::uint64_t>
      Outcomes; // by name, such as "not_run queue_full"; "answers repeated"
                // counts replayed answers
  std::uint64_t Runs = 0;
};

// runSchedule() runs the schedule of a seed to its end.
ScheduleResult runSchedule(std::uint64_t Seed, InjectedDefect Defect);

namespace detail {

// ScheduledNode is a node and the state that its runtime would hold.
struct ScheduledNode {
  core::State State;
  std::uint64_t Incarnation = 0;
  base::TimePoint PausedUntil;
  std::map<base::AttemptId, std::string> Answers;          // received
  std::map<base::AttemptId, std::string> StoredAnswers;    // kept for replay
  std::map<base::AttemptId, core::AttemptFacts> Exchanges; // running
  core::EffectList Effects;
};

// ScheduledAction is an action that must run at most once.
struct ScheduledAction {
  base::IdempotencyKey Key;
  base::ActionToken Token;
  std::uint32_t Runs = 0;
};

// ScheduledRequest is a request of a caller.
struct ScheduledRequest {
  std::size_t Action = 0; // index in Simulation::Actions
  std::uint64_t Body = 0; // stands for the content of the body
  std::size_t Entry = 0;  // index in Simulation::Nodes
  std::uint64_t EntryIncarnation = 0;
  std::uint32_t Runs = 0;
  bool CallerGone = false;
  bool Ended = false;
  base::Verdict Verdict = base::Verdict::MayHaveRun;
};

// AttemptOrigin is where an attempt was sent from and to.
struct AttemptOrigin {
  std::size_t Entry = 0;
  std::uint64_t EntryIncarnation = 0;
  std::size_t Owner = 0;
  std::uint64_t Request = 0; // RequestId::Sequence
};

// Simulation is the state of a schedule in progress.
struct Simulation {
  base::Random Random;
  InjectedDefect Defect = InjectedDefect::None;
  base::TimePoint Now;
  std::uint64_t Sequence = 0;
  std::map<std::pair<base::TimePoint, std::uint64_t>, std::function<void()>>
      Queue; // callbacks by time, then by the order of scheduling
  std::deque<ScheduledNode> Nodes;
  base::MemoryStore Store;
  base::TimePoint StoreOutageStart = base::Never;
  base::TimePoint StoreOutageEnd = base::Never;
  std::vector<ScheduledAction> Actions;
  std::vector<ScheduledRequest> Requests; // by RequestId::Sequence
  std::map<base::AttemptId, AttemptOrigin> Attempts;
  ScheduleResult Result;
};

void scheduleAfter(Simulation &Sim, base::Duration Delay,
                   std::function<void()> Callback);
// deliver() reduces an event at a node and executes its effects. A paused node
// gets the event after its pause. An event for an earlier incarnation is
// dropped.
void deliver(Simulation &Sim, std::size_t To, std::uint64_t Incarnation,
             core::EventBody Body);
bool drawChance(Simulation &Sim, unsigned Percent);
// drawDuration() returns a random duration of at most Millis.
base::Duration drawDuration(Simulation &Sim, std::int64_t Millis);

// Fakes that execute the effects of a node.
void startAttempt(Simulation &Sim, std::size_t From,
                  const core::StartAttempt &Start);
void cancelAttempt(Simulation &Sim, const core::CancelAttempt &Cancel);
void endAttempt(Simulation &Sim, std::size_t From, const core::EndAttempt &End);
void startExchange(Simulation &Sim, std::size_t From,
                   const core::SendToBackend &Send);
void cancelExchange(Simulation &Sim, std::size_t From,
                    const core::CancelExchange &Cancel);
void callStore(Simulation &Sim, std::size_t From, const core::CallStore &Call);
// reportLostPeer() notifies the other nodes that sent attempts to a node that
// the node is lost, for a random 80% of these attempts.
void reportLostPeer(Simulation &Sim, std::size_t Lost);

} // namespace detail
} // namespace currantgauge::stand_ins

#endif // CURRANTGAUGE_TESTS_STAND_INS_SCHEDULE_H
