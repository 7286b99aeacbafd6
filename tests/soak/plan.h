// What a soak run breaks and when, drawn from a seed or read from a file.
//
//   std::vector<Fault> Plan = makePlan(7, std::chrono::seconds(20), 5);
//   std::cout << planText(Plan);
#ifndef CURRANTGAUGE_TESTS_SOAK_PLAN_H
#define CURRANTGAUGE_TESTS_SOAK_PLAN_H

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace currantgauge::soak {

using Millis = std::chrono::milliseconds;

// FaultKind is what is done; its name in plans is the same in snake_case.
enum class FaultKind {
  NodeKill,     // SIGKILL, started again after the time
  NodeFreeze,   // SIGSTOP for the time
  NodeStop,     // SIGTERM, started again when it has ended
  HerdKill,     // SIGKILL to all nodes, started again after the time
  ServerKill,   // a backend server, started again after the time
  ServerDrain,  // it says that it leaves, ends and starts again
  ServerFail,   // it fails half of its requests
  ServerReset,  // it resets half of its connections after the work
  ServerCut,    // it cuts half of its answers short
  ServerSlow,   // ten times as slow
  StoreRefuse,  // 503 to everybody
  StoreSilent,  // takes calls and answers none
  StoreSlow,    // a quarter of a second more an answer
  StoreLoses,   // applies writes and answers half of them
  StoreForgets, // drops its history
  StoreCut,     // one node's way to the store, silently
  PeerCut,      // the way of others to a node, silently
  PeerOneWay,   // answers of a node to others vanish
  PeerSilence,  // open connections to a node go silent for good
  PeerReset,    // open connections to a node are reset
  PeerDelay,    // 100 ms each way to a node
  ConfigChange, // a new version
  LateHeartbeat // of a life that is over
};

constexpr FaultKind LastFault = FaultKind::LateHeartbeat;

// Fault is one entry of a plan. Machine counts from 0 and says little where a
// kind concerns all.
struct Fault {
  Millis At{0}; // from the start of traffic
  FaultKind Kind = FaultKind::NodeKill;
  std::size_t Machine = 0;
  Millis For{0};

  bool operator==(const Fault &) const = default;
};

// faultName() returns the name used in plans.
std::string faultName(FaultKind Kind);

// isPlanned() is true for what operators do on purpose.
bool isPlanned(FaultKind Kind);

// makePlan() draws a plan in the order of its times. Faults come alone, in
// series of one kind, and overlap.
std::vector<Fault> makePlan(std::uint64_t Seed, Millis Length,
                            std::size_t Machines);

// planText() returns a line a fault: "1500 node_kill 3 800".
std::string planText(const std::vector<Fault> &Plan);

// parsePlan() reads planText(). Throws std::runtime_error with the line's
// number.
std::vector<Fault> parsePlan(const std::string &Text);

} // namespace currantgauge::soak

#endif // CURRANTGAUGE_TESTS_SOAK_PLAN_H
