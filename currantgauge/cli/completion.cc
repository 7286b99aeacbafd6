#include "currantgauge/cli/command.h"

#include <map>
#include <set>

namespace currantgauge::cli {
namespace {

std::string joined(const std::set<std::string> &Words) {
  std::string Text;
  for (const std::string &Word : Words)
    Text += (Text.empty() ? "" : " ") + Word;
  return Text;
}

// What a command takes as its first argument, as bash's compgen finds it.
std::string argumentsOf(const Command &What) {
  if (What.Name == "completion")
    return "compgen -W bash";
  if (What.Arguments.find("FOLDER") != std::string::npos)
    return "compgen -d";
  return What.Arguments == "JOURNAL" ? "compgen -f" : "";
}

// Flags with a value end in "=", after which bash starts a word of its own.
std::string flagsOf(const Command &What) {
  std::set<std::string> Own = {"--help", "--output=", "--color="};
  for (const std::string &Name : What.Flags) {
    std::string Default = describeFlag(Name).Default;
    bool IsSwitch = Default == "false" || Default == "true";
    Own.insert("--" + Name + (IsSwitch ? "" : "="));
  }
  return joined(Own);
}

constexpr const char *Head =
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

constexpr const char *Tail =
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
  std::set<std::string> First = {"--help", "--version"};
  std::map<std::string, std::set<std::string>> Second;
  std::string Flags;
  std::string Files;
  for (const Command &What : allCommands()) {
    std::size_t Space = What.Name.find(' ');
    First.insert(What.Name.substr(0, Space));
    Second["help"].insert(What.Name.substr(0, Space));
    if (Space != std::string::npos)
      Second[What.Name.substr(0, Space)].insert(What.Name.substr(Space + 1));
    Flags += "    \"" + What.Name + "\"*) words=\"" + flagsOf(What) + "\" ;;\n";
    if (std::string Found = argumentsOf(What); !Found.empty())
      Files += "    \"" + What.Name + " \"*) files=\"" + Found + "\" ;;\n";
  }
  std::string Text = Head;
  Text += "  elif [[ $COMP_CWORD == 1 ]]; then\n    words=\"" + joined(First) +
          "\"\n  elif [[ $word == -* ]]; then\n    case \"$line\" in\n" +
          Flags + "    esac\n  else\n    case \"$COMP_CWORD $line\" in\n";
  for (const auto &[Name, Words] : Second)
    Text += "    \"2 " + Name + " \"*) words=\"" + joined(Words) + "\" ;;\n";
  return Text + "    esac\n    case \"$line\" in\n" + Files + Tail;
}

} // namespace currantgauge::cli
