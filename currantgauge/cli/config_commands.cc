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
  auto [Rest, ErrorCode] = std::from_chars(Text.data(), End, Number);
  if (ErrorCode != std::errc() || Rest != End || Number == 0) {
    std::cerr << "error: \"" << Text << "\" is not a version number\n";
    return std::nullopt;
  }
  return base::ConfigVersion(Number);
}

// checkFolder() merges and checks the files of a folder. If there are errors,
// prints all of them to standard error and returns no value.
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
  for (const config::SettingsError &Problem : Errors)
    std::cerr << Folder << "/" << config::formatError(Problem) << "\n";
  if (Errors.empty())
    return Merged;
  std::cerr << Errors.size() << " errors\n";
  return std::nullopt;
}

// Returns the number of entries in each section.
core::OperatorReply makeEntryCounts(const config::Document &Merged) {
  core::OperatorReply Reply;
  for (const auto &[Name, Section] : Merged.Sections)
    Reply.Fields.emplace_back(Name, std::to_string(Section.size()));
  return Reply;
}

core::OperatorReply makeChangesReply(const std::string &Old,
                                     const std::string &New) {
  core::OperatorTable Table{"changes", {"entry", "old", "new"}, {}};
  for (const config::DocumentChange &Change : config::diffDocuments(Old, New))
    Table.Rows.push_back({Change.Name, Change.Old.empty() ? "-" : Change.Old,
                          Change.New.empty() ? "-" : Change.New});
  core::OperatorReply Reply;
  Reply.Tables.push_back(std::move(Table));
  return Reply;
}

// fetchDocument() returns the document of a version; 0 is the version in force.
// If that fails, prints the error and returns no value.
std::optional<std::string> fetchDocument(const Options &Opts,
                                         base::ConfigVersion Version) {
  QueryResult Result = queryNode(Opts, core::ConfigShowCommand{Version});
  if (Result.Reply.Error.empty())
    return Result.Reply.Text;
  printReply(Result.Reply, Opts);
  return std::nullopt;
}

} // namespace

int runConfigCheck(const Options &Opts, const ArgumentList &Arguments) {
  std::optional<config::Document> Merged = checkFolder(Arguments[0]);
  return Merged ? printReply(makeEntryCounts(*Merged), Opts) : ExitFailure;
}

int runConfigMerge(const Options &Opts, const ArgumentList &Arguments) {
  std::optional<config::Document> Merged = checkFolder(Arguments[0]);
  if (!Merged)
    return ExitFailure;
  core::OperatorReply Reply;
  Reply.Text = config::formatOrigins(*Merged);
  return printReply(Reply, Opts);
}

int runConfigShow(const Options &Opts, const ArgumentList &Arguments) {
  base::ConfigVersion Version;
  if (!Arguments.empty()) {
    auto Parsed = parseVersion(Arguments[0]);
    if (!Parsed)
      return ExitUsageError;
    Version = *Parsed;
  }
  return printReply(queryNode(Opts, core::ConfigShowCommand{Version}).Reply,
                    Opts);
}

int runConfigHistory(const Options &Opts, const ArgumentList &) {
  return printReply(queryNode(Opts, core::ConfigHistoryCommand{}).Reply, Opts);
}

int runConfigDiff(const Options &Opts, const ArgumentList &Arguments) {
  std::optional<std::string> Old;
  std::optional<std::string> New;
  if (Arguments.size() == 2) {
    auto OldVersion = parseVersion(Arguments[0]);
    auto NewVersion = parseVersion(Arguments[1]);
    if (!OldVersion || !NewVersion)
      return ExitUsageError;
    Old = fetchDocument(Opts, *OldVersion);
    New = Old ? fetchDocument(Opts, *NewVersion) : std::nullopt;
  } else if (auto Merged = checkFolder(Arguments[0])) {
    New = config::formatDocument(*Merged);
    Old = fetchDocument(Opts, base::ConfigVersion());
  }
  return Old && New ? printReply(makeChangesReply(*Old, *New), Opts)
                    : ExitFailure;
}

int runConfigPush(const Options &Opts, const ArgumentList &Arguments) {
  std::optional<config::Document> Merged = checkFolder(Arguments[0]);
  if (!Merged)
    return ExitFailure;
  return pushDocument(Opts, config::formatDocument(*Merged));
}

// Pushes the earlier content as a new version, because version numbers never
// decrease.
int runConfigRollback(const Options &Opts, const ArgumentList &Arguments) {
  auto Version = parseVersion(Arguments[0]);
  if (!Version)
    return ExitUsageError;
  std::optional<std::string> Text = fetchDocument(Opts, *Version);
  return Text ? pushDocument(Opts, *Text) : ExitFailure;
}

} // namespace currantgauge::cli
