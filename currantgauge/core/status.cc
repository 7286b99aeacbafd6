#include "currantgauge/core/status.h"

#include "currantgauge/admission/pressure.h"
#include "currantgauge/config/queries.h"
#include "currantgauge/core/fleet_limits.h"
#include "currantgauge/membership/member.h"
#include "currantgauge/routing/health_report.h"

#include <cmath>
#include <cstdint>
#include <string>
#include <utility>

namespace currantgauge::core {
namespace {

constexpr std::int64_t MicrosPerMilli = 1000;

std::string formatAge(base::Duration Age) {
  return std::to_string(Age.Micros / MicrosPerMilli) + "ms";
}

std::string formatShare(double Share) {
  return std::to_string(std::lround(100 * Share)) + "%";
}

std::string rankName(const State &Node, std::uint32_t Order) {
  if (Node.Config.Current)
    for (const auto &[Name, Rank] : Node.Config.Current->Ranks)
      if (Rank.Order == Order)
        return Name.Value;
  return "order " + std::to_string(Order);
}

OperatorTable makeNodeTable(const State &Node) {
  OperatorTable Nodes{
      "nodes",
      {"node", "region", "failure_domain", "phase", "path", "config"},
      {}};
  for (const auto &[Name, Member] : Node.Membership.Members)
    Nodes.Rows.push_back(
        {Name.Value, Member.Record.Region.Value, Member.Record.Domain.Value,
         std::string(membership::phaseName(Member.Record.Phase)),
         Member.PathFailed ? "failed" : "ok",
         std::to_string(Member.Record.Version.Value)});
  return Nodes;
}

// Lists the queues of the services whose servers this node owns.
OperatorTable makeQueueTable(const State &Node) {
  OperatorTable Queues{"queues",
                       {"service", "rank", "waiting", "bytes", "running",
                        "open slots", "pressed", "admitted"},
                       {}};
  for (const auto &[Service, Queue] : Node.Admission.Queues)
    for (const auto &[Order, Rank] : Queue.ByRank)
      Queues.Rows.push_back(
          {Service.Value, rankName(Node, Order), std::to_string(Rank.Length),
           std::to_string(Rank.Bytes.Bytes), std::to_string(Rank.Running),
           std::to_string(Queue.OpenSlots),
           admission::isPressed(Rank, Node.Now) ? "yes" : "no",
           formatShare(Rank.AdmittedShare)});
  return Queues;
}

// Lists the ranks of which an owner refuses a share of the attempts, as it last
// reported to this entry. The share decays with the age of the report; expired
// reports are omitted.
OperatorTable makePressureTable(const State &Node) {
  OperatorTable Pressures{
      "pressure",
      {"service", "rank", "owner", "held back", "queue", "heard"},
      {}};
  for (const auto &[Key, Known] : Node.Admission.RankPressures) {
    double Cost = admission::pressureCost(Node.Admission, Key.Service,
                                          Key.Owner, Key.RankOrder, Node.Now);
    if (Cost > 0)
      Pressures.Rows.push_back(
          {Key.Service.Value, rankName(Node, Key.RankOrder), Key.Owner.Value,
           formatShare(Cost), formatAge(Known.Pressure.QueueDelay),
           formatAge(Node.Now - Known.ReceivedAt) + " ago"});
  }
  return Pressures;
}

std::string formatStoreState(const State &Node) {
  if (Node.Self.Embedded)
    return "embedded";
  if (Node.Store.Calls == 0)
    return "not asked yet";
  return Node.Store.ConsecutiveFailures == 0 ? "reachable" : "out of reach";
}

OperatorTable makeStoreTable(const State &Node) {
  const StoreStats &Stats = Node.Store;
  std::string LastAnswerAge =
      Stats.LastAnswerTime == base::Never
          ? "never"
          : formatAge(Node.Now - Stats.LastAnswerTime) + " ago";
  return OperatorTable{
      "store",
      {"state", "last answer", "calls", "refused", "answers lost",
       "failures in a row"},
      {{formatStoreState(Node), LastAnswerAge, std::to_string(Stats.Calls),
        std::to_string(Stats.Unavailable), std::to_string(Stats.UnknownOutcome),
        std::to_string(Stats.ConsecutiveFailures)}}};
}

} // namespace

void noteStoreAnswer(State &Node, const StoreAnswered &Answer) {
  StoreStats &Stats = Node.Store;
  ++Stats.Calls;
  bool IsUnavailable = Answer.Result.Status == base::StoreStatus::Unavailable;
  bool IsUnknown = Answer.Result.Status == base::StoreStatus::Unknown;
  Stats.Unavailable += IsUnavailable ? 1 : 0;
  Stats.UnknownOutcome += IsUnknown ? 1 : 0;
  Stats.ConsecutiveFailures =
      IsUnavailable || IsUnknown ? Stats.ConsecutiveFailures + 1 : 0;
  if (Stats.ConsecutiveFailures == 0)
    Stats.LastAnswerTime = Node.Now;
}

void reportMalformedRow(State &Node, const std::string &Error,
                        EffectList &Effects) {
  Effects.push_back(Measure{Metric::Refusals, "bad_row", "", 1});
  if (std::exchange(Node.Store.LastRowError, Error) != Error)
    Effects.push_back(
        LogLine{LogLevel::Warn, "row_unreadable", {{"error", Error}}});
}

void reportRowError(State &Node, const StoreAnswered &Answer,
                    EffectList &Effects) {
  if (!Answer.Result.RowError.empty())
    reportMalformedRow(Node, Answer.Result.RowError, Effects);
}

OperatorReply makeStatusReply(const State &Node) {
  OperatorReply Reply;
  Reply.Fields = {
      {"node", Node.Self.Name.Value},
      {"region", Node.Self.Region.Value},
      {"failure_domain", Node.Self.Domain.Value},
      {"config_version", std::to_string(Node.Config.Document.Version.Value)},
      {"ready", Node.Ready ? "true" : "false"},
      {"store", formatStoreState(Node)},
      {"stopping", Node.Stopping ? "true" : "false"},
  };
  Reply.Tables = {
      routing::makeHealthTable(Node.Routing, base::ServiceName(), Node.Now),
      makeQueueTable(Node),
      makePressureTable(Node),
      makeFleetLimitTable(Node),
      makeNodeTable(Node),
      config::makeVersionTable(Node),
      makeStoreTable(Node),
  };
  return Reply;
}

} // namespace currantgauge::core
