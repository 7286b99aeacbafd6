// The owner's circuit breaker of a backend server: after a few failures in a
// row new work is refused, with proof that it did not run, until a few trial
// requests went well. It answers for failures that come quickly, which health
// checks don't show and which attract work because they free slots at once.
//
//   if (!admits(Breaker, Attempt.Idempotent, Now)) refuse();
//   noteEnd(Breaker, Failed, Now);
#ifndef CURRANTGAUGE_ROUTING_BREAKER_H
#define CURRANTGAUGE_ROUTING_BREAKER_H

#include "currantgauge/base/units.h"

#include <cstdint>

namespace currantgauge::routing {

// BreakerPhase is what the breaker lets through.
enum class BreakerPhase {
  Closed,   // everything
  Open,     // nothing
  HalfOpen, // one idempotent request at a time
};

// Breaker belongs to one life of a server.
struct Breaker {
  BreakerPhase Phase = BreakerPhase::Closed;
  std::uint32_t ConsecutiveFailures = 0; // of ended exchanges, while Closed
  std::uint32_t TrialsPassed = 0;        // in a row
  bool TrialRunning = false;
  base::TimePoint TrialStartedAt;
  base::TimePoint OpenUntil;
  base::Duration OpenDuration; // of the last opening; grows while trials fail
};

// wouldAdmit() says whether a request could start now.
bool wouldAdmit(const Breaker &State, bool Idempotent, base::TimePoint Now);

// admits() says whether a request may start now. Open turns into Trial when its
// time has passed; a trial that is admitted counts as running.
bool tryAdmit(Breaker &State, bool Idempotent, base::TimePoint Now);

// noteEnd() takes the end of an exchange, whether or not it was a trial.
// Returns true when the breaker opened or closed.
bool noteEnd(Breaker &State, bool Failed, base::TimePoint Now);

// noteInconclusiveEnd() takes the end of an exchange that says nothing of the
// server.
void noteInconclusiveEnd(Breaker &State);

// waitOf() returns how long callers should stay away; zero when work is taken.
base::Duration computeRetryDelay(const Breaker &State, base::TimePoint Now);

} // namespace currantgauge::routing

#endif // CURRANTGAUGE_ROUTING_BREAKER_H
