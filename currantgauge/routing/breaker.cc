#include "currantgauge/routing/breaker.h"

#include <algorithm>

namespace currantgauge::routing {
namespace {

// A healthy server fails about one request in a hundred, so that three
// consecutive failures have a probability of one in a million.
constexpr std::uint32_t FailuresToOpen = 3;
// If nine in ten requests fail, three consecutive successes have a probability
// of one in a thousand.
constexpr std::uint32_t SuccessesToClose = 3;
constexpr base::Duration InitialOpenDuration = base::milliseconds(300);
constexpr base::Duration MaxOpenDuration = base::milliseconds(1200);
// About as long as a spell in which a server fails most of its requests.
constexpr base::Duration DoubtDuration = base::seconds(2);
// A hanging trial must not block further trials.
constexpr base::Duration TrialTimeout = base::seconds(3);

void open(Breaker &State, base::Duration OpenDuration, base::TimePoint Now) {
  State.Phase = BreakerPhase::Open;
  State.OpenDuration = std::min(OpenDuration, MaxOpenDuration);
  State.OpenUntil = Now + State.OpenDuration;
  State.TrialsPassed = 0;
  State.TrialRunning = false;
}

} // namespace

bool wouldAdmit(const Breaker &State, bool Idempotent, base::TimePoint Now) {
  Breaker Copy = State;
  return tryAdmit(Copy, Idempotent, Now);
}

bool tryAdmit(Breaker &State, bool Idempotent, base::TimePoint Now) {
  if (State.Phase == BreakerPhase::Closed)
    return true;
  if (State.Phase == BreakerPhase::Open) {
    if (Now < State.OpenUntil)
      return false;
    State.Phase = BreakerPhase::HalfOpen;
  }
  bool Stuck = State.TrialRunning && Now - State.TrialStartedAt >= TrialTimeout;
  if (!Idempotent || (State.TrialRunning && !Stuck))
    return false;
  State.TrialRunning = true;
  State.TrialStartedAt = Now;
  return true;
}

bool noteEnd(Breaker &State, bool Failed, base::TimePoint Now) {
  switch (State.Phase) {
  case BreakerPhase::Closed:
    State.ConsecutiveFailures = Failed ? State.ConsecutiveFailures + 1 : 0;
    State.LastFailureAt = Failed ? Now : State.LastFailureAt;
    if (State.ConsecutiveFailures < FailuresToOpen)
      return false;
    open(State, InitialOpenDuration, Now);
    return true;
  case BreakerPhase::Open:
    return false; // the exchange started before the breaker opened
  case BreakerPhase::HalfOpen:
    State.TrialRunning = false;
    if (Failed) {
      open(State, State.OpenDuration * 2, Now);
      return false;
    }
    if (++State.TrialsPassed < SuccessesToClose)
      return false;
    State = Breaker();
    return true;
  }
  return false;
}

bool isDoubtful(const Breaker &State, base::TimePoint Now) {
  return State.Phase == BreakerPhase::Closed && State.ConsecutiveFailures > 0 &&
         Now - State.LastFailureAt < DoubtDuration;
}

void noteInconclusiveEnd(Breaker &State) { State.TrialRunning = false; }

base::Duration computeRetryDelay(const Breaker &State, base::TimePoint Now) {
  if (State.Phase == BreakerPhase::Closed)
    return {};
  return std::max(State.OpenUntil - Now, InitialOpenDuration);
}

} // namespace currantgauge::routing
