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
  NodeKill,      // a node gets SIGKILL; restarted after the duration
  NodeFreeze,    // a node gets SIGSTOP, and SIGCONT after the duration
  NodeStop,      // a node gets SIGTERM; restarted after it exits, or after 8 s
  HerdKill,      // all nodes get SIGKILL; restarted after the duration
  ServerKill,    // a backend server gets SIGKILL; restarted after the duration
  ServerDrain,   // the server announces that it is leaving; restarted later
  ServerFail,    // the server responds 500 to half of its requests
  ServerReset,   // the server sends a reset instead of half of its responses
  ServerCut,     // the server truncates half of its responses
  ServerSlow,    // the server takes ten times as long for each request
  StoreRefuse,   // the store responds 503 to every client
  StoreSilent,   // the store accepts calls and never responds
  StoreSlow,     // the store delays each response by 250 ms
  StoreLoses,    // the store applies writes but loses half of the responses
  StoreForgets,  // the store drops its change history
  StoreCut,      // data between one node and the store is dropped
  PeerCut,       // data on other nodes' connections to a node is dropped
  PeerOneWay,    // like PeerCut, but only the data that the node sends
  PeerSilence,   // open peer connections to a node stop delivering for good
  PeerReset,     // open peer connections to a node are reset
  PeerDelay,     // 100 ms in each direction on peer connections to a node
  ConfigChange,  // a new configuration version is written
  LateHeartbeat, // a heartbeat of an incarnation that has ended
  StoreRestored, // the store is away and comes back from a copy; see copyAge()
  StoreSilence   // open connections to the store stop delivering for good
};

constexpr FaultKind LastFaultKind = FaultKind::StoreSilence;

// Fault is one entry of a plan. Machine counts from 0 and makes no difference
// for kinds that affect the whole store (except copyAge()), all nodes or the
// configuration, but must exist.
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

// copyAge() returns how old the copy is when a StoreRestored fault starts: 1,
// 3, 5, 7 or 9 s, by the machine of the fault.
Millis copyAge(const Fault &Entry);

// makePlan() generates a plan for Length, sorted by start time. Faults are
// single or in series of one kind and may overlap. Every fourth seed adds a
// StoreSilence followed by a ConfigChange.
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
