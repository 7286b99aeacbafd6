// The subcommands: one table, from which help and shell completion follow.
//
//   int ExitCode = runCommandLine(Argc, Argv);
#ifndef CURRANTGAUGE_CLI_COMMAND_H
#define CURRANTGAUGE_CLI_COMMAND_H

#include "currantgauge/cli/options.h"

#include <cstddef>
#include <string>
#include <vector>

namespace currantgauge::cli {

// Command is one subcommand. Name may be two words; run gets the words after
// it in Arguments.
struct Command {
  std::string Name;
  std::string Arguments; // as shown in its help
  std::size_t MinArguments = 0;
  std::size_t MaxArguments = 0;
  std::string Summary; // one sentence
  std::vector<std::string> Flags;
  int (*Run)(const Options &Given, const std::vector<std::string> &Arguments);
};

// allCommands() returns every subcommand, sorted by name.
const std::vector<Command> &allCommands();

// formatHelp() returns the help of one command.
std::string formatHelp(const Command &What);

// formatOverview() returns a line for each command.
std::string formatOverview();

// formatCompletion() returns the completion script for bash.
std::string formatCompletion();

// runCommandLine() runs what the command line asks for and returns its exit
// code: ExitDone, ExitFailed or ExitUsage.
int runCommandLine(int Count, char **Arguments);

} // namespace currantgauge::cli

#endif // CURRANTGAUGE_CLI_COMMAND_H
