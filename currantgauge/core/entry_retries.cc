#include "currantgauge/core/entry_retries.h"

#include "currantgauge/admission/pressure.h"
#include "currantgauge/admission/retry.h"
#include "currantgauge/core/entry_attempts.h"
#include "currantgauge/core/explain.h"
#include "currantgauge/core/request_log.h"

#include <algorithm>
#include <cstdint>
#include <string>

namespace currantgauge::core {
namespace {

// A request during which two servers crashed is not tried on a third.
constexpr std::uint32_t MaxServerCrashes = 2;
// Attempts of a request that may be turned away without counting.
constexpr std::uint32_t MaxUncountedAttempts = 8;

// The owner suspects its server or can't be reached: no server was sent the
// attempt, and the refusal says nothing about other servers.
bool wasTurnedAway(const AttemptTrace &Trace) {
  return Trace.Ended && Trace.Verdict == base::Verdict::NotRun &&
         (Trace.Reason == base::Reason::BackendSuspect ||
          Trace.Reason == base::Reason::PeerUnavailable);
}

// Where one server in eight is suspected at a time, and known to its owner
// first, several in a row turn an attempt away.
std::uint32_t countedAttempts(const State &Node, const EntryRequest &Request) {
  if (!Node.Self.Policy.UnevenServers)
    return Request.Attempts;
  auto TurnedAway = static_cast<std::uint32_t>(
      std::count_if(Request.Trace.begin(), Request.Trace.end(), wasTurnedAway));
  return Request.Attempts -
         std::min({TurnedAway, MaxUncountedAttempts, Request.Attempts});
}

} // namespace

bool scheduleRetry(State &Node, EntryRequest &Request,
                   const AttemptOutcome &Outcome, EffectList &Effects) {
  if (Request.ServerCrashes >= MaxServerCrashes)
    return false;
  bool Refused = admission::isLoadRefusal(Outcome.Reason);
  admission::RetryPlan Plan = admission::planRetry(
      Node.Admission,
      {.Kind = Request.Kind,
       .Outcome = Outcome,
       .Committed = Request.Committed,
       .Attempts = countedAttempts(Node, Request),
       .ArrivedAt = Request.ArrivedAt,
       .Deadline = Request.Deadline,
       .Now = Node.Now,
       .Sends = Request.Sends,
       .OwnersKeepBudget = Node.Self.RetryBound.Ratio > 0,
       .HasFreeSlotElsewhere =
           Refused && hasFreeSlotElsewhere(Node, Request, Effects)},
      Node.Random);
  if (Plan.DeniedReason != base::Reason::None)
    Effects.push_back(Measure{Metric::Refusals,
                              std::string(base::reasonName(Plan.DeniedReason)),
                              Request.Kind.Rank.Value, 1});
  if (Plan.Retry || Plan.DeniedReason != base::Reason::None)
    logRetry(Node, Request, Outcome, Plan, Effects);
  if (!Plan.Retry)
    return false;
  Effects.push_back(Measure{Metric::Retries,
                            std::string(base::reasonName(Outcome.Reason)),
                            Request.Kind.Service.Value, 1});
  Request.RetryScheduled = true;
  setTimer(Node.Timers, Plan.RetryAt, RetryDue{Request.Facts.Request});
  return true;
}

} // namespace currantgauge::core
