#include "currantgauge/cli/push_changes.h"

#include "currantgauge/config/part_groups.h"
#include "currantgauge/config/parts.h"

#include <cstdlib>
#include <set>
#include <utility>
#include <vector>

namespace currantgauge::cli {
namespace {

// namesIn() returns the rows of a reply's table of names.
std::vector<std::string> namesIn(const core::OperatorReply &Reply,
                                 const std::string &Title) {
  std::vector<std::string> Names;
  for (const core::OperatorTable &Table : Reply.Tables)
    if (Table.Title == Title)
      for (const auto &Row : Table.Rows)
        if (!Row.empty())
          Names.push_back(Row.front());
  return Names;
}

base::ConfigVersion versionOf(const core::OperatorReply &Reply) {
  return base::ConfigVersion(
      std::strtoull(fieldOf(Reply, "version").c_str(), nullptr, 10));
}

// Groups on either side alone differ as well.
std::vector<std::string> differingGroups(const core::OperatorReply &Reply) {
  std::vector<std::string> Groups = namesIn(Reply, "lacks");
  for (std::string &Group : namesIn(Reply, "extra"))
    Groups.push_back(std::move(Group));
  return Groups;
}

} // namespace

std::string fieldOf(const core::OperatorReply &Reply, const std::string &Key) {
  for (const auto &[Name, Value] : Reply.Fields)
    if (Name == Key)
      return Value;
  return "";
}

void sendWhole(const std::string &Text, core::ConfigPushCommand &Push) {
  Push.Text = Text;
  Push.DocumentHash = base::ContentHash();
  Push.ChangedParts.clear();
  Push.RemovedParts.clear();
}

// Two questions of a few KB each, whatever the size: first which groups of
// parts differ, then which parts of those.
std::string planPush(const std::string &Text, const AskFunction &Ask,
                     core::ConfigPushCommand &Push) {
  sendWhole(Text, Push);
  config::PartSetPtr Parts = config::splitDocument(Text);
  core::MissingPartsCommand Asked;
  if (Parts)
    Asked.Hashes = config::hashGroups(*Parts);
  core::OperatorReply First = Ask(Asked);
  if (!First.Error.empty())
    return First.Error;
  if (Push.BaseVersion.Value == 0)
    Push.BaseVersion = versionOf(First);
  if (!Parts || Push.BaseVersion.Value == 0 ||
      Push.BaseVersion != versionOf(First))
    return "";
  Asked.Groups = differingGroups(First);
  core::OperatorReply Second;
  if (!Asked.Groups.empty()) {
    Asked.Hashes = config::listPartsInGroups(
        *Parts, {Asked.Groups.begin(), Asked.Groups.end()});
    Second = Ask(Asked);
    if (!Second.Error.empty() || versionOf(Second) != Push.BaseVersion)
      return Second.Error;
  }
  Push.Text.clear();
  Push.DocumentHash = config::hashManifest(*Parts);
  Push.RemovedParts = namesIn(Second, "extra");
  for (const std::string &Name : namesIn(Second, "lacks"))
    if (auto Part = Parts->Parts.find(Name); Part != Parts->Parts.end())
      Push.ChangedParts.push_back({Name, Part->second->Text});
  return "";
}

} // namespace currantgauge::cli
