// Timers of the reducer: due ones come back as one TimerFired event.
//
//   setTimer(State.Timers, Now + seconds(1), LeaseCheck{});
#ifndef CURRANTGAUGE_CORE_TIMER_H
#define CURRANTGAUGE_CORE_TIMER_H

#include "currantgauge/base/ids.h"
#include "currantgauge/base/units.h"

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <variant>

namespace currantgauge::core {

// LeaseCheck takes out backend servers whose lease has passed.
struct LeaseCheck {};
// GossipRound starts the next round of talk between nodes.
struct GossipRound {};
// HealthRound looks at running requests and ejected servers.
struct HealthRound {};
// ConfigRound looks for a newer configuration.
struct ConfigRound {};
// ActionRound flushes claims and forgets old answers.
struct ActionRound {};
// RumourFlush sends urgent rumours that had to wait.
struct RumourFlush {};
// SyncDue starts the next comparison of a node that has missed much.
struct SyncDue {};
// ProbeTimeout ends a stage of a probe of another node.
struct ProbeTimeout {
  std::uint64_t Sequence = 0;
};
// RequestDeadline ends a request at its entry.
struct RequestDeadline {
  base::RequestId Request;
};
// RetryDue starts the next attempt of a request after its backoff.
struct RetryDue {
  base::RequestId Request;
};
// TrialTimeout looks at a trial of a server that was out of traffic.
struct TrialTimeout {
  base::RequestId Request;
  base::AttemptId Attempt;
};
// AttemptDeadline ends an attempt at its owner.
struct AttemptDeadline {
  base::AttemptId Attempt;
};
// SlotsReopen runs what waits for a backend server that was paused.
struct SlotsReopen {
  base::ServiceName Service;
};

// LeaveDue is when a stopping node takes no more work of other nodes.
struct LeaveDue {};
// StopDue is when a stopping node may end.
struct StopDue {};
// StopAnswersDue is when what still waits at a stopping node gets an answer.
struct StopAnswersDue {};
// FeedDue asks the store's change feed again.
struct FeedDue {};

using Timer =
    std::variant<FeedDue, LeaveDue, StopDue, StopAnswersDue, LeaseCheck,
                 GossipRound, HealthRound, ConfigRound, ActionRound,
                 RumourFlush, SyncDue, ProbeTimeout, RequestDeadline, RetryDue,
                 TrialTimeout, AttemptDeadline, SlotsReopen>;

// TimerQueue orders timers by time, then by the order in which they were set.
struct TimerQueue {
  std::multimap<base::TimePoint, Timer> Pending;
  base::TimePoint WakeTime = base::Never; // of the last WakeAt effect
};

inline void setTimer(TimerQueue &Queue, base::TimePoint At, Timer What) {
  Queue.Pending.emplace(At, std::move(What));
}

// takeDue() removes and returns the next timer due by Now, if there is one.
inline std::optional<Timer> takeDue(TimerQueue &Queue, base::TimePoint Now) {
  auto First = Queue.Pending.begin();
  if (First == Queue.Pending.end() || First->first > Now)
    return std::nullopt;
  Timer What = std::move(First->second);
  Queue.Pending.erase(First);
  return What;
}

} // namespace currantgauge::core

#endif // CURRANTGAUGE_CORE_TIMER_H
