#include "currantgauge/core/operations.h"

#include "currantgauge/actions/guard.h"
#include "currantgauge/actions/quarantine.h"
#include "currantgauge/config/distribution.h"
#include "currantgauge/config/feed.h"
#include "currantgauge/config/push.h"
#include "currantgauge/config/queries.h"
#include "currantgauge/core/entry.h"
#include "currantgauge/core/explain.h"
#include "currantgauge/core/owner.h"
#include "currantgauge/core/status.h"
#include "currantgauge/membership/anti_entropy.h"
#include "currantgauge/membership/detector.h"
#include "currantgauge/membership/gossip.h"
#include "currantgauge/membership/member.h"
#include "currantgauge/membership/rumours.h"
#include "currantgauge/routing/ejection.h"
#include "currantgauge/routing/health.h"
#include "currantgauge/routing/registry.h"

#include <string>

namespace currantgauge::core {
namespace {

// Answers leave before the process ends.
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
    runQueued(Node, Gone.Service, Effects);
  }
  setTimer(Node.Timers, Node.Now + LeaseCheckInterval, LeaseCheck{});
}

void onTimer(State &Node, const GossipRound &, EffectList &Effects) {
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

// Rounds go on only while an exchange runs or an alarm fades.
void onTimer(State &Node, const HealthRound &, EffectList &Effects) {
  bool Again =
      routing::healthRound(Node.Routing, Node.Membership, Node.Now, Effects);
  if (Again && routing::armRound(Node.Routing))
    setTimer(Node.Timers, Node.Now + routing::HealthInterval, HealthRound{});
}

void onTimer(State &Node, const LeaveDue &, EffectList &Effects) {
  membership::announceLeaving(Node, Effects);
}

// The node ends when nothing is left, which reduce() looks at.
void onTimer(State &Node, const StopDue &, EffectList &Effects) {
  refuseWaitingOfPeers(Node, Effects);
}

void onTimer(State &Node, const StopAnswersDue &, EffectList &Effects) {
  answerBeforeStop(Node, Effects);
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

void onTimer(State &Node, const TrialDue &Due, EffectList &Effects) {
  onTrialDue(Node, Due, Effects);
}

void onTimer(State &Node, const AttemptDeadline &Due, EffectList &Effects) {
  onAttemptDeadline(Node, Due, Effects);
}

void onTimer(State &Node, const SlotsReopen &Due, EffectList &Effects) {
  runQueued(Node, Due.Service, Effects);
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

void logServer(const routing::BackendRecord &Record, EffectList &Effects) {
  Effects.push_back(LogLine{LogLevel::Info,
                            "backend_server",
                            {{"server", Record.Name.Value},
                             {"service", Record.Service.Value},
                             {"address", Record.Address.Value},
                             {"phase", phaseName(Record.Phase)}}});
}

// A node that was told of the backend server beside it takes no word of
// another address.
bool isExpected(const State &Node, const routing::Announcement &Word) {
  return Node.Self.Backend.empty() || Word.Address.empty() ||
         Word.Address == Node.Self.Backend;
}

OperatorReply answer(State &Node, const AskStatus &) { return statusOf(Node); }

OperatorReply answer(State &Node, const AskConfigLacks &Asked) {
  return config::makeLacksReply(Node, Asked);
}

OperatorReply answer(State &Node, const AskExplain &Asked) {
  return explain(Node, Asked.Request);
}

OperatorReply answer(State &Node, const AskDrain &Asked) {
  OperatorReply Reply;
  auto Found = Node.Routing.Servers.find(Asked.Server);
  if (Found == Node.Routing.Servers.end()) {
    Reply.Error = "no backend server named " + Asked.Server.Value;
    return Reply;
  }
  Found->second.Drained = !Asked.Undo;
  routing::markStale(Node.Routing, Found->second.Record.Service);
  Reply.Fields = {{"server", Asked.Server.Value},
                  {"drained", Asked.Undo ? "false" : "true"}};
  return Reply;
}

OperatorReply answer(State &Node, const AskQuarantine &) {
  return actions::listQuarantine(Node.Actions);
}

OperatorReply answer(State &Node, const AskQuarantineClear &Asked) {
  return actions::clearQuarantine(Node, Asked.Print);
}

template <typename Query> OperatorReply answer(State &, const Query &) {
  OperatorReply Reply;
  Reply.Error = "this node does not answer that yet";
  return Reply;
}

} // namespace

void onStarted(State &Node, const Started &, EffectList &Effects) {
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
  Node.StopSince = Node.Now;
  setTimer(Node.Timers, Node.Now + Node.Self.StopLinger, StopDue{});
  if (Node.Self.StopLimit > StopAllowance)
    setTimer(Node.Timers, Node.Now + Node.Self.StopLimit - StopAllowance,
             StopAnswersDue{});
  if (takesPeersUntil(Node) > Node.Now)
    setTimer(Node.Timers, takesPeersUntil(Node), LeaveDue{});
  else
    membership::announceLeaving(Node, Effects);
  Effects.push_back(BecomeReady{false});
  Effects.push_back(LogLine{LogLevel::Info, "stopping", {}});
}

void stopWhenIdle(State &Node, EffectList &Effects) {
  if (Node.Stopping && Node.Now >= Node.StopSince + Node.Self.StopLinger &&
      Node.Entry.Requests.empty() && Node.Owner.Attempts.empty() &&
      !actions::hasPendingWrites(Node))
    Effects.push_back(StopProcess{0});
}

// All due timers run in one event, so that a late wake-up costs no more.
void onTimerFired(State &Node, const TimerFired &, EffectList &Effects) {
  while (auto Due = takeDue(Node.Timers, Node.Now))
    std::visit([&](const auto &What) { onTimer(Node, What, Effects); }, *Due);
}

void onBackendAnnounced(State &Node, const BackendAnnounced &Announced,
                        EffectList &Effects) {
  const routing::Announcement &Word = Announced.Word;
  if (!isExpected(Node, Word) || routing::isOutlived(Node.Routing, Word)) {
    Effects.push_back(LogLine{LogLevel::Warn,
                              "announcement_ignored",
                              {{"server", Word.Name.Value},
                               {"service", Word.Service.Value},
                               {"address", Word.Address.Value}}});
    return;
  }
  for (const routing::BackendRecord &Gone :
       routing::replaceAt(Node.Routing, Word)) {
    actions::onServerWord(Node, Gone.Name,
                          base::Incarnation(Gone.Life.Value + 1), Effects);
    membership::queueRumour(Node.Membership, Gone);
    logServer(Gone, Effects);
  }
  if (Word.Phase != routing::BackendPhase::Gone)
    actions::onServerWord(Node, Word.Name, Word.Life, Effects);
  if (!routing::announce(Node.Routing, Word, Node.Now))
    return;
  const routing::BackendRecord &Record =
      Node.Routing.Servers.at(Word.Name).Record;
  membership::queueRumour(Node.Membership, Record);
  logServer(Record, Effects);
  runQueued(Node, Record.Service, Effects);
}

void onOperatorAsked(State &Node, const OperatorAsked &Asked,
                     EffectList &Effects) {
  if (const auto *Push = std::get_if<AskConfigPush>(&Asked.Query)) {
    if (Node.Self.Feed.Table.empty())
      return config::onPushRequested(Node, Asked.Call, *Push, Effects);
    OperatorReply Refused;
    Refused.Error = "the configuration of this fleet is announced by row " +
                    Node.Self.Feed.Table + "/" + Node.Self.Feed.Key +
                    " of the store and can't be pushed";
    Effects.push_back(AnswerOperator{Asked.Call, std::move(Refused)});
    return;
  }
  if (const auto *Wanted = std::get_if<AskConfig>(&Asked.Query))
    return config::onConfigRequested(Node, Asked.Call, *Wanted, Effects);
  if (std::holds_alternative<AskConfigHistory>(Asked.Query))
    return config::onHistoryRequested(Node, Asked.Call, Effects);
  OperatorReply Reply = std::visit(
      [&](const auto &Query) { return answer(Node, Query); }, Asked.Query);
  Effects.push_back(AnswerOperator{Asked.Call, std::move(Reply)});
}

} // namespace currantgauge::core
