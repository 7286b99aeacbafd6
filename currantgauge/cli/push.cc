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

constexpr std::chrono::milliseconds PollInterval{500};
constexpr std::chrono::milliseconds RetryInterval{250};
constexpr int PushTries = 4;

base::PushId freshPushId() {
  std::random_device Device;
  std::uint64_t Number =
      (static_cast<std::uint64_t>(Device()) << 32) | Device();
  return base::PushId("p" + std::to_string(Number));
}

std::uint64_t numberOf(const std::string &Text) {
  return std::strtoull(Text.c_str(), nullptr, 10);
}

// The push id makes a repeated push harmless: a node that accepted the first
// one answers the second with the version it became.
NodeAnswer pushUntilAnswered(const Options &Given,
                             const core::ConfigPushCommand &Push) {
  NodeAnswer Answer;
  for (int Try = 0; Try < PushTries; ++Try) {
    if (Try > 0)
      std::this_thread::sleep_for(RetryInterval);
    Answer = askNode(Given, Push);
    if (Answer.Reached)
      return Answer;
  }
  return Answer;
}

const core::OperatorTable *findTable(const core::OperatorReply &Reply,
                                     const std::string &Title) {
  for (const core::OperatorTable &Table : Reply.Tables)
    if (Table.Title == Title)
      return &Table;
  return nullptr;
}

// Rows of the table "configuration" are: failure domain, nodes, nodes that
// have the version in force at the asked node, lowest version.
bool isEverywhere(const core::OperatorTable &Spread, std::uint64_t Version) {
  for (const auto &Row : Spread.Rows)
    if (Row.size() < 4 || numberOf(Row[3]) < Version)
      return false;
  return !Spread.Rows.empty();
}

int waitUntilEverywhere(const Options &Given, std::uint64_t Version) {
  auto Deadline = std::chrono::steady_clock::now() +
                  std::chrono::microseconds(Given.TimeLimit.Micros);
  std::string LastShown;
  do {
    NodeAnswer Answer = askNode(Given, core::StatusCommand{});
    const core::OperatorTable *Spread =
        findTable(Answer.Reply, "configuration");
    std::string Shown = Spread ? formatTable(*Spread, Given.Colour) : "";
    if (Shown != LastShown && Given.Output == OutputFormat::Table)
      std::cout << Shown << std::flush;
    LastShown = Shown;
    if (Spread && isEverywhere(*Spread, Version))
      return ExitDone;
    std::this_thread::sleep_for(PollInterval);
  } while (std::chrono::steady_clock::now() < Deadline);
  std::cerr << "error: version " << Version
            << " is accepted, but some nodes don't have it yet\n";
  return ExitFailed;
}

} // namespace

int pushDocument(const Options &Given, const std::string &Text) {
  core::ConfigPushCommand Push;
  Push.Push = freshPushId();
  Push.Author = Given.Author.empty() ? "unknown" : Given.Author;
  Push.BaseVersion = base::ConfigVersion(Given.Base);
  auto Ask = [&](const core::OperatorCommand &Query) {
    return askNode(Given, Query).Reply;
  };
  core::OperatorReply Failed;
  Failed.Error = planPush(Text, Ask, Push);
  if (!Failed.Error.empty())
    return printReply(Failed, Given);
  NodeAnswer Answer = pushUntilAnswered(Given, Push);
  if (Answer.Reply.Error == core::FullPushRequiredError) {
    sendWhole(Text, Push);
    Answer = pushUntilAnswered(Given, Push);
  }
  int Code = printReply(Answer.Reply, Given);
  if (Code != ExitDone || !Given.Wait)
    return Code;
  return waitUntilEverywhere(Given, numberOf(fieldOf(Answer.Reply, "version")));
}

} // namespace currantgauge::cli
