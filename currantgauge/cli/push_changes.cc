#include "currantgauge/cli/push_changes.h"

#include "currantgauge/config/part_groups.h"
#include "currantgauge/config/parts.h"

#include <cstdlib>
#include <set>
#include <utility>
#include <vector>

namespace currantgauge::cli {
namespace {

// listNames() returns the first column of the table with the given title.
std::vector<std::string> listNames(const core::OperatorReply &Reply,
                                   const std::string &Title) {
  std::vector<std::string> Names;
  for (const core::OperatorTable &Table : Reply.Tables)
    if (Table.Title == Title)
      for (const auto &Row : Table.Rows)
        if (!Row.empty())
          Names.push_back(Row.front());
  return Names;
}

base::ConfigVersion getVersion(const core::OperatorReply &Reply) {
  return base::ConfigVersion(
      std::strtoull(getField(Reply, "version").c_str(), nullptr, 10));
}

// Returns the groups that the node lacks or has with other content ("lacks")
// and those that only the node has ("extra").
std::vector<std::string> listDifferingGroups(const core::OperatorReply &Reply) {
  std::vector<std::string> Groups = listNames(Reply, "lacks");
  for (std::string &Group : listNames(Reply, "extra"))
    Groups.push_back(std::move(Group));
  return Groups;
}

} // namespace

std::string getField(const core::OperatorReply &Reply, const std::string &Key) {
  for (const auto &[Name, Value] : Reply.Fields)
    if (Name == Key)
      return Value;
  return "";
}

void setFullText(const std::string &Text, core::ConfigPushCommand &Push) {
  Push.Text = Text;
  Push.ManifestHash = base::ContentHash();
  Push.ChangedParts.clear();
  Push.RemovedParts.clear();
}

// Sends at most two queries: the first finds the groups of parts that differ,
// the second the parts in them. If few groups differ, each query has a few KB,
// whatever the size of the document.
std::string planPush(const std::string &Text, const QueryFunction &SendQuery,
                     core::ConfigPushCommand &Push) {
  setFullText(Text, Push);
  config::PartSetPtr Parts = config::splitDocument(Text);
  core::MissingPartsCommand Query;
  if (Parts)
    Query.Hashes = config::hashGroups(*Parts);
  core::OperatorReply GroupsReply = SendQuery(Query);
  if (!GroupsReply.Error.empty())
    return GroupsReply.Error;
  if (Push.BaseVersion.Value == 0)
    Push.BaseVersion = getVersion(GroupsReply);
  if (!Parts || Push.BaseVersion.Value == 0 ||
      Push.BaseVersion != getVersion(GroupsReply))
    return "";
  Query.Groups = listDifferingGroups(GroupsReply);
  core::OperatorReply PartsReply;
  if (!Query.Groups.empty()) {
    Query.Hashes = config::listPartsInGroups(
        *Parts, {Query.Groups.begin(), Query.Groups.end()});
    PartsReply = SendQuery(Query);
    if (!PartsReply.Error.empty() || getVersion(PartsReply) != Push.BaseVersion)
      return PartsReply.Error;
  }
  Push.Text.clear();
  Push.ManifestHash = config::hashManifest(*Parts);
  Push.RemovedParts = listNames(PartsReply, "extra");
  for (const std::string &Name : listNames(PartsReply, "lacks"))
    if (auto Part = Parts->Parts.find(Name); Part != Parts->Parts.end())
      Push.ChangedParts.push_back({Name, Part->second->Text});
  return "";
}

} // namespace currantgauge::cli
