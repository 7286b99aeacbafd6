#include "currantgauge/cli/options.h"

#include "currantgauge/config/quantity.h"

#include <gflags/gflags.h>

#include <cstdlib>
#include <string_view>
#include <unistd.h>

DEFINE_string(node, "127.0.0.1:8082",
              "IP:port of a node's operators' listener "
              "(environment: CURRANTGAUGE_NODE)");
DEFINE_string(token, "",
              "token of the operators' listener "
              "(environment: CURRANTGAUGE_TOKEN)");
DEFINE_string(ca, "",
              "PEM file of the authority that signed the node's "
              "certificate; given: the listener is asked over TLS");
DEFINE_string(output, "table", "table or json");
DEFINE_string(color, "auto", "auto, always or never");
DEFINE_string(settings, "", "YAML file of the node's settings");
DEFINE_string(journal, "", "file to write the node's events to");
DEFINE_string(author, "", "who pushes (environment: USER)");
DEFINE_uint64(base, 0, "version that the push changes; 0: the one in force");
DEFINE_bool(wait, false, "wait until every node has the new version");
DEFINE_bool(undo, false, "put the backend server back into traffic");
DEFINE_string(timeout, "30s", "longest time to wait, with its unit");
DECLARE_bool(help);
DECLARE_bool(version);

namespace currantgauge::cli {
namespace {

std::string orEnvironment(const std::string &Flag, const char *FlagName,
                          const char *Variable) {
  const char *Value = std::getenv(Variable);
  bool IsDefault = gflags::GetCommandLineFlagInfoOrDie(FlagName).is_default;
  return IsDefault && Value ? Value : Flag;
}

// setFlag() takes "--name=value", "--name value", "--name" and "--noname".
bool setFlag(std::string_view Word, const char *Next, bool &TookNext,
             std::string &Name, std::string &Error) {
  Word.remove_prefix(Word.starts_with("--") ? 2 : 1);
  std::size_t Equals = Word.find('=');
  Name = std::string(Word.substr(0, Equals));
  std::string Value = Equals == std::string_view::npos
                          ? ""
                          : std::string(Word.substr(Equals + 1));
  gflags::CommandLineFlagInfo Info;
  bool IsKnown = gflags::GetCommandLineFlagInfo(Name.c_str(), &Info);
  if (!IsKnown && Name.starts_with("no") &&
      gflags::GetCommandLineFlagInfo(Name.c_str() + 2, &Info) &&
      Info.type == "bool") {
    Name = Name.substr(2);
    Value = "false";
  } else if (!IsKnown) {
    Error = "unknown flag --" + Name;
    return false;
  } else if (Equals == std::string_view::npos && Info.type == "bool") {
    Value = "true";
  } else if (Equals == std::string_view::npos) {
    if (!Next) {
      Error = "--" + Name + " needs a value";
      return false;
    }
    Value = Next;
    TookNext = true;
  }
  if (!gflags::SetCommandLineOption(Name.c_str(), Value.c_str()).empty())
    return true;
  Error = "--" + Name + ": \"" + Value + "\" is malformed";
  return false;
}

bool readChoices(Options &Given, std::string &Error) {
  if (FLAGS_output != "table" && FLAGS_output != "json")
    Error = "--output is table or json";
  if (FLAGS_color != "auto" && FLAGS_color != "always" &&
      FLAGS_color != "never")
    Error = "--color is auto, always or never";
  auto Limit = config::parseDuration(FLAGS_timeout);
  if (!Limit)
    Error = "--timeout is a time with its unit, such as 30s";
  if (!Error.empty())
    return false;
  Given.TimeLimit = *Limit;
  Given.Output =
      FLAGS_output == "json" ? OutputFormat::Json : OutputFormat::Table;
  Given.Colour = FLAGS_color == "always" ||
                 (FLAGS_color == "auto" && isatty(STDOUT_FILENO) == 1);
  return true;
}

bool readFlags(Options &Given, std::string &Error) {
  Given.Help = FLAGS_help;
  Given.Version = FLAGS_version;
  Given.Node =
      base::NetAddress(orEnvironment(FLAGS_node, "node", "CURRANTGAUGE_NODE"));
  Given.Token = orEnvironment(FLAGS_token, "token", "CURRANTGAUGE_TOKEN");
  Given.Author = orEnvironment(FLAGS_author, "author", "USER");
  Given.Authority = FLAGS_ca;
  Given.Settings = FLAGS_settings;
  Given.Journal = FLAGS_journal;
  Given.Base = FLAGS_base;
  Given.Wait = FLAGS_wait;
  Given.Undo = FLAGS_undo;
  if (!config::isNetAddress(Given.Node.Value)) {
    Error = "--node is an IP:port, such as 127.0.0.1:8082";
    return false;
  }
  return readChoices(Given, Error);
}

} // namespace

bool parseArguments(int Count, char **Arguments, Options &Given,
                    std::string &Error) {
  for (int Index = 1; Index < Count; ++Index) {
    std::string_view Word = Arguments[Index];
    if (Word == "--") {
      Given.Words.insert(Given.Words.end(), Arguments + Index + 1,
                         Arguments + Count);
      break;
    }
    if (!Word.starts_with('-') || Word == "-") {
      Given.Words.emplace_back(Word);
      continue;
    }
    const char *Next = Index + 1 < Count ? Arguments[Index + 1] : nullptr;
    bool TookNext = false;
    if (!setFlag(Word, Next, TookNext, Given.Given.emplace_back(), Error))
      return false;
    Index += TookNext ? 1 : 0;
  }
  return readFlags(Given, Error);
}

FlagHelp describeFlag(const std::string &Name) {
  gflags::CommandLineFlagInfo Info;
  if (!gflags::GetCommandLineFlagInfo(Name.c_str(), &Info))
    return FlagHelp{Name, "", ""};
  return FlagHelp{Name, Info.description, Info.default_value};
}

} // namespace currantgauge::cli
