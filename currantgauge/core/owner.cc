#include "currantgauge/core/owner.h"

#include "currantgauge/actions/guard.h"
#include "currantgauge/actions/quarantine.h"
#include "currantgauge/admission/entry.h"
#include "currantgauge/admission/pressure.h"
#include "currantgauge/admission/queue.h"
#include "currantgauge/core/entry.h"
#include "currantgauge/core/owner_evidence.h"
#include "currantgauge/core/request_log.h"
#include "currantgauge/routing/choose.h"
#include "currantgauge/routing/health.h"
#include "currantgauge/routing/slots.h"

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace currantgauge::core {
namespace {

// Of the time in which a stopping node serves its callers. What it takes then
// has to end within the rest of the limit.
constexpr double PeersLingerShare = 0.4;
constexpr std::uint32_t HttpMisdirected = 421;
constexpr std::uint32_t HttpTooManyRequests = 429;
constexpr std::uint32_t HttpServerErrors = 500;
constexpr std::uint32_t HttpServiceUnavailable = 503;

AttemptOutcome refusal(base::Reason Why, base::Duration RetryAfter) {
  AttemptOutcome Outcome;
  Outcome.What = base::Verdict::NotRun;
  Outcome.Why = Why;
  Outcome.RetryAfter = RetryAfter;
  return Outcome;
}

void releaseSlot(State &Node, const admission::QueuedAttempt &Attempt) {
  auto Server = Node.Routing.Servers.find(Attempt.Server);
  if (Server != Node.Routing.Servers.end() && Server->second.Running > 0)
    --Server->second.Running;
}

// A whole answer proves that the request ran; no byte sent proves that it did
// not; anything between may have run.
AttemptOutcome outcomeOf(const BackendOutcome &Seen) {
  AttemptOutcome Outcome;
  Outcome.Why = Seen.Why;
  Outcome.Status = Seen.Status;
  Outcome.RetryAfter = Seen.RetryAfter;
  Outcome.AnswerBytes = Seen.AnswerBytes;
  Outcome.What = !Seen.AnyByteSent  ? base::Verdict::NotRun
                 : Seen.AnswerWhole ? base::Verdict::Ran
                                    : base::Verdict::MayHaveRun;
  if (Seen.ProvedNotRun) {
    Outcome.What = base::Verdict::NotRun;
    Outcome.Why = Seen.Status == HttpMisdirected
                      ? base::Reason::BackendMisdirected
                      : base::Reason::BackendShed;
    return Outcome;
  }
  if (!Seen.AnswerWhole)
    return Outcome;
  bool Sheds = Seen.Status == HttpTooManyRequests ||
               (Seen.Status == HttpServiceUnavailable &&
                Seen.RetryAfter > base::Duration{});
  if (Sheds)
    Outcome.Why = base::Reason::BackendShed;
  else if (Seen.Status >= HttpServerErrors)
    Outcome.Why = base::Reason::BackendError;
  return Outcome;
}

routing::ChoiceQuery ownQuery(const State &Node,
                              const admission::QueuedAttempt &Attempt) {
  routing::ChoiceQuery Query;
  Query.Service = Attempt.Facts.Service;
  Query.Idempotent = Attempt.Facts.Idempotent;
  Query.Now = Node.Now;
  return Query;
}

// queueAttempt() returns the refusal of an attempt that gets no place.
std::optional<AttemptOutcome> queueAttempt(State &Node,
                                           admission::QueuedAttempt &Attempt,
                                           EffectList &Effects) {
  routing::OwnSlots Slots =
      routing::ownSlots(Node.Routing, Attempt.Facts.Service, Node.Now);
  if (Slots.Servers == 0)
    return refusal(base::Reason::NoBackend, base::seconds(1));
  base::Duration Wait;
  if (!routing::isTakenByOwn(Node.Routing, ownQuery(Node, Attempt), Wait))
    return refusal(base::Reason::BackendSuspect, Wait);
  admission::EnqueueResult Queued = admission::enqueue(
      Node.Admission, *Node.Config.Current, Attempt, Slots.Open, Node.Now);
  for (base::AttemptId Victim : Queued.Victims)
    endAttempt(Node, Victim, refusal(base::Reason::QueueFull, base::seconds(1)),
               Effects);
  if (Queued.Reason == base::Reason::None) {
    logQueued(Node, Attempt, Effects);
    return std::nullopt;
  }
  return refusal(Queued.Reason, base::seconds(1));
}

// What waits for servers that are all leaving or gone can run elsewhere.
void refuseQueued(State &Node, const base::ServiceName &Service,
                  EffectList &Effects) {
  while (admission::QueuedAttempt *Next =
             admission::peekNextToRun(Node.Admission, Service, 0, Node.Now))
    endAttempt(Node, Next->Facts.Attempt,
               refusal(base::Reason::BackendLeaving, base::Duration{}),
               Effects);
}

void takeSlot(State &Node, admission::QueuedAttempt &Attempt,
              routing::BackendServer &Server) {
  admission::dequeueToRun(Node.Admission, *Node.Config.Current, Attempt,
                          Node.Now);
  Attempt.Server = Server.Record.Name;
  ++Server.Running;
  setTimer(Node.Timers, Attempt.Deadline,
           AttemptDeadline{Attempt.Facts.Attempt});
}

// Of an attempt that was sent: its time in the queue and at the server.
void measureParts(const State &Node, const admission::QueuedAttempt &Attempt,
                  EffectList &Effects) {
  const std::string &Rank = Attempt.Facts.Rank.Value;
  auto Part = [&](const char *Name, base::Duration Took) {
    Effects.push_back(
        Measure{Metric::PartSeconds, Name, Rank, base::toSeconds(Took)});
  };
  if (Attempt.StartedAt == base::TimePoint{})
    return;
  Part("queue", Attempt.StartedAt - Attempt.ArrivedAt);
  Part("server", Node.Now - Attempt.StartedAt);
}

void measureQueue(const State &Node, const admission::QueuedAttempt &Attempt,
                  EffectList &Effects) {
  auto Queue = Node.Admission.Queues.find(Attempt.Facts.Service);
  if (Queue == Node.Admission.Queues.end())
    return;
  auto Rank = Queue->second.ByRank.find(Attempt.RankOrder);
  if (Rank == Queue->second.ByRank.end())
    return;
  Effects.push_back(Measure{Metric::QueueLength, Attempt.Facts.Service.Value,
                            Attempt.Facts.Rank.Value,
                            static_cast<double>(Rank->second.Length)});
}

void pauseAfterShed(State &Node, const admission::QueuedAttempt &Attempt,
                    base::Duration RetryAfter) {
  auto Server = Node.Routing.Servers.find(Attempt.Server);
  if (Server == Node.Routing.Servers.end())
    return;
  base::TimePoint Until =
      routing::pauseServer(Server->second, RetryAfter, Node.Now);
  setTimer(Node.Timers, Until, SlotsReopen{Attempt.Facts.Service});
}

} // namespace

void onAttemptArrived(State &Node, const AttemptArrived &Arrival,
                      EffectList &Effects) {
  if (Node.Owner.Attempts.contains(Arrival.Facts.Attempt))
    return;
  admission::QueuedAttemptPtr Attempt(new admission::QueuedAttempt);
  Attempt->Facts = Arrival.Facts;
  Attempt->ArrivedAt = Node.Now;
  Attempt->Deadline = Node.Now + Arrival.Facts.TimeLeft;
  Node.Owner.Attempts[Arrival.Facts.Attempt] = Attempt;
  if (auto Known = actions::answerKnownAction(Node, Arrival.Facts, Effects))
    return endAttempt(Node, Arrival.Facts.Attempt, *Known, Effects);
  if (Node.Stopping && Arrival.Facts.Entry != Node.Self.Name &&
      Node.Now >= takesPeersUntil(Node))
    return endAttempt(Node, Arrival.Facts.Attempt,
                      refusal(base::Reason::NodeStopping, base::Duration{}),
                      Effects);
  if (!Node.Config.Current)
    return endAttempt(Node, Arrival.Facts.Attempt,
                      refusal(base::Reason::NoConfiguration, base::seconds(1)),
                      Effects);
  Attempt->RankOrder =
      admission::rankOrder(*Node.Config.Current, Arrival.Facts.Rank);
  auto Entry = Node.Membership.Members.find(Arrival.Facts.Entry);
  Attempt->CrossedLink = Entry != Node.Membership.Members.end() &&
                         Entry->second.Record.Region != Node.Self.Region;
  if (auto Refused = queueAttempt(Node, *Attempt, Effects))
    return endAttempt(Node, Arrival.Facts.Attempt, *Refused, Effects);
  runQueued(Node, Arrival.Facts.Service, Effects);
  if (!Attempt->Server.empty())
    return;
  setTimer(Node.Timers, Attempt->StartBy,
           AttemptDeadline{Arrival.Facts.Attempt});
  measureQueue(Node, *Attempt, Effects);
}

void runQueued(State &Node, const base::ServiceName &Service,
               EffectList &Effects) {
  if (!Node.Config.Current)
    return;
  routing::OwnSlots Slots = routing::ownSlots(Node.Routing, Service, Node.Now);
  if (Slots.Servers == 0)
    return refuseQueued(Node, Service, Effects);
  while (admission::QueuedAttempt *Next = admission::peekNextToRun(
             Node.Admission, Service, Slots.Open, Node.Now)) {
    admission::QueuedAttemptPtr Attempt(Next);
    if (admission::isLate(Node.Admission, *Attempt, Node.Now)) {
      endAttempt(
          Node, Attempt->Facts.Attempt,
          refusal(admission::lateReason(*Attempt, Node.Now), base::seconds(1)),
          Effects);
      continue;
    }
    routing::ChoiceQuery Query = ownQuery(Node, *Attempt);
    base::Duration Wait;
    if (!routing::isTakenByOwn(Node.Routing, Query, Wait)) {
      endAttempt(Node, Attempt->Facts.Attempt,
                 refusal(base::Reason::BackendSuspect, Wait), Effects);
      continue;
    }
    routing::BackendServer *Server =
        routing::chooseOwnServer(Node.Routing, Query, Attempt->Facts.Preferred);
    if (!Server)
      return;
    routing::admits(Node.Routing.Breakers[Server->Record.Name],
                    Query.Idempotent, Node.Now);
    takeSlot(Node, *Attempt, *Server);
    actions::GuardAnswer Guard = actions::beforeRun(Node, *Attempt, Effects);
    if (Guard.Decision == actions::GuardDecision::Refuse)
      endAttempt(Node, Attempt->Facts.Attempt, Guard.Outcome, Effects);
    else if (Guard.Decision == actions::GuardDecision::Run)
      startExchange(Node, *Attempt, Effects);
  }
}

void startExchange(State &Node, admission::QueuedAttempt &Attempt,
                   EffectList &Effects) {
  logStarted(Node, Attempt, Effects);
  const routing::BackendServer &Server =
      Node.Routing.Servers.at(Attempt.Server);
  Attempt.StartedAt = Node.Now;
  SendToBackend Send;
  Send.Attempt = Attempt.Facts.Attempt;
  Send.Server = Attempt.Server;
  Send.Address = Server.Record.Address;
  Send.TimeLeft = Attempt.Deadline - Node.Now;
  bool Suspect = routing::onExchangeStarted(Node.Routing, Attempt, Node.Now);
  // A pooled connection may have gone silent: an action that is lost on it
  // would be in doubt. One that was used a moment ago is taken where the node
  // is told that connections are dear.
  bool Pooled =
      Attempt.Facts.Idempotent || Node.Self.ActionIdle > base::Duration{};
  Send.NewConnection = Suspect || !Pooled;
  if (!Attempt.Facts.Idempotent)
    Send.FreshestIdle = Node.Self.ActionIdle;
  Effects.push_back(std::move(Send));
  if (routing::armRound(Node.Routing))
    setTimer(Node.Timers, Node.Now + routing::HealthInterval, HealthRound{});
}

void endAttempt(State &Node, base::AttemptId Id, AttemptOutcome Outcome,
                EffectList &Effects) {
  auto Found = Node.Owner.Attempts.find(Id);
  if (Found == Node.Owner.Attempts.end())
    return;
  admission::QueuedAttemptPtr Attempt = Found->second;
  Node.Owner.Attempts.erase(Found);
  admission::dequeue(Node.Admission, *Attempt);
  if (!Attempt->Server.empty())
    Outcome.Server = Attempt->Server;
  if (Node.Config.Current) {
    if (Attempt->Server.empty() && admission::isLoadRefusal(Outcome.Why))
      admission::noteRefused(Node.Admission, Attempt->Facts.Service,
                             Attempt->RankOrder, Node.Now);
    Outcome.Load = admission::pressureOf(Node.Admission, Attempt->Facts.Service,
                                         Attempt->RankOrder);
    Outcome.Load.Owner = Node.Self.Name;
  }
  if (!Attempt->Server.empty()) {
    releaseSlot(Node, *Attempt);
    admission::finishRun(Node.Admission, *Attempt, Outcome, Node.Now);
    // A server that proves that it ran nothing, and names no time, is asked
    // again at once: its slots are free.
    bool Rests = Outcome.What != base::Verdict::NotRun ||
                 Outcome.RetryAfter > base::Duration{};
    if (Outcome.Why == base::Reason::BackendShed && Rests)
      pauseAfterShed(Node, *Attempt, Outcome.RetryAfter);
    actions::afterRun(Node, *Attempt, Outcome, Effects);
  }
  if (Outcome.What == base::Verdict::NotRun)
    noteRefusedHere(Node, Id);
  Outcome.Held = Node.Now - Attempt->ArrivedAt;
  logAttemptEnd(Node, *Attempt, Outcome, Effects);
  measureParts(Node, *Attempt, Effects);
  measureQueue(Node, *Attempt, Effects);
  Effects.push_back(EndAttempt{Id, Outcome});
}

base::TimePoint takesPeersUntil(const State &Node) {
  return Node.StopSince + base::scaled(Node.Self.StopLinger, PeersLingerShare);
}

void refuseWaitingOfPeers(State &Node, EffectList &Effects) {
  std::vector<base::AttemptId> Waiting;
  for (const auto &[Id, Attempt] : Node.Owner.Attempts)
    if (Attempt->Server.empty() && Attempt->Facts.Entry != Node.Self.Name)
      Waiting.push_back(Id);
  for (base::AttemptId Id : Waiting)
    endAttempt(Node, Id, refusal(base::Reason::NodeStopping, base::Duration{}),
               Effects);
}

void withdrawWaiting(State &Node, base::AttemptId Id, EffectList &Effects) {
  auto Found = Node.Owner.Attempts.find(Id);
  if (Found != Node.Owner.Attempts.end() && Found->second->Server.empty())
    endAttempt(Node, Id,
               refusal(base::Reason::DeadlinePassed, base::Duration{}),
               Effects);
}

void onAttemptCancelled(State &Node, const AttemptCancelled &Cancelled,
                        EffectList &Effects) {
  auto Found = Node.Owner.Attempts.find(Cancelled.Attempt);
  if (Found == Node.Owner.Attempts.end())
    return;
  admission::QueuedAttemptPtr Attempt = Found->second;
  Attempt->Cancelled = true;
  // A running exchange ends by BackendEnded: the slot is taken until then.
  if (Attempt->StartedAt > base::TimePoint{}) {
    Effects.push_back(
        CancelBackend{Cancelled.Attempt, base::Reason::CallerGone});
    return;
  }
  endAttempt(Node, Cancelled.Attempt,
             refusal(base::Reason::CallerGone, base::Duration{}), Effects);
  runQueued(Node, Attempt->Facts.Service, Effects);
}

void onBackendEnded(State &Node, const BackendEnded &Ended,
                    EffectList &Effects) {
  auto Found = Node.Owner.Attempts.find(Ended.Attempt);
  if (Found == Node.Owner.Attempts.end())
    return;
  base::ServiceName Service = Found->second->Facts.Service;
  AttemptOutcome Outcome = outcomeOf(Ended.Outcome);
  Found->second->AnswerBytes = Ended.Outcome.AnswerBytes;
  actions::detectServerCrash(Node, *Found->second, Ended.Outcome, Outcome,
                             Effects);
  // A request that other servers died with is no evidence against this one.
  base::Reason Evidence =
      Outcome.RequestAtFault ? base::Reason::Quarantined : Outcome.Why;
  Outcome.Suspicion =
      routing::onExchangeEnded(Node.Routing, Node.Membership, *Found->second,
                               Ended.Outcome, Evidence, Node.Now, Effects);
  noteServerWord(Node, Found->second->Server, Outcome, Effects);
  endAttempt(Node, Ended.Attempt, std::move(Outcome), Effects);
  runQueued(Node, Service, Effects);
}

void onAttemptDeadline(State &Node, const AttemptDeadline &Due,
                       EffectList &Effects) {
  auto Found = Node.Owner.Attempts.find(Due.Attempt);
  if (Found == Node.Owner.Attempts.end())
    return;
  const admission::QueuedAttempt &Attempt = *Found->second;
  // The timer of a wait that ended in time says nothing about what runs now.
  if (!Attempt.Server.empty() && Node.Now < Attempt.Deadline)
    return;
  if (Attempt.StartedAt > base::TimePoint{}) {
    Effects.push_back(CancelBackend{Due.Attempt, base::Reason::BackendTimeout});
    return;
  }
  base::ServiceName Service = Attempt.Facts.Service;
  base::Reason Why = Attempt.Server.empty()
                         ? admission::lateReason(Attempt, Node.Now)
                         : base::Reason::DeadlinePassed;
  endAttempt(Node, Due.Attempt, refusal(Why, base::seconds(1)), Effects);
  runQueued(Node, Service, Effects);
}

} // namespace currantgauge::core
