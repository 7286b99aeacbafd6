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

// QueuedLine is a line in the queue of the writer thread.
struct QueuedLine {
  core::LogLine Line;
  base::UnixTime Time;
};

struct LogQueue {
  std::atomic<core::LogLevel> MinLevel{core::LogLevel::Info};
  std::mutex Lock; // guards the members below, except Node and Writer
  std::condition_variable Changed;
  LogBudget Budget;
  std::vector<QueuedLine> Lines;
  std::uint64_t UnreportedDropped = 0; // since the last "lines_dropped" line
  LogCounts Counts;
  bool Writing = false;        // the writer thread holds unwritten lines
  bool FlushRequested = false; // flushLog() is waiting
  bool Stopping = false;
  std::string Node;
  std::thread Writer;
};

} // namespace detail

namespace {

using detail::LogQueue;
using detail::QueuedLine;

// Bounds the queue while standard output is blocked, at about half a megabyte.
constexpr std::size_t QueueLimitLines = 1000;
// How long the writer thread collects lines to write them together, because a
// wake-up of the thread costs more than a line.
constexpr std::chrono::milliseconds BatchDelay{100};
// Estimated size of a line without its event and fields: braces, time, level
// and node.
constexpr std::uint64_t FrameBytes = 90;
constexpr std::uint64_t FieldBytes = 6; // a field's quotes, colon and comma

// PlainLayout writes the message, which is a formatted line, as it is.
struct PlainLayout : log4cplus::Layout {
  void
  formatAndAppend(log4cplus::tostream &Output,
                  const log4cplus::spi::InternalLoggingEvent &Event) override {
    Output << Event.getMessage() << "\n";
  }
};

const char *getLevelName(core::LogLevel Level) {
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

core::LogLevel parseLevel(const std::string &Name) {
  for (core::LogLevel Level :
       {core::LogLevel::Debug, core::LogLevel::Warn, core::LogLevel::Error})
    if (Name == getLevelName(Level))
      return Level;
  return core::LogLevel::Info;
}

log4cplus::LogLevel toLibraryLevel(core::LogLevel Level) {
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

base::TimePoint getSteadyTime() {
  return {std::chrono::duration_cast<std::chrono::microseconds>(
              std::chrono::steady_clock::now().time_since_epoch())
              .count()};
}

base::UnixTime getWallTime() {
  return {std::chrono::duration_cast<std::chrono::milliseconds>(
              std::chrono::system_clock::now().time_since_epoch())
              .count()};
}

base::ByteCount estimateSize(const core::LogLine &Line) {
  std::uint64_t Size = FrameBytes + Line.Event.size();
  for (const auto &[Key, Value] : Line.Fields)
    Size += Key.size() + Value.size() + FieldBytes;
  return {Size};
}

std::string formatLine(const QueuedLine &Queued, const std::string &Node) {
  nlohmann::ordered_json Text;
  Text["time_ms"] = Queued.Time.Millis;
  Text["level"] = getLevelName(Queued.Line.Level);
  Text["node"] = Node;
  Text["event"] = Queued.Line.Event;
  for (const auto &[Key, Value] : Queued.Line.Fields)
    Text[Key] = Value;
  return Text.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

// Requires the lock. Returns false, and counts the line as dropped, when the
// queue is full.
bool enqueue(LogQueue &Queue, core::LogLine Line) {
  if (Queue.Lines.size() >= QueueLimitLines) {
    ++Queue.Counts.Dropped;
    ++Queue.UnreportedDropped;
    return false;
  }
  Queue.Lines.push_back({std::move(Line), getWallTime()});
  return true;
}

// Requires the lock. If the window has ended, queues a summary for each kind of
// which lines were omitted.
void enqueueLeftOutSummary(LogQueue &Queue, base::TimePoint Now) {
  for (core::LogLine &Summary : endWindow(Queue.Budget, Now))
    enqueue(Queue, std::move(Summary));
}

// Requires the lock and room in the queue. Queues a line with the number of
// dropped lines, if any.
void enqueueDroppedSummary(LogQueue &Queue) {
  if (Queue.UnreportedDropped == 0)
    return;
  std::string Count = std::to_string(std::exchange(Queue.UnreportedDropped, 0));
  enqueue(Queue,
          core::LogLine{core::LogLevel::Warn,
                        "lines_dropped",
                        {{"why", "standard output was blocked or broken"},
                         {"dropped", Count}}});
}

// Takes all queued lines, after waiting for the first, or for the end of a
// window in which lines were omitted. Returns none when the log stops and no
// lines are left.
std::optional<std::vector<QueuedLine>> takeBatch(LogQueue &Queue) {
  std::unique_lock<std::mutex> Guard(Queue.Lock);
  Queue.Writing = false;
  Queue.Changed.notify_all();
  auto HasWork = [&] { return !Queue.Lines.empty() || Queue.Stopping; };
  if (Queue.Budget.LeftOut > 0)
    Queue.Changed.wait_for(Guard, std::chrono::microseconds(LogWindow.Micros),
                           HasWork);
  else
    Queue.Changed.wait(Guard, HasWork);
  Queue.Changed.wait_for(Guard, BatchDelay, [&] {
    return Queue.FlushRequested || Queue.Stopping;
  });
  enqueueLeftOutSummary(Queue, getSteadyTime());
  if (Queue.Lines.empty() && Queue.Stopping)
    return std::nullopt;
  Queue.Writing = true;
  std::vector<QueuedLine> Batch = std::exchange(Queue.Lines, {});
  enqueueDroppedSummary(Queue);
  return Batch;
}

// Flushes standard output. Returns false if it is broken, for example because
// its reader exited: the caller then counts its batch as dropped. Resets the
// stream's error state, so that the next batch is tried again.
bool flushStream() {
  std::cout.flush();
  bool Flushed = std::cout.good();
  std::cout.clear();
  return Flushed;
}

void writeLines(LogQueue &Queue) {
  log4cplus::Logger Root = log4cplus::Logger::getRoot();
  while (auto Batch = takeBatch(Queue)) {
    for (const QueuedLine &Queued : *Batch)
      Root.log(toLibraryLevel(Queued.Line.Level),
               formatLine(Queued, Queue.Node));
    bool Flushed = flushStream();
    std::lock_guard<std::mutex> Guard(Queue.Lock);
    (Flushed ? Queue.Counts.Written : Queue.Counts.Dropped) += Batch->size();
    Queue.UnreportedDropped += Flushed ? 0 : Batch->size();
  }
}

} // namespace

LogWriter::LogWriter() : Queue(std::make_unique<detail::LogQueue>()) {}

LogWriter::~LogWriter() {
  if (!this->Queue->Writer.joinable())
    return;
  {
    std::lock_guard<std::mutex> Guard(this->Queue->Lock);
    this->Queue->Stopping = true;
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
  Queue.Budget.Start = getSteadyTime();
  Queue.Writer = std::thread([&Queue] { writeLines(Queue); });
}

void setLogLevel(LogWriter &Logs, const std::string &Level) {
  Logs.Queue->MinLevel = parseLevel(Level);
}

void writeLog(LogWriter &Logs, core::LogLine Line) {
  LogQueue &Queue = *Logs.Queue;
  if (Line.Level < Queue.MinLevel)
    return;
  base::ByteCount Size = estimateSize(Line);
  {
    std::lock_guard<std::mutex> Guard(Queue.Lock);
    bool WasEmpty = Queue.Lines.empty();
    base::TimePoint Now = getSteadyTime();
    enqueueLeftOutSummary(Queue, Now);
    if (admitLine(Queue.Budget, Line, Size, Now))
      enqueue(Queue, std::move(Line));
    else
      ++Queue.Counts.LeftOut;
    // Wake the writer thread only for the first line in the queue, or for the
    // first omitted line of a window, whose end the thread then has to wait
    // for.
    if (!WasEmpty || (Queue.Lines.empty() && Queue.Budget.LeftOut > 1))
      return;
  }
  Queue.Changed.notify_all();
}

bool flushLog(LogWriter &Logs, base::Duration Timeout) {
  LogQueue &Queue = *Logs.Queue;
  std::unique_lock<std::mutex> Guard(Queue.Lock);
  Queue.FlushRequested = true;
  Queue.Changed.notify_all();
  bool Flushed = Queue.Changed.wait_for(
      Guard, std::chrono::microseconds(Timeout.Micros),
      [&] { return Queue.Lines.empty() && !Queue.Writing; });
  Queue.FlushRequested = false;
  return Flushed;
}

LogCounts takeLogCounts(LogWriter &Logs) {
  std::lock_guard<std::mutex> Guard(Logs.Queue->Lock);
  return std::exchange(Logs.Queue->Counts, {});
}

} // namespace currantgauge::telemetry
