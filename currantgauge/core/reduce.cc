#include "currantgauge/core/reduce.h"

#include "currantgauge/actions/action_ids.h"
#include "currantgauge/actions/claim_store.h"
#include "currantgauge/config/distribution.h"
#include "currantgauge/config/feed.h"
#include "currantgauge/config/queries.h"
#include "currantgauge/core/entry.h"
#include "currantgauge/core/operations.h"
#include "currantgauge/core/owner.h"
#include "currantgauge/core/status.h"
#include "currantgauge/membership/detector.h"
#include "currantgauge/membership/gossip.h"
#include "currantgauge/membership/rumours.h"
#include "currantgauge/membership/seeds.h"

namespace currantgauge::core {
namespace {

// One overload an event: each calls one function of the component that owns
// the decision.
struct Dispatch {
  State &Node;
  EffectList &Effects;

  void operator()(const Started &E) { onStarted(Node, E, Effects); }
  void operator()(const StopRequested &E) { onStopRequested(Node, E, Effects); }
  void operator()(const TimerFired &E) { onTimerFired(Node, E, Effects); }
  void operator()(const RequestArrived &E) {
    onRequestArrived(Node, E, Effects);
  }
  void operator()(const CallerGone &E) { onCallerGone(Node, E, Effects); }
  void operator()(const InputRefused &E) { onInputRefused(Node, E, Effects); }
  void operator()(const AnswerBuffered &E) {
    onAnswerBuffered(Node, E, Effects);
  }
  void operator()(const AttemptEnded &E) { onAttemptEnded(Node, E, Effects); }
  void operator()(const AttemptArrived &E) {
    onAttemptArrived(Node, E, Effects);
  }
  void operator()(const AttemptCancelled &E) {
    onAttemptCancelled(Node, E, Effects);
  }
  void operator()(const BackendEnded &E) { onBackendEnded(Node, E, Effects); }
  void operator()(const BackendAnnounced &E) {
    onBackendAnnounced(Node, E, Effects);
  }
  void operator()(const PeerMessageArrived &E) {
    membership::onMessage(Node, E.Message, Effects);
    config::noteVersion(Node, E.Message, Effects);
  }
  void operator()(const PeerSendFailed &E) {
    membership::onSendFailed(Node, E, Effects);
  }
  // A call belongs to one component: each knows its own.
  void operator()(const StoreAnswered &E) {
    noteStoreAnswer(Node, E);
    tellUnreadable(Node, E, Effects);
    if (!config::onFeedAnswered(Node, E, Effects) &&
        !actions::onStoreAnswered(Node, E, Effects) &&
        !config::onStoreAnswered(Node, E, Effects))
      membership::onStoreAnswered(Node, E, Effects);
  }
  void operator()(const ConfigParsed &E) {
    if (!config::onFeedParsed(Node, E, Effects))
      config::onConfigParsed(Node, E, Effects);
  }
  void operator()(const ConfigFetched &E) {
    config::onConfigFetched(Node, E, Effects);
  }
  void operator()(const OperatorAsked &E) { onOperatorAsked(Node, E, Effects); }
  void operator()(const ActionIdAsked &E) {
    actions::onActionIdAsked(Node, E, Effects);
  }
};

// What a timer waits for may end long before it is due.
struct IsOver {
  const State &Node;

  bool operator()(const RequestDeadline &Due) const {
    return !this->Node.Entry.Requests.contains(Due.Request);
  }
  bool operator()(const RetryDue &Due) const {
    return !this->Node.Entry.Requests.contains(Due.Request);
  }
  bool operator()(const TrialDue &Due) const {
    return !this->Node.Entry.Requests.contains(Due.Request);
  }
  bool operator()(const AttemptDeadline &Due) const {
    return !this->Node.Owner.Attempts.contains(Due.Attempt);
  }
  template <typename Other> bool operator()(const Other &) const {
    return false;
  }
};

// Deadlines of ended requests go when they come first in the queue, so that
// no event is spent on them.
void dropOver(State &Node) {
  auto &Due = Node.Timers.Due;
  while (!Due.empty() && std::visit(IsOver{Node}, Due.begin()->second))
    Due.erase(Due.begin());
}

void announceWakeUp(TimerQueue &Timers, EffectList &Effects) {
  base::TimePoint Next =
      Timers.Due.empty() ? base::Never : Timers.Due.begin()->first;
  if (Next == Timers.Announced)
    return;
  Timers.Announced = Next;
  Effects.push_back(WakeAt{Next});
}

} // namespace

State makeState(const NodeIdentity &Self, std::uint64_t Seed) {
  State Node;
  Node.Self = Self;
  Node.Source.seed(Seed);
  Node.Routing.Self = Self.Name;
  Node.Routing.Region = Self.Region;
  Node.Routing.Domain = Self.Domain;
  if (Self.BackendLease > base::Duration{})
    Node.Routing.Lease = Self.BackendLease;
  membership::MemberRecord &Record = Node.Membership.Self;
  Record.Name = Self.Name;
  Record.PeerAddress = Self.PeerAddress;
  Record.Region = Self.Region;
  Record.Domain = Self.Domain;
  Record.Life = Self.Life;
  Node.Membership.Seeds = Self.Seeds;
  return Node;
}

void reduce(State &Node, const Event &Happened, EffectList &Effects) {
  Node.Now = Happened.Now;
  Node.Wall = Happened.Wall;
  if (std::holds_alternative<TimerFired>(Happened.Body))
    Node.Timers.Announced = base::Never;
  std::visit(Dispatch{Node, Effects}, Happened.Body);
  membership::flushRumours(Node, Effects);
  dropOver(Node);
  announceWakeUp(Node.Timers, Effects);
  stopWhenIdle(Node, Effects);
}

} // namespace currantgauge::core
