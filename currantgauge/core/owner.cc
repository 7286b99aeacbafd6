#include "currantgauge/core/owner.h"

#include "currantgauge/actions/guard.h"
#include "currantgauge/actions/quarantine.h"
#include "currantgauge/admission/entry.h"
#include "currantgauge/admission/pressure.h"
#include "currantgauge/admission/queue.h"
#include "currantgauge/admission/retry.h"
#include "currantgauge/core/entry.h"
#include "currantgauge/core/owner_evidence.h"
#include "currantgauge/core/owner_retries.h"
#include "currantgauge/core/request_log.h"
#include "currantgauge/core/shortage.h"
#include "currantgauge/routing/choose_owned.h"
#include "currantgauge/routing/health.h"
#include "currantgauge/routing/slots.h"

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace currantgauge::core {
namespace {

// Share of StopLinger in which a stopping node accepts attempts of other nodes.
// They must end within the rest of the stop limit.
constexpr double PeerAcceptShare = 0.4;

AttemptOutcome makeRefusal(base::Reason Reason, base::Duration RetryAfter) {
  AttemptOutcome Outcome;
  Outcome.Verdict = base::Verdict::NotRun;
  Outcome.Reason = Reason;
  Outcome.RetryAfter = RetryAfter;
  return Outcome;
}

void releaseSlot(State &Node, const admission::QueuedAttempt &Attempt) {
  auto Server = Node.Routing.Servers.find(Attempt.Server);
  if (Server != Node.Routing.Servers.end() && Server->second.Running > 0)
    --Server->second.Running;
}

routing::ChoiceQuery makeLocalQuery(const State &Node,
                                    const admission::QueuedAttempt &Attempt) {
  routing::ChoiceQuery Query;
  Query.Service = Attempt.Facts.Service;
  Query.Idempotent = Attempt.Facts.Idempotent;
  Query.AvoidsDoubt =
      !Attempt.Facts.Idempotent && Attempt.Facts.ReturnOnLongWait;
  Query.HasAlternative = Attempt.Facts.ReturnOnLongWait;
  Query.Repeated = Attempt.Facts.Number > 1;
  Query.Now = Node.Now;
  return Query;
}

// refuseToSend() returns a refusal if no owned server may be sent the attempt
// now, whatever its slots.
std::optional<AttemptOutcome>
refuseToSend(State &Node, const admission::QueuedAttempt &Attempt) {
  if (!mayRepeat(Node, Attempt.Facts))
    return makeRefusal(base::Reason::RetryBudget, base::Duration{});
  base::Duration Wait;
  if (!routing::canOwnedServerAdmit(Node.Routing, makeLocalQuery(Node, Attempt),
                                    Wait))
    return makeRefusal(base::Reason::BackendSuspect, Wait);
  return std::nullopt;
}

// queueAttempt() queues an attempt and ends those that it displaces. Returns a
// refusal if the attempt can't be queued.
std::optional<AttemptOutcome> queueAttempt(State &Node,
                                           admission::QueuedAttempt &Attempt,
                                           EffectList &Effects) {
  routing::OwnedSlots Slots =
      routing::countOwnedSlots(Node.Routing, Attempt.Facts.Service, Node.Now);
  if (Slots.Servers == 0)
    return makeRefusal(base::Reason::NoBackend, base::seconds(1));
  if (auto Refused = refuseToSend(Node, Attempt))
    return Refused;
  admission::EnqueueResult Queued = admission::enqueue(
      Node.Admission, *Node.Config.Current, Attempt, Slots.Open, Node.Now);
  for (base::AttemptId Victim : Queued.Victims)
    endAttempt(Node, Victim,
               makeRefusal(
                   base::Reason::QueueFull,
                   queueFullDelay(Node, Node.Owner.Attempts.at(Victim)->Facts)),
               Effects);
  if (Queued.Reason == base::Reason::None) {
    logQueued(Node, Attempt, Effects);
    return std::nullopt;
  }
  return makeRefusal(Queued.Reason, Queued.Reason == base::Reason::QueueFull
                                        ? queueFullDelay(Node, Attempt.Facts)
                                        : base::seconds(1));
}

// Refuses all queued attempts of a service of which this node no longer owns a
// server; they can run at another owner.
void refuseQueuedAttempts(State &Node, const base::ServiceName &Service,
                          EffectList &Effects) {
  while (admission::QueuedAttempt *Next =
             admission::peekNextToRun(Node.Admission, Service, 0, Node.Now))
    endAttempt(Node, Next->Facts.Attempt,
               makeRefusal(base::Reason::BackendLeaving, base::Duration{}),
               Effects);
}

void assignSlot(State &Node, admission::QueuedAttempt &Attempt,
                routing::BackendServer &Server) {
  admission::dequeueToRun(Node.Admission, *Node.Config.Current, Attempt,
                          Node.Now);
  Attempt.Server = Server.Record.Name;
  ++Server.Running;
  setTimer(Node.Timers, Attempt.Deadline,
           AttemptDeadline{Attempt.Facts.Attempt});
}

// Records the times in the queue and at the server of an attempt that was sent.
void recordPartTimes(const State &Node, const admission::QueuedAttempt &Attempt,
                     EffectList &Effects) {
  const std::string &Rank = Attempt.Facts.Rank.Value;
  auto AddPart = [&](const char *Name, base::Duration Elapsed) {
    Effects.push_back(
        Measure{Metric::PartSeconds, Name, Rank, base::toSeconds(Elapsed)});
  };
  if (Attempt.StartedAt == base::TimePoint{})
    return;
  AddPart("queue", Attempt.StartedAt - Attempt.ArrivedAt);
  AddPart("server", Node.Now - Attempt.StartedAt);
}

void recordQueueLength(const State &Node,
                       const admission::QueuedAttempt &Attempt,
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
  base::TimePoint PauseEnd =
      routing::pauseServer(Server->second, RetryAfter, Node.Now);
  setTimer(Node.Timers, PauseEnd, SlotsReopen{Attempt.Facts.Service});
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
  if (auto Recalled = actions::answerKnownAction(Node, Arrival.Facts, Effects))
    return endAttempt(Node, Arrival.Facts.Attempt, *Recalled, Effects);
  if (Node.Stopping && Arrival.Facts.Entry != Node.Self.Name &&
      Node.Now >= peerAttemptsAcceptedUntil(Node))
    return endAttempt(Node, Arrival.Facts.Attempt,
                      makeRefusal(base::Reason::NodeStopping, base::Duration{}),
                      Effects);
  if (!Node.Config.Current)
    return endAttempt(
        Node, Arrival.Facts.Attempt,
        makeRefusal(base::Reason::NoConfiguration, base::seconds(1)), Effects);
  Attempt->RankOrder =
      admission::rankOrder(*Node.Config.Current, Arrival.Facts.Rank);
  auto Entry = Node.Membership.Members.find(Arrival.Facts.Entry);
  Attempt->CrossedLink = Entry != Node.Membership.Members.end() &&
                         Entry->second.Record.Region != Node.Self.Region;
  if (auto Refused = queueAttempt(Node, *Attempt, Effects))
    return endAttempt(Node, Arrival.Facts.Attempt, *Refused, Effects);
  startQueuedAttempts(Node, Arrival.Facts.Service, Effects);
  if (!Attempt->Server.empty())
    return;
  setTimer(Node.Timers, Attempt->StartBy,
           AttemptDeadline{Arrival.Facts.Attempt});
  recordQueueLength(Node, *Attempt, Effects);
}

void startQueuedAttempts(State &Node, const base::ServiceName &Service,
                         EffectList &Effects) {
  if (!Node.Config.Current)
    return;
  routing::OwnedSlots Slots =
      routing::countOwnedSlots(Node.Routing, Service, Node.Now);
  if (Slots.Servers == 0)
    return refuseQueuedAttempts(Node, Service, Effects);
  while (admission::QueuedAttempt *Next = admission::peekNextToRun(
             Node.Admission, Service, Slots.Open, Node.Now)) {
    admission::QueuedAttemptPtr Attempt(Next);
    if (admission::isLate(Node.Admission, *Attempt, Node.Now)) {
      endAttempt(Node, Attempt->Facts.Attempt,
                 makeRefusal(admission::lateReason(*Attempt, Node.Now),
                             base::seconds(1)),
                 Effects);
      continue;
    }
    if (auto Refused = refuseToSend(Node, *Attempt)) {
      endAttempt(Node, Attempt->Facts.Attempt, *Refused, Effects);
      continue;
    }
    routing::ChoiceQuery Query = makeLocalQuery(Node, *Attempt);
    routing::BackendServer *Server = routing::chooseOwnedServer(
        Node.Routing, Query, Attempt->Facts.PreferredServer);
    if (!Server)
      return;
    routing::noteOwnedAdmitted(Node.Routing, *Server, Query);
    assignSlot(Node, *Attempt, *Server);
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
  noteAttemptSent(Node, Attempt.Facts);
  SendToBackend Send;
  Send.Attempt = Attempt.Facts.Attempt;
  Send.Server = Attempt.Server;
  Send.Address = Server.Record.Address;
  Send.TimeLeft = Attempt.Deadline - Node.Now;
  Send.Workspace = Attempt.Facts.Workspace;
  bool Suspect = routing::onExchangeStarted(Node.Routing, Attempt, Node.Now);
  // A pooled connection may be dead without notice, and an action lost on it
  // may or may not have run. If new connections are configured to be expensive
  // (ActionMaxIdle), actions may use a recently used one.
  bool Pooled =
      Attempt.Facts.Idempotent || Node.Self.ActionMaxIdle > base::Duration{};
  Send.NewConnection = Suspect || !Pooled;
  if (!Attempt.Facts.Idempotent)
    Send.MaxIdle = Node.Self.ActionMaxIdle;
  Effects.push_back(std::move(Send));
  if (routing::armHealthRound(Node.Routing))
    setTimer(Node.Timers, Node.Now + routing::HealthInterval, HealthRound{});
}

void endAttempt(State &Node, base::AttemptId Id, AttemptOutcome Outcome,
                EffectList &Effects) {
  auto It = Node.Owner.Attempts.find(Id);
  if (It == Node.Owner.Attempts.end())
    return;
  admission::QueuedAttemptPtr Attempt = It->second;
  Node.Owner.Attempts.erase(It);
  admission::dequeue(Node.Admission, *Attempt);
  if (!Attempt->Server.empty())
    Outcome.Server = Attempt->Server;
  if (Node.Config.Current) {
    if (Attempt->Server.empty() && admission::isLoadRefusal(Outcome.Reason))
      admission::noteRefused(Node.Admission, Attempt->Facts.Service,
                             Attempt->RankOrder, Node.Now);
    Outcome.Load = admission::pressureOf(Node.Admission, Attempt->Facts.Service,
                                         Attempt->RankOrder);
    Outcome.Load.Owner = Node.Self.Name;
  }
  if (!Attempt->Server.empty()) {
    if (!admission::hasReachedServer(Outcome))
      undoAttemptSent(Node, *Attempt);
    releaseSlot(Node, *Attempt);
    admission::finishRun(Node.Admission, *Attempt, Outcome, Node.Now);
    // A server that confirms that it didn't run the request and sends no
    // Retry-After is assumed to have free slots and is not paused.
    bool ShouldPause = Outcome.Verdict != base::Verdict::NotRun ||
                       Outcome.RetryAfter > base::Duration{};
    if (Outcome.Reason == base::Reason::BackendShed && ShouldPause)
      pauseAfterShed(Node, *Attempt, Outcome.RetryAfter);
    actions::afterRun(Node, *Attempt, Outcome, Effects);
  }
  if (Outcome.Verdict == base::Verdict::NotRun)
    noteLocalNotRun(Node, Id);
  Outcome.Held = Node.Now - Attempt->ArrivedAt;
  logAttemptEnd(Node, *Attempt, Outcome, Effects);
  recordPartTimes(Node, *Attempt, Effects);
  recordQueueLength(Node, *Attempt, Effects);
  Effects.push_back(EndAttempt{Id, Outcome});
}

base::TimePoint peerAttemptsAcceptedUntil(const State &Node) {
  return Node.StopRequestedAt +
         base::scale(Node.Self.StopLinger, PeerAcceptShare);
}

void refuseQueuedPeerAttempts(State &Node, EffectList &Effects) {
  std::vector<base::AttemptId> Waiting;
  for (const auto &[Id, Attempt] : Node.Owner.Attempts)
    if (Attempt->Server.empty() && Attempt->Facts.Entry != Node.Self.Name)
      Waiting.push_back(Id);
  for (base::AttemptId Id : Waiting)
    endAttempt(Node, Id,
               makeRefusal(base::Reason::NodeStopping, base::Duration{}),
               Effects);
}

void cancelQueuedAttempt(State &Node, base::AttemptId Id, EffectList &Effects) {
  auto It = Node.Owner.Attempts.find(Id);
  if (It != Node.Owner.Attempts.end() && It->second->Server.empty())
    endAttempt(Node, Id,
               makeRefusal(base::Reason::DeadlinePassed, base::Duration{}),
               Effects);
}

void onAttemptCancelled(State &Node, const AttemptCancelled &Cancelled,
                        EffectList &Effects) {
  auto It = Node.Owner.Attempts.find(Cancelled.Attempt);
  if (It == Node.Owner.Attempts.end())
    return;
  admission::QueuedAttemptPtr Attempt = It->second;
  Attempt->Cancelled = true;
  // A running exchange holds its slot until the ExchangeEnded event.
  if (Attempt->StartedAt > base::TimePoint{}) {
    Effects.push_back(
        CancelExchange{Cancelled.Attempt, base::Reason::CallerGone});
    return;
  }
  endAttempt(Node, Cancelled.Attempt,
             makeRefusal(base::Reason::CallerGone, base::Duration{}), Effects);
  startQueuedAttempts(Node, Attempt->Facts.Service, Effects);
}

void onExchangeEnded(State &Node, const ExchangeEnded &Ended,
                     EffectList &Effects) {
  auto It = Node.Owner.Attempts.find(Ended.Attempt);
  if (It == Node.Owner.Attempts.end())
    return;
  base::ServiceName Service = It->second->Facts.Service;
  AttemptOutcome Outcome = makeAttemptOutcome(Ended.Outcome);
  It->second->AnswerBytes = Ended.Outcome.AnswerBytes;
  actions::detectServerCrash(Node, *It->second, Ended.Outcome, Outcome,
                             Effects);
  // The failure of a request that also crashed other servers is no evidence
  // against this one.
  base::Reason Evidence =
      Outcome.RequestAtFault ? base::Reason::Quarantined : Outcome.Reason;
  Outcome.Suspicion =
      routing::onExchangeEnded(Node.Routing, Node.Membership, *It->second,
                               Ended.Outcome, Evidence, Node.Now, Effects);
  noteExchangeEvidence(Node, *It->second, Outcome, Effects);
  endAttempt(Node, Ended.Attempt, std::move(Outcome), Effects);
  startQueuedAttempts(Node, Service, Effects);
}

void onAttemptDeadline(State &Node, const AttemptDeadline &Due,
                       EffectList &Effects) {
  auto It = Node.Owner.Attempts.find(Due.Attempt);
  if (It == Node.Owner.Attempts.end())
    return;
  const admission::QueuedAttempt &Attempt = *It->second;
  // This is the timer for the time in the queue (StartBy), but the attempt has
  // already left the queue.
  if (!Attempt.Server.empty() && Node.Now < Attempt.Deadline)
    return;
  if (Attempt.StartedAt > base::TimePoint{}) {
    Effects.push_back(
        CancelExchange{Due.Attempt, base::Reason::BackendTimeout});
    return;
  }
  base::ServiceName Service = Attempt.Facts.Service;
  base::Reason Reason = Attempt.Server.empty()
                            ? admission::lateReason(Attempt, Node.Now)
                            : base::Reason::DeadlinePassed;
  endAttempt(Node, Due.Attempt, makeRefusal(Reason, base::seconds(1)), Effects);
  startQueuedAttempts(Node, Service, Effects);
}

} // namespace currantgauge::core
