#include "currantgauge/cli/commands.h"
#include "currantgauge/cli/folder.h"
#include "currantgauge/cli/operator_client.h"
#include "currantgauge/cli/push.h"
#include "currantgauge/cli/table.h"
#include "currantgauge/config/diff.h"
#include "currantgauge/config/document.h"

#include <charconv>
#include <cstdint>
#include <iostream>
#include <optional>
#include <utility>

namespace currantgauge::cli {
namespace {

std::optional<base::ConfigVersion> parseVersion(const std::string &Text) {
  std::uint64_t Number = 0;
  const char *End = Text.data() + Text.size();
  auto [Rest, Failure] = std::from_chars(Text.data(), End, Number);
  if (Failure != std::errc() || Rest != End || Number == 0) {
    std::cerr << "error: \"" << Text << "\" is not a version\n";
    return std::nullopt;
  }
  return base::ConfigVersion(Number);
}

// checkFolder() prints every mistake to the standard error; none then.
std::optional<config::Document> checkFolder(const std::string &Folder) {
  std::vector<config::ConfigFile> Files;
  std::string Error;
  if (!readFolder(Folder, Files, Error)) {
    std::cerr << "error: " << Error << "\n";
    return std::nullopt;
  }
  config::SettingsErrors Errors;
  config::Document Merged = config::mergeDocument(std::move(Files), Errors);
  config::checkDocument(Merged, Errors);
  for (const config::SettingsError &Mistake : Errors)
    std::cerr << Folder << "/" << config::formatError(Mistake) << "\n";
  if (Errors.empty())
    return Merged;
  std::cerr << Errors.size() << " mistakes\n";
  return std::nullopt;
}

core::OperatorReply countEntries(const config::Document &Merged) {
  core::OperatorReply Reply;
  for (const auto &[Name, Section] : Merged.Sections)
    Reply.Fields.emplace_back(Name, std::to_string(Section.size()));
  return Reply;
}

core::OperatorReply formatChanges(const std::string &Old,
                                  const std::string &New) {
  core::OperatorTable Table{"changes", {"entry", "old", "new"}, {}};
  for (const config::DocumentChange &Change : config::diffDocuments(Old, New))
    Table.Rows.push_back({Change.Name, Change.Old.empty() ? "-" : Change.Old,
                          Change.New.empty() ? "-" : Change.New});
  core::OperatorReply Reply;
  Reply.Tables.push_back(std::move(Table));
  return Reply;
}

// fetchText() returns a version's document; prints the error when it fails.
std::optional<std::string> fetchText(const Options &Given,
                                     base::ConfigVersion Version) {
  NodeAnswer Answer = askNode(Given, core::ConfigShowCommand{Version});
  if (Answer.Reply.Error.empty())
    return Answer.Reply.Text;
  printReply(Answer.Reply, Given);
  return std::nullopt;
}

} // namespace

int runConfigCheck(const Options &Given, const Words &Arguments) {
  std::optional<config::Document> Merged = checkFolder(Arguments[0]);
  return Merged ? printReply(countEntries(*Merged), Given) : ExitFailed;
}

int runConfigMerge(const Options &Given, const Words &Arguments) {
  std::optional<config::Document> Merged = checkFolder(Arguments[0]);
  if (!Merged)
    return ExitFailed;
  core::OperatorReply Reply;
  Reply.Text = config::formatOrigins(*Merged);
  return printReply(Reply, Given);
}

int runConfigShow(const Options &Given, const Words &Arguments) {
  base::ConfigVersion Version;
  if (!Arguments.empty()) {
    auto Parsed = parseVersion(Arguments[0]);
    if (!Parsed)
      return ExitUsage;
    Version = *Parsed;
  }
  return printReply(askNode(Given, core::ConfigShowCommand{Version}).Reply,
                    Given);
}

int runConfigHistory(const Options &Given, const Words &) {
  return printReply(askNode(Given, core::ConfigHistoryCommand{}).Reply, Given);
}

int runConfigDiff(const Options &Given, const Words &Arguments) {
  std::optional<std::string> Old;
  std::optional<std::string> New;
  if (Arguments.size() == 2) {
    auto From = parseVersion(Arguments[0]);
    auto To = parseVersion(Arguments[1]);
    if (!From || !To)
      return ExitUsage;
    Old = fetchText(Given, *From);
    New = Old ? fetchText(Given, *To) : std::nullopt;
  } else if (auto Merged = checkFolder(Arguments[0])) {
    New = config::formatDocument(*Merged);
    Old = fetchText(Given, base::ConfigVersion());
  }
  return Old && New ? printReply(formatChanges(*Old, *New), Given) : ExitFailed;
}

int runConfigPush(const Options &Given, const Words &Arguments) {
  std::optional<config::Document> Merged = checkFolder(Arguments[0]);
  if (!Merged)
    return ExitFailed;
  return pushDocument(Given, config::formatDocument(*Merged));
}

// A rollback is a new version with an old content: versions only rise.
int runConfigRollback(const Options &Given, const Words &Arguments) {
  auto Version = parseVersion(Arguments[0]);
  if (!Version)
    return ExitUsage;
  std::optional<std::string> Text = fetchText(Given, *Version);
  return Text ? pushDocument(Given, *Text) : ExitFailed;
}

} // namespace currantgauge::cli
