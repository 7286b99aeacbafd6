#include "currantgauge/cli/options.h"

#include "currantgauge/config/quantity.h"

#include <gflags/gflags.h>

#include <cstdlib>
#include <string_view>
#include <unistd.h>

DEFINE_string(node, "127.0.0.1:8082",
              "IP:port of the node's operators' listener "
              "(environment: CURRANTGAUGE_NODE)");
DEFINE_string(token, "",
              "bearer token for the operators' listener "
              "(environment: CURRANTGAUGE_TOKEN)");
DEFINE_string(ca, "",
              "PEM file of the authority that signed the node's "
              "certificate; enables TLS");
DEFINE_string(output, "table", "output format: table or json");
DEFINE_string(color, "auto", "use of color: auto, always or never");
DEFINE_string(settings, "", "YAML file with the node's settings");
DEFINE_string(journal, "",
              "file to record the node's events and digests of their effects "
              "in; empty: none");
DEFINE_string(author, "", "author of the push (environment: USER)");
DEFINE_uint64(base, 0,
              "version that the push is based on; 0: the one in force");
DEFINE_bool(wait, false, "wait until every node has the new version");
DEFINE_bool(undo, false, "resume traffic to the backend server");
DEFINE_string(timeout, "30s",
              "maximum time to wait for the node's reply and, with --wait, for "
              "every node to have the new version, such as 30s");
DECLARE_bool(help);
DECLARE_bool(version);

namespace currantgauge::cli {
namespace {

// Returns the value of a flag or, if the flag is not given, of the environment
// variable if it is set.
std::string getFlagOrEnvironment(const std::string &Flag, const char *FlagName,
                                 const char *Variable) {
  const char *Value = std::getenv(Variable);
  bool IsDefault = gflags::GetCommandLineFlagInfoOrDie(FlagName).is_default;
  return IsDefault && Value ? Value : Flag;
}

// setFlag() sets a flag from Word: "--name=value", "--name value", where Next
// is the value, or, for a flag that is true or false, "--name" or "--noname".
// One dash works too. Sets Name to the flag's name and TookNext if it used
// Next.
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
  Error = "--" + Name + ": \"" + Value + "\" is not a valid value";
  return false;
}

bool parseFlagValues(Options &Opts, std::string &Error) {
  if (FLAGS_output != "table" && FLAGS_output != "json")
    Error = "--output must be table or json";
  if (FLAGS_color != "auto" && FLAGS_color != "always" &&
      FLAGS_color != "never")
    Error = "--color must be auto, always or never";
  auto Limit = config::parseDuration(FLAGS_timeout);
  if (!Limit)
    Error = "--timeout must be a duration with its unit, such as 30s";
  if (!Error.empty())
    return false;
  Opts.Timeout = *Limit;
  Opts.Output =
      FLAGS_output == "json" ? OutputFormat::Json : OutputFormat::Table;
  Opts.UseColor = FLAGS_color == "always" ||
                  (FLAGS_color == "auto" && isatty(STDOUT_FILENO) == 1);
  return true;
}

bool readFlags(Options &Opts, std::string &Error) {
  Opts.Help = FLAGS_help;
  Opts.Version = FLAGS_version;
  Opts.NodeAddress = base::NetAddress(
      getFlagOrEnvironment(FLAGS_node, "node", "CURRANTGAUGE_NODE"));
  Opts.Token = getFlagOrEnvironment(FLAGS_token, "token", "CURRANTGAUGE_TOKEN");
  Opts.Author = getFlagOrEnvironment(FLAGS_author, "author", "USER");
  Opts.CaPath = FLAGS_ca;
  Opts.SettingsPath = FLAGS_settings;
  Opts.JournalPath = FLAGS_journal;
  Opts.BaseVersion = FLAGS_base;
  Opts.Wait = FLAGS_wait;
  Opts.Undo = FLAGS_undo;
  if (!config::isNetAddress(Opts.NodeAddress.Value)) {
    Error = "--node (or CURRANTGAUGE_NODE) must be IP:port, such as "
            "127.0.0.1:8082";
    return false;
  }
  return parseFlagValues(Opts, Error);
}

} // namespace

bool parseArguments(int Count, char **Arguments, Options &Opts,
                    std::string &Error) {
  for (int Index = 1; Index < Count; ++Index) {
    std::string_view Word = Arguments[Index];
    if (Word == "--") {
      Opts.PositionalArguments.insert(Opts.PositionalArguments.end(),
                                      Arguments + Index + 1, Arguments + Count);
      break;
    }
    if (!Word.starts_with('-') || Word == "-") {
      Opts.PositionalArguments.emplace_back(Word);
      continue;
    }
    const char *Next = Index + 1 < Count ? Arguments[Index + 1] : nullptr;
    bool TookNext = false;
    if (!setFlag(Word, Next, TookNext, Opts.GivenFlags.emplace_back(), Error))
      return false;
    Index += TookNext ? 1 : 0;
  }
  return readFlags(Opts, Error);
}

FlagHelp describeFlag(const std::string &Name) {
  gflags::CommandLineFlagInfo Info;
  if (!gflags::GetCommandLineFlagInfo(Name.c_str(), &Info))
    return FlagHelp{Name, "", ""};
  return FlagHelp{Name, Info.description, Info.default_value};
}

} // namespace currantgauge::cli
