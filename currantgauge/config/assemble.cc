#include "currantgauge/config/assemble.h"

#include "currantgauge/config/build.h"
#include "currantgauge/config/document.h"
#include "currantgauge/config/merge.h"
#include "currantgauge/identity/key_table.h"

#include <boost/smart_ptr/intrusive_ptr.hpp>

#include <algorithm>
#include <cstddef>
#include <string_view>
#include <utility>
#include <vector>

namespace currantgauge::config {
namespace {

constexpr std::size_t MaxShownErrors = 20; // in AssembledConfig::Error

std::string joinErrors(const SettingsErrors &Errors) {
  std::string Text;
  for (std::size_t Index = 0; Index < Errors.size() && Index < MaxShownErrors;
       ++Index)
    Text += (Index == 0 ? "" : "\n") + formatError(Errors[Index]);
  if (Errors.size() > MaxShownErrors)
    Text += "\nand " + std::to_string(Errors.size() - MaxShownErrors) + " more";
  return Text;
}

// Returns the request's parts, or splits its text. Clients other than the
// project's own may send text that is not in canonical form, which is converted
// first.
PartSetPtr resolveParts(const AssembleRequest &Request,
                        SettingsErrors &Errors) {
  if (Request.Text.empty() && Request.Parts)
    return Request.Parts;
  if (PartSetPtr Parts = splitDocument(Request.Text))
    return Parts;
  return splitDocument(mergeFiles({{"document", Request.Text}}, Errors));
}

void removeWorkspace(const base::WorkspaceName &Name, Configuration &Config) {
  const auto *Entry = Config.Workspaces.find(Name);
  if (!Entry)
    return;
  for (base::KeyHash Key : Entry->second.Keys)
    identity::eraseKey(Config.Keys, Key, Name);
  Config.Workspaces.erase(Name);
}

// Removes from Config the entries that the old document has in a part.
void removeEntries(const std::string &PartName, const PartSet &Old,
                   Configuration &Config) {
  if (PartName == BasePart) {
    Config.Ranks.clear();
    Config.Services.clear();
    Config.Kinds.clear();
    Config.Link = LinkSettings();
    Config.Callers = CallerLimits();
    Config.Placement = PlacementSettings();
    Config.AcceptUnlistedWorkspaces = true;
    Config.RequiresKeys = false;
    return;
  }
  auto Part = Old.Parts.find(PartName);
  if (Part == Old.Parts.end())
    return;
  SettingsErrors IgnoredErrors;
  Document Entries;
  mergeInto(Entries, PartName, Part->second->Text, IgnoredErrors);
  for (const auto &[Route, Entry] : Entries.Sections["routes"])
    Config.Routes.erase(Route);
  for (const auto &[Workspace, Entry] : Entries.Sections["workspaces"])
    removeWorkspace(base::WorkspaceName(Workspace), Config);
}

// Nothing refers to workspaces, so a change in workspaces alone needs no check
// of the references between other entries.
bool isWorkspacePart(const std::string &Name) {
  return Name.starts_with("workspaces/");
}

// Returns true if splitting the part's text gives this same part. Entries are
// looked up and removed by part, so one in the wrong part could be neither
// found nor removed.
bool isCanonical(const ConfigPart &Part) {
  PartSetPtr Resplit = splitDocument(Part.Text);
  return Resplit && Resplit->Parts.size() == 1 &&
         Resplit->Parts.begin()->first == Part.Name &&
         Resplit->Parts.begin()->second->Hash == Part.Hash;
}

// Replaces in Config, a copy of the base configuration, the entries of the
// changed parts. Parses one part at a time, so that the parser needs the memory
// for one part and not for the whole document.
void replaceParts(const AssembleRequest &Request, const PartSet &Parts,
                  Configuration &Config, SettingsErrors &Errors) {
  PartSet EmptySet;
  const PartSet &Old =
      Request.BaseConfig && Request.BaseParts ? *Request.BaseParts : EmptySet;
  std::vector<std::string> Changed = findChangedParts(Old, Parts);
  bool CheckReferences =
      !std::all_of(Changed.begin(), Changed.end(), isWorkspacePart);
  // All removals come first, since a key may move to a workspace of another
  // part.
  for (const std::string &Name : Changed)
    removeEntries(Name, Old, Config);
  for (const std::string &Name : Changed) {
    auto Part = Parts.Parts.find(Name);
    if (Part == Parts.Parts.end())
      continue;
    if (Request.CheckParts && !isCanonical(*Part->second)) {
      addError(Errors, SourceLocation{},
               "part " + Name + " is not in canonical form");
      continue;
    }
    Document Entries;
    mergeInto(Entries, Name, Part->second->Text, Errors);
    buildConfiguration(Entries, Config, Errors);
    if (!CheckReferences)
      checkWorkspaceRanks(Entries, Config, Errors);
  }
  if (CheckReferences)
    checkConfiguration(Document(), Config, Errors);
}

} // namespace

AssembledConfig assembleConfig(const AssembleRequest &Request) {
  AssembledConfig Result;
  SettingsErrors Errors;
  Result.Parts = resolveParts(Request, Errors);
  boost::intrusive_ptr<Configuration> Config(
      Request.BaseConfig ? new Configuration(*Request.BaseConfig)
                         : new Configuration);
  if (Errors.empty() && Result.Parts)
    replaceParts(Request, *Result.Parts, *Config, Errors);
  Result.Error = joinErrors(Errors);
  if (!Result.Parts && Result.Error.empty())
    Result.Error = "the document can't be split into parts";
  if (!Result.Error.empty())
    return Result;
  indexRoutes(*Config);
  Result.Config = std::move(Config);
  return Result;
}

AssembledConfig assembleAnnounced(AssembleRequest Request,
                                  AnnouncedConfigReader Reader) {
  AssembledConfig Result;
  if (!Reader) {
    Result.Error = "this node's adapter reads no announced configuration";
    return Result;
  }
  AnnouncedConfig Announced = Reader(Request.AnnouncedRow);
  if (Announced.Error.empty()) {
    Request.Text = std::move(Announced.Text);
    Result = assembleConfig(Request);
  } else {
    Result.Error = std::move(Announced.Error);
  }
  Result.Version = Announced.Version;
  return Result;
}

} // namespace currantgauge::config
