// Starts real processes for integration tests: nodes, backend server stand-ins
// and the platform stand-in. All are killed when the TestFleet is destroyed.
//
//   TestFleet Fleet;
//   startNode(Fleet, "a", "north", "north-a");
//   startServer(Fleet, "cutlist-1", "cutlist", Fleet.Nodes[0]);
//   pushConfig(Fleet, DemoConfig);
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

// NodeProcess is a running node and its addresses, IP:port. PeerAddress is the
// advertised one, which is the address of PeerProxy if the node has one.
struct NodeProcess {
  std::string Name;
  std::string CallerAddress;
  std::string PeerAddress;
  std::string OperatorAddress;
  std::string AnnounceAddress;
  std::string ReadinessAddress; // only with MachineFleet
  std::string MetricsAddress;   // only with MachineFleet
  std::string SettingsPath;
  Proxy PeerProxy;
  Proxy StoreProxy; // only with addProxiedMachine()
  ChildPtr Process;
};

// ServerProcess is a running backend server stand-in.
struct ServerProcess {
  std::string Name;
  std::string Address;
  ChildPtr Process;
};

// TestFleet holds the processes that a test has started.
struct TestFleet {
  TestFleet();
  ~TestFleet();
  TestFleet(const TestFleet &) = delete;
  TestFleet &operator=(const TestFleet &) = delete;

  std::string Folder;          // holds settings files and logs
  bool KeepFolder = false;     // else the destructor removes it
  std::string HostPrefix;      // "127.x.y."; each node appends its number
  std::string PlatformAddress; // IP:port; empty: no platform
  ChildPtr PlatformProcess;
  std::vector<NodeProcess> Nodes;
  std::vector<ServerProcess> Servers;
};

// startPlatform() starts the platform stand-in. Nodes that are started later
// use it.
void startPlatform(TestFleet &Fleet,
                   const std::vector<std::string> &Flags = {});

// startNode() starts a node and waits until it is healthy. ExtraSettings is
// appended to its settings file, Flags to its command line. Throws
// std::runtime_error if it doesn't become healthy, as do the functions below
// that start a node, except startNodeUnread().
NodeProcess &startNode(TestFleet &Fleet, const std::string &Name,
                       const std::string &Region, const std::string &Domain,
                       const std::string &ExtraSettings = "",
                       const std::vector<std::string> &Flags = {});

// startProxiedNode() starts a node that its peers reach through a fault proxy.
NodeProcess &startProxiedNode(TestFleet &Fleet, const std::string &Name,
                              const std::string &Region,
                              const std::string &Domain,
                              const std::string &ExtraSettings = "");

// makeNodeProcess() returns the next node of the fleet with its addresses and
// the path of its settings file set. It neither starts the node nor adds it to
// Fleet.
NodeProcess makeNodeProcess(const TestFleet &Fleet, const std::string &Name);

// startNodeWithSettings() starts a node with Settings as the text of its
// settings file.
NodeProcess &startNodeWithSettings(TestFleet &Fleet, NodeProcess Node,
                                   const std::string &Settings,
                                   const std::vector<std::string> &Flags = {});

// startNodeUnread() starts a node whose standard output is a pipe that isn't
// read until readOutput() is called. Does not wait for the node.
void startNodeUnread(TestFleet &Fleet, NodeProcess Node,
                     const std::string &Settings);

// readOutput() returns the remaining standard output of a process that has
// ended.
std::string readOutput(const ChildPtr &Process);

// findLogLines() returns the lines that contain Text in the log files of all
// nodes.
std::vector<std::string> findLogLines(const TestFleet &Fleet,
                                      const std::string &Text);

// restartNode() kills a node, if it still runs, and starts it with the same
// settings but without its extra flags.
void restartNode(TestFleet &Fleet, NodeProcess &Node);

// startServer() starts a backend server stand-in that announces itself to Node.
ServerProcess &startServer(TestFleet &Fleet, const std::string &Name,
                           const std::string &Service, const NodeProcess &Node,
                           const std::vector<std::string> &Flags = {});

// restartServer() kills a backend server stand-in, if it still runs, and
// replaces it with a new process.
void restartServer(TestFleet &Fleet, ServerProcess &Server,
                   const std::string &Name, const std::string &Service,
                   const NodeProcess &Node,
                   const std::vector<std::string> &Flags);

// writeConfig() writes a configuration with a single file and returns its
// folder.
std::string writeConfig(const TestFleet &Fleet, const std::string &Name,
                        const std::string &Text);

// pushConfig() pushes a configuration folder to the first node, with up to
// three tries, and waits until every node is ready. Returns false if all tries
// failed or a node isn't ready after 20 s.
bool pushConfig(TestFleet &Fleet, const std::string &ConfigFolder);

// waitForServers() waits until every node lists at least Count ready servers.
// Returns false after 20 s.
bool waitForServers(TestFleet &Fleet, std::size_t Count);

// query() sends a query to the operator listener of a node and returns the
// reply as JSON text, empty if there is none.
std::string query(const NodeProcess &Node, const std::string &Json);

// controlServer() changes the behavior of a backend server stand-in; see
// backend_server_main.cc.
void controlServer(const ServerProcess &Server, const std::string &Json);

// runsOf() returns how many requests a backend server stand-in has run, 0 if it
// doesn't respond.
std::uint64_t runsOf(const ServerProcess &Server);

// sendSignal() sends a signal to a process of the fleet.
void sendSignal(const ChildPtr &Process, int Signal);

// waitForExit() waits until a process ends and returns its exit code, or -1 if
// Limit passed first.
int waitForExit(const ChildPtr &Process,
                std::chrono::milliseconds Limit = std::chrono::seconds(40));

int processId(const ChildPtr &Process);

// runCommand() runs the currantgauge command line and returns its exit code.
// Its standard output and standard error are appended to Output.
int runCommand(const std::vector<std::string> &Arguments, std::string &Output);

} // namespace currantgauge::integration

#endif // CURRANTGAUGE_TESTS_INTEGRATION_FLEET_H
