#include "currantgauge/cli/command.h"

#include "currantgauge/cli/commands.h"
#include "currantgauge/cli/version.h"
#include "currantgauge/config/quantity.h"

#include <algorithm>
#include <iostream>

namespace currantgauge::cli {
namespace {

const std::vector<std::string> CommonFlags = {"help", "output", "color"};

std::vector<std::string> withNodeFlags(std::vector<std::string> Flags) {
  Flags.insert(Flags.end(), {"node", "token", "ca", "timeout"});
  return Flags;
}

// findCommand() finds the command whose name starts Words, preferring a name of
// two words, and sets NameLength to the number of words in the name. Returns
// null if there is none.
const Command *findCommand(const std::vector<std::string> &Words,
                           std::size_t &NameLength) {
  for (NameLength = std::min<std::size_t>(2, Words.size()); NameLength > 0;
       --NameLength) {
    std::string Name = Words[0];
    if (NameLength == 2)
      Name += " " + Words[1];
    for (const Command &Cmd : allCommands())
      if (Cmd.Name == Name)
        return &Cmd;
  }
  return nullptr;
}

int reportUsageError(const std::string &Message) {
  std::cerr << "error: " << Message
            << "\nSee: currantgauge help, or COMMAND --help\n";
  return ExitUsageError;
}

// listSubcommands() returns the second words of a group's commands, such as
// "check, diff" for "config", or an empty string if there are none.
std::string listSubcommands(const std::string &Group) {
  std::string Names;
  for (const Command &Cmd : allCommands())
    if (Cmd.Name.starts_with(Group + " "))
      Names += (Names.empty() ? "" : ", ") + Cmd.Name.substr(Group.size() + 1);
  return Names;
}

// findCommandEndingWith() returns the first command of two words with the given
// second word, such as "config push" for "push", or an empty string.
std::string findCommandEndingWith(const std::string &Word) {
  for (const Command &Cmd : allCommands())
    if (Cmd.Name.ends_with(" " + Word))
      return Cmd.Name;
  return "";
}

// Suggests the subcommands of a group, the command with the most similar name,
// or one that ends with the first word.
int reportUnknownCommand(const std::vector<std::string> &Words) {
  std::string Subcommands = listSubcommands(Words[0]);
  if (Words.size() == 1 && !Subcommands.empty())
    return reportUsageError(Words[0] + " needs one of: " + Subcommands);
  std::vector<std::string> Names;
  for (const Command &Cmd : allCommands())
    Names.push_back(Cmd.Name);
  std::string CommandName = Words[0];
  for (std::size_t Index = 1; Index < std::min<std::size_t>(2, Words.size());
       ++Index)
    CommandName += " " + Words[Index];
  std::string Nearest = config::findNearestName(CommandName, Names);
  if (Nearest.empty())
    Nearest = config::findNearestName(Words[0], Names);
  if (Nearest.empty())
    Nearest = findCommandEndingWith(Words[0]);
  return reportUsageError(
      "unknown command " + CommandName +
      (Nearest.empty() ? "" : "; did you mean " + Nearest + "?"));
}

// Returns the first flag given that the command doesn't accept, or an empty
// string.
std::string findUnsupportedFlag(const Command &Cmd, const Options &Opts) {
  auto Contains = [](const std::vector<std::string> &Names,
                     const std::string &Name) {
    return std::find(Names.begin(), Names.end(), Name) != Names.end();
  };
  for (const std::string &Flag : Opts.GivenFlags)
    if (!Contains(CommonFlags, Flag) && !Contains(Cmd.Flags, Flag))
      return Flag;
  return "";
}

int runCommand(const Command &Cmd, const Options &Opts,
               const std::vector<std::string> &Arguments) {
  if (Opts.Help) {
    std::cout << formatHelp(Cmd);
    return ExitSuccess;
  }
  std::string Flag = findUnsupportedFlag(Cmd, Opts);
  if (!Flag.empty())
    return reportUsageError(Cmd.Name + " does not accept the flag --" + Flag);
  if (Arguments.size() < Cmd.MinArguments ||
      Arguments.size() > Cmd.MaxArguments)
    return reportUsageError("usage: currantgauge " + Cmd.Name + " " +
                            Cmd.Arguments);
  return Cmd.Run(Opts, Arguments);
}

int runHelp(const Options &Opts, const std::vector<std::string> &Arguments) {
  std::size_t NameLength = 0;
  if (Arguments.empty()) {
    std::cout << formatOverview();
    return ExitSuccess;
  }
  const Command *Cmd = findCommand(Arguments, NameLength);
  if (!Cmd)
    return reportUnknownCommand(Arguments);
  std::cout << formatHelp(*Cmd);
  return ExitSuccess;
}

int runVersion(const Options &Opts, const std::vector<std::string> &) {
  std::cout << (Opts.Output == OutputFormat::Json
                    ? "{\"version\":\"" + std::string(VersionText) + "\"}\n"
                    : "currantgauge " + std::string(VersionText) + "\n");
  return ExitSuccess;
}

int runCompletion(const Options &, const std::vector<std::string> &Arguments) {
  if (Arguments[0] != "bash")
    return reportUsageError("only bash completion is supported");
  std::cout << formatCompletion();
  return ExitSuccess;
}

std::vector<Command> makeCommands() {
  return {
      {"completion",
       "bash",
       1,
       1,
       "Print the completion script for bash.",
       {},
       runCompletion},
      {"config check",
       "FOLDER",
       1,
       1,
       "Check a folder of configuration files without a node.",
       {},
       runConfigCheck},
      {"config diff", "FOLDER | VERSION VERSION", 1, 2,
       "Show what a folder would change, or what changed between versions.",
       withNodeFlags({}), runConfigDiff},
      {"config history", "", 0, 0, "List the accepted versions.",
       withNodeFlags({}), runConfigHistory},
      {"config merge",
       "FOLDER",
       1,
       1,
       "Print the merged values and their source files without a node.",
       {},
       runConfigMerge},
      {"config push", "FOLDER", 1, 1,
       "Check a folder and push it as the fleet's next version.",
       withNodeFlags({"base", "author", "wait"}), runConfigPush},
      {"config rollback", "VERSION", 1, 1,
       "Push the content of an earlier version as the next version.",
       withNodeFlags({"author", "wait"}), runConfigRollback},
      {"config show", "[VERSION]", 0, 1,
       "Print the configuration in force, or an earlier version.",
       withNodeFlags({}), runConfigShow},
      {"drain", "SERVER", 1, 1,
       "Stop sending traffic to a backend server, or resume it.",
       withNodeFlags({"undo"}), runDrain},
      {"explain", "REQUEST-ID", 1, 1,
       "Show a node's decisions about a request.", withNodeFlags({}),
       runExplain},
      {"help",
       "[COMMAND]",
       0,
       2,
       "Print this list or the help of a command.",
       {},
       runHelp},
      {"quarantine clear", "FINGERPRINT", 1, 1,
       "Remove a request from quarantine.", withNodeFlags({}),
       runQuarantineClear},
      {"quarantine list", "", 0, 0, "List quarantined requests.",
       withNodeFlags({}), runQuarantineList},
      {"replay",
       "JOURNAL",
       1,
       1,
       "Replay a journal's events and compare the effects with the recorded "
       "ones.",
       {},
       runReplay},
      {"serve", "", 0, 0, "Run a node.", {"settings", "journal"}, runServe},
      {"status", "", 0, 0, "Show a node's view of the fleet.",
       withNodeFlags({}), runStatus},
      {"version", "", 0, 0, "Print the version.", {}, runVersion},
  };
}

} // namespace

const std::vector<Command> &allCommands() {
  static const std::vector<Command> Commands = makeCommands();
  return Commands;
}

std::string formatHelp(const Command &Cmd) {
  std::string Text = "Usage: currantgauge " + Cmd.Name +
                     (Cmd.Arguments.empty() ? "" : " " + Cmd.Arguments) +
                     " [FLAGS]\n\n" + Cmd.Summary + "\n\nFlags:\n";
  std::vector<std::string> Flags = Cmd.Flags;
  Flags.insert(Flags.end(), CommonFlags.begin(), CommonFlags.end());
  for (const std::string &Name : Flags) {
    FlagHelp Flag = describeFlag(Name);
    Text += "  --" + Name + "  " +
            (Name == "help" ? "print this help" : Flag.Description);
    if (!Flag.Default.empty() && Flag.Default != "false")
      Text += " (default: " + Flag.Default + ")";
    Text += "\n";
  }
  return Text +
         "\nExit codes: 0 success, 1 the operation failed, 2 usage error.\n";
}

std::string formatOverview() {
  std::string Text = "Usage: currantgauge COMMAND [FLAGS]\n\nCommands:\n";
  std::size_t Width = 0;
  for (const Command &Cmd : allCommands())
    Width = std::max(Width, Cmd.Name.size());
  for (const Command &Cmd : allCommands())
    Text += "  " + Cmd.Name + std::string(Width - Cmd.Name.size() + 2, ' ') +
            Cmd.Summary + "\n";
  return Text + "\ncurrantgauge COMMAND --help shows the flags of a command.\n";
}

int runCommandLine(int Count, char **Arguments) {
  Options Opts;
  std::string Error;
  if (!parseArguments(Count, Arguments, Opts, Error))
    return reportUsageError(Error);
  if (Opts.Version && Opts.PositionalArguments.empty())
    return runVersion(Opts, {});
  if (Opts.PositionalArguments.empty()) {
    (Opts.Help ? std::cout : std::cerr) << formatOverview();
    return Opts.Help ? ExitSuccess : ExitUsageError;
  }
  std::size_t NameLength = 0;
  const Command *Cmd = findCommand(Opts.PositionalArguments, NameLength);
  if (!Cmd)
    return reportUnknownCommand(Opts.PositionalArguments);
  return runCommand(*Cmd, Opts,
                    {Opts.PositionalArguments.begin() + NameLength,
                     Opts.PositionalArguments.end()});
}

} // namespace currantgauge::cli
