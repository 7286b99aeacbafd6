#include "currantgauge/cli/push.h"

#include "currantgauge/cli/operator_client.h"
#include "currantgauge/cli/push_changes.h"
#include "currantgauge/cli/table.h"

#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <random>
#include <thread>

namespace currantgauge::cli {
namespace {

// Between status queries while waiting for every node.
constexpr std::chrono::milliseconds PollInterval{500};
// Between attempts of a push that got no reply.
constexpr std::chrono::milliseconds RetryInterval{250};
constexpr int MaxPushAttempts = 4;

base::PushId makePushId() {
  std::random_device Device;
  std::uint64_t Number =
      (static_cast<std::uint64_t>(Device()) << 32) | Device();
  return base::PushId("p" + std::to_string(Number));
}

std::uint64_t parseNumber(const std::string &Text) {
  return std::strtoull(Text.c_str(), nullptr, 10);
}

// Repeats a push only if no reply was received. That is safe because of its id:
// a node that has already accepted it returns the version it became.
QueryResult pushWithRetries(const Options &Opts,
                            const core::ConfigPushCommand &Push) {
  QueryResult Result;
  for (int Attempt = 0; Attempt < MaxPushAttempts; ++Attempt) {
    if (Attempt > 0)
      std::this_thread::sleep_for(RetryInterval);
    Result = queryNode(Opts, Push);
    if (Result.ReplyReceived)
      return Result;
  }
  return Result;
}

const core::OperatorTable *findTable(const core::OperatorReply &Reply,
                                     const std::string &Title) {
  for (const core::OperatorTable &Table : Reply.Tables)
    if (Table.Title == Title)
      return &Table;
  return nullptr;
}

// Returns whether the lowest version in every failure domain is at least
// Version. The columns of the table "configuration" are: failure domain, number
// of nodes, number of nodes at the version in force on the queried node, lowest
// version.
bool isOnEveryNode(const core::OperatorTable &Domains, std::uint64_t Version) {
  for (const auto &Row : Domains.Rows)
    if (Row.size() < 4 || parseNumber(Row[3]) < Version)
      return false;
  return !Domains.Rows.empty();
}

int waitForEveryNode(const Options &Opts, std::uint64_t Version) {
  auto Deadline = std::chrono::steady_clock::now() +
                  std::chrono::microseconds(Opts.Timeout.Micros);
  std::string LastPrinted;
  do {
    QueryResult Result = queryNode(Opts, core::StatusCommand{});
    const core::OperatorTable *Domains =
        findTable(Result.Reply, "configuration");
    std::string Printed = Domains ? formatTable(*Domains, Opts.UseColor) : "";
    if (Printed != LastPrinted && Opts.Output == OutputFormat::Table)
      std::cout << Printed << std::flush;
    LastPrinted = Printed;
    if (Domains && isOnEveryNode(*Domains, Version))
      return ExitSuccess;
    std::this_thread::sleep_for(PollInterval);
  } while (std::chrono::steady_clock::now() < Deadline);
  std::cerr << "error: version " << Version
            << " was accepted, but not all nodes had it within --timeout\n";
  return ExitFailure;
}

} // namespace

int pushDocument(const Options &Opts, const std::string &Text) {
  core::ConfigPushCommand Push;
  Push.Push = makePushId();
  Push.Author = Opts.Author.empty() ? "unknown" : Opts.Author;
  Push.BaseVersion = base::ConfigVersion(Opts.BaseVersion);
  auto SendQuery = [&](const core::OperatorCommand &Query) {
    return queryNode(Opts, Query).Reply;
  };
  core::OperatorReply PlanError;
  PlanError.Error = planPush(Text, SendQuery, Push);
  if (!PlanError.Error.empty())
    return printReply(PlanError, Opts);
  QueryResult Result = pushWithRetries(Opts, Push);
  if (Result.Reply.Error == core::FullPushRequiredError) {
    setFullText(Text, Push);
    Result = pushWithRetries(Opts, Push);
  }
  int Code = printReply(Result.Reply, Opts);
  if (Code != ExitSuccess || !Opts.Wait)
    return Code;
  return waitForEveryNode(Opts, parseNumber(getField(Result.Reply, "version")));
}

} // namespace currantgauge::cli
