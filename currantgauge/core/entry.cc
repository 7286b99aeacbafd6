#include "currantgauge/core/entry.h"

#include "currantgauge/actions/action_ids.h"
#include "currantgauge/actions/quarantine.h"
#include "currantgauge/admission/entry.h"
#include "currantgauge/admission/pressure.h"
#include "currantgauge/admission/retry.h"
#include "currantgauge/core/entry_attempts.h"
#include "currantgauge/core/entry_metrics.h"
#include "currantgauge/core/entry_retries.h"
#include "currantgauge/core/fleet_limits.h"
#include "currantgauge/core/owner.h"
#include "currantgauge/core/request_log.h"
#include "currantgauge/core/shortage.h"
#include "currantgauge/identity/caller.h"
#include "currantgauge/routing/choose.h"
#include "currantgauge/routing/health.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace currantgauge::core {
namespace {

// Timeout of requests whose kind has no deadline.
constexpr base::Duration DefaultTimeout = base::seconds(30);

EntryRequest *findRequest(State &Node, base::RequestId Id) {
  auto It = Node.Entry.Requests.find(Id);
  return It == Node.Entry.Requests.end() ? nullptr : &It->second;
}

EntryRequest *findByAttempt(State &Node, base::AttemptId Attempt) {
  auto It = Node.Entry.RequestByAttempt.find(Attempt);
  return It == Node.Entry.RequestByAttempt.end()
             ? nullptr
             : findRequest(Node, It->second);
}

void removeRequest(State &Node, base::RequestId Id) {
  EntryRequest *Request = findRequest(Node, Id);
  if (!Request)
    return;
  for (EntryAttempt *Attempt : {&Request->Current, &Request->SlowTrial})
    if (isInFlight(*Attempt))
      endEntryAttempt(Node, *Attempt);
  if (Request->Permitted)
    actions::noteRequestEnded(Node, Request->Facts);
  if (Request->AwaitsPermit)
    cancelPermitWait(Node, *Request);
  Node.Entry.Requests.erase(Id);
}

void refuseRequest(State &Node, EntryRequest &Request, base::Reason Reason,
                   base::Duration RetryAfter, EffectList &Effects) {
  for (EntryAttempt *Attempt : {&Request.Current, &Request.SlowTrial})
    if (isInFlight(*Attempt))
      abandonAttempt(Node, Request, *Attempt, Effects);
  base::Verdict Verdict =
      Request.MayHaveRun ? base::Verdict::MayHaveRun : base::Verdict::NotRun;
  recordRequestEnd(Node, Request, Verdict, Reason, Effects);
  Effects.push_back(
      RefuseRequest{Request.Facts.Request, Verdict, Reason,
                    retryAfterOf(Node, Request, Reason, RetryAfter)});
  removeRequest(Node, Request.Facts.Request);
}

void recordAttemptEnd(State &Node, const EntryRequest &Request,
                      const base::BackendName &Name,
                      const AttemptOutcome &Outcome, EffectList &Effects) {
  auto Server = Node.Routing.Servers.find(Name);
  if (Server != Node.Routing.Servers.end())
    admission::noteAttemptEnd(Node.Admission,
                              makeAttemptPlan(Node, Request, Server->second),
                              Outcome, Effects);
}

void startNextAttempt(State &Node, EntryRequest &Request, EffectList &Effects) {
  if (actions::isQuarantined(Node.Actions, Request.Fingerprint))
    return refuseRequest(Node, Request, base::Reason::Quarantined,
                         base::Duration{}, Effects);
  routing::Choice Chosen;
  base::Reason Reason = placeAttempt(Node, Request, Chosen, Effects);
  if (Reason != base::Reason::None && isInFlight(Request.SlowTrial))
    return;
  if (Reason != base::Reason::None)
    return refuseRequest(Node, Request, Reason, base::seconds(1), Effects);
  startAttempt(Node, Request, Chosen, Effects);
}

// Only the node that issued an action id may permit the action to run.
void startActionRequest(State &Node, EntryRequest &Request,
                        EffectList &Effects) {
  AttemptOutcome Answer = actions::queryPermission(Node, Request.Facts);
  if (Answer.Permitted) {
    Request.Permitted = true;
    return startNextAttempt(Node, Request, Effects);
  }
  if (!Answer.ReferredNode.empty() &&
      startReferral(Node, Request, Answer.ReferredNode, Effects))
    return;
  Request.MayHaveRun = Answer.Verdict != base::Verdict::NotRun;
  refuseRequest(Node, Request, Answer.Reason, Answer.RetryAfter, Effects);
}

void startAdmittedRequest(State &Node, EntryRequest &Request,
                          EffectList &Effects) {
  setTimer(Node.Timers, Request.Deadline,
           RequestDeadline{Request.Facts.Request});
  Request.Fingerprint = actions::fingerprintOf(Request.Facts, Request.Kind);
  logAdmitted(Node, Request, Effects);
  if (!Request.Kind.Idempotent && !Request.Facts.Action.empty())
    return startActionRequest(Node, Request, Effects);
  startNextAttempt(Node, Request, Effects);
}

// continueAction() continues a request according to another node's decision on
// its action: it runs with a permission, or follows a referral. Returns false
// if the outcome contains neither or the referral can't be followed.
bool continueAction(State &Node, EntryRequest &Request,
                    const AttemptOutcome &Outcome, EffectList &Effects) {
  if (Outcome.Permitted) {
    actions::notePermitted(Node, Request.Facts);
    Request.Permitted = true;
    startNextAttempt(Node, Request, Effects);
    return true;
  }
  if (Request.Permitted && Outcome.Verdict == base::Verdict::NotRun)
    actions::noteNotRun(Node, Request.Facts);
  return !Outcome.ReferredNode.empty() && !Request.Committed &&
         startReferral(Node, Request, Outcome.ReferredNode, Effects);
}

// Handles a LongWait outcome: the owner returned the attempt instead of keeping
// it in a long queue. This is not a failure: the next attempt starts
// immediately and is placed by the load that the owners have reported. The
// returned attempt isn't counted, and its server may be chosen again.
void placeReturnedAttempt(State &Node, EntryRequest &Request,
                          const AttemptOutcome &Outcome, EffectList &Effects) {
  ++Request.LongWaitReturns;
  --Request.Attempts;
  Request.Tried.pop_back();
  Effects.push_back(Measure{Metric::Retries,
                            std::string(base::reasonName(Outcome.Reason)),
                            Request.Kind.Service.Value, 1});
  startNextAttempt(Node, Request, Effects);
}

bool isFailure(const AttemptOutcome &Outcome) {
  return Outcome.Verdict != base::Verdict::Ran ||
         Outcome.Reason != base::Reason::None;
}

void deliverAnswer(State &Node, EntryRequest &Request, base::AttemptId Attempt,
                   const AttemptOutcome &Outcome, EffectList &Effects) {
  cancelOtherAttempts(Node, Request, Attempt, Effects);
  recordRequestEnd(Node, Request, Outcome.Verdict, Outcome.Reason, Effects);
  if (!Request.Committed)
    Effects.push_back(DeliverAnswer{Request.Facts.Request, Attempt,
                                    Outcome.Server, base::Verdict::Ran});
  removeRequest(Node, Request.Facts.Request);
}

base::Duration computeTimeout(const RequestFacts &Facts,
                              const config::KindSettings &Kind) {
  base::Duration Limit =
      Kind.Deadline > base::Duration{} ? Kind.Deadline : DefaultTimeout;
  return Facts.TimeLeft > base::Duration{} ? std::min(Limit, Facts.TimeLeft)
                                           : Limit;
}

} // namespace

void onRequestArrived(State &Node, const RequestArrived &Arrival,
                      EffectList &Effects) {
  EntryRequest &Request = Node.Entry.Requests[Arrival.Facts.Request];
  Request.Facts = Arrival.Facts;
  Request.ArrivedAt = Node.Now;
  if (Node.Stopping && Node.Now >= Node.StopRequestedAt + Node.Self.StopLinger)
    return refuseRequest(Node, Request, base::Reason::NodeStopping,
                         base::Duration{}, Effects);
  if (!Node.Config.Current)
    return refuseRequest(Node, Request, base::Reason::NoConfiguration,
                         base::seconds(1), Effects);
  const config::Configuration &Config = *Node.Config.Current;
  config::RouteMatch Match = config::matchRoute(
      Config, {Arrival.Facts.Host, Arrival.Facts.Method, Arrival.Facts.Path});
  if (!Match.Route)
    return refuseRequest(Node, Request, base::Reason::NoRoute, base::Duration{},
                         Effects);
  bool Split = !Match.Route->Split.empty();
  Request.Kind = config::getRequestSettings(
      Match, Split ? base::uniformUnit(Node.Random) : 0);
  const config::KindSettings *Kind = &Request.Kind;
  Request.Deadline = Node.Now + computeTimeout(Arrival.Facts, *Kind);
  if (base::Reason Denied = identity::applyCallerKey(
          Config, *Match.Route, Request.Facts, Request.Kind);
      Denied != base::Reason::None)
    return refuseRequest(Node, Request, Denied, base::Duration{}, Effects);
  base::Reason Reason = admission::admitAtEntry(
      Node.Admission, Config, *Kind, Request.Facts.Workspace, Node.Now);
  if (Reason != base::Reason::None)
    return refuseRequest(Node, Request, Reason, base::seconds(1), Effects);
  if (awaitPermit(Node, Request, Effects))
    return;
  startAdmittedRequest(Node, Request, Effects);
}

void endPermitWait(State &Node, base::RequestId Id, base::Reason Reason,
                   base::Duration RetryAfter, EffectList &Effects) {
  EntryRequest *Request = findRequest(Node, Id);
  if (!Request || !Request->AwaitsPermit)
    return;
  Request->AwaitsPermit = false;
  if (Reason != base::Reason::None)
    return refuseRequest(Node, *Request, Reason, RetryAfter, Effects);
  startAdmittedRequest(Node, *Request, Effects);
}

void onCallerGone(State &Node, const CallerGone &Gone, EffectList &Effects) {
  EntryRequest *Request = findRequest(Node, Gone.Request);
  logUnanswered(Node, Gone, Effects);
  Effects.push_back(Measure{Metric::UnansweredRequests,
                            std::string(connectionEndName(Gone.End)),
                            Request ? "false" : "true", 1});
  if (!Request)
    return;
  for (const EntryAttempt *Attempt : {&Request->Current, &Request->SlowTrial})
    if (isInFlight(*Attempt))
      Effects.push_back(CancelAttempt{Attempt->Id});
  recordRequestEnd(Node, *Request, base::Verdict::MayHaveRun,
                   base::Reason::CallerGone, Effects);
  removeRequest(Node, Gone.Request);
}

void onInputRefused(State &Node, const InputRefused &Refused,
                    EffectList &Effects) {
  Effects.push_back(Measure{
      Metric::Refusals, std::string(base::reasonName(Refused.Reason)), "", 1});
}

// The caller now receives part of the answer, so no retry is possible.
void onAnswerBufferFull(State &Node, const AnswerBufferFull &Event,
                        EffectList &Effects) {
  EntryRequest *Request = findByAttempt(Node, Event.Attempt);
  if (!Request || Request->Committed)
    return;
  Request->Committed = true;
  Request->RetryScheduled = false;
  Effects.push_back(DeliverAnswer{Request->Facts.Request, Event.Attempt,
                                  attemptOf(*Request, Event.Attempt).Server,
                                  base::Verdict::Ran});
  cancelOtherAttempts(Node, *Request, Event.Attempt, Effects);
}

void onAttemptEnded(State &Node, const AttemptEnded &Ended,
                    EffectList &Effects) {
  admission::notePressure(Node.Admission, Ended.Outcome.Load, Node.Now);
  routing::onOwnerMessage(Node.Routing, Ended.Outcome.Load.Owner);
  EntryRequest *Request = findByAttempt(Node, Ended.Attempt);
  if (!Request)
    return;
  const AttemptOutcome &Outcome = Ended.Outcome;
  EntryAttempt &Attempt = attemptOf(*Request, Ended.Attempt);
  bool WasCurrent = &Attempt == &Request->Current;
  routing::onAttemptOutcome(Node.Routing, Attempt.Server, Ended.Attempt,
                            Outcome, Node.Now);
  routing::noteOwnerReport(Node.Routing, Attempt.Server, Outcome, Node.Now);
  if (const AttemptTrace *Trace =
          noteAttemptEnd(Request->Trace, Ended.Attempt, Outcome, Node.Now))
    recordHopTime(Node, *Request, *Trace, Outcome, Effects);
  endEntryAttempt(Node, Attempt);
  Request->LastReason = Outcome.Reason;
  if (Outcome.Reason == base::Reason::LongWait && WasCurrent)
    return placeReturnedAttempt(Node, *Request, Outcome, Effects);
  recordAttemptEnd(Node, *Request, Attempt.Server, Outcome, Effects);
  if (!WasCurrent)
    --Request->Sends;
  if (admission::hasReachedServer(Outcome))
    ++Request->Sends;
  if (Outcome.Verdict != base::Verdict::NotRun)
    Request->MayHaveRun = true;
  if (Outcome.ServerCrashed)
    ++Request->ServerCrashes;
  if (continueAction(Node, *Request, Outcome, Effects))
    return;
  if (!isFailure(Outcome))
    return deliverAnswer(Node, *Request, Ended.Attempt, Outcome, Effects);
  if (isInFlight(Request->Current) || Request->RetryScheduled ||
      scheduleRetry(Node, *Request, Outcome, Effects))
    return;
  if (Outcome.Verdict == base::Verdict::Ran || Request->Committed)
    return deliverAnswer(Node, *Request, Ended.Attempt, Outcome, Effects);
  if (isInFlight(Request->SlowTrial))
    return;
  refuseRequest(Node, *Request, Outcome.Reason, Outcome.RetryAfter, Effects);
}

void onRequestDeadline(State &Node, const RequestDeadline &Due,
                       EffectList &Effects) {
  EntryRequest *Request = findRequest(Node, Due.Request);
  if (!Request || Request->Committed)
    return;
  refuseRequest(Node, *Request, base::Reason::DeadlinePassed, base::Duration{},
                Effects);
}

// Another attempt is made beside a trial (an attempt that tests an ejected
// server) that takes long, so that the request doesn't depend on that server.
// The trial continues, as what is tried in its place may be refused. No attempt
// is added while owners refuse part of the rank or no other server has a free
// slot, nor by a stopping node.
void onTrialTimeout(State &Node, const TrialTimeout &Due, EffectList &Effects) {
  EntryRequest *Request = findRequest(Node, Due.Request);
  if (!Request || Request->Current.Id != Due.Attempt || Request->Committed ||
      Node.Stopping || isInFlight(Request->SlowTrial) ||
      !admission::areRefusalsRare(Node.Admission, Request->Kind) ||
      !hasFreeSlotElsewhere(Node, *Request, Effects))
    return;
  AttemptOutcome TimeoutOutcome;
  TimeoutOutcome.Verdict = base::Verdict::MayHaveRun;
  TimeoutOutcome.Reason = base::Reason::BackendTimeout;
  TimeoutOutcome.Server = Request->Current.Server;
  ++Request->Sends;
  if (!scheduleRetry(Node, *Request, TimeoutOutcome, Effects)) {
    --Request->Sends;
    return;
  }
  routing::onAttemptOutcome(Node.Routing, Request->Current.Server, Due.Attempt,
                            TimeoutOutcome, Node.Now);
  cancelQueuedAttempt(Node, Due.Attempt, Effects);
  if (Request->Current.NotRun) {
    --Request->Sends;
    Effects.push_back(CancelAttempt{Due.Attempt});
    endEntryAttempt(Node, Request->Current);
    return;
  }
  Request->SlowTrial = std::exchange(Request->Current, EntryAttempt());
}

void refuseUnansweredRequests(State &Node, EffectList &Effects) {
  std::vector<base::RequestId> Unanswered;
  for (const auto &[Id, Request] : Node.Entry.Requests)
    if (!Request.Committed)
      Unanswered.push_back(Id);
  for (base::RequestId Id : Unanswered)
    refuseRequest(Node, Node.Entry.Requests.at(Id), base::Reason::NodeStopping,
                  base::Duration{}, Effects);
}

void noteLocalNotRun(State &Node, base::AttemptId Attempt) {
  if (EntryRequest *Request = findByAttempt(Node, Attempt))
    attemptOf(*Request, Attempt).NotRun = true;
}

void onRetryDue(State &Node, const RetryDue &Due, EffectList &Effects) {
  EntryRequest *Request = findRequest(Node, Due.Request);
  if (!Request || !Request->RetryScheduled)
    return;
  Request->RetryScheduled = false;
  startNextAttempt(Node, *Request, Effects);
}

} // namespace currantgauge::core
