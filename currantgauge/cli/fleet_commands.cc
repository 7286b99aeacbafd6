#include "currantgauge/cli/commands.h"
#include "currantgauge/cli/operator_client.h"
#include "currantgauge/cli/table.h"
#include "currantgauge/core/operator.h"
#include "currantgauge/http/operator_codec.h"

#include <nlohmann/json.hpp>

#include <iostream>
#include <optional>

namespace currantgauge::cli {
namespace {

int askAndPrint(const Options &Given, const core::OperatorCommand &Query) {
  return printReply(askNode(Given, Query).Reply, Given);
}

// The codec already knows how ids are written, so a word goes through it.
int askWithId(const Options &Given, const char *Query, const char *Key,
              const std::string &Word) {
  std::string Error;
  auto Parsed = http::parseCommand(
      nlohmann::json{{"query", Query}, {Key, Word}}.dump(
          -1, ' ', false, nlohmann::json::error_handler_t::replace),
      Error);
  if (Parsed)
    return askAndPrint(Given, *Parsed);
  std::cerr << "error: " << Error << "\n";
  return ExitUsage;
}

} // namespace

int runStatus(const Options &Given, const Words &) {
  return askAndPrint(Given, core::StatusCommand{});
}

int runExplain(const Options &Given, const Words &Arguments) {
  return askWithId(Given, "explain", "request", Arguments[0]);
}

int runDrain(const Options &Given, const Words &Arguments) {
  return askAndPrint(
      Given, core::DrainCommand{base::BackendName(Arguments[0]), Given.Undo});
}

int runQuarantineList(const Options &Given, const Words &) {
  return askAndPrint(Given, core::QuarantineListCommand{});
}

int runQuarantineClear(const Options &Given, const Words &Arguments) {
  return askWithId(Given, "quarantine_clear", "fingerprint", Arguments[0]);
}

} // namespace currantgauge::cli
