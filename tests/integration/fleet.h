// Real processes for integration tests: nodes, backend-server stand-ins, the
// platform's stand-in. All are ended when the Fleet is.
//
//   Fleet Some;
//   startNode(Some, "a", "north", "north-a");
//   startServer(Some, "cutlist-1", "cutlist", Some.Nodes[0]);
//   pushConfig(Some, ExampleConfig);
#ifndef CURRANTGAUGE_TESTS_INTEGRATION_FLEET_H
#define CURRANTGAUGE_TESTS_INTEGRATION_FLEET_H

#include "tests/integration/http_client.h"
#include "tests/integration/proxy.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace currantgauge::integration {

namespace detail {
struct Child;
} // namespace detail

using ChildPtr = std::shared_ptr<detail::Child>;

// NodeProcess is a running node and its addresses, IP:port. Peers is the one
// that it advertises: of the fault proxy Between, where it has one.
struct NodeProcess {
  std::string Name;
  std::string CallerAddress;
  std::string PeerAddress;
  std::string OperatorAddress;
  std::string AnnounceAddress;
  std::string ReadinessAddress; // of a machine's node alone
  std::string MetricsAddress;   // of a machine's node alone
  std::string SettingsPath;
  Proxy PeerProxy;
  Proxy StoreProxy; // of a machine's node between two proxies alone
  ChildPtr Process;
};

// ServerProcess is a running backend-server stand-in.
struct ServerProcess {
  std::string Name;
  std::string Address;
  ChildPtr Process;
};

// Fleet is what a test has started.
struct TestFleet {
  TestFleet();
  ~TestFleet();
  TestFleet(const TestFleet &) = delete;
  TestFleet &operator=(const TestFleet &) = delete;

  std::string Folder;      // of settings and logs
  bool KeepFolder = false; // else it goes with the fleet
  std::string HostPrefix;  // 127.x.y.; each node appends a number of its own
  std::string PlatformAddress; // IP:port; empty: none was started
  ChildPtr PlatformProcess;
  std::vector<NodeProcess> Nodes;
  std::vector<ServerProcess> Servers;
};

// startPlatform() starts the platform's stand-in; later nodes use it.
void startPlatform(TestFleet &Fleet,
                   const std::vector<std::string> &Flags = {});

// startNode() starts a node and waits until it serves; More is appended to its
// settings file, Flags to its command line.
NodeProcess &startNode(TestFleet &Fleet, const std::string &Name,
                       const std::string &Region, const std::string &Domain,
                       const std::string &ExtraSettings = "",
                       const std::vector<std::string> &Flags = {});

// startProxiedNode() starts a node that other nodes reach through a fault
// proxy.
NodeProcess &startProxiedNode(TestFleet &Fleet, const std::string &Name,
                              const std::string &Region,
                              const std::string &Domain,
                              const std::string &ExtraSettings = "");

// assignAddresses() returns the addresses of the fleet's next node.
NodeProcess assignAddresses(const TestFleet &Fleet, const std::string &Name);

// startNodeWithSettings() starts a node from the text of its settings file.
NodeProcess &startNodeWithSettings(TestFleet &Fleet, NodeProcess Node,
                                   const std::string &Settings,
                                   const std::vector<std::string> &Flags = {});

// startNodeUnread() starts a node whose standard output nobody reads until
// readOutput() does; it does not wait.
void startNodeUnread(TestFleet &Fleet, NodeProcess Node,
                     const std::string &Settings);

// readOutput() returns what an ended process has left in its standard output.
std::string readOutput(const ChildPtr &Process);

// linesOf() returns the log lines of all nodes that contain Text, as grep does.
std::vector<std::string> findLogLines(const TestFleet &Fleet,
                                      const std::string &Text);

// restartNode() starts a node that was ended once more, as it was.
void restartNode(TestFleet &Fleet, NodeProcess &Node);

// startServer() starts a backend-server stand-in that announces itself to Node.
ServerProcess &startServer(TestFleet &Fleet, const std::string &Name,
                           const std::string &Service, const NodeProcess &Node,
                           const std::vector<std::string> &Flags = {});

// restartServer() starts a new life of a stand-in that was ended.
void restartServer(TestFleet &Fleet, ServerProcess &Server,
                   const std::string &Name, const std::string &Service,
                   const NodeProcess &Node,
                   const std::vector<std::string> &Flags);

// writeConfig() writes a configuration of one file and returns its folder.
std::string writeConfig(const TestFleet &Fleet, const std::string &Name,
                        const std::string &Text);

// pushConfig() pushes a folder to the first node and waits until every node is
// ready. Returns
// false when the push was refused.
bool pushConfig(TestFleet &Fleet, const std::string &ConfigFolder);

// waitForServers() waits until every node lists that many ready servers.
bool waitForServers(TestFleet &Fleet, std::size_t Count);

// query() asks a node's operators' listener; the reply as JSON text.
std::string query(const NodeProcess &Node, const std::string &Json);

// control() changes a stand-in's behaviour.
void controlServer(const ServerProcess &Server, const std::string &Json);

// runsOf() returns how many requests a stand-in has run.
std::uint64_t runsOf(const ServerProcess &Server);

// sendSignal() sends a signal to a process of the fleet.
void sendSignal(const ChildPtr &Process, int Signal);

// waitForExit() waits for a process to end and returns its exit code; -1 when
// Limit passed first.
int waitForExit(const ChildPtr &Process,
                std::chrono::milliseconds Limit = std::chrono::seconds(40));

// processId() is the process's id.
int processId(const ChildPtr &Process);

// runCommand() runs the binary with arguments; Output gets what it prints on
// standard output and standard error.
int runCommand(const std::vector<std::string> &Arguments, std::string &Output);

} // namespace currantgauge::integration

#endif // CURRANTGAUGE_TESTS_INTEGRATION_FLEET_H
