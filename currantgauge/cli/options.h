// The parsed command line as a plain struct. The gflags variables, which are
// global, are private to options.cc.
//
//   Options Opts;
//   std::string Error;
//   if (!parseArguments(Argc, Argv, Opts, Error)) ...
#ifndef CURRANTGAUGE_CLI_OPTIONS_H
#define CURRANTGAUGE_CLI_OPTIONS_H

#include "currantgauge/base/ids.h"
#include "currantgauge/base/units.h"

#include <cstdint>
#include <string>
#include <vector>

namespace currantgauge::cli {

// Exit codes of all commands.
constexpr int ExitSuccess = 0;
constexpr int ExitFailure = 1;
constexpr int ExitUsageError = 2;

// OutputFormat is the format of a command's output.
enum class OutputFormat { Table, Json };

// Options are the flags and positional arguments of a command line.
struct Options {
  std::vector<std::string> PositionalArguments; // the command and its arguments
  std::vector<std::string> GivenFlags;          // names of the flags set
  bool Help = false;
  bool Version = false;
  OutputFormat Output = OutputFormat::Table;
  bool UseColor = false;
  base::NetAddress NodeAddress;
  std::string Token;
  std::string CaPath; // PEM file of the certificate authority; empty: no TLS
  std::string SettingsPath;
  std::string JournalPath;
  std::string Author;
  std::uint64_t BaseVersion = 0; // of a push; 0: the version in force
  bool Wait = false;             // for every node to have the pushed version
  bool Undo = false;             // end the drain of a backend server
  // Limits each query and, if Wait is set, also the wait for every node.
  base::Duration Timeout = base::seconds(30);
};

// parseArguments() fills Opts from the command line and the environment.
// Returns false and sets Error if a flag is unknown or its value is missing or
// invalid.
bool parseArguments(int Count, char **Arguments, Options &Opts,
                    std::string &Error);

// FlagHelp describes a flag.
struct FlagHelp {
  std::string Name;
  std::string Description;
  std::string Default;
};

// describeFlag() returns the help for a flag. An unknown flag has an empty
// description.
FlagHelp describeFlag(const std::string &Name);

} // namespace currantgauge::cli

#endif // CURRANTGAUGE_CLI_OPTIONS_H
