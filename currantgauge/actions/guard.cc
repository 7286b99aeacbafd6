#include "currantgauge/actions/guard.h"

#include "currantgauge/actions/action_ids.h"
#include "currantgauge/actions/claim_store.h"
#include "currantgauge/actions/claims.h"
#include "currantgauge/actions/kept_answers.h"
#include "currantgauge/actions/quarantine.h"
#include "currantgauge/actions/row_cleanup.h"

namespace currantgauge::actions {
namespace {

constexpr base::Duration ActionRoundInterval = base::seconds(1);

bool isGuarded(const core::AttemptFacts &Facts) {
  return !Facts.Idempotent &&
         (!Facts.IdempotencyKey.empty() || !Facts.Action.empty());
}

core::AttemptOutcome quarantined() {
  core::AttemptOutcome Outcome;
  Outcome.Verdict = base::Verdict::NotRun;
  Outcome.Reason = base::Reason::Quarantined;
  return Outcome;
}

} // namespace

std::optional<core::AttemptOutcome>
answerKnownAction(core::State &Node, const core::AttemptFacts &Facts,
                  core::EffectList &Effects) {
  if (!isGuarded(Facts))
    return std::nullopt;
  if (auto Outcome = answerFromClaim(Node, Facts, Effects))
    return Outcome;
  if (Facts.Action.empty() || Facts.Permitted)
    return std::nullopt;
  return answerPermissionQuery(Node, Facts);
}

GuardAnswer beforeRun(core::State &Node,
                      const admission::QueuedAttempt &Attempt,
                      core::EffectList &Effects) {
  if (isQuarantined(Node.Actions, Attempt.Facts.Fingerprint))
    return GuardAnswer{GuardDecision::Refuse, quarantined()};
  if (!isGuarded(Attempt.Facts))
    return GuardAnswer{};
  if (!Attempt.Facts.Action.empty())
    return startPermitted(Node, Attempt, Effects);
  return startClaim(Node, Attempt, Effects);
}

void afterRun(core::State &Node, const admission::QueuedAttempt &Attempt,
              const core::AttemptOutcome &Outcome, core::EffectList &Effects) {
  if (Outcome.Verdict == base::Verdict::Ran)
    clearSuspicion(Node, Attempt.Facts.Fingerprint);
  if (isGuarded(Attempt.Facts))
    finishClaim(Node, Attempt, Outcome, Effects);
}

void onActionRound(core::State &Node, core::EffectList &Effects) {
  Node.Actions.StoreFailing = false;
  Node.Actions.FlushDeferred = true;
  evictOldAnswers(Node, Effects);
  eraseExpiredIds(Node);
  confirmCrashesOfGoneServers(Node, Effects);
  eraseOldQuarantine(Node);
  sendNextTransaction(Node, Effects);
  if (Node.Self.AcceptsKeys)
    startCleanup(Node, Effects);
  core::setTimer(Node.Timers, Node.Now + ActionRoundInterval,
                 core::ActionRound{});
}

bool hasPendingWrites(const core::State &Node) {
  const ActionState &State = Node.Actions;
  return !State.StoreFailing &&
         (State.InFlight || !State.DeferredQueue.empty());
}

} // namespace currantgauge::actions
