#include "currantgauge/actions/claims.h"

#include "currantgauge/actions/claim_row.h"
#include "currantgauge/actions/claim_store.h"
#include "currantgauge/actions/kept_answers.h"
#include "currantgauge/core/owner.h"

#include <utility>

namespace currantgauge::actions {
namespace {

constexpr base::Duration AskAgainAfter = base::seconds(1);

Claim *findClaim(core::State &Node, const std::string &Key) {
  auto Found = Node.Actions.Claims.find(Key);
  return Found == Node.Actions.Claims.end() ? nullptr : &Found->second;
}

core::AttemptOutcome outcome(base::Verdict What, base::Reason Why) {
  core::AttemptOutcome Outcome;
  Outcome.What = What;
  Outcome.Why = Why;
  if (Why == base::Reason::StoreUnavailable ||
      Why == base::Reason::ActionRunning)
    Outcome.RetryAfter = AskAgainAfter;
  return Outcome;
}

GuardAnswer refusal(core::AttemptOutcome Outcome) {
  return GuardAnswer{GuardDecision::Refuse, std::move(Outcome)};
}

// An attempt that has no slot any more, or no time, must not run.
bool mayStillRun(const core::State &Node, base::AttemptId Attempt) {
  auto Found = Node.Owner.Attempts.find(Attempt);
  return Found != Node.Owner.Attempts.end() && !Found->second->Cancelled &&
         Found->second->Deadline > Node.Now &&
         Node.Routing.Servers.contains(Found->second->Server);
}

void endWaiting(core::State &Node, base::AttemptId Attempt,
                core::AttemptOutcome Outcome, core::EffectList &Effects) {
  auto Found = Node.Owner.Attempts.find(Attempt);
  if (Found == Node.Owner.Attempts.end())
    return;
  Node.Actions.FreedServices.insert(Found->second->Facts.Service);
  core::endAttempt(Node, Attempt, std::move(Outcome), Effects);
}

// The attempt of a claim did not run and its row is not there. A write that
// was in doubt may still make the row: only this memory tells then that
// nothing ran.
void dropClaim(core::State &Node, const std::string &Key) {
  Claim &Of = Node.Actions.Claims.at(Key);
  Of.Write = ClaimWrite::None;
  Of.ETag.clear();
  if (!Of.InDoubt) {
    Node.Actions.Claims.erase(Key);
    return;
  }
  Of.NotRunAttempts.insert(Of.Attempt);
  Of.Phase = ClaimPhase::Idle;
  retain(Node, Key, Of.Attempt);
}

void failClaim(core::State &Node, const std::string &Key,
               core::AttemptOutcome Outcome, core::EffectList &Effects) {
  base::AttemptId Attempt = Node.Actions.Claims.at(Key).Attempt;
  dropClaim(Node, Key);
  endWaiting(Node, Attempt, std::move(Outcome), Effects);
}

void claimFor(core::State &Node, const std::string &Key, Claim &Of,
              base::AttemptId Attempt) {
  Of.Attempt = Attempt;
  Of.Phase = ClaimPhase::Claiming;
  queueWrite(Node, Key, ClaimWrite::Insert);
}

void release(core::State &Node, const std::string &Key, Claim &Of) {
  Of.NotRunAttempts.insert(Of.Attempt);
  Of.Phase = ClaimPhase::Releasing;
  queueWrite(Node, Key, ClaimWrite::Remove);
  Node.Actions.FlushDeferred = true;
}

// The row names this node and attempt: from here on the attempt alone may run.
void runClaim(core::State &Node, const std::string &Key, Claim &Of,
              core::EffectList &Effects) {
  Of.Write = ClaimWrite::None;
  if (mayStillRun(Node, Of.Attempt)) {
    Of.Phase = ClaimPhase::Running;
    core::startExchange(Node, *Node.Owner.Attempts.at(Of.Attempt), Effects);
    return;
  }
  base::AttemptId Attempt = Of.Attempt;
  release(Node, Key, Of);
  endWaiting(Node, Attempt,
             outcome(base::Verdict::NotRun, base::Reason::DeadlinePassed),
             Effects);
}

void onReleased(core::State &Node, const std::string &Key, Claim &Of) {
  Of.ETag.clear();
  Of.Write = ClaimWrite::None;
  base::AttemptId Next = std::exchange(Of.Next, base::AttemptId());
  if (Next.Sequence != 0)
    claimFor(Node, Key, Of, Next);
  else
    dropClaim(Node, Key);
}

// The row is another's: its holder knows more than this node.
core::AttemptOutcome outcomeOfRow(const core::State &Node, const Claim &Of,
                                  const std::optional<ClaimRow> &Row) {
  if (!Row)
    return outcome(base::Verdict::MayHaveRun, base::Reason::ActionLost);
  if (Row->Body != Of.Body)
    return outcome(base::Verdict::NotRun, base::Reason::ActionMismatch);
  if (Row->Holder == Node.Self.Name)
    return outcome(base::Verdict::MayHaveRun, base::Reason::ActionLost);
  core::AttemptOutcome Outcome = outcome(
      base::Verdict::MayHaveRun,
      Row->Done ? base::Reason::ActionLost : base::Reason::ActionRunning);
  Outcome.Elsewhere = Row->Holder;
  return Outcome;
}

void onClaimSeen(core::State &Node, const std::string &Key, Claim &Of,
                 const std::optional<base::StoreRow> &Seen,
                 core::EffectList &Effects) {
  if (!Seen) {
    Of.InDoubt = true;
    return failClaim(
        Node, Key,
        outcome(base::Verdict::NotRun, base::Reason::StoreUnavailable),
        Effects);
  }
  std::optional<ClaimRow> Row = decodeRow(Seen->Value);
  bool Ours = Row && Row->Holder == Node.Self.Name &&
              Row->Incarnation == Node.Self.Life;
  if (Ours && (Row->Attempt == Of.Attempt)) {
    Of.ETag = Seen->ETag;
    return runClaim(Node, Key, Of, Effects);
  }
  if (Ours && Of.NotRunAttempts.contains(Row->Attempt)) {
    Of.ETag = Seen->ETag;
    return claimFor(Node, Key, Of, Of.Attempt);
  }
  failClaim(Node, Key, outcomeOfRow(Node, Of, Row), Effects);
}

void onReleaseSeen(core::State &Node, const std::string &Key, Claim &Of,
                   const std::optional<base::StoreRow> &Seen) {
  std::optional<ClaimRow> Row;
  if (Seen)
    Row = decodeRow(Seen->Value);
  bool StillOurs = Row && Row->Holder == Node.Self.Name &&
                   Row->Incarnation == Node.Self.Life &&
                   Of.NotRunAttempts.contains(Row->Attempt);
  if (!StillOurs)
    return onReleased(Node, Key, Of);
  Of.ETag = Seen->ETag;
  queueWrite(Node, Key, ClaimWrite::Remove);
}

void finish(core::State &Node, const std::string &Key, Claim &Of,
            const admission::QueuedAttempt &Attempt,
            const core::AttemptOutcome &Outcome, core::EffectList &Effects) {
  Of.Phase = ClaimPhase::Finished;
  Of.Verdict = Outcome.What;
  Of.Status = Outcome.Status;
  Of.Reason = Outcome.Why;
  Of.Server = Attempt.Server;
  if (Outcome.What == base::Verdict::Ran) {
    keepAnswer(Node, Of, Attempt.AnswerBytes, Effects);
    if (Of.HasRow && !Of.ETag.empty())
      queueWrite(Node, Key, ClaimWrite::MarkDone);
  }
  retain(Node, Key, Of.Attempt);
}

void onExchangeEnded(core::State &Node, const std::string &Key, Claim &Of,
                     const admission::QueuedAttempt &Attempt,
                     const core::AttemptOutcome &Outcome,
                     core::EffectList &Effects) {
  if (Outcome.What != base::Verdict::NotRun)
    finish(Node, Key, Of, Attempt, Outcome, Effects);
  else if (Of.HasRow)
    release(Node, Key, Of);
  else
    Node.Actions.Claims.erase(Key);
  evictOldAnswers(Node, Effects);
  flushWrites(Node, Effects);
}

std::string claimKeyOf(const core::AttemptFacts &Facts) {
  return Facts.Action.empty() ? claimKey(Facts) : "id/" + Facts.Action.Value;
}

// A store that fails is tried by one claim at a time: the others keep no slot
// waiting for it.
bool isStoreBusyFailing(const ActionState &State) {
  return State.StoreFailing &&
         (State.InFlight || !State.ClaimQueue.empty() || !State.Reads.empty());
}

} // namespace

GuardAnswer startClaim(core::State &Node,
                       const admission::QueuedAttempt &Attempt,
                       core::EffectList &Effects) {
  if (auto Known = answerFromClaim(Node, Attempt.Facts, Effects))
    return refusal(*Known);
  if (isStoreBusyFailing(Node.Actions))
    return refusal(
        outcome(base::Verdict::NotRun, base::Reason::StoreUnavailable));
  std::string Key = claimKey(Attempt.Facts);
  Claim &Of = Node.Actions.Claims[Key];
  Of.Body = Attempt.Facts.Body;
  if (Of.Phase == ClaimPhase::Releasing && Of.InFlight) {
    if (Of.Next.Sequence != 0)
      return refusal(
          outcome(base::Verdict::MayHaveRun, base::Reason::ActionRunning));
    Of.Next = Attempt.Facts.Attempt;
    return GuardAnswer{GuardDecision::Wait, {}};
  }
  claimFor(Node, Key, Of, Attempt.Facts.Attempt);
  flushWrites(Node, Effects);
  return GuardAnswer{GuardDecision::Wait, {}};
}

GuardAnswer startPermitted(core::State &Node,
                           const admission::QueuedAttempt &Attempt,
                           core::EffectList &Effects) {
  if (auto Known = answerFromClaim(Node, Attempt.Facts, Effects))
    return refusal(*Known);
  if (!Attempt.Facts.Permitted)
    return refusal(
        outcome(base::Verdict::MayHaveRun, base::Reason::ActionLost));
  Claim &Of = Node.Actions.Claims[claimKeyOf(Attempt.Facts)];
  Of.Phase = ClaimPhase::Running;
  Of.HasRow = false;
  Of.Attempt = Attempt.Facts.Attempt;
  Of.Body = Attempt.Facts.Body;
  return GuardAnswer{};
}

void finishClaim(core::State &Node, const admission::QueuedAttempt &Attempt,
                 const core::AttemptOutcome &Outcome,
                 core::EffectList &Effects) {
  std::string Key = claimKeyOf(Attempt.Facts);
  Claim *Of = findClaim(Node, Key);
  if (!Of)
    return;
  if (Of->Next == Attempt.Facts.Attempt)
    Of->Next = base::AttemptId();
  if (Of->Attempt != Attempt.Facts.Attempt)
    return;
  switch (Of->Phase) {
  case ClaimPhase::Running:
    return onExchangeEnded(Node, Key, *Of, Attempt, Outcome, Effects);
  case ClaimPhase::Claiming:
    if (!Of->InFlight && Of->ETag.empty())
      dropClaim(Node, Key);
    else if (!Of->InFlight)
      release(Node, Key, *Of);
    return;
  default:
    return; // its row is settled by the answer of the store
  }
}

std::optional<core::AttemptOutcome>
answerFromClaim(core::State &Node, const core::AttemptFacts &Facts,
                core::EffectList &Effects) {
  Claim *Of = findClaim(Node, claimKeyOf(Facts));
  if (!Of)
    return std::nullopt;
  if (Of->Body != Facts.Body)
    return outcome(base::Verdict::NotRun, base::Reason::ActionMismatch);
  switch (Of->Phase) {
  case ClaimPhase::Releasing:
  case ClaimPhase::Idle:
    return std::nullopt;
  case ClaimPhase::Finished:
    break;
  default:
    return outcome(base::Verdict::MayHaveRun, base::Reason::ActionRunning);
  }
  if (!Of->AnswerKept)
    return outcome(base::Verdict::MayHaveRun, base::Reason::ActionLost);
  Effects.push_back(core::RepeatAnswer{Facts.Attempt, Of->Attempt});
  core::AttemptOutcome Repeated = outcome(base::Verdict::Ran, Of->Reason);
  Repeated.Status = Of->Status;
  Repeated.Server = Of->Server;
  return Repeated;
}

void onRowWritten(core::State &Node, const std::string &Key,
                  const std::string &ETag, core::EffectList &Effects) {
  Claim *Of = findClaim(Node, Key);
  if (!Of)
    return;
  Of->InFlight = false;
  ClaimWrite Written = std::exchange(Of->Write, ClaimWrite::None);
  Of->ETag = ETag;
  if (Written == ClaimWrite::Insert)
    runClaim(Node, Key, *Of, Effects);
  else if (Written == ClaimWrite::Remove)
    onReleased(Node, Key, *Of);
}

void onRowRead(core::State &Node, const std::string &Key,
               const std::optional<base::StoreRow> &Row,
               core::EffectList &Effects) {
  Claim *Of = findClaim(Node, Key);
  if (!Of)
    return;
  Of->InFlight = false;
  ClaimWrite Wanted = std::exchange(Of->Write, ClaimWrite::None);
  if (Wanted == ClaimWrite::Insert)
    onClaimSeen(Node, Key, *Of, Row, Effects);
  else if (Wanted == ClaimWrite::Remove)
    onReleaseSeen(Node, Key, *Of, Row);
}

void onRowNotWritten(core::State &Node, const std::string &Key,
                     core::EffectList &Effects) {
  Claim *Of = findClaim(Node, Key);
  if (!Of)
    return;
  Of->InFlight = false;
  if (Of->Write != ClaimWrite::Insert)
    return queueWrite(Node, Key, Of->Write);
  // A row that an earlier attempt left is still there under its old ETag.
  core::AttemptOutcome Refused =
      outcome(base::Verdict::NotRun, base::Reason::StoreUnavailable);
  if (Of->ETag.empty())
    return failClaim(Node, Key, Refused, Effects);
  base::AttemptId Attempt = Of->Attempt;
  release(Node, Key, *Of);
  endWaiting(Node, Attempt, Refused, Effects);
}

} // namespace currantgauge::actions
