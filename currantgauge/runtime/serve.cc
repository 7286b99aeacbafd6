#include "currantgauge/runtime/serve.h"

#include "currantgauge/config/document.h"
#include "currantgauge/runtime/clock.h"
#include "currantgauge/runtime/listeners.h"
#include "currantgauge/runtime/node.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <chrono>
#include <csignal>
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

// Answers that were just decided still have to leave their sockets.
constexpr std::chrono::milliseconds FlushTime{300};
// A file that changed without a signal is noticed after this long.
constexpr std::chrono::seconds RereadInterval{5};
constexpr double RetryMargin = 0.8; // of the fleet's bound
// A process that ends waits so long for a reader of its log.
constexpr base::Duration LastLinesTime = base::milliseconds(200);

[[noreturn]] void endProcess(Node &Self, int ExitCode) {
  telemetry::flushLog(Self.Logs, LastLinesTime);
  std::_Exit(ExitCode);
}

telemetry::LogLimits logLimitsOf(const config::NodeSettings &Settings) {
  telemetry::LogLimits Limits;
  Limits.Lines = Settings.LogLines;
  Limits.LinesPerKind = Settings.LogLinesOfKind;
  Limits.Bytes = Settings.LogBytes;
  return Limits;
}

core::NodeIdentity identityOf(const config::NodeSettings &Settings) {
  core::NodeIdentity Self;
  Self.Name = Settings.Name;
  Self.Region = Settings.Region;
  Self.Domain = Settings.Domain;
  Self.PeerAddress = Settings.AdvertisedPeerAddress;
  Self.Incarnation =
      base::Incarnation(static_cast<std::uint64_t>(wallNow().Millis));
  Self.Seeds = Settings.Seeds;
  Self.Embedded = Settings.Embedded;
  Self.ActionSecret = Settings.ActionSecret;
  Self.Feed = {Settings.FeedTable, Settings.FeedKey};
  Self.Service = Settings.Service;
  Self.BackendAddress = Settings.Backend;
  Self.BackendLease = Settings.BackendLease;
  Self.ActionMaxIdle = Settings.ActionIdle;
  Self.StopLimit = Settings.StopLimit;
  Self.StopLinger = Settings.StopLinger;
  // The margin is for nodes that count the members differently.
  Self.RetryBound = {RetryMargin * Settings.RetryRatio,
                     RetryMargin * Settings.RetrySlack, Settings.RetryWindow,
                     1};
  Self.AcceptsKeys = Settings.TakesKeys;
  return Self;
}

// Request ids of two nodes started in the same millisecond must differ, so the
// origin is drawn at random.
std::uint64_t randomNumber() {
  std::random_device Device;
  return (static_cast<std::uint64_t>(Device()) << 32) | Device();
}

void setUp(Node &Self, const std::string &JournalPath, std::string &Error) {
  const config::NodeSettings &Settings = Self.Settings;
  core::NodeIdentity Identity = identityOf(Settings);
  Identity.Origin = randomNumber();
  std::uint64_t Seed = randomNumber();
  Self.State = core::makeState(Identity, Seed);
  if (!Settings.Embedded)
    Self.Store.emplace(Settings.Platform, store::StoreLimits(),
                       Self.Spoken.Store);
  Self.Callers.Post = [&Self](ControlInput Input) {
    post(Self, std::move(Input));
  };
  Self.Callers.Origin = randomNumber();
  Self.Callers.Dialect = Self.Spoken.Http;
  Self.Callers.Service = Settings.Service;
  Self.Callers.AnswerBuffer = Settings.AnswerBuffer;
  Self.Callers.DefaultLimits = {Settings.HeaderLimit, Settings.BodyLimit,
                                Settings.CallerRead, Settings.CallerIdle};
  http::setCallerLimits(Self.Callers, config::CallerLimits());
  if (JournalPath.empty())
    return;
  std::error_code Failed;
  openJournal(Self.Log, JournalPath, Identity, Seed, Failed);
  if (Failed)
    Error = JournalPath + ": " + Failed.message();
}

void startThreads(Node &Self) {
  startTraffic(Self.Traffic,
               std::max<std::uint32_t>(Self.Settings.TrafficThreads, 1));
  for (std::size_t I = 0; I < Self.Traffic.Threads.size(); ++I)
    Self.Pools.push_back(std::make_unique<http::BackendPool>());
  startControl(Self.Control,
               [&Self](ControlInput &Input) { handleInput(Self, Input); });
}

// A first try without a push: the folder named in the settings.
void pushFolder(Node &Self) {
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

// StopLatch lets the first of several asks to stop count.
struct StopLatch {
  asio::io_context &Main;
  int ExitCode = 0;
  bool Stopped = false;
};

void finish(StopLatch &Latch, int ExitCode) {
  if (std::exchange(Latch.Stopped, true))
    return;
  Latch.ExitCode = ExitCode;
  auto Timer = std::make_shared<asio::steady_timer>(Latch.Main, FlushTime);
  Timer->async_wait([&Latch, Timer](auto) { Latch.Main.stop(); });
}

void onSignal(Node &Self, StopLatch &Latch, asio::signal_set &Signals,
              asio::steady_timer &Limit) {
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
    Limit.expires_after(
        std::chrono::microseconds(Self.Settings.StopLimit.Micros));
    Limit.async_wait([&](boost::system::error_code Late) {
      if (Late)
        return;
      telemetry::writeLog(Self.Logs,
                          {core::LogLevel::Error, "stop_limit_passed", {}});
      finish(Latch, 1);
    });
    onSignal(Self, Latch, Signals, Limit);
  });
}

// Reloader takes over what a running node can change.
struct Reloader {
  Node &Self;
  const RereadSettings &Reread;
  asio::signal_set HangUps;
  asio::steady_timer Again;
};

// Addresses, identity and protocols stay: they take a new process.
bool needsRestart(const config::NodeSettings &Old,
                  const config::NodeSettings &New) {
  auto Fixed = [](const config::NodeSettings &Of) {
    return std::tie(Of.Name, Of.Region, Of.Domain, Of.CallerAddress,
                    Of.PeerAddress, Of.AnnounceAddress, Of.HealthAddress,
                    Of.MetricsAddress, Of.Platform, Of.Service, Of.Backend,
                    Of.FeedTable, Of.FeedKey);
  };
  return Fixed(Old) != Fixed(New);
}

// The level is kept, so that the same file is not news again.
void takeOver(Node &Self, const config::NodeSettings &Fresh, const char *Why) {
  bool Restart = needsRestart(Self.Settings, Fresh);
  Self.Settings.LogLevel = Fresh.LogLevel;
  telemetry::setLogLevel(Self.Logs, Fresh.LogLevel);
  telemetry::writeLog(Self.Logs,
                      {core::LogLevel::Info,
                       "settings_read",
                       {{"why", Why},
                        {"log_level", Fresh.LogLevel},
                        {"needs_restart", Restart ? "true" : "false"}}});
}

void awaitHangUp(Reloader &Reload) {
  Reload.HangUps.async_wait([&Reload](boost::system::error_code Error, int) {
    if (Error)
      return;
    if (std::optional<config::NodeSettings> Fresh = Reload.Reread())
      takeOver(Reload.Self, *Fresh, "signal");
    awaitHangUp(Reload);
  });
}

void awaitRereading(Reloader &Reload) {
  Reload.Again.expires_after(RereadInterval);
  Reload.Again.async_wait([&Reload](boost::system::error_code Error) {
    if (Error)
      return;
    std::optional<config::NodeSettings> Fresh = Reload.Reread();
    if (Fresh && Fresh->LogLevel != Reload.Self.Settings.LogLevel)
      takeOver(Reload.Self, *Fresh, "file_changed");
    awaitRereading(Reload);
  });
}

} // namespace

int serveNode(const config::NodeSettings &Settings, const Adapter &Spoken,
              const std::string &JournalPath, const RereadSettings &Reread) {
  asio::io_context Main(1);
  auto Work = asio::make_work_guard(Main);
  asio::signal_set Signals(Main, SIGTERM, SIGINT);
  asio::steady_timer Limit(Main);
  std::signal(SIGPIPE, SIG_IGN);
  StopLatch Latch{Main};
  // The node is never destroyed: callbacks of libraries may still hold it
  // while the process ends.
  Node &Self = *new Node;
  Self.Settings = Settings;
  Self.Spoken = Spoken;
  telemetry::startLog(Self.Logs, {Settings.LogLevel, Settings.Name.Value,
                                  logLimitsOf(Settings)});
  Self.OnStop = [&Main, &Latch](int ExitCode) {
    asio::post(Main, [&Latch, ExitCode] { finish(Latch, ExitCode); });
  };
  std::string Error;
  setUp(Self, JournalPath, Error);
  if (Error.empty()) {
    startThreads(Self);
    openListeners(Self, Error);
  }
  if (!Error.empty()) {
    telemetry::writeLog(
        Self.Logs, {core::LogLevel::Error, "start_failed", {{"error", Error}}});
    endProcess(Self, 1);
  }
  onSignal(Self, Latch, Signals, Limit);
  Reloader Reload{Self, Reread, asio::signal_set(Main, SIGHUP),
                  asio::steady_timer(Main)};
  awaitHangUp(Reload);
  awaitRereading(Reload);
  post(Self, ControlInput{core::Started{}, {}, {}, {}, {}});
  pushFolder(Self);
  Main.run();
  // Threads of libraries may wait for other nodes' calls to end; nothing of
  // ours is in flight any more.
  telemetry::writeLog(Self.Logs,
                      {core::LogLevel::Info,
                       "stopped",
                       {{"exit_code", std::to_string(Latch.ExitCode)}}});
  endProcess(Self, Latch.ExitCode);
}

} // namespace currantgauge::runtime
