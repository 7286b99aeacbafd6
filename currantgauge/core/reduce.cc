#include "currantgauge/core/reduce.h"

#include "currantgauge/actions/action_ids.h"
#include "currantgauge/actions/claim_store.h"
#include "currantgauge/config/distribution.h"
#include "currantgauge/config/feed.h"
#include "currantgauge/config/queries.h"
#include "currantgauge/core/entry.h"
#include "currantgauge/core/fleet_limits.h"
#include "currantgauge/core/operations.h"
#include "currantgauge/core/owner.h"
#include "currantgauge/core/status.h"
#include "currantgauge/core/store_era.h"
#include "currantgauge/membership/detector.h"
#include "currantgauge/membership/gossip.h"
#include "currantgauge/membership/rumours.h"
#include "currantgauge/membership/seeds.h"

namespace currantgauge::core {
namespace {

// Has one overload per event, which calls the component that handles it.
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
  void operator()(const AnswerBufferFull &E) {
    onAnswerBufferFull(Node, E, Effects);
  }
  void operator()(const AttemptEnded &E) { onAttemptEnded(Node, E, Effects); }
  void operator()(const AttemptArrived &E) {
    onAttemptArrived(Node, E, Effects);
  }
  void operator()(const AttemptCancelled &E) {
    onAttemptCancelled(Node, E, Effects);
  }
  void operator()(const ExchangeEnded &E) { onExchangeEnded(Node, E, Effects); }
  void operator()(const BackendAnnounced &E) {
    onBackendAnnounced(Node, E, Effects);
  }
  void operator()(const PeerMessageArrived &E) {
    membership::onMessage(Node, E.Message, Effects);
    config::noteVersion(Node, E.Message, Effects);
    onPermitMessage(Node, E.Message, Effects);
  }
  void operator()(const PeerSendFailed &E) {
    membership::onSendFailed(Node, E, Effects);
    onPermitSendFailed(Node, E, Effects);
  }
  // Each call belongs to one component, which recognizes its CallId.
  void operator()(const StoreAnswered &E) {
    bool IsRestored = noteStoreEra(Node, E, Effects);
    noteStoreAnswer(Node, E);
    reportRowError(Node, E, Effects);
    if (!config::onFeedAnswered(Node, E, Effects) &&
        !actions::onStoreAnswered(Node, E, Effects) &&
        !config::onStoreAnswered(Node, E, Effects))
      membership::onStoreAnswered(Node, E, Effects);
    if (!IsRestored)
      return;
    config::onStoreRestored(Node, Effects);
    membership::onStoreRestored(Node);
  }
  void operator()(const ConfigParsed &E) {
    if (!config::onFeedParsed(Node, E, Effects))
      config::onConfigParsed(Node, E, Effects);
  }
  void operator()(const ConfigFetched &E) {
    config::onConfigFetched(Node, E, Effects);
  }
  void operator()(const OperatorCommandReceived &E) {
    onOperatorCommand(Node, E, Effects);
  }
  void operator()(const ActionIdRequested &E) {
    actions::onActionIdRequested(Node, E, Effects);
  }
};

// Returns whether the request or attempt of a timer has already ended.
struct IsObsolete {
  const State &Node;

  bool operator()(const RequestDeadline &Due) const {
    return !this->Node.Entry.Requests.contains(Due.Request);
  }
  bool operator()(const RetryDue &Due) const {
    return !this->Node.Entry.Requests.contains(Due.Request);
  }
  bool operator()(const TrialTimeout &Due) const {
    return !this->Node.Entry.Requests.contains(Due.Request);
  }
  bool operator()(const AttemptDeadline &Due) const {
    return !this->Node.Owner.Attempts.contains(Due.Attempt);
  }
  bool operator()(const PermitResend &Due) const {
    return !this->Node.FleetLimits.Asks.contains(Due.Sequence);
  }
  bool operator()(const PermitTimeout &Due) const {
    auto It = this->Node.Entry.Requests.find(Due.Request);
    return It == this->Node.Entry.Requests.end() || !It->second.AwaitsPermit;
  }
  template <typename AnyTimer> bool operator()(const AnyTimer &) const {
    return false;
  }
};

// Removes obsolete timers from the front of the queue, so that they cause no
// wake-ups.
void dropObsoleteTimers(State &Node) {
  auto &Pending = Node.Timers.Pending;
  while (!Pending.empty() &&
         std::visit(IsObsolete{Node}, Pending.begin()->second))
    Pending.erase(Pending.begin());
}

void scheduleWakeUp(TimerQueue &Timers, EffectList &Effects) {
  base::TimePoint Next =
      Timers.Pending.empty() ? base::Never : Timers.Pending.begin()->first;
  if (Next == Timers.WakeTime)
    return;
  Timers.WakeTime = Next;
  Effects.push_back(WakeAt{Next});
}

} // namespace

State makeState(const NodeIdentity &Self, std::uint64_t Seed) {
  State Node;
  Node.Self = Self;
  Node.Random.seed(Seed);
  Node.Routing.Self = Self.Name;
  Node.Routing.Region = Self.Region;
  Node.Routing.Domain = Self.Domain;
  Node.Routing.UnevenServers = Self.Policy.UnevenServers;
  if (Self.BackendLease > base::Duration{})
    Node.Routing.Lease = Self.BackendLease;
  membership::MemberRecord &Record = Node.Membership.Self;
  Record.Name = Self.Name;
  Record.PeerAddress = Self.PeerAddress;
  Record.Region = Self.Region;
  Record.Domain = Self.Domain;
  Record.Incarnation = Self.Incarnation;
  Node.Membership.Seeds = Self.Seeds;
  // Without seeds, other nodes are found through the platform's store.
  Node.FleetLimits.Roster = admission::makeRoster(
      Self.Name, Self.FirstStart, !Self.Seeds.empty() || !Self.Embedded);
  Node.FleetLimits.Origin =
      Self.Origin != 0 ? Self.Origin : Self.Incarnation.Value;
  return Node;
}

void reduce(State &Node, const Event &NewEvent, EffectList &Effects) {
  Node.Now = NewEvent.Now;
  Node.WallTime = NewEvent.WallTime;
  if (std::holds_alternative<TimerFired>(NewEvent.Body))
    Node.Timers.WakeTime = base::Never;
  std::visit(Dispatch{Node, Effects}, NewEvent.Body);
  membership::flushRumours(Node, Effects);
  dropObsoleteTimers(Node);
  scheduleWakeUp(Node.Timers, Effects);
  stopWhenIdle(Node, Effects);
}

} // namespace currantgauge::core
