#include "currantgauge/cli/command.h"
#include "currantgauge/cli/table.h"

#include <doctest/doctest.h>

#include <initializer_list>
#include <iostream>
#include <sstream>
#include <string>
#include <vector>

namespace currantgauge::cli {
namespace {

int run(std::initializer_list<const char *> Words) {
  std::vector<std::string> Texts(Words.begin(), Words.end());
  Texts.insert(Texts.begin(), "currantgauge");
  std::vector<char *> Arguments;
  for (std::string &Text : Texts)
    Arguments.push_back(Text.data());
  return runCommandLine(static_cast<int>(Arguments.size()), Arguments.data());
}

// captureError() returns what a command line prints to standard error.
std::string captureError(std::initializer_list<const char *> Words) {
  std::ostringstream Captured;
  std::streambuf *Original = std::cerr.rdbuf(Captured.rdbuf());
  run(Words);
  std::cerr.rdbuf(Original);
  return Captured.str();
}

} // namespace

TEST_CASE("usage errors return exit code 2") {
  CHECK(run({}) == ExitUsageError);
  CHECK(run({"staus"}) == ExitUsageError);
  CHECK(run({"status", "--nodes=1"}) == ExitUsageError);
  CHECK(run({"status", "--wait"}) == ExitUsageError);
  CHECK(run({"drain"}) == ExitUsageError);
  CHECK(run({"serve"}) == ExitUsageError);
  CHECK(run({"explain", "--node=127.0.0.1:1", "zz"}) == ExitUsageError);
}

TEST_CASE("usage errors list subcommands or suggest a command") {
  CHECK(captureError({"config"}).find("config needs one of: check, diff") !=
        std::string::npos);
  CHECK(captureError({"quarantine"}).find("clear, list") != std::string::npos);
  CHECK(captureError({"push"}).find("did you mean config push?") !=
        std::string::npos);
  CHECK(captureError({"config", "psh"}).find("did you mean config push?") !=
        std::string::npos);
}

TEST_CASE("a failed operation returns exit code 1") {
  CHECK(run({"config", "check", "/nonexistent"}) == ExitFailure);
  CHECK(run({"status", "--node=127.0.0.1:1"}) == ExitFailure);
}

TEST_CASE("help and version return exit code 0") {
  CHECK(run({"version"}) == ExitSuccess);
  CHECK(run({"help", "config", "push"}) == ExitSuccess);
}

TEST_CASE("every command has help and shell completion") {
  std::string Script = formatCompletion();
  for (const Command &Cmd : allCommands()) {
    CHECK(formatHelp(Cmd).find(Cmd.Summary) != std::string::npos);
    CHECK(Script.find("\"" + Cmd.Name + "\"*)") != std::string::npos);
    for (const std::string &Flag : Cmd.Flags)
      CHECK_FALSE(describeFlag(Flag).Description.empty());
  }
}

TEST_CASE(
    "completion offers subcommands and files and flag values by position") {
  std::string Script = formatCompletion();
  for (const char *Line :
       {"\"config push \"*) files=\"compgen -d\"",
        "\"completion \"*) files=\"compgen -W bash\"",
        "\"replay \"*) files=\"compgen -f\"",
        "\"2 help \"*) words=\"completion",
        "\"2 quarantine \"*) words=\"clear list\"", "words=\"table json\"",
        "--help --version completion"}) {
    CAPTURE(Line);
    CHECK(Script.find(Line) != std::string::npos);
  }
  CHECK(Script.find("\"drain \"*) files") == std::string::npos);
}

TEST_CASE("tables are aligned and control bytes replaced") {
  core::OperatorTable Table{
      "nodes", {"node", "phase"}, {{"a-long-name", "alive"}, {"b\x1b", "x"}}};
  CHECK(formatTable(Table, false) == "nodes (2)\n"
                                     "  node         phase\n"
                                     "  a-long-name  alive\n"
                                     "  b?           x\n");
  CHECK(formatTable(Table, true).find("\x1b[1m") != std::string::npos);
}

} // namespace currantgauge::cli
