#include "currantgauge/cli/commands.h"
#include "currantgauge/cli/folder.h"
#include "currantgauge/config/node_settings.h"
#include "currantgauge/runtime/replay.h"
#include "currantgauge/runtime/adapter.h"
#include "currantgauge/runtime/serve.h"
#include "platform/adapter.h"

#include <iostream>

namespace currantgauge::cli {

int runServe(const Options &Given, const Words &) {
  if (Given.Settings.empty()) {
    std::cerr << "error: serve needs --settings=FILE\n";
    return ExitUsage;
  }
  std::string Text;
  std::string Error;
  if (!readFile(Given.Settings, Text, Error)) {
    std::cerr << "error: " << Error << "\n";
    return ExitFailed;
  }
  config::SettingsErrors Errors;
  config::NodeSettings Settings =
      config::parseNodeSettings(Text, Given.Settings, Errors);
  for (const config::SettingsError &Mistake : Errors)
    std::cerr << config::formatError(Mistake) << "\n";
  if (!Errors.empty())
    return ExitFailed;
  bool Native = Settings.Adapter == config::AdapterName::Native;
  return runtime::serveNode(Settings,
                            Native ? runtime::nativeAdapter()
                                   : platform::platformAdapter(),
                            Given.Journal);
}

int runReplay(const Options &, const Words &Arguments) {
  return runtime::replayJournal(Arguments[0]);
}

} // namespace currantgauge::cli
