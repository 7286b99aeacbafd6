#include "currantgauge/core/entry.h"

#include "currantgauge/actions/action_ids.h"
#include "currantgauge/actions/quarantine.h"
#include "currantgauge/admission/entry.h"
#include "currantgauge/admission/pressure.h"
#include "currantgauge/admission/retry.h"
#include "currantgauge/core/entry_attempts.h"
#include "currantgauge/core/entry_metrics.h"
#include "currantgauge/core/owner.h"
#include "currantgauge/core/request_log.h"
#include "currantgauge/routing/choose.h"
#include "currantgauge/routing/health.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace currantgauge::core {
namespace {

// A request that two servers died with is not tried on a third.
constexpr std::uint32_t DeathLimit = 2;
constexpr base::Duration DefaultDeadline = base::seconds(30);

EntryRequest *findRequest(State &Node, base::RequestId Id) {
  auto Found = Node.Entry.Requests.find(Id);
  return Found == Node.Entry.Requests.end() ? nullptr : &Found->second;
}

EntryRequest *findByAttempt(State &Node, base::AttemptId Attempt) {
  auto Found = Node.Entry.ByAttempt.find(Attempt);
  return Found == Node.Entry.ByAttempt.end() ? nullptr
                                             : findRequest(Node, Found->second);
}

void forget(State &Node, base::RequestId Id) {
  EntryRequest *Request = findRequest(Node, Id);
  if (Request && Request->Current.Sequence != 0)
    endCurrentAttempt(Node, *Request);
  if (Request && Request->Permitted)
    actions::noteRequestEnded(Node, Request->Facts);
  Node.Entry.Requests.erase(Id);
}

void refuse(State &Node, EntryRequest &Request, base::Reason Why,
            base::Duration RetryAfter, EffectList &Effects) {
  base::Verdict What =
      Request.MayHaveRun ? base::Verdict::MayHaveRun : base::Verdict::NotRun;
  countEnd(Node, Request, What, Why, Effects);
  Effects.push_back(
      RefuseRequest{Request.Facts.Request, What, Why, RetryAfter});
  forget(Node, Request.Facts.Request);
}

void noteEnd(State &Node, const EntryRequest &Request,
             const AttemptOutcome &Outcome, EffectList &Effects) {
  auto Server = Node.Routing.Servers.find(Request.CurrentServer);
  if (Server != Node.Routing.Servers.end())
    admission::noteAttemptEnd(Node.Admission,
                              planOf(Node, Request, Server->second), Outcome,
                              Effects);
}

void startNextAttempt(State &Node, EntryRequest &Request, EffectList &Effects) {
  if (actions::isQuarantined(Node.Actions, Request.Print))
    return refuse(Node, Request, base::Reason::Quarantined, base::Duration{},
                  Effects);
  routing::Choice Chosen;
  base::Reason Why = placeAttempt(Node, Request, Chosen, Effects);
  if (Why != base::Reason::None)
    return refuse(Node, Request, Why, base::seconds(1), Effects);
  startAttempt(Node, Request, Chosen, Effects);
}

// An action id runs by the word of its issuer alone.
void startIdentified(State &Node, EntryRequest &Request, EffectList &Effects) {
  AttemptOutcome Answer = actions::queryPermission(Node, Request.Facts);
  if (Answer.Permitted) {
    Request.Permitted = true;
    return startNextAttempt(Node, Request, Effects);
  }
  if (!Answer.Elsewhere.empty() &&
      startReferral(Node, Request, Answer.Elsewhere, Effects))
    return;
  Request.MayHaveRun = Answer.What != base::Verdict::NotRun;
  refuse(Node, Request, Answer.Why, Answer.RetryAfter, Effects);
}

// followAction() goes on with a request whose action another node decided on.
// Returns false when the outcome says nothing of the kind.
bool followAction(State &Node, EntryRequest &Request,
                  const AttemptOutcome &Outcome, EffectList &Effects) {
  if (Outcome.Permitted) {
    actions::notePermitted(Node, Request.Facts);
    Request.Permitted = true;
    startNextAttempt(Node, Request, Effects);
    return true;
  }
  if (Request.Permitted && Outcome.What == base::Verdict::NotRun)
    actions::noteNotRun(Node, Request.Facts);
  return !Outcome.Elsewhere.empty() && !Request.Committed &&
         startReferral(Node, Request, Outcome.Elsewhere, Effects);
}

// An attempt that was handed back is no failure: the request goes on at once,
// by what its owners have told of their load. The server may be chosen again.
void placeAgain(State &Node, EntryRequest &Request,
                const AttemptOutcome &Outcome, EffectList &Effects) {
  ++Request.HandBacks;
  --Request.Attempts;
  Request.Tried.pop_back();
  Effects.push_back(Measure{Metric::Retries,
                            std::string(base::reasonName(Outcome.Why)),
                            Request.Kind.Service.Value, 1});
  startNextAttempt(Node, Request, Effects);
}

bool isFailure(const AttemptOutcome &Outcome) {
  return Outcome.What != base::Verdict::Ran ||
         Outcome.Why != base::Reason::None;
}

admission::FleetRetryBound retryBound(const State &Node) {
  admission::FleetRetryBound Bound = Node.Self.Retry;
  Bound.Nodes = Node.Membership.LiveMembers + 1;
  return Bound;
}

bool scheduleRetry(State &Node, EntryRequest &Request,
                   const AttemptOutcome &Outcome, EffectList &Effects) {
  if (Request.Deaths >= DeathLimit)
    return false;
  bool Refused = admission::isLoadRefusal(Outcome.Why);
  admission::RetryPlan Plan = admission::planRetry(
      Node.Admission,
      {.Kind = Request.Kind,
       .Outcome = Outcome,
       .Committed = Request.Committed,
       .Attempts = Request.Attempts,
       .ArrivedAt = Request.Arrived,
       .Deadline = Request.Deadline,
       .Now = Node.Now,
       .Sends = Request.Sends,
       .Bound = retryBound(Node),
       .HasRoomElsewhere = Refused && hasRoomElsewhere(Node, Request, Effects)},
      Node.Source);
  if (Plan.DeniedReason != base::Reason::None)
    Effects.push_back(Measure{Metric::Refusals,
                              std::string(base::reasonName(Plan.DeniedReason)),
                              Request.Kind.Rank.Value, 1});
  if (Plan.Retry || Plan.DeniedReason != base::Reason::None)
    logRetry(Node, Request, Outcome, Plan, Effects);
  if (!Plan.Retry)
    return false;
  Effects.push_back(Measure{Metric::Retries,
                            std::string(base::reasonName(Outcome.Why)),
                            Request.Kind.Service.Value, 1});
  setTimer(Node.Timers, Plan.RetryAt, RetryDue{Request.Facts.Request});
  return true;
}

void deliver(State &Node, EntryRequest &Request, base::AttemptId Attempt,
             const AttemptOutcome &Outcome, EffectList &Effects) {
  countEnd(Node, Request, Outcome.What, Outcome.Why, Effects);
  if (!Request.Committed)
    Effects.push_back(DeliverAnswer{Request.Facts.Request, Attempt,
                                    Outcome.Server, base::Verdict::Ran});
  forget(Node, Request.Facts.Request);
}

// Where this node owns the attempt as well it can tell that the attempt never
// left the queue, or that its refusal is still on its way through the threads.
void giveUpAttempt(State &Node, EntryRequest &Request, EffectList &Effects) {
  withdrawWaiting(Node, Request.Current, Effects);
  Effects.push_back(CancelAttempt{Request.Current});
  if (Request.CurrentRefused) {
    if (Request.Permitted)
      actions::noteNotRun(Node, Request.Facts);
    return;
  }
  routing::onAttemptSilent(Node.Routing, Request.CurrentServer, Request.Current,
                           Node.Now);
  Request.MayHaveRun = true;
}

base::Duration deadlineOf(const RequestFacts &Facts,
                          const config::KindSettings &Kind) {
  base::Duration Limit =
      Kind.Deadline > base::Duration{} ? Kind.Deadline : DefaultDeadline;
  return Facts.TimeLeft > base::Duration{} ? std::min(Limit, Facts.TimeLeft)
                                           : Limit;
}

} // namespace

void onRequestArrived(State &Node, const RequestArrived &Arrival,
                      EffectList &Effects) {
  EntryRequest &Request = Node.Entry.Requests[Arrival.Facts.Request];
  Request.Facts = Arrival.Facts;
  Request.Arrived = Node.Now;
  if (Node.Stopping && Node.Now >= Node.StopSince + Node.Self.StopLinger)
    return refuse(Node, Request, base::Reason::NodeStopping, base::Duration{},
                  Effects);
  if (!Node.Config.Current)
    return refuse(Node, Request, base::Reason::NoConfiguration,
                  base::seconds(1), Effects);
  const config::Configuration &Config = *Node.Config.Current;
  config::RouteMatch Match = config::matchRoute(
      Config, {Arrival.Facts.Host, Arrival.Facts.Method, Arrival.Facts.Path});
  if (!Match.Route)
    return refuse(Node, Request, base::Reason::NoRoute, base::Duration{},
                  Effects);
  bool Split = !Match.Route->Split.empty();
  Request.Kind = config::requestSettings(
      Match, Split ? base::uniformUnit(Node.Source) : 0);
  const config::KindSettings *Kind = &Request.Kind;
  Request.Deadline = Node.Now + deadlineOf(Arrival.Facts, *Kind);
  base::Reason Why = admission::admitAtEntry(Node.Admission, Config, *Kind,
                                             Arrival.Facts.Workspace, Node.Now);
  if (Why != base::Reason::None)
    return refuse(Node, Request, Why, base::seconds(1), Effects);
  admission::noteRequest(Node.Admission, Kind->Service, retryBound(Node),
                         Node.Now);
  setTimer(Node.Timers, Request.Deadline,
           RequestDeadline{Arrival.Facts.Request});
  Request.Print = actions::fingerprintOf(Request.Facts, *Kind);
  logAdmitted(Node, Request, Effects);
  if (!Kind->Idempotent && !Arrival.Facts.Action.empty())
    return startIdentified(Node, Request, Effects);
  startNextAttempt(Node, Request, Effects);
}

void onCallerGone(State &Node, const CallerGone &Gone, EffectList &Effects) {
  EntryRequest *Request = findRequest(Node, Gone.Request);
  if (!Request)
    return;
  if (Request->Current.Sequence != 0)
    Effects.push_back(CancelAttempt{Request->Current});
  countEnd(Node, *Request, base::Verdict::MayHaveRun, base::Reason::CallerGone,
           Effects);
  forget(Node, Gone.Request);
}

void onInputRefused(State &Node, const InputRefused &Refused,
                    EffectList &Effects) {
  Effects.push_back(Measure{Metric::Refusals,
                            std::string(base::reasonName(Refused.Why)), "", 1});
}

// From here on the caller has part of the answer: no other attempt may follow.
void onAnswerBuffered(State &Node, const AnswerBuffered &Buffered,
                      EffectList &Effects) {
  EntryRequest *Request = findByAttempt(Node, Buffered.Attempt);
  if (!Request || Request->Committed)
    return;
  Request->Committed = true;
  Effects.push_back(DeliverAnswer{Request->Facts.Request, Buffered.Attempt,
                                  Request->CurrentServer, base::Verdict::Ran});
}

void onAttemptEnded(State &Node, const AttemptEnded &Ended,
                    EffectList &Effects) {
  admission::notePressure(Node.Admission, Ended.Outcome.Load, Node.Now);
  routing::onOwnerHeard(Node.Routing, Ended.Outcome.Load.Owner);
  EntryRequest *Request = findByAttempt(Node, Ended.Attempt);
  if (!Request)
    return;
  const AttemptOutcome &Outcome = Ended.Outcome;
  routing::onAttemptOutcome(Node.Routing, Request->CurrentServer, Ended.Attempt,
                            Outcome, Node.Now);
  routing::noteOwnersWord(Node.Routing, Request->CurrentServer, Outcome,
                          Node.Now);
  noteAttemptEnd(Request->Trace, Ended.Attempt, Outcome, Node.Now);
  measureHop(Node, *Request, Outcome, Effects);
  endCurrentAttempt(Node, *Request);
  Request->LastWhy = Outcome.Why;
  if (Outcome.Why == base::Reason::LongWait)
    return placeAgain(Node, *Request, Outcome, Effects);
  noteEnd(Node, *Request, Outcome, Effects);
  if (admission::hasReachedServer(Outcome))
    ++Request->Sends;
  else if (Request->Sends > 0 && Node.Self.Retry.Ratio > 0)
    admission::returnSharedToken(Node.Admission, Request->Kind.Service);
  if (Outcome.What != base::Verdict::NotRun)
    Request->MayHaveRun = true;
  if (Outcome.ServerDied)
    ++Request->Deaths;
  if (followAction(Node, *Request, Outcome, Effects))
    return;
  if (!isFailure(Outcome))
    return deliver(Node, *Request, Ended.Attempt, Outcome, Effects);
  if (scheduleRetry(Node, *Request, Outcome, Effects))
    return;
  if (Outcome.What == base::Verdict::Ran || Request->Committed)
    return deliver(Node, *Request, Ended.Attempt, Outcome, Effects);
  refuse(Node, *Request, Outcome.Why, Outcome.RetryAfter, Effects);
}

void onRequestDeadline(State &Node, const RequestDeadline &Due,
                       EffectList &Effects) {
  EntryRequest *Request = findRequest(Node, Due.Request);
  if (!Request || Request->Committed)
    return;
  if (Request->Current.Sequence != 0)
    giveUpAttempt(Node, *Request, Effects);
  refuse(Node, *Request, base::Reason::DeadlinePassed, base::Duration{},
         Effects);
}

// A trial is given up for another attempt alone: where none is permitted, or no
// other server has room for one, the server's answer may still come. A stopping
// node breaks off nothing.
void onTrialDue(State &Node, const TrialDue &Due, EffectList &Effects) {
  EntryRequest *Request = findRequest(Node, Due.Request);
  if (!Request || Request->Current != Due.Attempt || Request->Committed ||
      Node.Stopping || !hasRoomElsewhere(Node, *Request, Effects))
    return;
  AttemptOutcome Silence;
  Silence.What = base::Verdict::MayHaveRun;
  Silence.Why = base::Reason::BackendTimeout;
  Silence.Server = Request->CurrentServer;
  ++Request->Sends;
  if (!scheduleRetry(Node, *Request, Silence, Effects)) {
    --Request->Sends;
    return;
  }
  noteAttemptEnd(Request->Trace, Due.Attempt, Silence, Node.Now);
  routing::onAttemptOutcome(Node.Routing, Request->CurrentServer, Due.Attempt,
                            Silence, Node.Now);
  giveUpAttempt(Node, *Request, Effects);
  if (Request->CurrentRefused)
    --Request->Sends;
  endCurrentAttempt(Node, *Request);
}

void answerBeforeStop(State &Node, EffectList &Effects) {
  std::vector<base::RequestId> Left;
  for (const auto &[Id, Request] : Node.Entry.Requests)
    if (!Request.Committed)
      Left.push_back(Id);
  for (base::RequestId Id : Left) {
    EntryRequest &Request = Node.Entry.Requests.at(Id);
    if (Request.Current.Sequence != 0)
      giveUpAttempt(Node, Request, Effects);
    refuse(Node, Request, base::Reason::NodeStopping, base::Duration{},
           Effects);
  }
}

void noteRefusedHere(State &Node, base::AttemptId Attempt) {
  if (EntryRequest *Request = findByAttempt(Node, Attempt))
    Request->CurrentRefused = true;
}

void onRetryDue(State &Node, const RetryDue &Due, EffectList &Effects) {
  EntryRequest *Request = findRequest(Node, Due.Request);
  if (Request && Request->Current.Sequence == 0)
    startNextAttempt(Node, *Request, Effects);
}

} // namespace currantgauge::core
