#include "currantgauge/runtime/serve.h"

#include "currantgauge/config/document.h"
#include "currantgauge/runtime/clock.h"
#include "currantgauge/runtime/heap.h"
#include "currantgauge/runtime/listeners.h"
#include "currantgauge/runtime/node.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <sys/sysinfo.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <optional>
#include <random>
#include <sstream>
#include <tuple>
#include <utility>
#include <vector>

namespace currantgauge::runtime {
namespace {

namespace asio = boost::asio;

// Time to send the last answers before the process exits, and how often it is
// then checked whether slow callers have theirs.
constexpr std::chrono::milliseconds FlushDelay{300};
constexpr std::chrono::milliseconds FlushCheckInterval{20};
// How often the settings file is checked for changes made without a SIGHUP.
constexpr std::chrono::seconds RereadInterval{5};
// How often it is checked whether a crowd of callers has left memory behind.
constexpr std::chrono::seconds TrimInterval{2};
// Share of the fleet's retry bound that is used: nodes may disagree on the
// number of servers, and calls that a repeated run makes count as repeats
// themselves.
constexpr double RetryMargin = 0.9;
// The same where servers fail in spells: runs are repeated more often, so more
// calls count as repeats.
constexpr double UnevenRetryMargin = 0.8;
// Memory of a node whose settings name no limit.
constexpr base::ByteCount MaxDefaultMemory{256UL * 1024 * 1024};
// Shares of the memory for the bodies of requests and for answers. The rest is
// for everything that isn't the content of a message.
constexpr double BodyMemoryShare = 0.5;
constexpr double AnswerMemoryShare = 0.2;
// How long an exiting process waits for a slow reader of its log.
constexpr base::Duration LogFlushTimeout = base::milliseconds(200);

[[noreturn]] void endProcess(Node &Self, int ExitCode) {
  telemetry::flushLog(Self.Logs, LogFlushTimeout);
  std::_Exit(ExitCode);
}

// Returns the limit of the settings, by default MaxDefaultMemory or what the VM
// has, whichever is less.
base::ByteCount getMemoryLimit(const config::NodeSettings &Settings) {
  if (Settings.MemoryLimit > base::ByteCount{})
    return Settings.MemoryLimit;
  struct sysinfo Info = {};
  if (::sysinfo(&Info) != 0)
    return MaxDefaultMemory;
  return std::min(
      MaxDefaultMemory,
      base::ByteCount{std::uint64_t{Info.totalram} * Info.mem_unit});
}

base::ByteCount scaleBytes(base::ByteCount Bytes, double Share) {
  return base::ByteCount{
      static_cast<std::uint64_t>(static_cast<double>(Bytes.Bytes) * Share)};
}

telemetry::LogLimits makeLogLimits(const config::NodeSettings &Settings) {
  telemetry::LogLimits Limits;
  Limits.Lines = Settings.LogLinesPerSecond;
  Limits.LinesPerKind = Settings.LogLinesPerKind;
  Limits.Bytes = Settings.LogBytesPerSecond;
  return Limits;
}

core::NodeIdentity makeIdentity(const config::NodeSettings &Settings) {
  core::NodeIdentity Identity;
  Identity.Name = Settings.Name;
  Identity.Region = Settings.Region;
  Identity.Domain = Settings.Domain;
  Identity.PeerAddress = Settings.AdvertisedPeerAddress;
  Identity.Incarnation =
      base::Incarnation(static_cast<std::uint64_t>(wallNow().Millis));
  Identity.Seeds = Settings.Seeds;
  Identity.Embedded = Settings.Embedded;
  Identity.ActionSecret = Settings.ActionSecret;
  Identity.Feed = {Settings.FeedTable, Settings.FeedKey};
  Identity.Service = Settings.Service;
  Identity.BackendAddress = Settings.BackendAddress;
  Identity.BackendLease = Settings.BackendLease;
  Identity.ActionMaxIdle = Settings.ActionMaxIdle;
  Identity.StopLimit = Settings.StopLimit;
  Identity.StopLinger = Settings.StopLinger;
  double Margin = Settings.UnevenServers ? UnevenRetryMargin : RetryMargin;
  Identity.RetryBound = {Margin * Settings.RetryRatio,
                         Margin * Settings.RetrySlack, Settings.RetryWindow};
  Identity.AcceptsKeys = Settings.AcceptsKeys;
  Identity.FirstStart = Settings.FirstStart;
  Identity.Policy = {Settings.UnevenServers, Settings.ShortageByCost};
  return Identity;
}

// Used for UniqueId::Origin, which is random so that the ids of two nodes
// differ even if both started in the same millisecond, and for the seed of the
// reducer's random numbers.
std::uint64_t drawRandomNumber() {
  std::random_device Device;
  return (static_cast<std::uint64_t>(Device()) << 32) | Device();
}

void initializeNode(Node &Self, const std::string &JournalPath,
                    std::string &Error) {
  const config::NodeSettings &Settings = Self.Settings;
  core::NodeIdentity Identity = makeIdentity(Settings);
  Identity.Origin = drawRandomNumber();
  std::uint64_t Seed = drawRandomNumber();
  Self.State = core::makeState(Identity, Seed);
  if (!Settings.Embedded)
    Self.Store.emplace(Settings.PlatformAddress, store::StoreLimits(),
                       Self.Protocols.Store);
  Self.Callers.Post = [&Self](ControlInput Input) {
    post(Self, std::move(Input));
  };
  Self.Callers.Origin = drawRandomNumber();
  Self.Callers.Dialect = Self.Protocols.Http;
  Self.Callers.Service = Settings.Service;
  Self.Callers.AnswerBuffer = Settings.AnswerBuffer;
  base::ByteCount Memory = getMemoryLimit(Settings);
  Self.BodyMemory.Limit = scaleBytes(Memory, BodyMemoryShare);
  Self.AnswerMemory.Limit = scaleBytes(Memory, AnswerMemoryShare);
  Self.Callers.BodyMemory = &Self.BodyMemory;
  Self.Callers.AnswerMemory = &Self.AnswerMemory;
  Self.Callers.DefaultLimits = {Settings.HeaderLimit, Settings.BodyLimit,
                                Settings.CallerReadTimeout,
                                Settings.CallerIdleTimeout};
  http::setCallerLimits(Self.Callers, config::CallerLimits());
  if (JournalPath.empty())
    return;
  std::error_code JournalError;
  openJournal(Self.EventJournal, JournalPath, Identity, Seed, JournalError);
  if (JournalError)
    Error = JournalPath + ": " + JournalError.message();
}

void startThreads(Node &Self) {
  startTraffic(Self.Traffic,
               std::max<std::uint32_t>(Self.Settings.TrafficThreads, 1));
  for (std::size_t I = 0; I < Self.Traffic.Threads.size(); ++I)
    Self.Pools.push_back(std::make_unique<http::BackendPool>());
  startControl(Self.Control,
               [&Self](ControlInput &Input) { handleInput(Self, Input); });
}

// Pushes the configuration folder named in the settings, if there is one, so
// that a node can be tried out without an operator's push.
void pushConfigFolder(Node &Self) {
  if (Self.Settings.ConfigFolder.empty())
    return;
  std::vector<config::ConfigFile> Files;
  std::error_code Ignored;
  for (const auto &Entry : std::filesystem::directory_iterator(
           Self.Settings.ConfigFolder, Ignored)) {
    std::ifstream In(Entry.path());
    std::stringstream Text;
    Text << In.rdbuf();
    Files.push_back({Entry.path().filename().string(), Text.str()});
  }
  config::SettingsErrors Errors;
  core::ConfigPushCommand Push;
  Push.Text = config::mergeFiles(std::move(Files), Errors);
  Push.Push = base::PushId("start");
  Push.Author = "settings";
  ControlInput Input;
  Input.Body = core::OperatorCommandReceived{base::CallId(), std::move(Push)};
  Input.Reply = [&Self](const core::OperatorReply &Reply) {
    if (!Reply.Error.empty())
      telemetry::writeLog(
          Self.Logs,
          {core::LogLevel::Error, "config_refused", {{"error", Reply.Error}}});
  };
  post(Self, std::move(Input));
}

// StopLatch makes only the first of several requests to stop take effect.
struct StopLatch {
  asio::io_context &Main;
  const std::atomic<std::int64_t> &Unanswered;
  int ExitCode = 0;
  bool Stopped = false;
  bool LimitPassed = false; // slow callers are not waited for any longer
};

void stopOnceAnswered(StopLatch &Latch, std::chrono::milliseconds Delay) {
  auto Timer = std::make_shared<asio::steady_timer>(Latch.Main, Delay);
  Timer->async_wait([&Latch, Timer](auto) {
    if (Latch.LimitPassed || Latch.Unanswered <= 0)
      return Latch.Main.stop();
    stopOnceAnswered(Latch, FlushCheckInterval);
  });
}

void stopMain(StopLatch &Latch, int ExitCode) {
  if (std::exchange(Latch.Stopped, true))
    return;
  Latch.ExitCode = ExitCode;
  stopOnceAnswered(Latch, FlushDelay);
}

void waitForSignal(Node &Self, StopLatch &Latch, asio::signal_set &Signals,
                   asio::steady_timer &StopTimer) {
  Signals.async_wait([&](boost::system::error_code Error, int) {
    if (Error)
      return;
    if (Self.Callers.Stopping.exchange(true)) {
      telemetry::writeLog(
          Self.Logs,
          {core::LogLevel::Warn, "stopped", {{"why", "second signal"}}});
      endProcess(Self, 1);
    }
    post(Self, ControlInput{core::StopRequested{}, {}, {}, {}, {}});
    StopTimer.expires_after(
        std::chrono::microseconds(Self.Settings.StopLimit.Micros));
    StopTimer.async_wait([&](boost::system::error_code TimerError) {
      if (TimerError)
        return;
      telemetry::writeLog(
          Self.Logs,
          {core::LogLevel::Error,
           "stop_limit_passed",
           {{"unanswered", std::to_string(Latch.Unanswered.load())}}});
      Latch.LimitPassed = true;
      stopMain(Latch, 1);
    });
    waitForSignal(Self, Latch, Signals, StopTimer);
  });
}

// SettingsReloader applies changed settings to a running node.
struct SettingsReloader {
  Node &Self;
  const SettingsReader &ReadSettings;
  asio::signal_set HangupSignals;
  asio::steady_timer RereadTimer;
};

// Returns whether the node's identity, an address or the configuration feed
// changed; these settings are only read at the start. Other changes that need a
// restart are not detected.
bool needsRestart(const config::NodeSettings &Old,
                  const config::NodeSettings &New) {
  auto FixedSettings = [](const config::NodeSettings &Settings) {
    return std::tie(Settings.Name, Settings.Region, Settings.Domain,
                    Settings.CallerAddress, Settings.PeerAddress,
                    Settings.AnnouncementAddress, Settings.HealthAddress,
                    Settings.MetricsAddress, Settings.PlatformAddress,
                    Settings.Service, Settings.BackendAddress,
                    Settings.FeedTable, Settings.FeedKey);
  };
  return FixedSettings(Old) != FixedSettings(New);
}

// Applies the log level, the only setting that can change while the node runs.
// Stores it so that scheduleReread() doesn't apply the same file again.
void applySettings(Node &Self, const config::NodeSettings &NewSettings,
                   const char *Trigger) {
  bool NeedsRestart = needsRestart(Self.Settings, NewSettings);
  Self.Settings.LogLevel = NewSettings.LogLevel;
  telemetry::setLogLevel(Self.Logs, NewSettings.LogLevel);
  telemetry::writeLog(Self.Logs,
                      {core::LogLevel::Info,
                       "settings_read",
                       {{"why", Trigger},
                        {"log_level", NewSettings.LogLevel},
                        {"needs_restart", NeedsRestart ? "true" : "false"}}});
}

void waitForHangup(SettingsReloader &Reloader) {
  Reloader.HangupSignals.async_wait(
      [&Reloader](boost::system::error_code Error, int) {
        if (Error)
          return;
        if (std::optional<config::NodeSettings> NewSettings =
                Reloader.ReadSettings())
          applySettings(Reloader.Self, *NewSettings, "signal");
        waitForHangup(Reloader);
      });
}

void scheduleReread(SettingsReloader &Reloader) {
  Reloader.RereadTimer.expires_after(RereadInterval);
  Reloader.RereadTimer.async_wait([&Reloader](boost::system::error_code Error) {
    if (Error)
      return;
    std::optional<config::NodeSettings> NewSettings = Reloader.ReadSettings();
    if (NewSettings && NewSettings->LogLevel != Reloader.Self.Settings.LogLevel)
      applySettings(Reloader.Self, *NewSettings, "file_changed");
    scheduleReread(Reloader);
  });
}

struct HeapTrimmer {
  Node &Self;
  asio::steady_timer Timer;
  HeapTrim Trim;
};

void scheduleTrim(HeapTrimmer &Trimmer) {
  Trimmer.Timer.expires_after(TrimInterval);
  Trimmer.Timer.async_wait([&Trimmer](boost::system::error_code Error) {
    if (Error)
      return;
    base::ByteCount Held{Trimmer.Self.BodyMemory.Used +
                         Trimmer.Self.AnswerMemory.Used};
    if (isTrimDue(Trimmer.Trim, Held))
      trimHeap();
    scheduleTrim(Trimmer);
  });
}

} // namespace

int serveNode(const config::NodeSettings &Settings, const Adapter &Protocols,
              const std::string &JournalPath,
              const SettingsReader &ReadSettings) {
  mapLargeBlocks();
  asio::io_context Main(1);
  auto Work = asio::make_work_guard(Main);
  asio::signal_set Signals(Main, SIGTERM, SIGINT);
  asio::steady_timer StopTimer(Main);
  std::signal(SIGPIPE, SIG_IGN);
  // The node is never destroyed, because callbacks of libraries may still use
  // it while the process exits.
  Node &Self = *new Node;
  StopLatch Latch{Main, Self.Callers.Unanswered};
  Self.Settings = Settings;
  Self.Protocols = Protocols;
  if (Protocols.ApplyTerms)
    Protocols.ApplyTerms(Settings.Terms, Self.Settings);
  telemetry::startLog(Self.Logs, {Settings.LogLevel, Settings.Name.Value,
                                  makeLogLimits(Settings)});
  Self.OnStop = [&Main, &Latch](int ExitCode) {
    asio::post(Main, [&Latch, ExitCode] { stopMain(Latch, ExitCode); });
  };
  std::string Error;
  initializeNode(Self, JournalPath, Error);
  if (Error.empty()) {
    startThreads(Self);
    openListeners(Self, Error);
  }
  if (!Error.empty()) {
    telemetry::writeLog(
        Self.Logs, {core::LogLevel::Error, "start_failed", {{"error", Error}}});
    endProcess(Self, 1);
  }
  waitForSignal(Self, Latch, Signals, StopTimer);
  SettingsReloader Reloader{Self, ReadSettings, asio::signal_set(Main, SIGHUP),
                            asio::steady_timer(Main)};
  waitForHangup(Reloader);
  scheduleReread(Reloader);
  HeapTrimmer Trimmer{Self, asio::steady_timer(Main), {}};
  scheduleTrim(Trimmer);
  post(Self, ControlInput{core::Started{}, {}, {}, {}, {}});
  pushConfigFolder(Self);
  Main.run();
  // Exits without joining the threads: those of libraries may still wait for
  // calls of other nodes, while this node has nothing left in flight.
  telemetry::writeLog(Self.Logs,
                      {core::LogLevel::Info,
                       "stopped",
                       {{"exit_code", std::to_string(Latch.ExitCode)}}});
  endProcess(Self, Latch.ExitCode);
}

} // namespace currantgauge::runtime
