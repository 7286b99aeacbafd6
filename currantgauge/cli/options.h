// What the command line says, as a plain struct: the flags themselves are
// globals of gflags and stay in options.cc.
//
//   Options Given;
//   std::string Error;
//   if (!parseArguments(Argc, Argv, Given, Error)) ...
#ifndef CURRANTGAUGE_CLI_OPTIONS_H
#define CURRANTGAUGE_CLI_OPTIONS_H

#include "currantgauge/base/ids.h"
#include "currantgauge/base/units.h"

#include <cstdint>
#include <string>
#include <vector>

namespace currantgauge::cli {

// Exit codes of every command.
constexpr int ExitDone = 0;
constexpr int ExitFailed = 1;
constexpr int ExitUsage = 2;

// OutputFormat is how a command prints what it found.
enum class OutputFormat { Table, Json };

// Options are the flags and words of one command line.
struct Options {
  std::vector<std::string> Words; // the command and its arguments
  std::vector<std::string> Given; // names of the flags that were given
  bool Help = false;
  bool Version = false;
  OutputFormat Output = OutputFormat::Table;
  bool Colour = false;
  base::NetAddress Node;
  std::string Token;
  std::string Authority; // PEM file of the authority; empty: no TLS
  std::string Settings;
  std::string Journal;
  std::string Author;
  std::uint64_t Base = 0; // version; 0: the one in force
  bool Wait = false;
  bool Undo = false;
  base::Duration TimeLimit = base::seconds(30);
};

// parseArguments() fills Given from the command line. Returns false and a
// sentence in Error when a flag is unknown or malformed.
bool parseArguments(int Count, char **Arguments, Options &Given,
                    std::string &Error);

// FlagHelp describes one flag.
struct FlagHelp {
  std::string Name;
  std::string Text;
  std::string Default;
};

// describeFlag() returns the help of a flag by its name.
FlagHelp describeFlag(const std::string &Name);

} // namespace currantgauge::cli

#endif // CURRANTGAUGE_CLI_OPTIONS_H
