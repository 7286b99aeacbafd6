#include "currantgauge/core/operations.h"

#include "currantgauge/actions/guard.h"
#include "currantgauge/actions/quarantine.h"
#include "currantgauge/config/distribution.h"
#include "currantgauge/config/feed.h"
#include "currantgauge/config/push.h"
#include "currantgauge/config/queries.h"
#include "currantgauge/core/entry.h"
#include "currantgauge/core/explain.h"
#include "currantgauge/core/fleet_limits.h"
#include "currantgauge/core/owner.h"
#include "currantgauge/core/status.h"
#include "currantgauge/membership/anti_entropy.h"
#include "currantgauge/membership/detector.h"
#include "currantgauge/membership/gossip.h"
#include "currantgauge/membership/member.h"
#include "currantgauge/membership/rumours.h"
#include "currantgauge/routing/departures.h"
#include "currantgauge/routing/ejection.h"
#include "currantgauge/routing/health.h"
#include "currantgauge/routing/registry.h"

#include <algorithm>
#include <cstdint>
#include <string>

namespace currantgauge::core {
namespace {

// Unanswered requests are refused this long before the stop limit expires, so
// that the refusals can still be sent.
constexpr base::Duration StopAllowance = base::milliseconds(300);
constexpr base::Duration LeaseCheckInterval = base::milliseconds(500);

void onTimer(State &Node, const LeaseCheck &, EffectList &Effects) {
  for (const routing::BackendRecord &Gone :
       routing::expireLeases(Node.Routing, Node.Now)) {
    membership::queueRumour(Node.Membership, Gone);
    Effects.push_back(LogLine{
        LogLevel::Warn,
        "lease_expired",
        {{"server", Gone.Name.Value}, {"service", Gone.Service.Value}}});
    startQueuedAttempts(Node, Gone.Service, Effects);
  }
  routing::forgetExpiredDepartures(Node.Routing, Node.Now);
  setTimer(Node.Timers, Node.Now + LeaseCheckInterval, LeaseCheck{});
}

void onTimer(State &Node, const GossipRound &, EffectList &Effects) {
  updateFleetRoster(Node, Effects);
  membership::startRound(Node, Effects);
  setTimer(Node.Timers, Node.Now + membership::GossipInterval, GossipRound{});
}

void onTimer(State &Node, const RumourFlush &, EffectList &Effects) {
  membership::onRumourFlush(Node);
}

void onTimer(State &Node, const SyncDue &, EffectList &Effects) {
  membership::syncRound(Node, Effects);
}

void onTimer(State &Node, const ProbeTimeout &Due, EffectList &Effects) {
  membership::onProbeTimeout(Node, Due, Effects);
}

// Rounds continue only while an exchange is running or a suspicion decays.
void onTimer(State &Node, const HealthRound &, EffectList &Effects) {
  bool Continue =
      routing::runHealthRound(Node.Routing, Node.Membership, Node.Now, Effects);
  if (Continue && routing::armHealthRound(Node.Routing))
    setTimer(Node.Timers, Node.Now + routing::HealthInterval, HealthRound{});
}

void leaveFleet(State &Node, EffectList &Effects) {
  membership::announceLeaving(Node, Effects);
  admission::noteLeaving(Node.FleetLimits.Roster, Node.Now);
}

void onTimer(State &Node, const LeaveDue &, EffectList &Effects) {
  leaveFleet(Node, Effects);
}

// reduce() exits the process once nothing is in flight.
void onTimer(State &Node, const StopDue &, EffectList &Effects) {
  refuseQueuedPeerAttempts(Node, Effects);
}

void onTimer(State &Node, const StopAnswersDue &, EffectList &Effects) {
  refuseUnansweredRequests(Node, Effects);
}

void onTimer(State &Node, const FeedDue &, EffectList &Effects) {
  config::onFeedDue(Node, Effects);
}

void onTimer(State &Node, const ConfigRound &, EffectList &Effects) {
  config::onConfigRound(Node, Effects);
}

void onTimer(State &Node, const ActionRound &, EffectList &Effects) {
  actions::onActionRound(Node, Effects);
}

void onTimer(State &Node, const RequestDeadline &Due, EffectList &Effects) {
  onRequestDeadline(Node, Due, Effects);
}

void onTimer(State &Node, const RetryDue &Due, EffectList &Effects) {
  onRetryDue(Node, Due, Effects);
}

void onTimer(State &Node, const TrialTimeout &Due, EffectList &Effects) {
  onTrialTimeout(Node, Due, Effects);
}

void onTimer(State &Node, const AttemptDeadline &Due, EffectList &Effects) {
  onAttemptDeadline(Node, Due, Effects);
}

void onTimer(State &Node, const PermitResend &Due, EffectList &Effects) {
  onPermitResend(Node, Due, Effects);
}

void onTimer(State &Node, const PermitTimeout &Due, EffectList &Effects) {
  onPermitTimeout(Node, Due, Effects);
}

void onTimer(State &Node, const SlotsReopen &Due, EffectList &Effects) {
  startQueuedAttempts(Node, Due.Service, Effects);
}

std::string phaseName(routing::BackendPhase Phase) {
  switch (Phase) {
  case routing::BackendPhase::Ready:
    return "ready";
  case routing::BackendPhase::Leaving:
    return "leaving";
  case routing::BackendPhase::Gone:
    return "gone";
  }
  return "";
}

std::string ignoreReasonName(routing::IgnoreReason Reason) {
  switch (Reason) {
  case routing::IgnoreReason::None:
    return "none";
  case routing::IgnoreReason::OlderIncarnation:
    return "older_incarnation";
  case routing::IgnoreReason::OlderSequence:
    return "older_sequence";
  case routing::IgnoreReason::AnnouncedLeaving:
    return "announced_leaving";
  case routing::IgnoreReason::AnnouncedGone:
    return "announced_gone";
  }
  return "";
}

void logAnnouncement(LogLevel Level, const std::string &Message,
                     const std::string &Reason,
                     const routing::Announcement &Announcement,
                     EffectList &Effects) {
  Effects.push_back(
      LogLine{Level,
              Message,
              {{"server", Announcement.Name.Value},
               {"reason", Reason},
               {"service", Announcement.Service.Value},
               {"address", Announcement.Address.Value},
               {"phase", phaseName(Announcement.Phase)},
               {"incarnation", std::to_string(Announcement.Incarnation.Value)},
               {"sequence", std::to_string(Announcement.Sequence)}}});
}

// An announcement may be ignored because it arrived late or because the server
// sent it after it had announced that it leaves; the sequence number tells.
void logIgnoredAnnouncement(const State &Node,
                            const routing::Announcement &Announcement,
                            EffectList &Effects) {
  routing::IgnoreReason Reason =
      routing::reasonToIgnore(Node.Routing, Announcement, Node.Now);
  if (Reason != routing::IgnoreReason::None)
    logAnnouncement(LogLevel::Info, "announcement_ignored",
                    ignoreReasonName(Reason), Announcement, Effects);
  if (Announcement.Phase == routing::BackendPhase::Gone &&
      !Node.Routing.Owned.contains(Announcement.Name))
    logAnnouncement(LogLevel::Info, "departure_acknowledged", "unknown_server",
                    Announcement, Effects);
}

void logServer(const routing::BackendRecord &Record, std::uint64_t Sequence,
               EffectList &Effects) {
  Effects.push_back(
      LogLine{LogLevel::Info,
              "backend_server",
              {{"server", Record.Name.Value},
               {"service", Record.Service.Value},
               {"address", Record.Address.Value},
               {"phase", phaseName(Record.Phase)},
               {"incarnation", std::to_string(Record.Incarnation.Value)},
               {"sequence", std::to_string(Sequence)}}});
}

// A node that is configured with the address of its backend server ignores
// announcements of other addresses. An announcement without one is accepted.
bool isExpectedAddress(const State &Node,
                       const routing::Announcement &Announcement) {
  return Node.Self.BackendAddress.empty() || Announcement.Address.empty() ||
         Announcement.Address == Node.Self.BackendAddress;
}

// A server that announces its exit without its incarnation ends every process
// that it had until now. A known one may seem to start later, by its own clock.
routing::Announcement completeDeparture(const State &Node,
                                        routing::Announcement Announcement) {
  if (Announcement.Phase != routing::BackendPhase::Gone ||
      Announcement.Incarnation != base::Incarnation() ||
      !Announcement.IncarnationIsStartTime)
    return Announcement;
  Announcement.Incarnation =
      base::Incarnation(static_cast<std::uint64_t>(Node.WallTime.Millis));
  auto It = Node.Routing.Servers.find(Announcement.Name);
  if (It != Node.Routing.Servers.end())
    Announcement.Incarnation =
        std::max(Announcement.Incarnation, It->second.Record.Incarnation);
  return Announcement;
}

OperatorReply runCommand(State &Node, const StatusCommand &) {
  return makeStatusReply(Node);
}

OperatorReply runCommand(State &Node, const MissingPartsCommand &Command) {
  return config::makeLacksReply(Node, Command);
}

OperatorReply runCommand(State &Node, const ExplainCommand &Command) {
  return explainRequest(Node, Command.Request);
}

OperatorReply runCommand(State &Node, const DrainCommand &Command) {
  OperatorReply Reply;
  auto It = Node.Routing.Servers.find(Command.Server);
  if (It == Node.Routing.Servers.end()) {
    Reply.Error = "no backend server named " + Command.Server.Value;
    return Reply;
  }
  It->second.Drained = !Command.Undo;
  routing::markStale(Node.Routing, It->second.Record.Service);
  Reply.Fields = {{"server", Command.Server.Value},
                  {"drained", Command.Undo ? "false" : "true"}};
  return Reply;
}

OperatorReply runCommand(State &Node, const QuarantineListCommand &) {
  return actions::listQuarantine(Node.Actions);
}

OperatorReply runCommand(State &Node, const QuarantineClearCommand &Command) {
  return actions::clearQuarantine(Node, Command.Fingerprint);
}

template <typename Command> OperatorReply runCommand(State &, const Command &) {
  OperatorReply Reply;
  Reply.Error = "this node does not support the command yet";
  return Reply;
}

} // namespace

void onStarted(State &Node, const Started &, EffectList &Effects) {
  Node.StartedAt = Node.Now;
  setTimer(Node.Timers, Node.Now + LeaseCheckInterval, LeaseCheck{});
  setTimer(Node.Timers, Node.Now, GossipRound{});
  setTimer(Node.Timers, Node.Now, ActionRound{});
  config::scheduleFirstRound(Node);
  config::startFeed(Node, Effects);
  Effects.push_back(LogLine{LogLevel::Info,
                            "started",
                            {{"node", Node.Self.Name.Value},
                             {"region", Node.Self.Region.Value},
                             {"failure_domain", Node.Self.Domain.Value}}});
}

void onStopRequested(State &Node, const StopRequested &, EffectList &Effects) {
  Node.Stopping = true;
  Node.StopRequestedAt = Node.Now;
  setTimer(Node.Timers, Node.Now + Node.Self.StopLinger, StopDue{});
  if (Node.Self.StopLimit > StopAllowance)
    setTimer(Node.Timers, Node.Now + Node.Self.StopLimit - StopAllowance,
             StopAnswersDue{});
  if (peerAttemptsAcceptedUntil(Node) > Node.Now)
    setTimer(Node.Timers, peerAttemptsAcceptedUntil(Node), LeaveDue{});
  else
    leaveFleet(Node, Effects);
  Effects.push_back(SetReady{false});
  Effects.push_back(LogLine{LogLevel::Info, "stopping", {}});
}

void stopWhenIdle(State &Node, EffectList &Effects) {
  if (Node.Stopping &&
      Node.Now >= Node.StopRequestedAt + Node.Self.StopLinger &&
      Node.Entry.Requests.empty() && Node.Owner.Attempts.empty() &&
      !actions::hasPendingWrites(Node))
    Effects.push_back(StopProcess{0});
}

// Runs all due timers in one event, so that a late wake-up costs no extra
// events.
void onTimerFired(State &Node, const TimerFired &, EffectList &Effects) {
  while (auto Due = takeDueTimer(Node.Timers, Node.Now))
    std::visit([&](const auto &Timer) { onTimer(Node, Timer, Effects); }, *Due);
}

void onBackendAnnounced(State &Node, const BackendAnnounced &Event,
                        EffectList &Effects) {
  const routing::Announcement Announcement =
      completeDeparture(Node, Event.Announcement);
  if (!isExpectedAddress(Node, Announcement))
    return logAnnouncement(LogLevel::Warn, "announcement_ignored",
                           "unexpected_address", Announcement, Effects);
  if (routing::isSuperseded(Node.Routing, Announcement))
    return logAnnouncement(LogLevel::Warn, "announcement_ignored",
                           "address_taken_over", Announcement, Effects);
  for (const routing::BackendRecord &Gone :
       routing::retireReplacedServers(Node.Routing, Announcement)) {
    actions::onServerAnnounced(Node, Gone.Name,
                               base::Incarnation(Gone.Incarnation.Value + 1),
                               Effects);
    membership::queueRumour(Node.Membership, Gone);
    logServer(Gone, 0, Effects);
  }
  if (Announcement.Phase != routing::BackendPhase::Gone)
    actions::onServerAnnounced(Node, Announcement.Name,
                               Announcement.Incarnation, Effects);
  logIgnoredAnnouncement(Node, Announcement, Effects);
  if (!routing::applyAnnouncement(Node.Routing, Announcement, Node.Now))
    return;
  const routing::BackendRecord &Record =
      Node.Routing.Servers.at(Announcement.Name).Record;
  membership::queueRumour(Node.Membership, Record);
  logServer(Record, Announcement.Sequence, Effects);
  startQueuedAttempts(Node, Record.Service, Effects);
}

void onOperatorCommand(State &Node, const OperatorCommandReceived &Received,
                       EffectList &Effects) {
  if (const auto *Push = std::get_if<ConfigPushCommand>(&Received.Command)) {
    if (Node.Self.Feed.Table.empty())
      return config::onPushRequested(Node, Received.Call, *Push, Effects);
    OperatorReply Refused;
    Refused.Error = "the configuration of this fleet is set by store row " +
                    Node.Self.Feed.Table + "/" + Node.Self.Feed.Key +
                    "; pushing a configuration is disabled";
    Effects.push_back(AnswerOperator{Received.Call, std::move(Refused)});
    return;
  }
  if (const auto *Show = std::get_if<ConfigShowCommand>(&Received.Command))
    return config::onConfigRequested(Node, Received.Call, *Show, Effects);
  if (std::holds_alternative<ConfigHistoryCommand>(Received.Command))
    return config::onHistoryRequested(Node, Received.Call, Effects);
  OperatorReply Reply =
      std::visit([&](const auto &Command) { return runCommand(Node, Command); },
                 Received.Command);
  Effects.push_back(AnswerOperator{Received.Call, std::move(Reply)});
}

} // namespace currantgauge::core
