#include "currantgauge/cli/command.h"

#include "currantgauge/cli/commands.h"
#include "currantgauge/cli/version.h"
#include "currantgauge/config/quantity.h"

#include <algorithm>
#include <iostream>

namespace currantgauge::cli {
namespace {

const std::vector<std::string> CommonFlags = {"help", "output", "color"};

std::vector<std::string> withNode(std::vector<std::string> More) {
  More.insert(More.end(), {"node", "token", "ca", "timeout"});
  return More;
}

// findCommand() prefers a name of two words and returns how many it took.
const Command *findCommand(const std::vector<std::string> &Words,
                           std::size_t &Taken) {
  for (Taken = std::min<std::size_t>(2, Words.size()); Taken > 0; --Taken) {
    std::string Name = Words[0];
    if (Taken == 2)
      Name += " " + Words[1];
    for (const Command &What : allCommands())
      if (What.Name == Name)
        return &What;
  }
  return nullptr;
}

int usageError(const std::string &Text) {
  std::cerr << "error: " << Text
            << "\nSee: currantgauge help, or COMMAND --help\n";
  return ExitUsage;
}

// subcommandsOf() returns "check, diff" for "config"; empty when there are
// none.
std::string subcommandsOf(const std::string &Word) {
  std::string Names;
  for (const Command &What : allCommands())
    if (What.Name.starts_with(Word + " "))
      Names += (Names.empty() ? "" : ", ") + What.Name.substr(Word.size() + 1);
  return Names;
}

// commandEndingIn() returns "config push" for "push".
std::string commandEndingIn(const std::string &Word) {
  for (const Command &What : allCommands())
    if (What.Name.ends_with(" " + Word))
      return What.Name;
  return "";
}

int unknownCommand(const std::vector<std::string> &Words) {
  std::string Subcommands = subcommandsOf(Words[0]);
  if (Words.size() == 1 && !Subcommands.empty())
    return usageError(Words[0] + " needs one of: " + Subcommands);
  std::vector<std::string> Names;
  for (const Command &What : allCommands())
    Names.push_back(What.Name);
  std::string Given = Words[0];
  for (std::size_t Index = 1; Index < std::min<std::size_t>(2, Words.size());
       ++Index)
    Given += " " + Words[Index];
  std::string Nearest = config::findNearestName(Given, Names);
  if (Nearest.empty())
    Nearest = config::findNearestName(Words[0], Names);
  if (Nearest.empty())
    Nearest = commandEndingIn(Words[0]);
  return usageError("unknown command " + Given +
                    (Nearest.empty() ? "" : "; did you mean " + Nearest + "?"));
}

std::string foreignFlag(const Command &What, const Options &Given) {
  auto Holds = [](const std::vector<std::string> &Names,
                  const std::string &Name) {
    return std::find(Names.begin(), Names.end(), Name) != Names.end();
  };
  for (const std::string &Flag : Given.Given)
    if (!Holds(CommonFlags, Flag) && !Holds(What.Flags, Flag))
      return Flag;
  return "";
}

int runCommand(const Command &What, const Options &Given,
               const std::vector<std::string> &Arguments) {
  if (Given.Help) {
    std::cout << formatHelp(What);
    return ExitDone;
  }
  std::string Flag = foreignFlag(What, Given);
  if (!Flag.empty())
    return usageError(What.Name + " has no flag --" + Flag);
  if (Arguments.size() < What.MinArguments ||
      Arguments.size() > What.MaxArguments)
    return usageError("usage: currantgauge " + What.Name + " " +
                      What.Arguments);
  return What.Run(Given, Arguments);
}

int runHelp(const Options &Given, const std::vector<std::string> &Words) {
  std::size_t Taken = 0;
  if (Words.empty()) {
    std::cout << formatOverview();
    return ExitDone;
  }
  const Command *What = findCommand(Words, Taken);
  if (!What)
    return unknownCommand(Words);
  std::cout << formatHelp(*What);
  return ExitDone;
}

int runVersion(const Options &Given, const std::vector<std::string> &) {
  std::cout << (Given.Output == OutputFormat::Json
                    ? "{\"version\":\"" + std::string(VersionText) + "\"}\n"
                    : "currantgauge " + std::string(VersionText) + "\n");
  return ExitDone;
}

int runCompletion(const Options &, const std::vector<std::string> &Words) {
  if (Words[0] != "bash")
    return usageError("completion is there for bash alone");
  std::cout << formatCompletion();
  return ExitDone;
}

std::vector<Command> makeCommands() {
  return {
      {"completion",
       "bash",
       1,
       1,
       "Print the completion script of a shell.",
       {},
       runCompletion},
      {"config check",
       "FOLDER",
       1,
       1,
       "Check a folder of configuration files; needs no node.",
       {},
       runConfigCheck},
      {"config diff", "FOLDER | VERSION VERSION", 1, 2,
       "Show what a folder would change, or what changed between versions.",
       withNode({}), runConfigDiff},
      {"config history", "", 0, 0, "List the accepted versions.", withNode({}),
       runConfigHistory},
      {"config merge",
       "FOLDER",
       1,
       1,
       "Print the merged values and the file each came from; needs no node.",
       {},
       runConfigMerge},
      {"config push", "FOLDER", 1, 1,
       "Check a folder and make it the next version of the fleet.",
       withNode({"base", "author", "wait"}), runConfigPush},
      {"config rollback", "VERSION", 1, 1,
       "Make an earlier version's content the next version.",
       withNode({"author", "wait"}), runConfigRollback},
      {"config show", "[VERSION]", 0, 1,
       "Print the configuration in force, or an earlier version.", withNode({}),
       runConfigShow},
      {"drain", "SERVER", 1, 1,
       "Take a backend server out of traffic, or put it back.",
       withNode({"undo"}), runDrain},
      {"explain", "REQUEST-ID", 1, 1, "Show what a node decided on a request.",
       withNode({}), runExplain},
      {"help",
       "[COMMAND]",
       0,
       2,
       "Print this list or a command's help.",
       {},
       runHelp},
      {"quarantine clear", "FINGERPRINT", 1, 1, "End a request's quarantine.",
       withNode({}), runQuarantineClear},
      {"quarantine list", "", 0, 0, "List quarantined requests.", withNode({}),
       runQuarantineList},
      {"replay",
       "JOURNAL",
       1,
       1,
       "Run a journal's events again and compare their effects.",
       {},
       runReplay},
      {"serve", "", 0, 0, "Run a node.", {"settings", "journal"}, runServe},
      {"status", "", 0, 0, "Show a node's view of the fleet.", withNode({}),
       runStatus},
      {"version", "", 0, 0, "Print the version.", {}, runVersion},
  };
}

} // namespace

const std::vector<Command> &allCommands() {
  static const std::vector<Command> Commands = makeCommands();
  return Commands;
}

std::string formatHelp(const Command &What) {
  std::string Text = "Usage: currantgauge " + What.Name +
                     (What.Arguments.empty() ? "" : " " + What.Arguments) +
                     " [FLAGS]\n\n" + What.Summary + "\n\nFlags:\n";
  std::vector<std::string> Flags = What.Flags;
  Flags.insert(Flags.end(), CommonFlags.begin(), CommonFlags.end());
  for (const std::string &Name : Flags) {
    FlagHelp Flag = describeFlag(Name);
    Text +=
        "  --" + Name + "  " + (Name == "help" ? "print this help" : Flag.Text);
    if (!Flag.Default.empty() && Flag.Default != "false")
      Text += " (default: " + Flag.Default + ")";
    Text += "\n";
  }
  return Text + "\nExit codes: 0 done, 1 the operation failed, 2 usage.\n";
}

std::string formatOverview() {
  std::string Text = "Usage: currantgauge COMMAND [FLAGS]\n\nCommands:\n";
  std::size_t Width = 0;
  for (const Command &What : allCommands())
    Width = std::max(Width, What.Name.size());
  for (const Command &What : allCommands())
    Text += "  " + What.Name + std::string(Width - What.Name.size() + 2, ' ') +
            What.Summary + "\n";
  return Text + "\ncurrantgauge COMMAND --help shows a command's flags.\n";
}

int runCommandLine(int Count, char **Arguments) {
  Options Given;
  std::string Error;
  if (!parseArguments(Count, Arguments, Given, Error))
    return usageError(Error);
  if (Given.Version && Given.Words.empty())
    return runVersion(Given, {});
  if (Given.Words.empty()) {
    (Given.Help ? std::cout : std::cerr) << formatOverview();
    return Given.Help ? ExitDone : ExitUsage;
  }
  std::size_t Taken = 0;
  const Command *What = findCommand(Given.Words, Taken);
  if (!What)
    return unknownCommand(Given.Words);
  return runCommand(*What, Given,
                    {Given.Words.begin() + Taken, Given.Words.end()});
}

} // namespace currantgauge::cli
