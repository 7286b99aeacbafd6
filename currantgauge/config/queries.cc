#include "currantgauge/config/queries.h"

#include "currantgauge/config/collect.h"
#include "currantgauge/config/load.h"
#include "currantgauge/config/part_groups.h"
#include "currantgauge/config/push.h"
#include "currantgauge/config/spread.h"
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

constexpr std::uint32_t ShownVersions = 50;

core::OperatorTable historyTable() {
  return core::OperatorTable{
      "versions", {"version", "author", "when", "push"}, {}};
}

void addVersion(core::OperatorTable &Table, const HeadRow &Row) {
  Table.Rows.push_back({std::to_string(Row.Version.Value), Row.Author,
                        formatTime(Row.When), Row.Push.Value});
}

void answerWithError(base::CallId Operator, const std::string &Text,
                     core::EffectList &Effects) {
  core::OperatorReply Reply;
  Reply.Error = Text;
  Effects.push_back(core::AnswerOperator{Operator, std::move(Reply)});
}

void answerHistory(base::CallId Operator, const base::StoreResult &Result,
                   core::EffectList &Effects) {
  if (Result.Status != base::StoreStatus::Done)
    return answerWithError(Operator, "the store does not answer; try again",
                           Effects);
  core::OperatorReply Reply;
  Reply.Tables.push_back(historyTable());
  for (const base::StoreRow &Row : Result.Rows)
    if (Row.Key.starts_with(HistoryPrefix))
      if (std::optional<HeadRow> Version = parseHeadRow(Row))
        addVersion(Reply.Tables.front(), *Version);
  Effects.push_back(core::AnswerOperator{Operator, std::move(Reply)});
}

// One row was read: the version that an operator wants to see.
void answerVersion(core::State &Node, base::CallId Operator,
                   const base::StoreResult &Result, core::EffectList &Effects) {
  if (Result.Status == base::StoreStatus::NotFound)
    return answerWithError(Operator, "there is no such version", Effects);
  std::optional<HeadRow> Row;
  if (Result.Status == base::StoreStatus::Done && !Result.Rows.empty())
    Row = parseHeadRow(Result.Rows.front());
  if (!Row)
    return answerWithError(Operator, "the store does not answer; try again",
                           Effects);
  startLoad(Node, *Row, Operator, Effects);
}

bool onViewAnswered(core::State &Node, const core::StoreAnswered &Answer,
                    core::EffectList &Effects) {
  auto Found = Node.Config.Views.find(Answer.Call);
  if (Found == Node.Config.Views.end())
    return false;
  View Asked = Found->second;
  Node.Config.Views.erase(Found);
  if (Asked.IsHistory)
    answerHistory(Asked.Operator, Answer.Result, Effects);
  else
    answerVersion(Node, Asked.Operator, Answer.Result, Effects);
  return true;
}

} // namespace

void onConfigAsked(core::State &Node, base::CallId Operator,
                   const core::ConfigShowCommand &Asked,
                   core::EffectList &Effects) {
  const ConfigDocument &Present = Node.Config.Document;
  if (Asked.Version.Value == 0 || Asked.Version == Present.Version) {
    if (!Present.Parts)
      return answerWithError(Operator, "this node has no configuration yet",
                             Effects);
    Effects.push_back(core::AnswerOperator{Operator, documentReply(Present)});
    return;
  }
  for (const ConfigDocument &Document : Node.Config.Memory)
    if (Document.Version == Asked.Version) {
      Effects.push_back(
          core::AnswerOperator{Operator, documentReply(Document)});
      return;
    }
  if (Node.Self.Embedded)
    return answerWithError(Operator, "there is no such version", Effects);
  base::CallId Call = callStore(
      Node, base::ReadRow{ConfigTable, historyKey(Asked.Version)}, Effects);
  Node.Config.Views[Call] = View{Operator, false};
}

void onHistoryAsked(core::State &Node, base::CallId Operator,
                    core::EffectList &Effects) {
  if (!Node.Self.Embedded) {
    base::CallId Call = callStore(
        Node, base::ScanRows{ConfigTable, HistoryPrefix, ShownVersions},
        Effects);
    Node.Config.Views[Call] = View{Operator, true};
    return;
  }
  core::OperatorReply Reply;
  Reply.Tables.push_back(historyTable());
  for (const ConfigDocument &Document : Node.Config.Memory)
    addVersion(Reply.Tables.front(), HeadRow{Document.Version,
                                             Document.Push,
                                             Document.Author,
                                             Document.When,
                                             {},
                                             ""});
  Effects.push_back(core::AnswerOperator{Operator, std::move(Reply)});
}

core::OperatorReply lacksReply(const core::State &Node,
                               const core::MissingPartsCommand &Asked) {
  PartSet Nothing;
  const PartSetPtr &Held = Node.Config.Document.Parts;
  Manifest Own =
      Asked.Groups.empty()
          ? groupHashes(Held ? *Held : Nothing)
          : partsInGroups(Held ? *Held : Nothing,
                          {Asked.Groups.begin(), Asked.Groups.end()});
  core::OperatorReply Reply;
  Reply.Fields = {
      {"version", std::to_string(Node.Config.Document.Version.Value)}};
  core::OperatorTable Lacks{"lacks", {"name"}, {}};
  core::OperatorTable Extra{"extra", {"name"}, {}};
  for (const auto &[Name, Hash] : Asked.Hashes) {
    auto Found = Own.find(Name);
    if (Found == Own.end() || Found->second != Hash)
      Lacks.Rows.push_back(std::vector<std::string>{Name});
  }
  for (const auto &[Name, Hash] : Own)
    if (!Asked.Hashes.contains(Name))
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
         onCatchUpHead(Node, Answer, Effects) ||
         onViewAnswered(Node, Answer, Effects);
}

core::OperatorTable spreadTable(const core::State &Node) {
  struct Spread {
    std::size_t Nodes = 0;
    std::size_t InForce = 0;
    base::ConfigVersion Lowest{UINT64_MAX};
  };
  std::map<base::DomainName, Spread> ByDomain;
  auto Add = [&](const membership::MemberRecord &Record) {
    Spread &Domain = ByDomain[Record.Domain];
    ++Domain.Nodes;
    Domain.InForce += Record.Version >= Node.Config.Document.Version ? 1 : 0;
    Domain.Lowest = std::min(Domain.Lowest, Record.Version);
  };
  Add(Node.Membership.Self);
  for (const auto &[Name, Member] : Node.Membership.Members)
    if (Member.Record.Phase == membership::MemberPhase::Alive ||
        Member.Record.Phase == membership::MemberPhase::Suspect)
      Add(Member.Record);
  core::OperatorTable Table{
      "configuration", {"failure domain", "nodes", "in force", "lowest"}, {}};
  for (const auto &[Domain, Count] : ByDomain)
    Table.Rows.push_back({Domain.Value, std::to_string(Count.Nodes),
                          std::to_string(Count.InForce),
                          std::to_string(Count.Lowest.Value)});
  return Table;
}

} // namespace currantgauge::config
