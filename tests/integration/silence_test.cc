// Connections that are open go silent for good, while new ones work.
#include "tests/integration/machines.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <string>
#include <thread>

namespace currantgauge::integration {
namespace {

constexpr int MachineCount = 6;
// After silence began, machines are in touch again after the first time; a
// version is due in force everywhere after the second.
constexpr std::chrono::milliseconds StabilityWindow{3000};
constexpr std::chrono::milliseconds PropagationLimit{2000};

bool allServe(MachineFleet &Machines, const std::string &Target) {
  return std::all_of(
      Machines.List.begin(), Machines.List.end(), [&](const Machine &Machine) {
        return isOwnResponse(
            sendAsCaller(nodeOf(Machines, Machine), "GET", Target), "GET",
            Target);
      });
}

void startMachines(MachineFleet &Machines) {
  for (int I = 0; I < MachineCount; ++I)
    addProxiedMachine(Machines, "north", I % 2 == 0 ? "north-a" : "north-b",
                      "cutlist");
  writeOperatorsConfig(Machines, "r3",
                       {{"view", routeOf("/lists/", "cutlist", "idempotent")}});
  REQUIRE(waitUntil([&] { return allServe(Machines, "/lists/7"); }));
}

// Writes a version that adds a route, and checks that it is in force in time.
void checkNextVersion(MachineFleet &Machines) {
  writeOperatorsConfig(
      Machines, "r4",
      {{"view", routeOf("/lists/", "cutlist", "idempotent")},
       {"added", routeOf("/added/", "cutlist", "idempotent")}});
  std::this_thread::sleep_for(PropagationLimit);
  CHECK(allServe(Machines, "/added/7"));
}

} // namespace

// A watch at the store on a silent connection delayed a version by up to 30 s.
TEST_CASE("silence: a version is in force in time after the store's silence") {
  MachineFleet Machines;
  startMachines(Machines);
  for (const NodeProcess &Node : Machines.Fleet.Nodes)
    REQUIRE(silenceOpenConnections(Node.StoreProxy) > 0);
  std::this_thread::sleep_for(StabilityWindow);
  checkNextVersion(Machines);
}

TEST_CASE("silence: a version is in force in time after silence everywhere") {
  MachineFleet Machines;
  startMachines(Machines);
  for (const NodeProcess &Node : Machines.Fleet.Nodes) {
    silenceOpenConnections(Node.PeerProxy);
    silenceOpenConnections(Node.StoreProxy);
  }
  std::this_thread::sleep_for(StabilityWindow);
  checkNextVersion(Machines);
}

} // namespace currantgauge::integration
