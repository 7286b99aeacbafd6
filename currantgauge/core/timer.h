// Timers of the reducer. One TimerFired event runs all timers that are due.
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

// LeaseCheck removes backend servers whose lease has expired.
struct LeaseCheck {};
// GossipRound starts the next gossip round between nodes.
struct GossipRound {};
// HealthRound updates the health evidence and suspicion of owned servers and
// cancels exchanges that have gone silent.
struct HealthRound {};
// ConfigRound checks for a newer configuration.
struct ConfigRound {};
// ActionRound starts the periodic maintenance of actions: it writes pending
// claims, removes expired answers, ids and quarantine records, and cleans up
// the store.
struct ActionRound {};
// RumourFlush sends urgent rumours (gossiped updates) that were rate-limited.
struct RumourFlush {};
// SyncDue starts the next anti-entropy exchange of a node that lacks many
// updates.
struct SyncDue {};
// ProbeTimeout ends the current stage of a probe of another node.
struct ProbeTimeout {
  std::uint64_t Sequence = 0;
};
// RequestDeadline refuses a request at its entry when its deadline expires,
// unless the caller already receives an answer.
struct RequestDeadline {
  base::RequestId Request;
};
// RetryDue starts the next attempt of a request after its backoff.
struct RetryDue {
  base::RequestId Request;
};
// TrialTimeout abandons a trial, an attempt that tests whether an ejected
// server has recovered, if the request can be retried at another server.
struct TrialTimeout {
  base::RequestId Request;
  base::AttemptId Attempt;
};
// AttemptDeadline ends an attempt at its owner when it is too late to start it
// from the queue, or when its deadline expires while it holds a slot.
struct AttemptDeadline {
  base::AttemptId Attempt;
};
// SlotsReopen starts queued attempts of Service when the pause of one of its
// backend servers ends.
struct SlotsReopen {
  base::ServiceName Service;
};

// LeaveDue announces to other nodes that a stopping node is leaving, so that
// they send it no more attempts.
struct LeaveDue {};
// StopDue ends the time in which a stopping node accepts requests and refuses
// the queued attempts of other nodes; afterwards the node exits as soon as
// nothing is in flight.
struct StopDue {};
// StopAnswersDue refuses the requests that are still unanswered shortly before
// a stopping node must exit.
struct StopAnswersDue {};
// FeedDue reads the store's change feed again after a failure or when its
// answer is overdue.
struct FeedDue {};
// PermitResend repeats an ask for permits that has no answer yet.
struct PermitResend {
  std::uint64_t Sequence = 0;
};
// PermitTimeout refuses a request that has waited too long for its permit.
struct PermitTimeout {
  base::RequestId Request;
};

using Timer =
    std::variant<FeedDue, LeaveDue, StopDue, StopAnswersDue, LeaseCheck,
                 GossipRound, HealthRound, ConfigRound, ActionRound,
                 RumourFlush, SyncDue, ProbeTimeout, RequestDeadline, RetryDue,
                 TrialTimeout, AttemptDeadline, SlotsReopen, PermitResend,
                 PermitTimeout>;

// TimerQueue holds pending timers by time; timers of equal time fire in the
// order in which they were set.
struct TimerQueue {
  std::multimap<base::TimePoint, Timer> Pending;
  base::TimePoint WakeTime = base::Never; // of the last WakeAt effect
};

inline void setTimer(TimerQueue &Queue, base::TimePoint Time, Timer NewTimer) {
  Queue.Pending.emplace(Time, std::move(NewTimer));
}

// takeDueTimer() removes and returns the next timer due by Now, if there is
// one.
inline std::optional<Timer> takeDueTimer(TimerQueue &Queue,
                                         base::TimePoint Now) {
  auto First = Queue.Pending.begin();
  if (First == Queue.Pending.end() || First->first > Now)
    return std::nullopt;
  Timer Next = std::move(First->second);
  Queue.Pending.erase(First);
  return Next;
}

} // namespace currantgauge::core

#endif // CURRANTGAUGE_CORE_TIMER_H
