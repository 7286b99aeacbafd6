// What each subcommand does. Each returns its exit code.
//
//   return runStatus(Given, {});
#ifndef CURRANTGAUGE_CLI_COMMANDS_H
#define CURRANTGAUGE_CLI_COMMANDS_H

#include "currantgauge/cli/options.h"

#include <string>
#include <vector>

namespace currantgauge::cli {

using Words = std::vector<std::string>;

// The node.
int runServe(const Options &Given, const Words &Arguments);
int runReplay(const Options &Given, const Words &Arguments);

// The configuration.
int runConfigCheck(const Options &Given, const Words &Arguments);
int runConfigDiff(const Options &Given, const Words &Arguments);
int runConfigHistory(const Options &Given, const Words &Arguments);
int runConfigMerge(const Options &Given, const Words &Arguments);
int runConfigPush(const Options &Given, const Words &Arguments);
int runConfigRollback(const Options &Given, const Words &Arguments);
int runConfigShow(const Options &Given, const Words &Arguments);

// The fleet.
int runDrain(const Options &Given, const Words &Arguments);
int runExplain(const Options &Given, const Words &Arguments);
int runQuarantineClear(const Options &Given, const Words &Arguments);
int runQuarantineList(const Options &Given, const Words &Arguments);
int runStatus(const Options &Given, const Words &Arguments);

} // namespace currantgauge::cli

#endif // CURRANTGAUGE_CLI_COMMANDS_H
