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

// readSettings() prints each mistake; none when there is one.
std::optional<config::NodeSettings> readSettings(const std::string &Path) {
  std::string Text;
  std::string Error;
  if (!readFile(Path, Text, Error)) {
    std::cerr << "error: " << Error << "\n";
    return std::nullopt;
  }
  config::SettingsErrors Errors;
  config::NodeSettings Settings = config::parseNodeSettings(Text, Path, Errors);
  for (const config::SettingsError &Mistake : Errors)
    std::cerr << config::formatError(Mistake) << "\n";
  if (!Errors.empty())
    return std::nullopt;
  return Settings;
}

} // namespace

int runServe(const Options &Given, const Words &) {
  if (Given.Settings.empty()) {
    std::cerr << "error: serve needs --settings=FILE\n";
    return ExitUsage;
  }
  std::optional<config::NodeSettings> Settings = readSettings(Given.Settings);
  if (!Settings)
    return ExitFailed;
  bool Native = Settings->Adapter == config::AdapterName::Native;
  return runtime::serveNode(
      *Settings,
      Native ? runtime::nativeAdapter() : platform::platformAdapter(),
      Given.Journal, [Path = Given.Settings] { return readSettings(Path); });
}

int runReplay(const Options &, const Words &Arguments) {
  return runtime::replayJournal(Arguments[0]);
}

} // namespace currantgauge::cli
