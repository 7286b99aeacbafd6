// The owner's circuit breaker for one backend server. After a few consecutive
// failures it refuses new work, which therefore certainly did not run, until a
// few trial requests succeed. It covers fast failures: health checks miss them,
// and they attract work because they free slots at once. Its trials are not
// those of a server that an entry has ejected (see ejection.h).
//
//   if (!tryAdmit(Breaker, Attempt.Idempotent, Now)) refuse();
//   noteEnd(Breaker, Failed, Now);
#ifndef CURRANTGAUGE_ROUTING_BREAKER_H
#define CURRANTGAUGE_ROUTING_BREAKER_H

#include "currantgauge/base/units.h"

#include <cstdint>

namespace currantgauge::routing {

// BreakerPhase determines which requests the breaker admits.
enum class BreakerPhase {
  Closed,   // admits all requests
  Open,     // admits none
  HalfOpen, // admits one idempotent request at a time
};

// Breaker is the breaker state for one incarnation of a server.
struct Breaker {
  BreakerPhase Phase = BreakerPhase::Closed;
  std::uint32_t ConsecutiveFailures = 0; // of ended exchanges, while Closed
  base::TimePoint LastFailureAt;
  std::uint32_t TrialsPassed = 0; // consecutive, while HalfOpen
  bool TrialRunning = false;
  base::TimePoint TrialStartedAt;
  base::TimePoint OpenUntil;
  base::Duration OpenDuration; // doubles when a trial fails, up to a limit
};

// wouldAdmit() returns whether tryAdmit() would admit a request now, without
// changing the breaker.
bool wouldAdmit(const Breaker &State, bool Idempotent, base::TimePoint Now);

// tryAdmit() returns whether a request may start now. An open breaker becomes
// half-open once OpenUntil has passed; an admitted trial is recorded as
// running, and blocks further trials until it ends or times out.
bool tryAdmit(Breaker &State, bool Idempotent, base::TimePoint Now);

// noteEnd() records the end of an exchange. While the breaker is half-open,
// each end counts as that of a trial; while it is open, none counts. Returns
// true when the breaker changed from closed to open or back to closed.
bool noteEnd(Breaker &State, bool Failed, base::TimePoint Now);

// isDoubtful() returns whether the last exchange failed, a short time ago. The
// breaker is still closed, but the next request is more likely to fail than not
// where servers fail in spells.
bool isDoubtful(const Breaker &State, base::TimePoint Now);

// noteInconclusiveEnd() records the end of an exchange that is no evidence on
// the server's health; a half-open breaker may then admit another trial.
void noteInconclusiveEnd(Breaker &State);

// computeRetryDelay() returns how long callers should wait before they retry:
// zero when the breaker is closed, else at least the shortest open duration.
base::Duration computeRetryDelay(const Breaker &State, base::TimePoint Now);

} // namespace currantgauge::routing

#endif // CURRANTGAUGE_ROUTING_BREAKER_H
