#include "currantgauge/telemetry/log_budget.h"

#include <algorithm>

namespace currantgauge::telemetry {
namespace {

// Of a window's lines and bytes. A flood must not hide what the node learnt of
// its peers and backend servers meanwhile.
constexpr double RequestShare = 0.75;

LineKind kindOf(const core::LogLine &Line) {
  auto Reason =
      std::find_if(Line.Fields.begin(), Line.Fields.end(),
                   [](const auto &Field) { return Field.first == "reason"; });
  return {Line.Event,
          Reason == Line.Fields.end() ? std::string() : Reason->second};
}

bool fits(const LogBudget &Budget, const core::LogLine &Line,
          base::ByteCount Size) {
  double Share = Line.Topic == core::LogTopic::Request ? RequestShare : 1;
  return Budget.Lines + 1 <= Share * Budget.Limits.Lines &&
         static_cast<double>((Budget.Bytes + Size).Bytes) <=
             Share * static_cast<double>(Budget.Limits.Bytes.Bytes);
}

} // namespace

bool admitLine(LogBudget &Budget, const core::LogLine &Line,
               base::ByteCount Size, base::TimePoint Now) {
  KindUse &Use = Budget.Kinds[kindOf(Line)];
  if (Use.Written >= Budget.Limits.LinesPerKind || !fits(Budget, Line, Size)) {
    ++Use.LeftOut;
    ++Budget.LeftOut;
    return false;
  }
  ++Use.Written;
  ++Budget.Lines;
  Budget.Bytes = Budget.Bytes + Size;
  return true;
}

std::vector<core::LogLine> endWindow(LogBudget &Budget, base::TimePoint Now) {
  std::vector<core::LogLine> Told;
  if (Now < Budget.Start + LogWindow)
    return Told;
  for (const auto &[Kind, Use] : Budget.Kinds)
    if (Use.LeftOut > 0)
      Told.push_back(core::LogLine{
          core::LogLevel::Info,
          "lines_left_out",
          {{"of", Kind.first},
           {"reason", Kind.second},
           {"left_out", std::to_string(Use.LeftOut)},
           {"written", std::to_string(Use.Written)},
           {"since_ms", std::to_string(base::toMillis(Now - Budget.Start))}}});
  Budget = LogBudget{Budget.Limits, Now, 0, {}, {}, 0};
  return Told;
}

} // namespace currantgauge::telemetry
