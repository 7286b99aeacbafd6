// The table of subcommands. Help texts and shell completion are generated from
// it.
//
//   int ExitCode = runCommandLine(Argc, Argv);
#ifndef CURRANTGAUGE_CLI_COMMAND_H
#define CURRANTGAUGE_CLI_COMMAND_H

#include "currantgauge/cli/options.h"

#include <cstddef>
#include <string>
#include <vector>

namespace currantgauge::cli {

// Command is a subcommand. Name is one or two words; Run receives the
// positional arguments after them.
struct Command {
  std::string Name;
  std::string Arguments; // synopsis for the help text
  std::size_t MinArguments = 0;
  std::size_t MaxArguments = 0;
  std::string Summary;            // one sentence
  std::vector<std::string> Flags; // beyond those that all commands have
  int (*Run)(const Options &Opts, const std::vector<std::string> &Arguments);
};

// allCommands() returns every subcommand, sorted by name.
const std::vector<Command> &allCommands();

// formatHelp() returns the help text of a command, with its flags.
std::string formatHelp(const Command &Cmd);

// formatOverview() returns the usage line and the list of commands, one line
// each.
std::string formatOverview();

// formatCompletion() returns the bash completion script.
std::string formatCompletion();

// runCommandLine() parses and runs a command line. Returns the exit code:
// ExitSuccess, ExitFailure or ExitUsageError.
int runCommandLine(int Count, char **Arguments);

} // namespace currantgauge::cli

#endif // CURRANTGAUGE_CLI_COMMAND_H
