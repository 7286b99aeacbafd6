// The functions that run the subcommands. Each returns the exit code.
//
//   return runStatus(Opts, {});
#ifndef CURRANTGAUGE_CLI_COMMANDS_H
#define CURRANTGAUGE_CLI_COMMANDS_H

#include "currantgauge/cli/options.h"

#include <string>
#include <vector>

namespace currantgauge::cli {

using ArgumentList = std::vector<std::string>;

// Commands that run in this process.
int runServe(const Options &Opts, const ArgumentList &Arguments);
int runReplay(const Options &Opts, const ArgumentList &Arguments);

// Commands on the configuration. Check and merge need no node.
int runConfigCheck(const Options &Opts, const ArgumentList &Arguments);
int runConfigDiff(const Options &Opts, const ArgumentList &Arguments);
int runConfigHistory(const Options &Opts, const ArgumentList &Arguments);
int runConfigMerge(const Options &Opts, const ArgumentList &Arguments);
int runConfigPush(const Options &Opts, const ArgumentList &Arguments);
int runConfigRollback(const Options &Opts, const ArgumentList &Arguments);
int runConfigShow(const Options &Opts, const ArgumentList &Arguments);

// Commands on the fleet, which a node executes.
int runDrain(const Options &Opts, const ArgumentList &Arguments);
int runExplain(const Options &Opts, const ArgumentList &Arguments);
int runQuarantineClear(const Options &Opts, const ArgumentList &Arguments);
int runQuarantineList(const Options &Opts, const ArgumentList &Arguments);
int runStatus(const Options &Opts, const ArgumentList &Arguments);

} // namespace currantgauge::cli

#endif // CURRANTGAUGE_CLI_COMMANDS_H
