// Runs nodes as processes, with the command and the settings template of the
// deploy files, against small stand-ins of the platform's store, backend
// servers and callers.
//
//   Lab Bench = openLab("review/1");
//   Store Platform; startStore(Platform);
//   Node First = makeNode(Bench, Platform, {.Name = "n1", .Service = "a"});
//   startNode(Bench, First, FirstStart::Yes);
#ifndef REVIEW_LAB_LAB_H
#define REVIEW_LAB_LAB_H

#include "review/lab/net.h"

#include <nlohmann/json.hpp>

#include <sys/types.h>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace currantgauge::review {

// Exit codes of a case.
constexpr int RuleHeld = 0;
constexpr int RuleBroken = 1;
constexpr int CouldNotRun = 2;

// Lab is the state of one run of a case.
struct Lab {
  std::string Folder;  // temporary: settings and logs
  bool Trouble = true; // false: the run leaves out the disruption
  Clock::time_point Start = Clock::now();
  std::ofstream Record;
  std::mutex Lock;
};

// openLab() starts the record of a case. It ends the process with CouldNotRun
// after Limit.
void openLab(Lab &Bench, const std::string &CaseFolder,
             std::chrono::seconds Limit);

// note() writes a line with the seconds since the start to record.txt.
void note(Lab &Bench, const std::string &Text);

double secondsOf(const Lab &Bench, Clock::time_point Time);

// closeLab() removes the temporary folder, records the result and ends the
// process with it. Processes that were started end with this one.
[[noreturn]] void closeLab(Lab &Bench, int ExitCode);

// StoreRow is a row of a table of the platform's store.
struct StoreRow {
  std::string Value; // base64
  std::uint64_t Version = 0;
};

// Store is the platform's metadata store.
struct Store {
  std::string Address;
  std::mutex Lock;
  std::condition_variable Changed;
  std::map<std::pair<std::string, std::string>, StoreRow> Rows;
  std::vector<std::pair<std::uint64_t, std::pair<std::string, std::string>>>
      Log;
  std::uint64_t Version = 0;
  std::uint64_t Connections = 0;
  // Connections with a lower number are silent: nothing that arrives on them is
  // answered, and they stay open.
  std::uint64_t SilentBelow = 0;
};

void startStore(Store &Platform);

// writeConfig() writes op/config as the operator; its return is the
// acknowledgement.
void writeConfig(Store &Platform, const nlohmann::json &Document);

// silenceOpenConnections() makes all open connections silent for good.
std::uint64_t silenceOpenConnections(Store &Platform);

// makeRoute() returns a route of the operator's document.
nlohmann::json makeRoute(const std::string &Prefix, const std::string &Service,
                         const std::string &Kind);

// makeDocument() returns the operator's document.
nlohmann::json makeDocument(const std::string &Version,
                            const nlohmann::json &Routes,
                            const std::vector<std::string> &Services);

// Run is a request that a target began to work on.
struct Run {
  std::string Attempt;
  std::string Path;
  Clock::time_point StartedAt;
};

// Target is an application target. It serves one request at a time on a
// connection.
struct Target {
  std::string Id;
  std::string Service;
  std::string Address;
  std::int64_t Born = 0; // Unix milliseconds
  int Slots = 4;
  std::atomic<int> WorkMillis{5};
  std::atomic<std::uint64_t> Sequence{0};
  std::mutex Lock;
  std::vector<Run> Runs;
  std::vector<int> OpenSockets;
  int Listener = -1;
  bool Ended = false;
  // If set, a request whose body contains CRASH ends the target, as endTarget()
  // does, and this is called.
  std::function<void()> OnCrash;
  // If set, it is called for each request with its socket. If it returns true,
  // it has answered, and the connection is closed.
  std::function<bool(int, const HttpMessage &)> OnCall;
  std::atomic<bool> SendsPings{true};
};

void startTarget(Target &Server, const std::string &Host);

// endTarget() ends the target as the exit of its process does: the listener and
// all connections are closed.
void endTarget(Target &Server);

bool isEnded(Target &Server);

// restartTarget() starts an ended target again at its address and under its id.
void restartTarget(Target &Server);

std::vector<Run> runsOf(Target &Server);

// makeHeartbeat() returns a ping, with the next sequence number, that can be
// sent later.
std::string makeHeartbeat(Target &Server, const std::string &State);

std::string makeDeregistration(const Target &Server);

// sendPing() returns the status of the answer, 0 if there is none in a second.
int sendPing(const std::string &Control, const std::string &Ping);

// NodeParams are the settings of a node that differ between the nodes.
struct NodeParams {
  std::string Name;
  std::string Service;
  std::string Zone;
  std::string Application; // address of the target
};

// Node is a process of the system.
struct Node {
  std::string Name;
  std::string Host;
  std::string Outbound; // for clients
  std::string Control;  // for the target's pings
  std::string Ready;
  std::map<std::string, std::string> Values; // of the settings template
  pid_t Pid = -1;
  int Starts = 0;
};

// newHost() returns a loopback address that no other node of this run uses.
std::string newHost();

Node makeNode(const Store &Platform, const std::string &Host,
              const NodeParams &Params);

enum class FirstStart { No, Yes };

void startNode(Lab &Bench, Node &Process, FirstStart Bootstrap);

// killNode() sends SIGKILL and waits for the end of the process.
void killNode(Node &Process);

bool isRunning(const Node &Process);

bool isReady(const Node &Process);

// waitReady() returns false if the node isn't ready in 15 s.
bool waitReady(const Node &Process);

// MachineParams are a machine's target and place.
struct MachineParams {
  std::string Service;
  std::string Zone;
  int Slots = 4;
};

// Fleet is a store and machines, each with a target and a node.
struct Fleet {
  Store Platform;
  std::deque<Target> Servers; // i-1, i-2, ...
  std::vector<Node> Nodes;    // n1, n2, ...
};

// startFleet() starts all processes for the first time, and the pings of the
// targets.
void startFleet(Lab &Bench, Fleet &All,
                const std::vector<MachineParams> &Machines,
                Millis PingInterval);

// allReady() returns false if a node isn't ready in 15 s.
bool allReady(const Fleet &All);

// Request is what a client sends.
struct Request {
  std::string Method = "GET";
  std::string Path;
  std::string Body;
  int DeadlineMillis = 4000;
};

// Answer is what a client got. Status 0: no complete answer.
struct Answer {
  std::string Attempt;
  int Status = 0;
  std::string Body;
  Clock::time_point SentAt;
};

// newAttemptId() returns an id that no other request has.
std::string newAttemptId();

std::string formatRequest(const Request &Sent, const std::string &Attempt);

// sendRequest() sends a request on a new connection and waits for the answer.
Answer sendRequest(const Node &Entry, const Request &Sent);

// waitUntil() returns false if Condition doesn't hold within Limit.
template <typename Callable> bool waitUntil(Callable Condition, Millis Limit) {
  auto End = Clock::now() + Limit;
  while (!Condition()) {
    if (Clock::now() >= End)
      return false;
    waitReadable(-1, Clock::now() + Millis(20));
  }
  return true;
}

void sleepUntil(Clock::time_point Time);

} // namespace currantgauge::review

#endif // REVIEW_LAB_LAB_H
