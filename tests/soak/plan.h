// Fault plans of soak runs: which faults are injected and when. A plan is
// generated from a seed or parsed from text.
//
//   std::vector<Fault> Plan = makePlan(7, std::chrono::seconds(20), 5);
//   std::cout << formatPlan(Plan);
#ifndef CURRANTGAUGE_TESTS_SOAK_PLAN_H
#define CURRANTGAUGE_TESTS_SOAK_PLAN_H

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace currantgauge::soak {

using Millis = std::chrono::milliseconds;

// FaultKind is a kind of fault. Plans name it in snake_case.
enum class FaultKind {
  NodeKill,     // SIGKILL; restarted after the duration
  NodeFreeze,   // SIGSTOP for the duration
  NodeStop,     // SIGTERM; restarted once it has exited, or after 8 s
  HerdKill,     // SIGKILL to all nodes; restarted after the duration
  ServerKill,   // SIGKILL to a backend server; restarted after the duration
  ServerDrain,  // it announces that it is leaving; later it is restarted
  ServerFail,   // it responds 500 to half of its requests
  ServerReset,  // it resets the connection instead of half of its responses
  ServerCut,    // it truncates half of its responses
  ServerSlow,   // it takes ten times as long
  StoreRefuse,  // it responds 503 to every client
  StoreSilent,  // it accepts calls and never responds
  StoreSlow,    // it delays each response by 250 ms
  StoreLoses,   // it applies writes but loses half of the responses
  StoreForgets, // it drops its change history
  StoreCut,     // packets between one node and the store are dropped
  PeerCut,      // packets on other nodes' connections to a node are dropped
  PeerOneWay,   // on these connections, only packets from the node are dropped
  PeerSilence,  // open peer connections to a node stop delivering for good
  PeerReset,    // open peer connections to a node are reset
  PeerDelay,    // 100 ms in each direction on peer connections to a node
  ConfigChange, // a new configuration version is written
  LateHeartbeat // a heartbeat of an incarnation that has ended
};

constexpr FaultKind LastFaultKind = FaultKind::LateHeartbeat;

// Fault is one entry of a plan. Machine counts from 0 and makes no difference
// for kinds that affect the whole store, all nodes or the configuration, but
// must exist.
struct Fault {
  Millis StartTime{0}; // since the start of the plan
  FaultKind Kind = FaultKind::NodeKill;
  std::size_t Machine = 0;
  Millis Duration{0};

  bool operator==(const Fault &) const = default;
};

// faultName() returns the name of a kind in plans.
std::string faultName(FaultKind Kind);

// isPlanned() returns true for maintenance that operators carry out.
bool isPlanned(FaultKind Kind);

// makePlan() generates a plan for Length, sorted by start time. Faults are
// single or in series of one kind and may overlap.
std::vector<Fault> makePlan(std::uint64_t Seed, Millis Length,
                            std::size_t MachineCount);

// formatPlan() returns one line per fault: start in milliseconds, kind, machine
// and duration in milliseconds, such as "1500 node_kill 3 800".
std::string formatPlan(const std::vector<Fault> &Plan);

// parsePlan() parses the output of formatPlan(), with empty lines and comments
// after "#" at the start of a line. It doesn't sort the faults. Throws
// std::runtime_error with the number of the first malformed line.
std::vector<Fault> parsePlan(const std::string &Text);

} // namespace currantgauge::soak

#endif // CURRANTGAUGE_TESTS_SOAK_PLAN_H
