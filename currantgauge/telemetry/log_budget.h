// Rate limit of the log. In each window, the first lines of every kind are
// written, where a kind is an event and its reason; the rest are omitted,
// counted and reported when the window ends. Lines about requests may use only
// a part of the limits on all lines and bytes.
//
//   if (!admitLine(Budget, Line, Size, Now)) return;
//   for (core::LogLine &Summary : endWindow(Budget, Now)) write(Summary);
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

// LogWindow is the duration of a window.
constexpr base::Duration LogWindow = base::seconds(1);

// LogLimits are the limits per window on written lines, set by NodeSettings.
struct LogLimits {
  std::uint32_t Lines = 200;        // of all kinds
  base::ByteCount Bytes{96 * 1024}; // of all kinds
  std::uint32_t LinesPerKind = 10;  // of the same event and reason
};

// LineKind is the event of a line and its field "reason".
using LineKind = std::pair<std::string, std::string>;

// KindCounts counts the lines of a kind in the current window.
struct KindCounts {
  std::uint32_t Written = 0;
  std::uint64_t LeftOut = 0; // omitted by one of the limits
};

// LogBudget is the state of the current window.
struct LogBudget {
  LogLimits Limits;
  base::TimePoint Start;
  std::uint32_t Lines = 0; // written
  base::ByteCount Bytes;   // of the written lines, estimated
  std::map<LineKind, KindCounts> Kinds;
  std::uint64_t LeftOut = 0; // lines of all kinds
};

// admitLine() returns true when a line may be written in the current window,
// and counts it as written or omitted. Call endWindow() before it. Size is the
// estimated length of the line as written.
bool admitLine(LogBudget &Budget, const core::LogLine &Line,
               base::ByteCount Size, base::TimePoint Now);

// endWindow() starts a new window if the current one is over. Then it returns a
// line "lines_left_out" for each kind of which lines were omitted, else none.
std::vector<core::LogLine> endWindow(LogBudget &Budget, base::TimePoint Now);

} // namespace currantgauge::telemetry

#endif // CURRANTGAUGE_TELEMETRY_LOG_BUDGET_H
