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

int queryAndPrint(const Options &Opts, const core::OperatorCommand &Query) {
  return printReply(queryNode(Opts, Query).Reply, Opts);
}

// Builds the query from JSON, so that the codec parses and validates the id.
int queryById(const Options &Opts, const char *QueryName, const char *Key,
              const std::string &Id) {
  std::string Error;
  auto Parsed = http::parseCommand(
      nlohmann::json{{"query", QueryName}, {Key, Id}}.dump(
          -1, ' ', false, nlohmann::json::error_handler_t::replace),
      Error);
  if (Parsed)
    return queryAndPrint(Opts, *Parsed);
  std::cerr << "error: " << Error << "\n";
  return ExitUsageError;
}

} // namespace

int runStatus(const Options &Opts, const ArgumentList &) {
  return queryAndPrint(Opts, core::StatusCommand{});
}

int runExplain(const Options &Opts, const ArgumentList &Arguments) {
  return queryById(Opts, "explain", "request", Arguments[0]);
}

int runDrain(const Options &Opts, const ArgumentList &Arguments) {
  return queryAndPrint(
      Opts, core::DrainCommand{base::BackendName(Arguments[0]), Opts.Undo});
}

int runQuarantineList(const Options &Opts, const ArgumentList &) {
  return queryAndPrint(Opts, core::QuarantineListCommand{});
}

int runQuarantineClear(const Options &Opts, const ArgumentList &Arguments) {
  return queryById(Opts, "quarantine_clear", "fingerprint", Arguments[0]);
}

} // namespace currantgauge::cli
