#include "currantgauge/cli/commands.h"
#include "currantgauge/cli/folder.h"
#include "currantgauge/config/node_settings.h"
#include "currantgauge/runtime/adapter.h"
#include "currantgauge/runtime/replay.h"
#include "currantgauge/runtime/serve.h"
#include "platform/adapter.h"

#include <iostream>
#include <optional>
#include <string>

namespace currantgauge::cli {

namespace {

// readSettings() reads a node's settings file. If there are errors, prints all
// of them to standard error and returns no value.
std::optional<config::NodeSettings> readSettings(const std::string &Path) {
  std::string Text;
  std::string Error;
  if (!readFile(Path, Text, Error)) {
    std::cerr << "error: " << Error << "\n";
    return std::nullopt;
  }
  config::SettingsErrors Errors;
  config::NodeSettings Settings = config::parseNodeSettings(Text, Path, Errors);
  for (const config::SettingsError &Problem : Errors)
    std::cerr << config::formatError(Problem) << "\n";
  if (!Errors.empty())
    return std::nullopt;
  return Settings;
}

} // namespace

int runServe(const Options &Opts, const ArgumentList &) {
  if (Opts.SettingsPath.empty()) {
    std::cerr << "error: serve needs --settings=FILE\n";
    return ExitUsageError;
  }
  std::optional<config::NodeSettings> Settings =
      readSettings(Opts.SettingsPath);
  if (!Settings)
    return ExitFailure;
  bool Native = Settings->Adapter == config::AdapterName::Native;
  return runtime::serveNode(
      *Settings,
      Native ? runtime::nativeAdapter() : platform::platformAdapter(),
      Opts.JournalPath,
      [Path = Opts.SettingsPath] { return readSettings(Path); });
}

int runReplay(const Options &, const ArgumentList &Arguments) {
  return runtime::replayJournal(Arguments[0]);
}

} // namespace currantgauge::cli
