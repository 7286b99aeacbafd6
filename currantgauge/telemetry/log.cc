#include "currantgauge/telemetry/log.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/spi/loggingevent.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <iostream>
#include <iterator>
#include <mutex>
#include <optional>
#include <thread>
#include <utility>
#include <vector>

namespace currantgauge::telemetry {

namespace detail {

// QueuedLine is a line that waits for the writer.
struct QueuedLine {
  core::LogLine Line;
  base::UnixTime When;
};

struct LogQueue {
  std::atomic<core::LogLevel> Lowest{core::LogLevel::Info};
  std::mutex Lock; // of what follows
  std::condition_variable Changed;
  LogBudget Budget;
  std::vector<QueuedLine> Lines;
  std::uint64_t DroppedUntold = 0; // since the last line that told of it
  LogCounts Counts;
  bool Writing = false; // the writer has lines that are not out yet
  bool Hurry = false;   // somebody waits for the lines
  bool Ended = false;
  std::string Node;
  std::thread Writer;
};

} // namespace detail

namespace {

using detail::LogQueue;
using detail::QueuedLine;

// Lines that wait while standard output is blocked; half a megabyte.
constexpr std::size_t QueueLimit = 1000;
// Lines of so long a time are written together: a wake-up costs more than a
// line.
constexpr std::chrono::milliseconds BatchTime{100};
// Of a line, beside its fields: braces, time, level and node.
constexpr std::uint64_t FrameBytes = 90;
constexpr std::uint64_t FieldBytes = 6; // quotes, colon and comma

// The message is a whole line already.
struct PlainLayout : log4cplus::Layout {
  void
  formatAndAppend(log4cplus::tostream &Output,
                  const log4cplus::spi::InternalLoggingEvent &Event) override {
    Output << Event.getMessage() << "\n";
  }
};

const char *levelName(core::LogLevel Level) {
  switch (Level) {
  case core::LogLevel::Debug:
    return "debug";
  case core::LogLevel::Info:
    return "info";
  case core::LogLevel::Warn:
    return "warn";
  case core::LogLevel::Error:
    return "error";
  }
  return "";
}

core::LogLevel levelNamed(const std::string &Name) {
  for (core::LogLevel Level :
       {core::LogLevel::Debug, core::LogLevel::Warn, core::LogLevel::Error})
    if (Name == levelName(Level))
      return Level;
  return core::LogLevel::Info;
}

log4cplus::LogLevel libraryLevel(core::LogLevel Level) {
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

base::TimePoint steadyTime() {
  return {std::chrono::duration_cast<std::chrono::microseconds>(
              std::chrono::steady_clock::now().time_since_epoch())
              .count()};
}

base::UnixTime wallTime() {
  return {std::chrono::duration_cast<std::chrono::milliseconds>(
              std::chrono::system_clock::now().time_since_epoch())
              .count()};
}

base::ByteCount sizeOf(const core::LogLine &Line) {
  std::uint64_t Size = FrameBytes + Line.Event.size();
  for (const auto &[Key, Value] : Line.Fields)
    Size += Key.size() + Value.size() + FieldBytes;
  return {Size};
}

std::string format(const QueuedLine &One, const std::string &Node) {
  nlohmann::ordered_json Text;
  Text["time_ms"] = One.When.Millis;
  Text["level"] = levelName(One.Line.Level);
  Text["node"] = Node;
  Text["event"] = One.Line.Event;
  for (const auto &[Key, Value] : One.Line.Fields)
    Text[Key] = Value;
  return Text.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

// Holds the lock. Returns false when the queue is full.
bool push(LogQueue &Queue, core::LogLine Line) {
  if (Queue.Lines.size() >= QueueLimit) {
    ++Queue.Counts.Dropped;
    ++Queue.DroppedUntold;
    return false;
  }
  Queue.Lines.push_back({std::move(Line), wallTime()});
  return true;
}

// Holds the lock. What was left out is told when its window ends.
void tellLeftOut(LogQueue &Queue, base::TimePoint Now) {
  for (core::LogLine &Told : endWindow(Queue.Budget, Now))
    push(Queue, std::move(Told));
}

// Holds the lock, with room in the queue.
void tellDropped(LogQueue &Queue) {
  if (Queue.DroppedUntold == 0)
    return;
  std::string Count = std::to_string(std::exchange(Queue.DroppedUntold, 0));
  push(Queue, core::LogLine{core::LogLevel::Warn,
                            "lines_dropped",
                            {{"why", "standard output was blocked"},
                             {"dropped", Count}}});
}

// Waits for lines, and for the end of a window that left some out. None: the
// log has ended.
std::optional<std::vector<QueuedLine>> takeBatch(LogQueue &Queue) {
  std::unique_lock<std::mutex> Guard(Queue.Lock);
  Queue.Writing = false;
  Queue.Changed.notify_all();
  auto HasWork = [&] { return !Queue.Lines.empty() || Queue.Ended; };
  if (Queue.Budget.LeftOut > 0)
    Queue.Changed.wait_for(Guard, std::chrono::microseconds(LogWindow.Micros),
                           HasWork);
  else
    Queue.Changed.wait(Guard, HasWork);
  Queue.Changed.wait_for(Guard, BatchTime,
                         [&] { return Queue.Hurry || Queue.Ended; });
  tellLeftOut(Queue, steadyTime());
  if (Queue.Lines.empty() && Queue.Ended)
    return std::nullopt;
  Queue.Writing = true;
  std::vector<QueuedLine> Batch = std::exchange(Queue.Lines, {});
  tellDropped(Queue);
  return Batch;
}

// A reader that went away leaves the stream broken: it is tried again with the
// next lines, and these count as dropped.
bool flushStream() {
  std::cout.flush();
  bool Done = std::cout.good();
  std::cout.clear();
  return Done;
}

void writeLines(LogQueue &Queue) {
  log4cplus::Logger Root = log4cplus::Logger::getRoot();
  while (auto Batch = takeBatch(Queue)) {
    for (const QueuedLine &One : *Batch)
      Root.log(libraryLevel(One.Line.Level), format(One, Queue.Node));
    bool Done = flushStream();
    std::lock_guard<std::mutex> Guard(Queue.Lock);
    (Done ? Queue.Counts.Written : Queue.Counts.Dropped) += Batch->size();
    Queue.DroppedUntold += Done ? 0 : Batch->size();
  }
}

} // namespace

LogWriter::LogWriter() : Queue(std::make_unique<detail::LogQueue>()) {}

LogWriter::~LogWriter() {
  if (!this->Queue->Writer.joinable())
    return;
  {
    std::lock_guard<std::mutex> Guard(this->Queue->Lock);
    this->Queue->Ended = true;
  }
  this->Queue->Changed.notify_all();
  this->Queue->Writer.join();
}

void startLog(LogWriter &Logs, const LogSettings &Settings) {
  log4cplus::initialize();
  log4cplus::SharedAppenderPtr Appender(
      new log4cplus::ConsoleAppender(false, false));
  Appender->setLayout(std::make_unique<PlainLayout>());
  log4cplus::Logger Root = log4cplus::Logger::getRoot();
  Root.removeAllAppenders();
  Root.addAppender(Appender);
  Root.setLogLevel(log4cplus::ALL_LOG_LEVEL);
  setLogLevel(Logs, Settings.Level);
  LogQueue &Queue = *Logs.Queue;
  Queue.Node = Settings.Node;
  Queue.Budget.Limits = Settings.Limits;
  Queue.Budget.Start = steadyTime();
  Queue.Writer = std::thread([&Queue] { writeLines(Queue); });
}

void setLogLevel(LogWriter &Logs, const std::string &Level) {
  Logs.Queue->Lowest = levelNamed(Level);
}

void writeLog(LogWriter &Logs, core::LogLine Line) {
  LogQueue &Queue = *Logs.Queue;
  if (Line.Level < Queue.Lowest)
    return;
  base::ByteCount Size = sizeOf(Line);
  {
    std::lock_guard<std::mutex> Guard(Queue.Lock);
    bool WasEmpty = Queue.Lines.empty();
    base::TimePoint Now = steadyTime();
    tellLeftOut(Queue, Now);
    if (admitLine(Queue.Budget, Line, Size, Now))
      push(Queue, std::move(Line));
    else
      ++Queue.Counts.LeftOut;
    // The writer waits for the first line, or for the end of the window in
    // which the first one was left out.
    if (!WasEmpty || (Queue.Lines.empty() && Queue.Budget.LeftOut > 1))
      return;
  }
  Queue.Changed.notify_all();
}

bool flushLog(LogWriter &Logs, base::Duration Limit) {
  LogQueue &Queue = *Logs.Queue;
  std::unique_lock<std::mutex> Guard(Queue.Lock);
  Queue.Hurry = true;
  Queue.Changed.notify_all();
  bool Done = Queue.Changed.wait_for(
      Guard, std::chrono::microseconds(Limit.Micros),
      [&] { return Queue.Lines.empty() && !Queue.Writing; });
  Queue.Hurry = false;
  return Done;
}

LogCounts takeLogCounts(LogWriter &Logs) {
  std::lock_guard<std::mutex> Guard(Logs.Queue->Lock);
  return std::exchange(Logs.Queue->Counts, {});
}

} // namespace currantgauge::telemetry
