#include "currantgauge/telemetry/log_budget.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace currantgauge::telemetry {
namespace {

constexpr base::TimePoint Start{};
constexpr base::ByteCount Size{100};

core::LogLine refused(const std::string &Reason) {
  return {core::LogLevel::Info,
          "request_failed",
          {{"request", "1-2"}, {"reason", Reason}},
          core::LogTopic::Request};
}

core::LogLine ejected(int Server) {
  return {core::LogLevel::Warn,
          "server_ejected",
          {{"reason", "server " + std::to_string(Server)}},
          core::LogTopic::Node};
}

int admitted(LogBudget &Budget, const core::LogLine &Line, int Count) {
  int Passed = 0;
  for (int I = 0; I < Count; ++I)
    Passed += admitLine(Budget, Line, Size, Start) ? 1 : 0;
  return Passed;
}

std::string fieldOf(const core::LogLine &Line, const std::string &Key) {
  for (const auto &[Name, Value] : Line.Fields)
    if (Name == Key)
      return Value;
  return "";
}

} // namespace

TEST_CASE("the first lines of each reason pass, and the rest is counted") {
  LogBudget Budget;
  CHECK(admitted(Budget, refused("queue_full"), 500) == 10);
  CHECK(admitted(Budget, refused("no_backend"), 3) == 3);
  std::vector<core::LogLine> Told = endWindow(Budget, Start + LogWindow);
  REQUIRE(Told.size() == 1);
  CHECK(Told[0].Event == "lines_left_out");
  CHECK(fieldOf(Told[0], "of") == "request_failed");
  CHECK(fieldOf(Told[0], "reason") == "queue_full");
  CHECK(fieldOf(Told[0], "left_out") == "490");
  CHECK(fieldOf(Told[0], "written") == "10");
}

TEST_CASE("a new window starts with a whole budget, and not before its time") {
  LogBudget Budget;
  admitted(Budget, refused("queue_full"), 500);
  CHECK(endWindow(Budget, Start + LogWindow - base::milliseconds(1)).empty());
  CHECK(admitted(Budget, refused("queue_full"), 1) == 0);
  CHECK(endWindow(Budget, Start + LogWindow).size() == 1);
  CHECK(admitted(Budget, refused("queue_full"), 500) == 10);
}

TEST_CASE("lines about requests leave room for those about the node") {
  LogBudget Budget;
  Budget.Limits = {.Lines = 40, .Bytes = {1000000}, .LinesPerKind = 1000};
  CHECK(admitted(Budget, refused("queue_full"), 100) == 30);
  CHECK(admitted(Budget, ejected(1), 5) == 5);
  CHECK(admitted(Budget, ejected(2), 100) == 5);
}

TEST_CASE("bytes are bounded as lines are") {
  LogBudget Budget;
  Budget.Limits = {.Lines = 1000, .Bytes = {1000}, .LinesPerKind = 1000};
  CHECK(admitted(Budget, refused("queue_full"), 100) == 7);
  CHECK(admitted(Budget, ejected(1), 100) == 3);
}

} // namespace currantgauge::telemetry
