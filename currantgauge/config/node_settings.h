// The settings of one node, read from a YAML file when it starts.
//
//   SettingsErrors Errors;
//   NodeSettings Settings = parseNodeSettings(Text, "node.yaml", Errors);
//   for (const SettingsError &Error : Errors) print(formatError(Error));
#ifndef CURRANTGAUGE_CONFIG_NODE_SETTINGS_H
#define CURRANTGAUGE_CONFIG_NODE_SETTINGS_H

#include "currantgauge/base/ids.h"
#include "currantgauge/base/units.h"

#include <cstdint>
#include <string>
#include <vector>

namespace currantgauge::config {

// SettingsError is an error in a file and its position. Line and Column start
// at 1.
struct SettingsError {
  std::string File;
  int Line = 0;
  int Column = 0;
  std::string Text;
};

using SettingsErrors = std::vector<SettingsError>;

// formatError() returns "file:line:column: text".
std::string formatError(const SettingsError &Error);

// AdapterName selects the protocols spoken with callers, backend servers and
// the store.
enum class AdapterName { Native, Platform };

// NodeSettings holds the settings that differ between nodes. The fleet's common
// settings are in the Configuration.
struct NodeSettings {
  base::NodeName Name;
  base::RegionName Region;
  base::DomainName Domain;
  base::NetAddress CallerAddress{"127.0.0.1:8080"};   // HTTP, callers
  base::NetAddress PeerAddress{"127.0.0.1:8081"};     // gRPC, other nodes
  base::NetAddress OperatorAddress{"127.0.0.1:8082"}; // HTTP, operators
  // Listener for announcements of backend servers, health, readiness and
  // metrics.
  base::NetAddress AnnouncementAddress{"127.0.0.1:8083"};
  // Additional listener with the same paths; empty: none.
  base::NetAddress HealthAddress;
  base::NetAddress MetricsAddress; // additional, metrics only; empty: none
  // Address that other nodes connect to; PeerAddress by default.
  base::NetAddress AdvertisedPeerAddress{"127.0.0.1:8081"};
  std::vector<base::NetAddress> Seeds; // peers through which to join
  bool Embedded = true;             // no platform; all data is kept in memory
  base::NetAddress PlatformAddress; // of the platform, unless Embedded
  std::string OperatorToken;        // empty: operators on loopback only
  std::string OperatorCertificate;  // path of a PEM file; empty: no TLS
  std::string OperatorKey;          // path of a PEM file
  std::string ActionSecret; // key that signs action ids; empty: none are issued
  base::ByteCount HeaderLimit{16 * 1024};
  base::ByteCount BodyLimit{1024 * 1024};
  // Size up to which a response is buffered before it is sent to the caller.
  base::ByteCount AnswerBuffer{64 * 1024};
  // Memory that the process may use; 0: at most 256 MiB, or what the VM has.
  base::ByteCount MemoryLimit;
  base::Duration CallerIdleTimeout = base::seconds(60); // and per write
  base::Duration CallerReadTimeout = base::seconds(15); // to read one request
  base::Duration StopLimit = base::seconds(30); // of a graceful shutdown
  // Requests are still accepted for this long after a stop was requested, so
  // that load balancers can notice that the node is no longer ready.
  base::Duration StopLinger;
  // Limit of the retries of a service by all nodes together: in any window,
  // RetryRatio times its requests plus RetrySlack. If RetryRatio is 0, the
  // retry budget of each service applies instead.
  double RetryRatio = 0;
  double RetrySlack = 0;
  base::Duration RetryWindow = base::seconds(10); // duration of that window
  std::uint32_t TrafficThreads = 2;
  std::string LogLevel = "info"; // debug, info, warn or error
  std::uint32_t LogLinesPerSecond = 200;
  std::uint32_t LogLinesPerKind = 10; // per second, of one event and reason
  base::ByteCount LogBytesPerSecond{96 * 1024};
  AdapterName Adapter = AdapterName::Native;
  // Service of the backend server on the same VM, sent to other backend servers
  // as the caller's service; empty: not configured.
  base::ServiceName Service;
  base::NetAddress BackendAddress; // of that server; empty: not configured
  // Time after which a backend server that doesn't renew its announcement is
  // removed; zero: use routing::LeaseTime.
  base::Duration BackendLease;
  // Maximum idle time of pooled connections that actions may use; zero: actions
  // always use new connections.
  base::Duration ActionMaxIdle;
  // Row of the store that announces the configuration; empty: operators push
  // it.
  std::string FeedTable;
  std::string FeedKey;
  bool AcceptsKeys = true; // honors callers' idempotency keys and action ids
  bool FirstStart = false; // of the whole fleet; no node has run before
  // Backend servers differ in speed and fail in spells.
  bool UnevenServers = false;
  // While room is short, requests are ordered and refused by what a delay or a
  // refusal costs their callers.
  bool ShortageByCost = false;
  std::string Terms; // of the platform, for the adapter; empty: none
  // Folder of the configuration that an embedded node loads when it starts;
  // empty: none.
  std::string ConfigFolder;
};

// parseNodeSettings() parses a settings file. Appends all errors to Errors; the
// result is valid only if there are none.
NodeSettings parseNodeSettings(const std::string &Text, const std::string &File,
                               SettingsErrors &Errors);

} // namespace currantgauge::config

#endif // CURRANTGAUGE_CONFIG_NODE_SETTINGS_H
