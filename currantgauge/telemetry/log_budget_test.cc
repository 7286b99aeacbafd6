#include "currantgauge/telemetry/log_budget.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace currantgauge::telemetry {
namespace {

constexpr base::TimePoint Start{};
constexpr base::ByteCount Size{100}; // of each line

core::LogLine makeRequestLine(const std::string &Reason) {
  return {core::LogLevel::Info,
          "request_failed",
          {{"request", "1-2"}, {"reason", Reason}},
          core::LogTopic::Request};
}

core::LogLine makeNodeLine(int Server) {
  return {core::LogLevel::Warn,
          "server_ejected",
          {{"reason", "server " + std::to_string(Server)}},
          core::LogTopic::Node};
}

// Offers a line Count times. Returns how often it was admitted.
int admitLines(LogBudget &Budget, const core::LogLine &Line, int Count) {
  int Admitted = 0;
  for (int I = 0; I < Count; ++I)
    Admitted += admitLine(Budget, Line, Size, Start) ? 1 : 0;
  return Admitted;
}

std::string getFieldValue(const core::LogLine &Line, const std::string &Key) {
  for (const auto &[Name, Value] : Line.Fields)
    if (Name == Key)
      return Value;
  return "";
}

} // namespace

TEST_CASE(
    "the first lines of each reason are written and the rest are counted") {
  LogBudget Budget;
  CHECK(admitLines(Budget, makeRequestLine("queue_full"), 500) == 10);
  CHECK(admitLines(Budget, makeRequestLine("no_backend"), 3) == 3);
  std::vector<core::LogLine> Summaries = endWindow(Budget, Start + LogWindow);
  REQUIRE(Summaries.size() == 1);
  CHECK(Summaries[0].Event == "lines_left_out");
  CHECK(getFieldValue(Summaries[0], "of") == "request_failed");
  CHECK(getFieldValue(Summaries[0], "reason") == "queue_full");
  CHECK(getFieldValue(Summaries[0], "left_out") == "490");
  CHECK(getFieldValue(Summaries[0], "written") == "10");
}

TEST_CASE("a new window starts with a full budget and not early") {
  LogBudget Budget;
  admitLines(Budget, makeRequestLine("queue_full"), 500);
  CHECK(endWindow(Budget, Start + LogWindow - base::milliseconds(1)).empty());
  CHECK(admitLines(Budget, makeRequestLine("queue_full"), 1) == 0);
  CHECK(endWindow(Budget, Start + LogWindow).size() == 1);
  CHECK(admitLines(Budget, makeRequestLine("queue_full"), 500) == 10);
}

TEST_CASE("request lines leave room for node lines") {
  LogBudget Budget;
  Budget.Limits = {.Lines = 40, .Bytes = {1000000}, .LinesPerKind = 1000};
  CHECK(admitLines(Budget, makeRequestLine("queue_full"), 100) == 30);
  CHECK(admitLines(Budget, makeNodeLine(1), 5) == 5);
  CHECK(admitLines(Budget, makeNodeLine(2), 100) == 5);
}

TEST_CASE("bytes are limited like lines") {
  LogBudget Budget;
  Budget.Limits = {.Lines = 1000, .Bytes = {1000}, .LinesPerKind = 1000};
  CHECK(admitLines(Budget, makeRequestLine("queue_full"), 100) == 7);
  CHECK(admitLines(Budget, makeNodeLine(1), 100) == 3);
}

} // namespace currantgauge::telemetry
