#include "currantgauge/telemetry/log_budget.h"

#include <algorithm>

namespace currantgauge::telemetry {
namespace {

// Share of a window's limits on lines and bytes up to which lines about
// requests are written. The rest is reserved for other lines, such as those
// about peers and backend servers, so that a flood of requests doesn't suppress
// them.
constexpr double RequestShare = 0.75;

LineKind getKind(const core::LogLine &Line) {
  auto It =
      std::find_if(Line.Fields.begin(), Line.Fields.end(),
                   [](const auto &Field) { return Field.first == "reason"; });
  return {Line.Event, It == Line.Fields.end() ? std::string() : It->second};
}

bool fitsBudget(const LogBudget &Budget, const core::LogLine &Line,
                base::ByteCount Size) {
  double Share = Line.Topic == core::LogTopic::Request ? RequestShare : 1;
  return Budget.Lines + 1 <= Share * Budget.Limits.Lines &&
         static_cast<double>((Budget.Bytes + Size).Bytes) <=
             Share * static_cast<double>(Budget.Limits.Bytes.Bytes);
}

} // namespace

bool admitLine(LogBudget &Budget, const core::LogLine &Line,
               base::ByteCount Size, base::TimePoint Now) {
  KindCounts &Counts = Budget.Kinds[getKind(Line)];
  if (Counts.Written >= Budget.Limits.LinesPerKind ||
      !fitsBudget(Budget, Line, Size)) {
    ++Counts.LeftOut;
    ++Budget.LeftOut;
    return false;
  }
  ++Counts.Written;
  ++Budget.Lines;
  Budget.Bytes = Budget.Bytes + Size;
  return true;
}

std::vector<core::LogLine> endWindow(LogBudget &Budget, base::TimePoint Now) {
  std::vector<core::LogLine> Summaries;
  if (Now < Budget.Start + LogWindow)
    return Summaries;
  for (const auto &[Kind, Counts] : Budget.Kinds)
    if (Counts.LeftOut > 0)
      Summaries.push_back(core::LogLine{
          core::LogLevel::Info,
          "lines_left_out",
          {{"of", Kind.first},
           {"reason", Kind.second},
           {"left_out", std::to_string(Counts.LeftOut)},
           {"written", std::to_string(Counts.Written)},
           {"since_ms", std::to_string(base::toMillis(Now - Budget.Start))}}});
  Budget = LogBudget{Budget.Limits, Now, 0, {}, {}, 0};
  return Summaries;
}

} // namespace currantgauge::telemetry
