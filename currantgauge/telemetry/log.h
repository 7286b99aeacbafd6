// Asynchronous log: one JSON object per line on standard output, by log4cplus.
// Any thread may queue lines without blocking; one thread writes them.
//
//   LogWriter Logs;
//   startLog(Logs, {"info", "node-a"});
//   writeLog(Logs, core::LogLine{core::LogLevel::Info, "started", {}});
#ifndef CURRANTGAUGE_TELEMETRY_LOG_H
#define CURRANTGAUGE_TELEMETRY_LOG_H

#include "currantgauge/base/units.h"
#include "currantgauge/core/effect.h"
#include "currantgauge/telemetry/log_budget.h"

#include <cstdint>
#include <memory>
#include <string>

namespace currantgauge::telemetry {

namespace detail {
struct LogQueue;
} // namespace detail

// LogSettings are the settings of a log. Level is the lowest level that is
// written: debug, info, warn or error.
struct LogSettings {
  std::string Level = "info";
  std::string Node; // name of this node, written in every line
  LogLimits Limits;
};

// LogCounts counts lines by outcome, except those below the lowest level.
struct LogCounts {
  std::uint64_t Written = 0;
  std::uint64_t LeftOut = 0; // omitted by the rate limit
  std::uint64_t Dropped = 0; // lost: standard output was blocked or broken
};

// LogWriter holds the log queue and writer thread of a process. Lines stay in
// the queue until startLog() starts the thread; call it once.
struct LogWriter {
  LogWriter();
  ~LogWriter();
  LogWriter(const LogWriter &) = delete;
  LogWriter &operator=(const LogWriter &) = delete;

  std::unique_ptr<detail::LogQueue> Queue;
};

void startLog(LogWriter &Logs, const LogSettings &Settings);

// setLogLevel() sets the lowest level that is written, from the next line on.
// An unknown name stands for info.
void setLogLevel(LogWriter &Logs, const std::string &Level);

// writeLog() queues a line unless its level is too low, the rate limit omits it
// or the queue is full; any thread may call it, and it never waits for standard
// output.
void writeLog(LogWriter &Logs, core::LogLine Line);

// flushLog() waits until all queued lines are written or dropped. Returns false
// if that takes longer than Timeout.
bool flushLog(LogWriter &Logs, base::Duration Timeout);

// takeLogCounts() returns the counts since its last call and resets them.
LogCounts takeLogCounts(LogWriter &Logs);

} // namespace currantgauge::telemetry

#endif // CURRANTGAUGE_TELEMETRY_LOG_H
