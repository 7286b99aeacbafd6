// Which log lines are written when there are more than the node may write. In
// each window the first lines of every kind pass whole, where a kind is an
// event and its reason; what is left out is counted and told when the window
// ends.
//
//   if (!admitLine(Budget, Line, Bytes, Now)) return;
//   for (core::LogLine &Told : endWindow(Budget, Now)) write(Told);
#ifndef CURRANTGAUGE_TELEMETRY_LOG_BUDGET_H
#define CURRANTGAUGE_TELEMETRY_LOG_BUDGET_H

#include "currantgauge/base/units.h"
#include "currantgauge/core/effect.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace currantgauge::telemetry {

// LogWindow is the span that limits hold for.
constexpr base::Duration LogWindow = base::seconds(1);

// LogLimits bounds the lines of a window; the settings say how many.
struct LogLimits {
  std::uint32_t Lines = 200;
  base::ByteCount Bytes{96 * 1024};
  std::uint32_t LinesPerKind = 10; // of one event and reason
};

// LineKind is the event of a line and its field "reason".
using LineKind = std::pair<std::string, std::string>;

// KindUse counts the lines of a kind in the window at hand.
struct KindUse {
  std::uint32_t Written = 0;
  std::uint64_t LeftOut = 0;
};

// LogBudget is the window at hand.
struct LogBudget {
  LogLimits Limits;
  base::TimePoint Start;
  std::uint32_t Lines = 0;
  base::ByteCount Bytes;
  std::map<LineKind, KindUse> Kinds;
  std::uint64_t LeftOut = 0; // of all kinds
};

// admitLine() says whether a line may be written. Size: its length as written.
bool admitLine(LogBudget &Budget, const core::LogLine &Line,
               base::ByteCount Size, base::TimePoint Now);

// endWindow() opens a new window when the one at hand is over, and returns a
// line "lines_left_out" for each kind of which some were left out.
std::vector<core::LogLine> endWindow(LogBudget &Budget, base::TimePoint Now);

} // namespace currantgauge::telemetry

#endif // CURRANTGAUGE_TELEMETRY_LOG_BUDGET_H
