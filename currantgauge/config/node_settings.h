// A node's own settings, read from one YAML file at its start.
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

// SettingsError is one mistake and where it is. Line and Column count from 1.
struct SettingsError {
  std::string File;
  int Line = 0;
  int Column = 0;
  std::string Text;
};

using SettingsErrors = std::vector<SettingsError>;

// formatError() returns "file:line:column: text".
std::string formatError(const SettingsError &Error);

// AdapterName chooses the protocols of a node's surroundings.
enum class AdapterName { Native, Platform };

// NodeSettings is what one process needs to know of itself.
struct NodeSettings {
  base::NodeName Name;
  base::RegionName Region;
  base::DomainName Domain;
  base::NetAddress CallerAddress{"127.0.0.1:8080"};   // HTTP, callers
  base::NetAddress PeerAddress{"127.0.0.1:8081"};     // gRPC, other nodes
  base::NetAddress OperatorAddress{"127.0.0.1:8082"}; // HTTP, operators
  // Backend servers announce themselves here; metrics and health as well.
  base::NetAddress AnnouncementAddress{"127.0.0.1:8083"};
  // Health, readiness and metrics also have a listener of their own when set.
  base::NetAddress HealthAddress;
  base::NetAddress MetricsAddress; // metrics alone, when set
  // Where other nodes reach this one; PeerAddress unless set.
  base::NetAddress AdvertisedPeerAddress{"127.0.0.1:8081"};
  std::vector<base::NetAddress> Seeds;
  bool Embedded = true;             // platform: embedded
  base::NetAddress PlatformAddress; // platform: IP:port of the service
  std::string OperatorToken;        // empty: callers on loopback alone
  std::string OperatorCertificate;  // PEM files; empty: no TLS
  std::string OperatorKey;
  std::string ActionSecret; // signs action ids; empty: none are issued
  base::ByteCount HeaderLimit{16 * 1024};
  base::ByteCount BodyLimit{1024 * 1024};
  base::ByteCount AnswerBuffer{64 * 1024}; // before an answer is committed
  base::Duration CallerIdleTimeout = base::seconds(60);
  base::Duration CallerReadTimeout = base::seconds(15); // to read one request
  base::Duration StopLimit = base::seconds(30); // of a graceful shutdown
  // Callers are still served for so long after a stop request, while whoever
  // sends them here learns that the node is not ready.
  base::Duration StopLinger;
  // What all nodes together may retry of a service: in any window a share of
  // its requests and a number of attempts more. Share 0: each service's budget.
  double RetryRatio = 0;
  double RetrySlack = 0;
  base::Duration RetryWindow = base::seconds(10);
  std::uint32_t TrafficThreads = 2;
  std::string LogLevel = "info";         // debug, info, warn, error
  std::uint32_t LogLinesPerSecond = 200; // a second, at most
  std::uint32_t LogLinesPerKind = 10;    // a second, of one event and reason
  base::ByteCount LogBytesPerSecond{96 * 1024}; // a second, at most
  // How callers, backend servers and the store are spoken to.
  AdapterName Adapter = AdapterName::Native;
  // Of the backend server on the same VM: its service, which is named to
  // servers as the caller's, and its address. Empty: not told.
  base::ServiceName Service;
  base::NetAddress BackendAddress;
  // How long a backend server lives without a renewal; zero: the default.
  base::Duration BackendLease;
  // Actions use a pooled connection to the backend server that was used so
  // lately; zero: a new one each.
  base::Duration ActionMaxIdle;
  // The row that announces the configuration; empty: operators push it.
  std::string FeedTable;
  std::string FeedKey;
  bool AcceptsKeys = true;  // idempotency keys and action ids of callers
  std::string ConfigFolder; // embedded alone: loaded at the start; else empty
};

// parseNodeSettings() reads the text of a settings file. All mistakes are
// appended to Errors; the result counts only when there are none.
NodeSettings parseNodeSettings(const std::string &Text, const std::string &File,
                               SettingsErrors &Errors);

} // namespace currantgauge::config

#endif // CURRANTGAUGE_CONFIG_NODE_SETTINGS_H
