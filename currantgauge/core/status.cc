#include "currantgauge/core/status.h"

#include "currantgauge/admission/pressure.h"
#include "currantgauge/config/queries.h"
#include "currantgauge/membership/member.h"
#include "currantgauge/routing/health_report.h"

#include <cmath>
#include <cstdint>
#include <string>
#include <utility>

namespace currantgauge::core {
namespace {

constexpr std::int64_t MicrosInMilli = 1000;

std::string formatAge(base::Duration Age) {
  return std::to_string(Age.Micros / MicrosInMilli) + "ms";
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

OperatorTable nodesTable(const State &Node) {
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

// Queues are those of the servers that this node owns.
OperatorTable queuesTable(const State &Node) {
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
           formatShare(Rank.Keep)});
  return Queues;
}

// What other owners told this entry; what faded away is left out.
OperatorTable pressureTable(const State &Node) {
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
           formatShare(Cost), formatAge(Known.Load.QueueDelay),
           formatAge(Node.Now - Known.Heard) + " ago"});
  }
  return Pressures;
}

std::string storeWord(const State &Node) {
  if (Node.Self.Embedded)
    return "embedded";
  if (Node.Store.Calls == 0)
    return "not asked yet";
  return Node.Store.FailuresInRow == 0 ? "reachable" : "out of reach";
}

OperatorTable storeTable(const State &Node) {
  const StoreSeen &Seen = Node.Store;
  std::string Last = Seen.LastAnswer == base::Never
                         ? "never"
                         : formatAge(Node.Now - Seen.LastAnswer) + " ago";
  return OperatorTable{
      "store",
      {"state", "last answer", "calls", "refused", "answers lost",
       "failures in a row"},
      {{storeWord(Node), Last, std::to_string(Seen.Calls),
        std::to_string(Seen.Refused), std::to_string(Seen.Lost),
        std::to_string(Seen.FailuresInRow)}}};
}

} // namespace

void noteStoreAnswer(State &Node, const StoreAnswered &Answer) {
  StoreSeen &Seen = Node.Store;
  ++Seen.Calls;
  bool IsRefused = Answer.Result.Status == base::StoreStatus::Unavailable;
  bool IsLost = Answer.Result.Status == base::StoreStatus::Unknown;
  Seen.Refused += IsRefused ? 1 : 0;
  Seen.Lost += IsLost ? 1 : 0;
  Seen.FailuresInRow = IsRefused || IsLost ? Seen.FailuresInRow + 1 : 0;
  if (Seen.FailuresInRow == 0)
    Seen.LastAnswer = Node.Now;
}

void tellUnreadable(State &Node, const StoreAnswered &Answer,
                    EffectList &Effects) {
  const std::string &Wrong = Answer.Result.Unreadable;
  if (Wrong.empty())
    return;
  Effects.push_back(Measure{Metric::Refusals, "bad_row", "", 1});
  if (std::exchange(Node.Store.Unreadable, Wrong) != Wrong)
    Effects.push_back(
        LogLine{LogLevel::Warn, "row_unreadable", {{"error", Wrong}}});
}

OperatorReply statusOf(const State &Node) {
  OperatorReply Reply;
  Reply.Fields = {
      {"node", Node.Self.Name.Value},
      {"region", Node.Self.Region.Value},
      {"failure_domain", Node.Self.Domain.Value},
      {"config_version", std::to_string(Node.Config.Document.Version.Value)},
      {"ready", Node.Ready ? "true" : "false"},
      {"store", storeWord(Node)},
      {"stopping", Node.Stopping ? "true" : "false"},
  };
  Reply.Tables = {
      routing::healthRows(Node.Routing, base::ServiceName(), Node.Now),
      queuesTable(Node),
      pressureTable(Node),
      nodesTable(Node),
      config::makeVersionTable(Node),
      storeTable(Node),
  };
  return Reply;
}

} // namespace currantgauge::core
