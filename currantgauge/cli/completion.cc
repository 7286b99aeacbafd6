#include "currantgauge/cli/command.h"

#include <map>
#include <set>

namespace currantgauge::cli {
namespace {

std::string joinWords(const std::set<std::string> &Words) {
  std::string Text;
  for (const std::string &Word : Words)
    Text += (Text.empty() ? "" : " ") + Word;
  return Text;
}

// getArgumentCompletion() returns the compgen command that completes the
// arguments of a command, or an empty string if they can't be completed.
std::string getArgumentCompletion(const Command &Cmd) {
  if (Cmd.Name == "completion")
    return "compgen -W bash";
  if (Cmd.Arguments.find("FOLDER") != std::string::npos)
    return "compgen -d";
  return Cmd.Arguments == "JOURNAL" ? "compgen -f" : "";
}

// formatFlags() lists a command's flags, including those of all commands. Flags
// that take a value end in "=", after which bash starts a new word.
std::string formatFlags(const Command &Cmd) {
  std::set<std::string> Flags = {"--help", "--output=", "--color="};
  for (const std::string &Name : Cmd.Flags) {
    std::string Default = describeFlag(Name).Default;
    bool IsSwitch = Default == "false" || Default == "true";
    Flags.insert("--" + Name + (IsSwitch ? "" : "="));
  }
  return joinWords(Flags);
}

constexpr const char *ScriptStart =
    "_currantgauge() {\n"
    "  local word=\"${COMP_WORDS[COMP_CWORD]}\" words=\"\" files=\"\"\n"
    "  local previous=\"${COMP_WORDS[COMP_CWORD-1]}\"\n"
    "  local line=\"${COMP_WORDS[*]:1}\"\n"
    "  if [[ $word == = ]]; then previous=$word word=\"\"; fi\n"
    "  if [[ $previous == = ]]; then\n"
    "    case \"${COMP_WORDS[*]:0:COMP_CWORD+1}\" in\n"
    "    *\"--output =\"*) words=\"table json\" ;;\n"
    "    *\"--color =\"*) words=\"auto always never\" ;;\n"
    "    *) files=\"compgen -f\" ;;\n"
    "    esac\n";

constexpr const char *ScriptEnd =
    "    esac\n"
    "  fi\n"
    "  COMPREPLY=($(compgen -W \"$words\" -- \"$word\"))\n"
    "  if [[ -n $files ]]; then COMPREPLY+=($($files -- \"$word\")); fi\n"
    "  if [[ ${COMPREPLY[0]} == *= ]]; then compopt -o nospace 2>/dev/null; "
    "fi\n"
    "}\n"
    "complete -o filenames -F _currantgauge currantgauge\n";

} // namespace

std::string formatCompletion() {
  std::set<std::string> TopLevelWords = {"--help", "--version"};
  std::map<std::string, std::set<std::string>> SecondWords;
  std::string FlagCases;
  std::string ArgumentCases;
  for (const Command &Cmd : allCommands()) {
    std::size_t Space = Cmd.Name.find(' ');
    TopLevelWords.insert(Cmd.Name.substr(0, Space));
    SecondWords["help"].insert(Cmd.Name.substr(0, Space));
    if (Space != std::string::npos)
      SecondWords[Cmd.Name.substr(0, Space)].insert(Cmd.Name.substr(Space + 1));
    FlagCases +=
        "    \"" + Cmd.Name + "\"*) words=\"" + formatFlags(Cmd) + "\" ;;\n";
    if (std::string Completion = getArgumentCompletion(Cmd);
        !Completion.empty())
      ArgumentCases +=
          "    \"" + Cmd.Name + " \"*) files=\"" + Completion + "\" ;;\n";
  }
  std::string Text = ScriptStart;
  Text += "  elif [[ $COMP_CWORD == 1 ]]; then\n    words=\"" +
          joinWords(TopLevelWords) +
          "\"\n  elif [[ $word == -* ]]; then\n    case \"$line\" in\n" +
          FlagCases + "    esac\n  else\n    case \"$COMP_CWORD $line\" in\n";
  for (const auto &[Name, Words] : SecondWords)
    Text += "    \"2 " + Name + " \"*) words=\"" + joinWords(Words) + "\" ;;\n";
  return Text + "    esac\n    case \"$line\" in\n" + ArgumentCases + ScriptEnd;
}

} // namespace currantgauge::cli
