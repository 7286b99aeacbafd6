#include "currantgauge/core/entry.h"

#include "currantgauge/actions/action_ids.h"
#include "currantgauge/actions/quarantine.h"
#include "currantgauge/admission/entry.h"
#include "currantgauge/admission/pressure.h"
#include "currantgauge/admission/retry.h"
#include "currantgauge/core/owner.h"
#include "currantgauge/membership/member.h"
#include "currantgauge/routing/choose.h"
#include "currantgauge/routing/health.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace currantgauge::core {
namespace {

constexpr std::uint32_t ReferralLimit = 4; // of one request
// A request that two servers died with is not tried on a third.
constexpr std::uint32_t DeathLimit = 2;
constexpr std::size_t ChoiceLimit = 4; // servers weighed for an attempt
constexpr base::Duration DefaultDeadline = base::seconds(30);
// What an attempt's deadline is ahead of its request's, so that the owner's
// answer arrives before the entry gives up: there and back.
constexpr base::Duration HopAllowance = base::milliseconds(5);
constexpr base::Duration LinkAllowance = base::milliseconds(20);

EntryRequest *findRequest(State &Node, base::RequestId Id) {
  auto Found = Node.Entry.Requests.find(Id);
  return Found == Node.Entry.Requests.end() ? nullptr : &Found->second;
}

EntryRequest *findByAttempt(State &Node, base::AttemptId Attempt) {
  auto Found = Node.Entry.ByAttempt.find(Attempt);
  return Found == Node.Entry.ByAttempt.end() ? nullptr
                                             : findRequest(Node, Found->second);
}

void rememberEnd(State &Node, const EntryRequest &Request, base::Verdict What,
                 base::Reason Why) {
  RequestTrace Trace;
  Trace.Request = Request.Facts.Request;
  Trace.Kind = Request.Kind.Name;
  Trace.Service = Request.Kind.Service;
  Trace.Rank = Request.Kind.Rank;
  Trace.Arrived = Request.Arrived;
  Trace.Took = Node.Now - Request.Arrived;
  Trace.Ended = true;
  Trace.What = What;
  Trace.Why = Why;
  Trace.Attempts = Request.Trace;
  remember(Node.Entry.Recent, std::move(Trace));
}

void countEnd(State &Node, const EntryRequest &Request, base::Verdict What,
              base::Reason Why, EffectList &Effects) {
  rememberEnd(Node, Request, What, Why);
  Effects.push_back(Measure{Metric::Requests, Request.Kind.Name.Value,
                            std::string(base::verdictName(What)), 1});
  Effects.push_back(Measure{Metric::RequestSeconds, Request.Kind.Rank.Value,
                            Request.Kind.Service.Value,
                            base::toSeconds(Node.Now - Request.Arrived)});
  if (Why != base::Reason::None)
    Effects.push_back(Measure{Metric::Refusals,
                              std::string(base::reasonName(Why)),
                              Request.Kind.Rank.Value, 1});
}

void endCurrentAttempt(State &Node, EntryRequest &Request) {
  Node.Entry.ByAttempt.erase(Request.Current);
  routing::onAttemptOver(Node.Routing, Request.CurrentServer, Request.Current);
  auto Server = Node.Routing.Servers.find(Request.CurrentServer);
  if (Server != Node.Routing.Servers.end() &&
      Server->second.Record.Owner != Node.Self.Name &&
      Server->second.Running > 0)
    --Server->second.Running;
  Request.Current = base::AttemptId();
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

bool isNear(const State &Node, const base::BackendName &Server) {
  auto Found = Node.Routing.Servers.find(Server);
  return Found == Node.Routing.Servers.end() ||
         Found->second.Record.Region == Node.Self.Region;
}

AttemptFacts factsOf(const State &Node, const EntryRequest &Request,
                     const base::BackendName &Preferred) {
  AttemptFacts Facts;
  Facts.Attempt = Request.Current;
  Facts.Request = Request.Facts.Request;
  Facts.Entry = Node.Self.Name;
  Facts.Service = Request.Kind.Service;
  Facts.Kind = Request.Kind.Name;
  Facts.Rank = Request.Kind.Rank;
  Facts.Workspace = Request.Facts.Workspace;
  Facts.Preferred = Preferred;
  Facts.Key = Request.Facts.Key;
  Facts.Action = Request.Facts.Action;
  Facts.Permitted = Request.Permitted;
  Facts.Print = Request.Print;
  Facts.Body = Request.Facts.Body;
  Facts.BodyBytes = Request.Facts.BodyBytes;
  Facts.TimeLeft = Request.Deadline - Node.Now -
                   (isNear(Node, Preferred) ? HopAllowance : LinkAllowance);
  Facts.Worth = Request.Kind.Worth;
  Facts.Idempotent = Request.Kind.Idempotent;
  Facts.Number = Request.Attempts;
  return Facts;
}

admission::AttemptPlan planOf(const State &Node, const EntryRequest &Request,
                              const routing::BackendServer &Server) {
  return {*Node.Config.Current,    Request.Kind, Server, Node.Self.Region,
          Request.Facts.BodyBytes, Node.Now,     1};
}

void noteEnd(State &Node, const EntryRequest &Request,
             const AttemptOutcome &Outcome, EffectList &Effects) {
  auto Server = Node.Routing.Servers.find(Request.CurrentServer);
  if (Server != Node.Routing.Servers.end())
    admission::noteAttemptEnd(Node.Admission,
                              planOf(Node, Request, Server->second), Outcome,
                              Effects);
}

base::AttemptId newAttempt(State &Node, EntryRequest &Request) {
  Request.Current =
      base::AttemptId{Node.Self.Life.Value, ++Node.Entry.LastAttempt};
  Request.CurrentRefused = false;
  Node.Entry.ByAttempt[Request.Current] = Request.Facts.Request;
  return Request.Current;
}

// An action that another node knows more of is asked for there. The owner's
// queue and the retry budget are not touched: that node runs nothing twice.
bool startReferral(State &Node, EntryRequest &Request,
                   const base::NodeName &Where, EffectList &Effects) {
  base::NetAddress Address;
  if (Where != Node.Self.Name) {
    auto Member = Node.Membership.Members.find(Where);
    if (Member == Node.Membership.Members.end())
      return false;
    Address = Member->second.Record.PeerAddress;
  }
  if (++Request.Referrals > ReferralLimit)
    return false;
  newAttempt(Node, Request);
  Request.CurrentServer = base::BackendName();
  Effects.push_back(StartAttempt{factsOf(Node, Request, {}), Where, Address});
  return true;
}

routing::Choice chooseFor(State &Node, const EntryRequest &Request,
                          const std::vector<base::BackendName> &Avoid,
                          EffectList &Effects) {
  static const config::ServiceSettings Defaults;
  routing::ChoiceQuery Query;
  Query.Service = Request.Kind.Service;
  Query.Pressure = &Node.Admission;
  Query.RankOrder =
      admission::rankOrder(*Node.Config.Current, Request.Kind.Rank);
  Query.Worth = Request.Kind.Worth;
  Query.Idempotent = Request.Kind.Idempotent;
  Query.Tried = Request.Tried;
  Query.Tried.insert(Query.Tried.end(), Avoid.begin(), Avoid.end());
  Query.Now = Node.Now;
  const auto &Services = Node.Config.Current->Services;
  auto Found = Services.find(Query.Service);
  return routing::selectServer(
      Node.Routing, Query, Found == Services.end() ? Defaults : Found->second,
      Node.Source, Effects);
}

// placeAttempt() chooses a server whose owner takes this rank, and returns why
// there is none. Owners that refuse it now are passed over a few times.
base::Reason placeAttempt(State &Node, const EntryRequest &Request,
                          routing::Choice &Chosen, EffectList &Effects) {
  double Draw = base::uniformUnit(Node.Source);
  std::vector<base::BackendName> Avoid;
  base::Reason Why = base::Reason::None;
  while (Avoid.size() < ChoiceLimit) {
    Chosen = chooseFor(Node, Request, Avoid, Effects);
    if (!Chosen.Server)
      return base::Reason::NoBackend;
    admission::AttemptPlan Plan = planOf(Node, Request, *Chosen.Server);
    Plan.Draw = Draw;
    Why = admission::admitAttempt(Node.Admission, Plan, Effects);
    if (Why == base::Reason::None)
      return Why;
    Avoid.push_back(Chosen.Server->Record.Name);
  }
  return Why;
}

void startNextAttempt(State &Node, EntryRequest &Request, EffectList &Effects) {
  if (actions::isQuarantined(Node.Actions, Request.Print))
    return refuse(Node, Request, base::Reason::Quarantined, base::Duration{},
                  Effects);
  routing::Choice Chosen;
  base::Reason Why = placeAttempt(Node, Request, Chosen, Effects);
  if (Why != base::Reason::None)
    return refuse(Node, Request, Why, base::seconds(1), Effects);
  const routing::BackendServer *Server = Chosen.Server;
  ++Request.Attempts;
  newAttempt(Node, Request);
  Request.CurrentServer = Server->Record.Name;
  Request.Tried.push_back(Server->Record.Name);
  routing::onAttemptStarted(Node.Routing, Chosen, Request.Current);
  Request.Trace.push_back({Request.Current, Server->Record.Name,
                           Server->Record.Owner,
                           routing::choiceName(Chosen.Why), Node.Now});
  base::NetAddress Address;
  if (Server->Record.Owner != Node.Self.Name) {
    ++Node.Routing.Servers.at(Server->Record.Name).Running;
    Address = membership::addressOf(Node.Membership, Server->Record.Owner);
  }
  if (Request.Permitted)
    actions::notePlaced(Node, Request.Facts, Server->Record.Owner);
  Effects.push_back(StartAttempt{factsOf(Node, Request, Server->Record.Name),
                                 Server->Record.Owner, Address});
}

// An action id runs by the word of its issuer alone.
void startIdentified(State &Node, EntryRequest &Request, EffectList &Effects) {
  AttemptOutcome Answer = actions::askAsEntry(Node, Request.Facts);
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

bool isFailure(const AttemptOutcome &Outcome) {
  return Outcome.What != base::Verdict::Ran ||
         Outcome.Why != base::Reason::None;
}

bool scheduleRetry(State &Node, EntryRequest &Request,
                   const AttemptOutcome &Outcome, EffectList &Effects) {
  if (Request.Deaths >= DeathLimit)
    return false;
  admission::RetryPlan Plan =
      admission::planRetry(Node.Admission,
                           {.Kind = Request.Kind,
                            .Outcome = Outcome,
                            .Committed = Request.Committed,
                            .Attempts = Request.Attempts,
                            .Arrived = Request.Arrived,
                            .Deadline = Request.Deadline,
                            .Now = Node.Now},
                           Node.Source);
  if (Plan.Denied != base::Reason::None)
    Effects.push_back(Measure{Metric::Refusals,
                              std::string(base::reasonName(Plan.Denied)),
                              Request.Kind.Rank.Value, 1});
  if (!Plan.Retry)
    return false;
  Effects.push_back(Measure{Metric::Retries,
                            std::string(base::reasonName(Outcome.Why)),
                            Request.Kind.Service.Value, 1});
  setTimer(Node.Timers, Plan.At, RetryDue{Request.Facts.Request});
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
  if (Node.Stopping)
    return refuse(Node, Request, base::Reason::NodeStopping, base::Duration{},
                  Effects);
  if (!Node.Config.Current)
    return refuse(Node, Request, base::Reason::NoConfiguration,
                  base::seconds(1), Effects);
  const config::Configuration &Config = *Node.Config.Current;
  const config::KindSettings *Kind =
      config::findRoute(Config, Arrival.Facts.Method, Arrival.Facts.Path);
  if (!Kind)
    return refuse(Node, Request, base::Reason::NoRoute, base::Duration{},
                  Effects);
  Request.Kind = *Kind;
  Request.Deadline = Node.Now + deadlineOf(Arrival.Facts, *Kind);
  base::Reason Why = admission::admitAtEntry(Node.Admission, Config, *Kind,
                                             Arrival.Facts.Workspace, Node.Now);
  if (Why != base::Reason::None)
    return refuse(Node, Request, Why, base::seconds(1), Effects);
  setTimer(Node.Timers, Request.Deadline,
           RequestDeadline{Arrival.Facts.Request});
  Request.Print = actions::fingerprintOf(Request.Facts, *Kind);
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
  noteAttemptEnd(Request->Trace, Ended.Attempt, Outcome, Node.Now);
  noteEnd(Node, *Request, Outcome, Effects);
  endCurrentAttempt(Node, *Request);
  Request->LastWhy = Outcome.Why;
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
