#include "currantgauge/config/node_settings.h"

#include "currantgauge/config/field_map.h"
#include "currantgauge/config/quantity.h"

#include <algorithm>
#include <array>
#include <string_view>

namespace currantgauge::config {
namespace {

constexpr std::uint32_t MaxTrafficThreads = 64;
// From the limit of a graceful shutdown to the SIGKILL: the last answers (300
// ms) and log lines (200 ms) are written, and timers may be late.
constexpr base::Duration ExitAllowance = base::milliseconds(600);
constexpr std::array<std::string_view, 4> LogLevels = {"debug", "info", "warn",
                                                       "error"};

// Returns the map of a section. An absent section is read as an empty map,
// which leaves the defaults.
FieldMap readSection(FieldMap &Root, const std::string &Key) {
  const YAML::Node *Section = findNested(Root, Key);
  if (Section)
    return readMap({Root.Location.File, Root.Errors}, *Section, Key);
  return FieldMap{Root.Errors, Key, Root.Location, {}, {}, {}};
}

void readIdentity(FieldMap &Root, NodeSettings &Settings) {
  for (const char *Key : {"name", "region", "failure_domain"})
    requireField(Root, Key);
  readName(Root, "name", Settings.Name);
  readName(Root, "region", Settings.Region);
  readName(Root, "failure_domain", Settings.Domain);
}

void readListeners(FieldMap &Root, NodeSettings &Settings) {
  FieldMap Listen = readSection(Root, "listen");
  readValue(Listen, "callers", Settings.CallerAddress);
  readValue(Listen, "peers", Settings.PeerAddress);
  readValue(Listen, "operators", Settings.OperatorAddress);
  readValue(Listen, "announcements", Settings.AnnouncementAddress);
  readValue(Listen, "health", Settings.HealthAddress);
  readValue(Listen, "metrics", Settings.MetricsAddress);
  reportUnknownKeys(Listen);
}

bool isAnyAddress(const base::NetAddress &Address) {
  return Address.Value.starts_with("0.0.0.0:") ||
         Address.Value.starts_with("[::]:");
}

// Reads the address that other nodes connect to, by default the one for peers
// in "listen". It must be set if the node listens on all addresses or is behind
// network address translation.
void readAdvertised(FieldMap &Root, NodeSettings &Settings) {
  FieldMap Advertise = readSection(Root, "advertise");
  Settings.AdvertisedPeerAddress = Settings.PeerAddress;
  readValue(Advertise, "peers", Settings.AdvertisedPeerAddress);
  if (isAnyAddress(Settings.AdvertisedPeerAddress))
    addFieldError(Advertise, "peers",
                  " must be an address that other nodes can connect to, not " +
                      Settings.AdvertisedPeerAddress.Value);
  reportUnknownKeys(Advertise);
}

void readSeeds(FieldMap &Root, NodeSettings &Settings) {
  const YAML::Node *Seeds = findNested(Root, "seeds");
  if (!Seeds)
    return;
  YamlSource Source{Root.Location.File, Root.Errors};
  if (!Seeds->IsSequence())
    return addError(*Root.Errors, getLocation(Source, Seeds->Mark()),
                    "seeds must be a list of IP:port, such as [10.0.0.7:8081]");
  for (const YAML::Node &Seed : *Seeds) {
    if (Seed.IsScalar() && isNetAddress(Seed.Scalar()))
      Settings.Seeds.emplace_back(Seed.Scalar());
    else
      addError(*Root.Errors, getLocation(Source, Seed.Mark()),
               "seeds: each entry must be an IP:port, such as 10.0.0.7:8081");
  }
}

void readPlatform(FieldMap &Root, NodeSettings &Settings) {
  std::string Platform = "embedded";
  readValue(Root, "platform", Platform);
  Settings.Embedded = Platform == "embedded";
  if (Settings.Embedded)
    return;
  Settings.PlatformAddress = base::NetAddress(Platform);
  if (!isNetAddress(Platform))
    addFieldError(Root, "platform",
                  ": \"" + Platform +
                      "\" is neither embedded nor an IP:port, such as "
                      "10.0.0.7:8090");
}

void readAdapter(FieldMap &Root, NodeSettings &Settings) {
  std::string Adapter = "native";
  readValue(Root, "adapter", Adapter);
  if (Adapter == "platform")
    Settings.Adapter = AdapterName::Platform;
  else if (Adapter != "native")
    addFieldError(Root, "adapter",
                  ": \"" + Adapter + "\" is neither native nor platform");
}

void readBackend(FieldMap &Root, NodeSettings &Settings) {
  FieldMap Backend = readSection(Root, "backend");
  readName(Backend, "service", Settings.Service);
  readValue(Backend, "address", Settings.BackendAddress);
  readValue(Backend, "lease", Settings.BackendLease);
  readValue(Backend, "action_idle", Settings.ActionMaxIdle);
  reportUnknownKeys(Backend);
}

void readRetries(FieldMap &Root, NodeSettings &Settings) {
  FieldMap Retries = readSection(Root, "retries");
  readValue(Retries, "ratio", Settings.RetryRatio);
  readValue(Retries, "slack", Settings.RetrySlack);
  readValue(Retries, "window", Settings.RetryWindow);
  readValue(Root, "first_start", Settings.FirstStart);
  if (Settings.RetryRatio < 0 || Settings.RetryRatio > 1)
    addFieldError(Retries, "ratio", " must be from 0 to 1");
  if (Settings.RetrySlack < 0)
    addFieldError(Retries, "slack", " must not be below 0");
  if (Settings.RetryWindow == base::Duration{})
    addFieldError(Retries, "window", " must be above 0s");
  reportUnknownKeys(Retries);
}

// Reads which row the change feed watches, written "TABLE/KEY".
void readFeed(FieldMap &Root, NodeSettings &Settings) {
  std::string Row;
  readValue(Root, "config_feed", Row);
  if (Row.empty())
    return;
  std::size_t Slash = Row.find('/');
  if (Slash == 0 || Slash == std::string::npos || Slash + 1 == Row.size())
    return addFieldError(Root, "config_feed",
                         ": \"" + Row + "\" is not of the form table/key");
  Settings.FeedTable = Row.substr(0, Slash);
  Settings.FeedKey = Row.substr(Slash + 1);
  if (Settings.Embedded)
    addFieldError(Root, "config_feed",
                  " requires a platform, but platform is embedded");
}

// Operators can change the whole fleet, so a listener that other VMs can reach
// must require a token.
void checkOperators(const FieldMap &Operators, const NodeSettings &Settings) {
  if (Settings.OperatorCertificate.empty() != Settings.OperatorKey.empty())
    addFieldError(Operators, "",
                  ": certificate and key must be set together or not at all");
  if (!isLoopback(Settings.OperatorAddress.Value) &&
      Settings.OperatorToken.empty())
    addFieldError(Operators, "token",
                  " is missing; it is required because other VMs can reach "
                  "listen.operators");
}

void readOperators(FieldMap &Root, NodeSettings &Settings) {
  FieldMap Operators = readSection(Root, "operators");
  readValue(Operators, "token", Settings.OperatorToken);
  readValue(Operators, "certificate", Settings.OperatorCertificate);
  readValue(Operators, "key", Settings.OperatorKey);
  checkOperators(Operators, Settings);
  reportUnknownKeys(Operators);
}

void readActions(FieldMap &Root, NodeSettings &Settings) {
  FieldMap Actions = readSection(Root, "actions");
  readValue(Actions, "secret", Settings.ActionSecret);
  readValue(Actions, "keys", Settings.AcceptsKeys);
  reportUnknownKeys(Actions);
}

void checkLimits(const FieldMap &Limits, const NodeSettings &Settings) {
  if (Settings.HeaderLimit.Bytes == 0)
    addFieldError(Limits, "header", " must be above 0B");
  if (Settings.BodyLimit.Bytes == 0)
    addFieldError(Limits, "body", " must be above 0B");
  if (Settings.CallerReadTimeout == base::Duration{})
    addFieldError(Limits, "caller_read", " must be above 0s");
  if (Settings.StopLinger > Settings.StopLimit)
    addFieldError(Limits, "stop_linger",
                  " must not be above the limit of a stop, " +
                      std::to_string(base::toMillis(Settings.StopLimit)) +
                      "ms");
}

// Reads the time from SIGTERM to SIGKILL, from which the limit of a graceful
// shutdown follows.
void readGrace(FieldMap &Limits, NodeSettings &Settings) {
  if (!Limits.Fields.contains("grace"))
    return;
  if (Limits.Fields.contains("stop"))
    addFieldError(Limits, "grace", " must not be set together with stop");
  base::Duration Grace;
  readValue(Limits, "grace", Grace);
  Settings.StopLimit = Grace - ExitAllowance;
  if (Grace <= ExitAllowance)
    addFieldError(Limits, "grace",
                  " must be above " +
                      std::to_string(base::toMillis(ExitAllowance)) + "ms");
}

void readPolicy(FieldMap &Root, NodeSettings &Settings) {
  FieldMap Policy = readSection(Root, "policy");
  readValue(Policy, "uneven_servers", Settings.UnevenServers);
  readValue(Policy, "shortage_by_cost", Settings.ShortageByCost);
  reportUnknownKeys(Policy);
  readValue(Root, "terms", Settings.Terms);
}

void readLimits(FieldMap &Root, NodeSettings &Settings) {
  FieldMap Limits = readSection(Root, "limits");
  readValue(Limits, "header", Settings.HeaderLimit);
  readValue(Limits, "body", Settings.BodyLimit);
  readValue(Limits, "answer_buffer", Settings.AnswerBuffer);
  readValue(Limits, "memory", Settings.MemoryLimit);
  readValue(Limits, "caller_idle", Settings.CallerIdleTimeout);
  readValue(Limits, "caller_read", Settings.CallerReadTimeout);
  readGrace(Limits, Settings);
  readValue(Limits, "stop", Settings.StopLimit);
  readValue(Limits, "stop_linger", Settings.StopLinger);
  checkLimits(Limits, Settings);
  reportUnknownKeys(Limits);
}

void readProcess(FieldMap &Root, NodeSettings &Settings) {
  readValue(Root, "traffic_threads", Settings.TrafficThreads);
  if (Settings.TrafficThreads == 0 ||
      Settings.TrafficThreads > MaxTrafficThreads)
    addFieldError(Root, "traffic_threads",
                  " must be from 1 to " + std::to_string(MaxTrafficThreads));
  readValue(Root, "log_level", Settings.LogLevel);
  if (std::find(LogLevels.begin(), LogLevels.end(), Settings.LogLevel) ==
      LogLevels.end())
    addFieldError(Root, "log_level",
                  ": \"" + Settings.LogLevel +
                      "\" is not debug, info, warn or error");
  readValue(Root, "config_folder", Settings.ConfigFolder);
  if (!Settings.ConfigFolder.empty() && !Settings.Embedded)
    addFieldError(Root, "config_folder",
                  " is allowed only with platform: embedded");
}

void readLogs(FieldMap &Root, NodeSettings &Settings) {
  FieldMap Logs = readSection(Root, "logs");
  readValue(Logs, "lines_per_second", Settings.LogLinesPerSecond);
  readValue(Logs, "lines_per_kind", Settings.LogLinesPerKind);
  readValue(Logs, "bytes_per_second", Settings.LogBytesPerSecond);
  if (Settings.LogLinesPerSecond == 0)
    addFieldError(Logs, "lines_per_second", " must be above 0");
  if (Settings.LogLinesPerKind == 0)
    addFieldError(Logs, "lines_per_kind", " must be above 0");
  if (Settings.LogBytesPerSecond.Bytes == 0)
    addFieldError(Logs, "bytes_per_second", " must be above 0B");
  reportUnknownKeys(Logs);
}

} // namespace

NodeSettings parseNodeSettings(const std::string &Text, const std::string &File,
                               SettingsErrors &Errors) {
  NodeSettings Settings;
  YamlSource Source{&File, &Errors};
  std::optional<YAML::Node> Loaded = loadYaml(Source, Text);
  if (!Loaded)
    return Settings;
  FieldMap Root = readMap(Source, *Loaded, "");
  readIdentity(Root, Settings);
  readListeners(Root, Settings);
  readAdvertised(Root, Settings);
  readSeeds(Root, Settings);
  readPlatform(Root, Settings);
  readAdapter(Root, Settings);
  readBackend(Root, Settings);
  readFeed(Root, Settings);
  readRetries(Root, Settings);
  readOperators(Root, Settings);
  readActions(Root, Settings);
  readLimits(Root, Settings);
  readPolicy(Root, Settings);
  readProcess(Root, Settings);
  readLogs(Root, Settings);
  reportUnknownKeys(Root);
  return Settings;
}

} // namespace currantgauge::config
