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

} // namespace

std::string formatCompletion() {
  std::set<std::string> First;
  std::map<std::string, std::set<std::string>> Second;
  std::string Flags;
  for (const Command &What : allCommands()) {
    std::size_t Space = What.Name.find(' ');
    First.insert(What.Name.substr(0, Space));
    if (Space != std::string::npos)
      Second[What.Name.substr(0, Space)].insert(What.Name.substr(Space + 1));
    std::set<std::string> Own = {"--help", "--output=", "--color="};
    for (const std::string &Name : What.Flags)
      Own.insert("--" + Name);
    Flags += "    \"" + What.Name + "\"*) words=\"" + joined(Own) + "\" ;;\n";
  }
  std::string Text = "_currantgauge() {\n"
                     "  local word=\"${COMP_WORDS[COMP_CWORD]}\" words=\"\"\n"
                     "  local line=\"${COMP_WORDS[*]:1}\"\n"
                     "  if [[ $word == -* ]]; then\n"
                     "    case \"$line\" in\n" +
                     Flags + "    esac\n  elif [[ $COMP_CWORD == 1 ]]; then\n" +
                     "    words=\"" + joined(First) + "\"\n" +
                     "  elif [[ $COMP_CWORD == 2 ]]; then\n"
                     "    case \"${COMP_WORDS[1]}\" in\n";
  for (const auto &[Name, Words] : Second)
    Text += "    " + Name + ") words=\"" + joined(Words) + "\" ;;\n";
  return Text + "    esac\n  fi\n"
                "  COMPREPLY=($(compgen -W \"$words\" -- \"$word\"))\n"
                "  [[ ${#COMPREPLY[@]} == 0 && $word != -* ]] && "
                "COMPREPLY=($(compgen -f -- \"$word\"))\n}\n"
                "complete -F _currantgauge currantgauge\n";
}

} // namespace currantgauge::cli
