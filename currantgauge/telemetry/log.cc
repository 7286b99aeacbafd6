#include "currantgauge/telemetry/log.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/spi/loggingevent.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <memory>
#include <utility>

namespace currantgauge::telemetry {
namespace {

struct JsonLayout : log4cplus::Layout {
  std::string Node;

  explicit JsonLayout(std::string Name) : Node(std::move(Name)) {}

  // The message is an object already, made by writeLog().
  void
  formatAndAppend(log4cplus::tostream &Output,
                  const log4cplus::spi::InternalLoggingEvent &Event) override {
    auto SinceEpoch = Event.getTimestamp().time_since_epoch();
    nlohmann::ordered_json Line;
    Line["time_ms"] =
        std::chrono::duration_cast<std::chrono::milliseconds>(SinceEpoch)
            .count();
    Line["level"] =
        log4cplus::getLogLevelManager().toString(Event.getLogLevel());
    Line["node"] = this->Node;
    auto Fields =
        nlohmann::ordered_json::parse(Event.getMessage(), nullptr, false);
    if (Fields.is_object())
      Line.update(Fields);
    else
      Line["event"] = Event.getMessage();
    Output << Line.dump(-1, ' ', false,
                        nlohmann::json::error_handler_t::replace)
           << "\n";
  }
};

log4cplus::LogLevel levelOf(core::LogLevel Level) {
  switch (Level) {
  case core::LogLevel::Debug:
    return log4cplus::DEBUG_LOG_LEVEL;
  case core::LogLevel::Info:
    return log4cplus::INFO_LOG_LEVEL;
  case core::LogLevel::Warn:
    return log4cplus::WARN_LOG_LEVEL;
  case core::LogLevel::Error:
    return log4cplus::ERROR_LOG_LEVEL;
  }
  return log4cplus::INFO_LOG_LEVEL;
}

log4cplus::LogLevel levelNamed(const std::string &Name) {
  if (Name == "debug")
    return log4cplus::DEBUG_LOG_LEVEL;
  if (Name == "warn")
    return log4cplus::WARN_LOG_LEVEL;
  if (Name == "error")
    return log4cplus::ERROR_LOG_LEVEL;
  return log4cplus::INFO_LOG_LEVEL;
}

} // namespace

void startLog(const std::string &Level, const std::string &Node) {
  log4cplus::initialize();
  log4cplus::SharedAppenderPtr Appender(
      new log4cplus::ConsoleAppender(true, true));
  Appender->setLayout(std::make_unique<JsonLayout>(Node));
  log4cplus::Logger Root = log4cplus::Logger::getRoot();
  Root.removeAllAppenders();
  Root.addAppender(Appender);
  Root.setLogLevel(levelNamed(Level));
}

void setLogLevel(const std::string &Level) {
  log4cplus::Logger::getRoot().setLogLevel(levelNamed(Level));
}

void writeLog(const core::LogLine &Line) {
  log4cplus::Logger Root = log4cplus::Logger::getRoot();
  log4cplus::LogLevel Level = levelOf(Line.Level);
  if (!Root.isEnabledFor(Level))
    return;
  nlohmann::ordered_json Fields;
  Fields["event"] = Line.What;
  for (const auto &[Key, Value] : Line.Fields)
    Fields[Key] = Value;
  Root.log(Level, Fields.dump(-1, ' ', false,
                              nlohmann::json::error_handler_t::replace));
}

} // namespace currantgauge::telemetry
