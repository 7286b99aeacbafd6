#include "currantgauge/actions/claims.h"

#include "currantgauge/actions/claim_row.h"
#include "currantgauge/actions/claim_store.h"
#include "currantgauge/actions/kept_answers.h"
#include "currantgauge/core/owner.h"

#include <utility>

namespace currantgauge::actions {
namespace {

constexpr base::Duration ClaimRetryDelay = base::seconds(1);

Claim *findClaim(core::State &Node, const std::string &Key) {
  auto It = Node.Actions.Claims.find(Key);
  return It == Node.Actions.Claims.end() ? nullptr : &It->second;
}

core::AttemptOutcome outcome(base::Verdict Verdict, base::Reason Reason) {
  core::AttemptOutcome Outcome;
  Outcome.Verdict = Verdict;
  Outcome.Reason = Reason;
  if (Reason == base::Reason::StoreUnavailable ||
      Reason == base::Reason::ActionRunning)
    Outcome.RetryAfter = ClaimRetryDelay;
  return Outcome;
}

GuardAnswer refusal(core::AttemptOutcome Outcome) {
  return GuardAnswer{GuardDecision::Refuse, std::move(Outcome)};
}

// canStillRun() returns false if the attempt has ended, was cancelled or has no
// time left, or if its server is no longer known.
bool canStillRun(const core::State &Node, base::AttemptId Attempt) {
  auto It = Node.Owner.Attempts.find(Attempt);
  return It != Node.Owner.Attempts.end() && !It->second->Cancelled &&
         It->second->Deadline > Node.Now &&
         Node.Routing.Servers.contains(It->second->Server);
}

void endWaitingAttempt(core::State &Node, base::AttemptId Attempt,
                       core::AttemptOutcome Outcome,
                       core::EffectList &Effects) {
  auto It = Node.Owner.Attempts.find(Attempt);
  if (It == Node.Owner.Attempts.end())
    return;
  Node.Actions.FreedServices.insert(It->second->Facts.Service);
  core::endAttempt(Node, Attempt, std::move(Outcome), Effects);
}

// dropClaim() ends a claim whose attempt did not run and that has no row. If a
// write may still be applied and create the row, the claim is kept for a while,
// as the only record that the attempt named there did not run.
void dropClaim(core::State &Node, const std::string &Key) {
  Claim &ActionClaim = Node.Actions.Claims.at(Key);
  ActionClaim.Write = ClaimWrite::None;
  ActionClaim.ETag.clear();
  if (!ActionClaim.InDoubt) {
    Node.Actions.Claims.erase(Key);
    return;
  }
  ActionClaim.NotRunAttempts.insert(ActionClaim.Attempt);
  ActionClaim.Phase = ClaimPhase::Idle;
  retain(Node, Key, ActionClaim.Attempt);
}

void failClaim(core::State &Node, const std::string &Key,
               core::AttemptOutcome Outcome, core::EffectList &Effects) {
  base::AttemptId Attempt = Node.Actions.Claims.at(Key).Attempt;
  dropClaim(Node, Key);
  endWaitingAttempt(Node, Attempt, std::move(Outcome), Effects);
}

void queueClaim(core::State &Node, const std::string &Key, Claim &ActionClaim,
                base::AttemptId Attempt) {
  ActionClaim.Attempt = Attempt;
  ActionClaim.Phase = ClaimPhase::Claiming;
  queueWrite(Node, Key, ClaimWrite::Insert);
}

void queueRelease(core::State &Node, const std::string &Key,
                  Claim &ActionClaim) {
  ActionClaim.NotRunAttempts.insert(ActionClaim.Attempt);
  ActionClaim.Phase = ClaimPhase::Releasing;
  queueWrite(Node, Key, ClaimWrite::Remove);
  Node.Actions.FlushDeferred = true;
}

// runClaim() starts the exchange of a claim whose row names this node and
// attempt. From then on no other attempt of the action may run.
void runClaim(core::State &Node, const std::string &Key, Claim &ActionClaim,
              core::EffectList &Effects) {
  ActionClaim.Write = ClaimWrite::None;
  if (canStillRun(Node, ActionClaim.Attempt)) {
    ActionClaim.Phase = ClaimPhase::Running;
    core::startExchange(Node, *Node.Owner.Attempts.at(ActionClaim.Attempt),
                        Effects);
    return;
  }
  base::AttemptId Attempt = ActionClaim.Attempt;
  queueRelease(Node, Key, ActionClaim);
  endWaitingAttempt(
      Node, Attempt,
      outcome(base::Verdict::NotRun, base::Reason::DeadlinePassed), Effects);
}

void onReleased(core::State &Node, const std::string &Key, Claim &ActionClaim) {
  ActionClaim.ETag.clear();
  ActionClaim.Write = ClaimWrite::None;
  base::AttemptId Next = std::exchange(ActionClaim.Next, base::AttemptId());
  if (Next.Sequence != 0)
    queueClaim(Node, Key, ActionClaim, Next);
  else
    dropClaim(Node, Key);
}

// outcomeFromRow() returns the outcome of an attempt whose action is claimed by
// another attempt, and refers to the node that the row names.
core::AttemptOutcome outcomeFromRow(const core::State &Node,
                                    const Claim &ActionClaim,
                                    const std::optional<ClaimRow> &Row) {
  if (!Row)
    return outcome(base::Verdict::MayHaveRun, base::Reason::ActionLost);
  if (Row->Body != ActionClaim.Body)
    return outcome(base::Verdict::NotRun, base::Reason::ActionMismatch);
  if (Row->Holder == Node.Self.Name)
    return outcome(base::Verdict::MayHaveRun, base::Reason::ActionLost);
  core::AttemptOutcome Outcome = outcome(
      base::Verdict::MayHaveRun,
      Row->Done ? base::Reason::ActionLost : base::Reason::ActionRunning);
  Outcome.ReferredNode = Row->Holder;
  return Outcome;
}

void resolveClaim(core::State &Node, const std::string &Key, Claim &ActionClaim,
                  const std::optional<base::StoreRow> &StoredRow,
                  core::EffectList &Effects) {
  if (!StoredRow) {
    ActionClaim.InDoubt = true;
    return failClaim(
        Node, Key,
        outcome(base::Verdict::NotRun, base::Reason::StoreUnavailable),
        Effects);
  }
  std::optional<ClaimRow> Row = decodeRow(StoredRow->Value);
  bool IsOwn = Row && Row->Holder == Node.Self.Name &&
               Row->Incarnation == Node.Self.Incarnation;
  if (IsOwn && (Row->Attempt == ActionClaim.Attempt)) {
    ActionClaim.ETag = StoredRow->ETag;
    return runClaim(Node, Key, ActionClaim, Effects);
  }
  if (IsOwn && ActionClaim.NotRunAttempts.contains(Row->Attempt)) {
    ActionClaim.ETag = StoredRow->ETag;
    return queueClaim(Node, Key, ActionClaim, ActionClaim.Attempt);
  }
  failClaim(Node, Key, outcomeFromRow(Node, ActionClaim, Row), Effects);
}

void resolveRelease(core::State &Node, const std::string &Key,
                    Claim &ActionClaim,
                    const std::optional<base::StoreRow> &StoredRow) {
  std::optional<ClaimRow> Row;
  if (StoredRow)
    Row = decodeRow(StoredRow->Value);
  bool IsOwn = Row && Row->Holder == Node.Self.Name &&
               Row->Incarnation == Node.Self.Incarnation &&
               ActionClaim.NotRunAttempts.contains(Row->Attempt);
  if (!IsOwn)
    return onReleased(Node, Key, ActionClaim);
  ActionClaim.ETag = StoredRow->ETag;
  queueWrite(Node, Key, ClaimWrite::Remove);
}

void finish(core::State &Node, const std::string &Key, Claim &ActionClaim,
            const admission::QueuedAttempt &Attempt,
            const core::AttemptOutcome &Outcome, core::EffectList &Effects) {
  ActionClaim.Phase = ClaimPhase::Finished;
  ActionClaim.Verdict = Outcome.Verdict;
  ActionClaim.Status = Outcome.Status;
  ActionClaim.Reason = Outcome.Reason;
  ActionClaim.Server = Attempt.Server;
  if (Outcome.Verdict == base::Verdict::Ran) {
    keepAnswer(Node, ActionClaim, Attempt.AnswerBytes, Effects);
    if (ActionClaim.HasRow && !ActionClaim.ETag.empty())
      queueWrite(Node, Key, ClaimWrite::MarkDone);
  }
  retain(Node, Key, ActionClaim.Attempt);
}

void onExchangeEnded(core::State &Node, const std::string &Key,
                     Claim &ActionClaim,
                     const admission::QueuedAttempt &Attempt,
                     const core::AttemptOutcome &Outcome,
                     core::EffectList &Effects) {
  if (Outcome.Verdict != base::Verdict::NotRun)
    finish(Node, Key, ActionClaim, Attempt, Outcome, Effects);
  else if (ActionClaim.HasRow)
    queueRelease(Node, Key, ActionClaim);
  else
    Node.Actions.Claims.erase(Key);
  evictOldAnswers(Node, Effects);
  sendNextTransaction(Node, Effects);
}

std::string claimKeyOf(const core::AttemptFacts &Facts) {
  return Facts.Action.empty() ? claimKey(Facts) : "id/" + Facts.Action.Value;
}

// isProbingFailedStore() returns true while one claim tries a store whose last
// write failed. Other claims are refused meanwhile instead of holding slots.
bool isProbingFailedStore(const ActionState &State) {
  return State.StoreFailing &&
         (State.InFlight || !State.ClaimQueue.empty() || !State.Reads.empty());
}

} // namespace

GuardAnswer startClaim(core::State &Node,
                       const admission::QueuedAttempt &Attempt,
                       core::EffectList &Effects) {
  if (auto Outcome = answerFromClaim(Node, Attempt.Facts, Effects))
    return refusal(*Outcome);
  if (isProbingFailedStore(Node.Actions))
    return refusal(
        outcome(base::Verdict::NotRun, base::Reason::StoreUnavailable));
  std::string Key = claimKey(Attempt.Facts);
  Claim &ActionClaim = Node.Actions.Claims[Key];
  ActionClaim.Body = Attempt.Facts.BodyHash;
  if (ActionClaim.Phase == ClaimPhase::Releasing && ActionClaim.InFlight) {
    if (ActionClaim.Next.Sequence != 0)
      return refusal(
          outcome(base::Verdict::MayHaveRun, base::Reason::ActionRunning));
    ActionClaim.Next = Attempt.Facts.Attempt;
    return GuardAnswer{GuardDecision::Wait, {}};
  }
  queueClaim(Node, Key, ActionClaim, Attempt.Facts.Attempt);
  sendNextTransaction(Node, Effects);
  return GuardAnswer{GuardDecision::Wait, {}};
}

GuardAnswer startPermitted(core::State &Node,
                           const admission::QueuedAttempt &Attempt,
                           core::EffectList &Effects) {
  if (auto Outcome = answerFromClaim(Node, Attempt.Facts, Effects))
    return refusal(*Outcome);
  if (!Attempt.Facts.Permitted)
    return refusal(
        outcome(base::Verdict::MayHaveRun, base::Reason::ActionLost));
  Claim &ActionClaim = Node.Actions.Claims[claimKeyOf(Attempt.Facts)];
  ActionClaim.Phase = ClaimPhase::Running;
  ActionClaim.HasRow = false;
  ActionClaim.Attempt = Attempt.Facts.Attempt;
  ActionClaim.Body = Attempt.Facts.BodyHash;
  return GuardAnswer{};
}

void finishClaim(core::State &Node, const admission::QueuedAttempt &Attempt,
                 const core::AttemptOutcome &Outcome,
                 core::EffectList &Effects) {
  std::string Key = claimKeyOf(Attempt.Facts);
  Claim *ActionClaim = findClaim(Node, Key);
  if (!ActionClaim)
    return;
  if (ActionClaim->Next == Attempt.Facts.Attempt)
    ActionClaim->Next = base::AttemptId();
  if (ActionClaim->Attempt != Attempt.Facts.Attempt)
    return;
  switch (ActionClaim->Phase) {
  case ClaimPhase::Running:
    return onExchangeEnded(Node, Key, *ActionClaim, Attempt, Outcome, Effects);
  case ClaimPhase::Claiming:
    if (!ActionClaim->InFlight && ActionClaim->ETag.empty())
      dropClaim(Node, Key);
    else if (!ActionClaim->InFlight)
      queueRelease(Node, Key, *ActionClaim);
    return;
  default:
    return; // the store's answer decides
  }
}

std::optional<core::AttemptOutcome>
answerFromClaim(core::State &Node, const core::AttemptFacts &Facts,
                core::EffectList &Effects) {
  Claim *ActionClaim = findClaim(Node, claimKeyOf(Facts));
  if (!ActionClaim)
    return std::nullopt;
  if (ActionClaim->Body != Facts.BodyHash)
    return outcome(base::Verdict::NotRun, base::Reason::ActionMismatch);
  switch (ActionClaim->Phase) {
  case ClaimPhase::Releasing:
  case ClaimPhase::Idle:
    return std::nullopt;
  case ClaimPhase::Finished:
    break;
  default:
    return outcome(base::Verdict::MayHaveRun, base::Reason::ActionRunning);
  }
  if (!ActionClaim->AnswerKept)
    return outcome(base::Verdict::MayHaveRun, base::Reason::ActionLost);
  Effects.push_back(core::ReplayAnswer{Facts.Attempt, ActionClaim->Attempt});
  core::AttemptOutcome Repeated =
      outcome(base::Verdict::Ran, ActionClaim->Reason);
  Repeated.Status = ActionClaim->Status;
  Repeated.Server = ActionClaim->Server;
  return Repeated;
}

void onRowWritten(core::State &Node, const std::string &Key,
                  const std::string &ETag, core::EffectList &Effects) {
  Claim *ActionClaim = findClaim(Node, Key);
  if (!ActionClaim)
    return;
  ActionClaim->InFlight = false;
  ClaimWrite Written = std::exchange(ActionClaim->Write, ClaimWrite::None);
  ActionClaim->ETag = ETag;
  if (Written == ClaimWrite::Insert)
    runClaim(Node, Key, *ActionClaim, Effects);
  else if (Written == ClaimWrite::Remove)
    onReleased(Node, Key, *ActionClaim);
}

void onRowRead(core::State &Node, const std::string &Key,
               const std::optional<base::StoreRow> &Row,
               core::EffectList &Effects) {
  Claim *ActionClaim = findClaim(Node, Key);
  if (!ActionClaim)
    return;
  ActionClaim->InFlight = false;
  ClaimWrite Write = std::exchange(ActionClaim->Write, ClaimWrite::None);
  if (Write == ClaimWrite::Insert)
    resolveClaim(Node, Key, *ActionClaim, Row, Effects);
  else if (Write == ClaimWrite::Remove)
    resolveRelease(Node, Key, *ActionClaim, Row);
}

void onRowNotWritten(core::State &Node, const std::string &Key,
                     core::EffectList &Effects) {
  Claim *ActionClaim = findClaim(Node, Key);
  if (!ActionClaim)
    return;
  ActionClaim->InFlight = false;
  if (ActionClaim->Write != ClaimWrite::Insert)
    return queueWrite(Node, Key, ActionClaim->Write);
  // If an ETag is known, the row of an earlier attempt still exists and has to
  // be removed.
  core::AttemptOutcome Refused =
      outcome(base::Verdict::NotRun, base::Reason::StoreUnavailable);
  if (ActionClaim->ETag.empty())
    return failClaim(Node, Key, Refused, Effects);
  base::AttemptId Attempt = ActionClaim->Attempt;
  queueRelease(Node, Key, *ActionClaim);
  endWaitingAttempt(Node, Attempt, Refused, Effects);
}

} // namespace currantgauge::actions
