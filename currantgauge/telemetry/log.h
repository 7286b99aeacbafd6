// Logs: one JSON object a line on standard error, by log4cplus.
//
//   startLog("info", "node-a");
//   writeLog(core::LogLine{core::LogLevel::Info, "started", {}});
#ifndef CURRANTGAUGE_TELEMETRY_LOG_H
#define CURRANTGAUGE_TELEMETRY_LOG_H

#include "currantgauge/core/effect.h"

#include <string>

namespace currantgauge::telemetry {

// startLog() sets the lowest level written: debug, info, warn or error.
void startLog(const std::string &Level, const std::string &Node);

// setLogLevel() takes effect with the next line.
void setLogLevel(const std::string &Level);

// writeLog() writes one line; any thread may call it.
void writeLog(const core::LogLine &Line);

} // namespace currantgauge::telemetry

#endif // CURRANTGAUGE_TELEMETRY_LOG_H
