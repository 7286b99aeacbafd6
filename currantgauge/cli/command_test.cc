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

// errorOf() returns what a command line prints to the standard error.
std::string errorOf(std::initializer_list<const char *> Words) {
  std::ostringstream Caught;
  std::streambuf *Before = std::cerr.rdbuf(Caught.rdbuf());
  run(Words);
  std::cerr.rdbuf(Before);
  return Caught.str();
}

} // namespace

TEST_CASE("usage mistakes end with exit code 2") {
  CHECK(run({}) == ExitUsage);
  CHECK(run({"staus"}) == ExitUsage);
  CHECK(run({"status", "--nodes=1"}) == ExitUsage);
  CHECK(run({"status", "--wait"}) == ExitUsage);
  CHECK(run({"drain"}) == ExitUsage);
  CHECK(run({"serve"}) == ExitUsage);
  CHECK(run({"explain", "--node=127.0.0.1:1", "zz"}) == ExitUsage);
}

TEST_CASE("a usage mistake says what would be right") {
  CHECK(errorOf({"config"}).find("config needs one of: check, diff") !=
        std::string::npos);
  CHECK(errorOf({"quarantine"}).find("clear, list") != std::string::npos);
  CHECK(errorOf({"push"}).find("did you mean config push?") !=
        std::string::npos);
  CHECK(errorOf({"config", "psh"}).find("did you mean config push?") !=
        std::string::npos);
}

TEST_CASE("a failed operation ends with exit code 1") {
  CHECK(run({"config", "check", "/nonexistent"}) == ExitFailed);
  CHECK(run({"status", "--node=127.0.0.1:1"}) == ExitFailed);
}

TEST_CASE("help and version end with exit code 0") {
  CHECK(run({"version"}) == ExitDone);
  CHECK(run({"help", "config", "push"}) == ExitDone);
}

TEST_CASE("every command has help and stands in the completion script") {
  std::string Script = formatCompletion();
  for (const Command &What : allCommands()) {
    CHECK(formatHelp(What).find(What.Summary) != std::string::npos);
    CHECK(Script.find("\"" + What.Name + "\"*)") != std::string::npos);
    for (const std::string &Flag : What.Flags)
      CHECK_FALSE(describeFlag(Flag).Text.empty());
  }
}

TEST_CASE("completion knows what stands where") {
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

TEST_CASE("tables are aligned and show no control bytes") {
  core::OperatorTable Table{
      "nodes", {"node", "phase"}, {{"a-long-name", "alive"}, {"b\x1b", "x"}}};
  CHECK(formatTable(Table, false) == "nodes (2)\n"
                                     "  node         phase\n"
                                     "  a-long-name  alive\n"
                                     "  b?           x\n");
  CHECK(formatTable(Table, true).find("\x1b[1m") != std::string::npos);
}

} // namespace currantgauge::cli
