#include "currantgauge/config/queries.h"

#include "currantgauge/config/collect.h"
#include "currantgauge/config/distribution.h"
#include "currantgauge/config/load.h"
#include "currantgauge/config/part_groups.h"
#include "currantgauge/config/push.h"
#include "currantgauge/config/time_text.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace currantgauge::config {
namespace {

constexpr std::uint32_t MaxShownVersions = 50; // read from the store

core::OperatorTable makeHistoryTable() {
  return core::OperatorTable{
      "versions", {"version", "author", "when", "push"}, {}};
}

void addVersion(core::OperatorTable &Table, const HeadRow &Row) {
  Table.Rows.push_back({std::to_string(Row.Version.Value), Row.Author,
                        formatTime(Row.AcceptedAt), Row.Push.Value});
}

void answerWithError(base::CallId OperatorCall, const std::string &Text,
                     core::EffectList &Effects) {
  core::OperatorReply Reply;
  Reply.Error = Text;
  Effects.push_back(core::AnswerOperator{OperatorCall, std::move(Reply)});
}

void answerHistory(base::CallId OperatorCall, const base::StoreResult &Result,
                   core::EffectList &Effects) {
  if (Result.Status != base::StoreStatus::Done)
    return answerWithError(OperatorCall, "the store does not answer; try again",
                           Effects);
  core::OperatorReply Reply;
  Reply.Tables.push_back(makeHistoryTable());
  for (const base::StoreRow &Row : Result.Rows)
    if (Row.Key.starts_with(HistoryPrefix))
      if (std::optional<HeadRow> Version = parseHeadRow(Row))
        addVersion(Reply.Tables.front(), *Version);
  Effects.push_back(core::AnswerOperator{OperatorCall, std::move(Reply)});
}

// Starts to load the version whose history row was read, or answers with an
// error. The load answers the operator when it ends.
void answerVersion(core::State &Node, base::CallId OperatorCall,
                   const base::StoreResult &Result, core::EffectList &Effects) {
  if (Result.Status == base::StoreStatus::NotFound)
    return answerWithError(OperatorCall,
                           "this version does not exist or is no longer kept",
                           Effects);
  std::optional<HeadRow> Row;
  if (Result.Status == base::StoreStatus::Done && !Result.Rows.empty())
    Row = parseHeadRow(Result.Rows.front());
  if (!Row)
    return answerWithError(OperatorCall, "the store does not answer; try again",
                           Effects);
  startLoad(Node, *Row, OperatorCall, Effects);
}

bool onStoreQueryAnswered(core::State &Node, const core::StoreAnswered &Answer,
                          core::EffectList &Effects) {
  auto It = Node.Config.StoreQueries.find(Answer.Call);
  if (It == Node.Config.StoreQueries.end())
    return false;
  StoreQuery Query = It->second;
  Node.Config.StoreQueries.erase(It);
  if (Query.IsHistory)
    answerHistory(Query.OperatorCall, Answer.Result, Effects);
  else
    answerVersion(Node, Query.OperatorCall, Answer.Result, Effects);
  return true;
}

} // namespace

void onConfigRequested(core::State &Node, base::CallId OperatorCall,
                       const core::ConfigShowCommand &Query,
                       core::EffectList &Effects) {
  const ConfigDocument &InForce = Node.Config.Document;
  if (Query.Version.Value == 0 || Query.Version == InForce.Version) {
    if (!InForce.Parts)
      return answerWithError(OperatorCall, "this node has no configuration yet",
                             Effects);
    Effects.push_back(
        core::AnswerOperator{OperatorCall, makeDocumentReply(InForce)});
    return;
  }
  for (const ConfigDocument &Document : Node.Config.EmbeddedHistory)
    if (Document.Version == Query.Version) {
      Effects.push_back(
          core::AnswerOperator{OperatorCall, makeDocumentReply(Document)});
      return;
    }
  if (Node.Self.Embedded)
    return answerWithError(OperatorCall,
                           "this version does not exist or is no longer kept",
                           Effects);
  base::CallId Call = callStore(
      Node, base::ReadRow{ConfigTable, getHistoryKey(Query.Version)}, Effects);
  Node.Config.StoreQueries[Call] = StoreQuery{OperatorCall, false};
}

void onHistoryRequested(core::State &Node, base::CallId OperatorCall,
                        core::EffectList &Effects) {
  if (!Node.Self.Embedded) {
    base::CallId Call = callStore(
        Node, base::ScanRows{ConfigTable, HistoryPrefix, MaxShownVersions},
        Effects);
    Node.Config.StoreQueries[Call] = StoreQuery{OperatorCall, true};
    return;
  }
  core::OperatorReply Reply;
  Reply.Tables.push_back(makeHistoryTable());
  for (const ConfigDocument &Document : Node.Config.EmbeddedHistory)
    addVersion(Reply.Tables.front(), HeadRow{Document.Version,
                                             Document.Push,
                                             Document.Author,
                                             Document.AcceptedAt,
                                             {},
                                             ""});
  Effects.push_back(core::AnswerOperator{OperatorCall, std::move(Reply)});
}

core::OperatorReply makeLacksReply(const core::State &Node,
                                   const core::MissingPartsCommand &Query) {
  PartSet EmptySet;
  const PartSetPtr &Parts = Node.Config.Document.Parts;
  Manifest OwnHashes =
      Query.Groups.empty()
          ? hashGroups(Parts ? *Parts : EmptySet)
          : listPartsInGroups(Parts ? *Parts : EmptySet,
                              {Query.Groups.begin(), Query.Groups.end()});
  core::OperatorReply Reply;
  Reply.Fields = {
      {"version", std::to_string(Node.Config.Document.Version.Value)}};
  core::OperatorTable Lacks{"lacks", {"name"}, {}};
  core::OperatorTable Extra{"extra", {"name"}, {}};
  for (const auto &[Name, Hash] : Query.Hashes) {
    auto It = OwnHashes.find(Name);
    if (It == OwnHashes.end() || It->second != Hash)
      Lacks.Rows.push_back(std::vector<std::string>{Name});
  }
  for (const auto &[Name, Hash] : OwnHashes)
    if (!Query.Hashes.contains(Name))
      Extra.Rows.push_back(std::vector<std::string>{Name});
  Reply.Tables = {std::move(Lacks), std::move(Extra)};
  return Reply;
}

void onConfigParsed(core::State &Node, const core::ConfigParsed &Parsed,
                    core::EffectList &Effects) {
  if (!onPushParsed(Node, Parsed, Effects))
    onCatchUpParsed(Node, Parsed, Effects);
}

bool onStoreAnswered(core::State &Node, const core::StoreAnswered &Answer,
                     core::EffectList &Effects) {
  return onPushAnswered(Node, Answer, Effects) ||
         onLoadAnswered(Node, Answer, Effects) ||
         onCollectAnswered(Node, Answer, Effects) ||
         onCatchUpHeadRead(Node, Answer, Effects) ||
         onStoreQueryAnswered(Node, Answer, Effects);
}

core::OperatorTable makeVersionTable(const core::State &Node) {
  struct VersionCounts {
    std::size_t Nodes = 0;
    std::size_t InForce = 0;
    base::ConfigVersion Lowest{UINT64_MAX};
  };
  std::map<base::DomainName, VersionCounts> ByDomain;
  auto CountNode = [&](const membership::MemberRecord &Record) {
    VersionCounts &Domain = ByDomain[Record.Domain];
    ++Domain.Nodes;
    Domain.InForce += Record.Version >= Node.Config.Document.Version ? 1 : 0;
    Domain.Lowest = std::min(Domain.Lowest, Record.Version);
  };
  CountNode(Node.Membership.Self);
  for (const auto &[Name, Member] : Node.Membership.Members)
    if (Member.Record.Phase == membership::MemberPhase::Alive ||
        Member.Record.Phase == membership::MemberPhase::Suspect)
      CountNode(Member.Record);
  core::OperatorTable Table{
      "configuration", {"failure domain", "nodes", "in force", "lowest"}, {}};
  for (const auto &[Domain, Counts] : ByDomain)
    Table.Rows.push_back({Domain.Value, std::to_string(Counts.Nodes),
                          std::to_string(Counts.InForce),
                          std::to_string(Counts.Lowest.Value)});
  return Table;
}

} // namespace currantgauge::config
