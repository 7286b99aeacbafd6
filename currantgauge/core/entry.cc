#include "currantgauge/core/entry.h"

#include "currantgauge/admission/entry.h"
#include "currantgauge/admission/pressure.h"
#include "currantgauge/admission/retry.h"
#include "currantgauge/routing/choose.h"

#include <algorithm>
#include <string>
#include <utility>

namespace currantgauge::core {
namespace {

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

void countEnd(const EntryRequest &Request, base::Verdict What, base::Reason Why,
              base::TimePoint Now, EffectList &Effects) {
  Effects.push_back(Measure{Metric::Requests, Request.Kind.Name.Value,
                            std::string(base::verdictName(What)), 1});
  Effects.push_back(Measure{Metric::RequestSeconds, Request.Kind.Rank.Value,
                            Request.Kind.Service.Value,
                            base::toSeconds(Now - Request.Arrived)});
  if (Why != base::Reason::None)
    Effects.push_back(Measure{Metric::Refusals,
                              std::string(base::reasonName(Why)),
                              Request.Kind.Rank.Value, 1});
}

void endCurrentAttempt(State &Node, EntryRequest &Request) {
  Node.Entry.ByAttempt.erase(Request.Current);
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
  Node.Entry.Requests.erase(Id);
}

void refuse(State &Node, EntryRequest &Request, base::Reason Why,
            base::Duration RetryAfter, EffectList &Effects) {
  base::Verdict What =
      Request.MayHaveRun ? base::Verdict::MayHaveRun : base::Verdict::NotRun;
  countEnd(Request, What, Why, Node.Now, Effects);
  Effects.push_back(
      RefuseRequest{Request.Facts.Request, What, Why, RetryAfter});
  forget(Node, Request.Facts.Request);
}

AttemptFacts factsOf(const State &Node, const EntryRequest &Request,
                     const routing::BackendServer &Server) {
  AttemptFacts Facts;
  Facts.Attempt = Request.Current;
  Facts.Request = Request.Facts.Request;
  Facts.Entry = Node.Self.Name;
  Facts.Service = Request.Kind.Service;
  Facts.Kind = Request.Kind.Name;
  Facts.Rank = Request.Kind.Rank;
  Facts.Workspace = Request.Facts.Workspace;
  Facts.Preferred = Server.Record.Name;
  Facts.Key = Request.Facts.Key;
  Facts.Action = Request.Facts.Action;
  Facts.Body = Request.Facts.Body;
  Facts.BodyBytes = Request.Facts.BodyBytes;
  Facts.TimeLeft =
      Request.Deadline - Node.Now -
      (Server.Record.Region == Node.Self.Region ? HopAllowance : LinkAllowance);
  Facts.Worth = Request.Kind.Worth;
  Facts.Idempotent = Request.Kind.Idempotent;
  Facts.Number = Request.Attempts;
  return Facts;
}

admission::AttemptPlan planOf(const State &Node, const EntryRequest &Request,
                              const routing::BackendServer &Server) {
  return {*Node.Config.Current,    Request.Kind, Server, Node.Self.Region,
          Request.Facts.BodyBytes, Node.Now};
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
  routing::ChoiceQuery Query;
  Query.Service = Request.Kind.Service;
  Query.Worth = Request.Kind.Worth;
  Query.Tried = Request.Tried;
  Query.Now = Node.Now;
  const auto &Services = Node.Config.Current->Services;
  if (auto Found = Services.find(Query.Service); Found != Services.end())
    Query.Settings = &Found->second;
  const routing::BackendServer *Server =
      routing::chooseServer(Node.Routing, Query, Node.Source);
  if (!Server) {
    refuse(Node, Request, base::Reason::NoBackend, base::seconds(1), Effects);
    return;
  }
  base::Reason Why = admission::admitAttempt(
      Node.Admission, planOf(Node, Request, *Server), Node.Source, Effects);
  if (Why != base::Reason::None)
    return refuse(Node, Request, Why, base::seconds(1), Effects);
  ++Request.Attempts;
  Request.Current =
      base::AttemptId{Node.Self.Life.Value, ++Node.Entry.LastAttempt};
  Request.CurrentServer = Server->Record.Name;
  Request.Tried.push_back(Server->Record.Name);
  Node.Entry.ByAttempt[Request.Current] = Request.Facts.Request;
  base::NetAddress Address;
  if (Server->Record.Owner != Node.Self.Name) {
    ++Node.Routing.Servers.at(Server->Record.Name).Running;
    Address = Node.Membership.Members[Server->Record.Owner].Record.PeerAddress;
  }
  Effects.push_back(StartAttempt{factsOf(Node, Request, *Server),
                                 Server->Record.Owner, Address});
}

bool isFailure(const AttemptOutcome &Outcome) {
  return Outcome.What != base::Verdict::Ran ||
         Outcome.Why != base::Reason::None;
}

bool scheduleRetry(State &Node, EntryRequest &Request,
                   const AttemptOutcome &Outcome, EffectList &Effects) {
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
  countEnd(Request, base::Verdict::Ran, Outcome.Why, Node.Now, Effects);
  if (!Request.Committed)
    Effects.push_back(DeliverAnswer{Request.Facts.Request, Attempt,
                                    Outcome.Server, base::Verdict::Ran});
  forget(Node, Request.Facts.Request);
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
  startNextAttempt(Node, Request, Effects);
}

void onCallerGone(State &Node, const CallerGone &Gone, EffectList &Effects) {
  EntryRequest *Request = findRequest(Node, Gone.Request);
  if (!Request)
    return;
  if (Request->Current.Sequence != 0)
    Effects.push_back(CancelAttempt{Request->Current});
  countEnd(*Request, base::Verdict::MayHaveRun, base::Reason::CallerGone,
           Node.Now, Effects);
  forget(Node, Gone.Request);
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
  EntryRequest *Request = findByAttempt(Node, Ended.Attempt);
  if (!Request)
    return;
  const AttemptOutcome &Outcome = Ended.Outcome;
  noteEnd(Node, *Request, Outcome, Effects);
  endCurrentAttempt(Node, *Request);
  Request->LastWhy = Outcome.Why;
  if (Outcome.What != base::Verdict::NotRun)
    Request->MayHaveRun = true;
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
  if (Request->Current.Sequence != 0) {
    Effects.push_back(CancelAttempt{Request->Current});
    Request->MayHaveRun = true;
  }
  refuse(Node, *Request, base::Reason::DeadlinePassed, base::Duration{},
         Effects);
}

void onRetryDue(State &Node, const RetryDue &Due, EffectList &Effects) {
  EntryRequest *Request = findRequest(Node, Due.Request);
  if (Request && Request->Current.Sequence == 0)
    startNextAttempt(Node, *Request, Effects);
}

} // namespace currantgauge::core
