// Tests what callers see when the store comes back from a copy that lacks its
// last writes.
#include "tests/integration/machines.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

namespace currantgauge::integration {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

// Bounds set by the deployments: configPropagationMs, stabilityWindowMs and
// recoveryS.
constexpr milliseconds PropagationLimit{2000};
constexpr milliseconds StabilityWindow{3000};
constexpr milliseconds RecoveryTime{15000};
constexpr std::uint64_t MaxStoreCallsPerNodeAndSecond = 5;
// Between the moment of a copy and the writes before and after it.
constexpr milliseconds CopyMargin{100};
// Nodes that have just started look for others more often.
constexpr milliseconds InitialSearchTime{3000};
// Versions of the store beside those of the configuration that a restore loses.
constexpr int LostStoreVersions = 10;

std::string routeName(int Version) { return "v" + std::to_string(Version); }

// Each version has the routes of the earlier ones and one of its own.
json routesUpTo(int Version) {
  json Routes;
  for (int Number = 1; Number <= Version; ++Number)
    Routes[routeName(Number)] =
        routeOf("/" + routeName(Number) + "/",
                Number % 2 == 0 ? "cutlist" : "stocktally", "idempotent");
  return Routes;
}

void writeVersion(MachineFleet &Machines, int Version) {
  writeOperatorsConfig(Machines, "r" + std::to_string(Version),
                       routesUpTo(Version));
}

bool servesRoute(const NodeProcess &Node, const std::string &Route) {
  std::string Target = "/" + Route + "/7";
  return isOwnResponse(sendAsCaller(Node, "GET", Target), "GET", Target);
}

bool servesVersion(const NodeProcess &Node, int Version) {
  return servesRoute(Node, routeName(Version));
}

// Returns whether the node responds that it has no route of the version.
bool lacksVersion(const NodeProcess &Node, int Version) {
  CallerRequest Request =
      sendAsCaller(Node, "GET", "/" + routeName(Version) + "/7");
  return Request.Response && Request.Response->Status == 404;
}

bool allServeVersion(MachineFleet &Machines, int Version) {
  return std::all_of(Machines.List.begin(), Machines.List.end(),
                     [&](const Machine &Machine) {
                       return servesVersion(nodeOf(Machines, Machine), Version);
                     });
}

// Writes rows of a table that no node reads, so that the store gives out
// versions.
void spendStoreVersions(MachineFleet &Machines, int Count) {
  for (int Number = 0; Number < Count; ++Number) {
    json Row = {{"table", "unrelated"},
                {"part", ""},
                {"key", std::to_string(Number)},
                {"value", ""}};
    auto Answer =
        sendRequest(Machines.Fleet.PlatformAddress, "POST", "/api/rows-tx",
                    json{{"put", json::array({Row})}}.dump());
    REQUIRE(Answer);
    REQUIRE(Answer->Status == 200);
  }
}

// RestorableFleet is a fleet of three machines that serve version 2, of whose
// store a copy of CopyTime has version 1.
struct RestorableFleet {
  MachineFleet Machines;
  Clock::time_point CopyTime;
};

using AddMachine = Machine (*)(MachineFleet &, const std::string &,
                               const std::string &, const std::string &,
                               const std::vector<std::string> &);

void startRestorableFleet(RestorableFleet &Fleet, AddMachine Add = addMachine) {
  MachineFleet &Machines = Fleet.Machines;
  Add(Machines, "north", "north-a", "cutlist", {});
  Add(Machines, "north", "north-b", "stocktally", {});
  Add(Machines, "south", "south-a", "cutlist", {});
  writeVersion(Machines, 1);
  REQUIRE(waitForServers(Machines.Fleet, 3));
  REQUIRE(waitUntil([&] { return allServeVersion(Machines, 1); }));
  std::this_thread::sleep_for(CopyMargin);
  Fleet.CopyTime = Clock::now();
  std::this_thread::sleep_for(CopyMargin);
  spendStoreVersions(Machines, LostStoreVersions);
  writeVersion(Machines, 2);
  REQUIRE(waitUntil([&] { return allServeVersion(Machines, 2); }));
}

json restoreCommand(const RestorableFleet &Fleet) {
  return {{"restore_ms", std::chrono::duration_cast<milliseconds>(
                             Clock::now() - Fleet.CopyTime)
                             .count()}};
}

void restoreStore(RestorableFleet &Fleet) {
  controlStore(Fleet.Machines, restoreCommand(Fleet));
}

// Restores a copy of a time before the first write.
void emptyStore(MachineFleet &Machines) {
  constexpr std::uint32_t WholeLifeMillis = 3600 * 1000;
  controlStore(Machines, {{"restore_ms", WholeLifeMillis}});
}

// The store is away for Outage and comes back from the copy.
void restoreStoreAfterOutage(RestorableFleet &Fleet, milliseconds Outage) {
  json Command = restoreCommand(Fleet);
  Command["outage"] = "refuse";
  controlStore(Fleet.Machines, Command);
  std::this_thread::sleep_for(Outage);
  controlStore(Fleet.Machines, json::object());
}

std::uint64_t maxStoreCalls(const MachineFleet &Machines,
                            std::chrono::seconds Duration) {
  return MaxStoreCallsPerNodeAndSecond * Machines.List.size() *
         static_cast<std::uint64_t>(Duration.count());
}

} // namespace

TEST_CASE("restore: no node goes back to an older version with the store") {
  RestorableFleet Fleet;
  startRestorableFleet(Fleet);
  restoreStore(Fleet);
  int Regresses = 0;
  for (auto End = Clock::now() + StabilityWindow; Clock::now() < End;)
    for (const Machine &Machine : Fleet.Machines.List)
      Regresses += lacksVersion(nodeOf(Fleet.Machines, Machine), 2) ? 1 : 0;
  CHECK(Regresses == 0);
  CHECK(allServeVersion(Fleet.Machines, 2));
}

TEST_CASE("restore: nodes do not flood a store whose versions went back") {
  constexpr std::chrono::seconds Duration{3};
  RestorableFleet Fleet;
  startRestorableFleet(Fleet);
  std::uint64_t Before = countStoreCalls(Fleet.Machines);
  restoreStore(Fleet);
  std::this_thread::sleep_for(Duration);
  std::uint64_t Calls = countStoreCalls(Fleet.Machines) - Before;
  CHECK(Calls <= maxStoreCalls(Fleet.Machines, Duration));
}

TEST_CASE("restore: nodes do not flood a store that was away and lost writes") {
  constexpr std::chrono::seconds Outage{2};
  constexpr std::chrono::seconds Duration{3};
  RestorableFleet Fleet;
  startRestorableFleet(Fleet);
  std::uint64_t Before = countStoreCalls(Fleet.Machines);
  restoreStoreAfterOutage(Fleet, Outage);
  std::this_thread::sleep_for(Duration);
  std::uint64_t Calls = countStoreCalls(Fleet.Machines) - Before;
  CHECK(Calls <= maxStoreCalls(Fleet.Machines, Duration));
}

TEST_CASE("restore: versions that the operator writes again and after that "
          "reach every node in time") {
  RestorableFleet Fleet;
  startRestorableFleet(Fleet);
  restoreStore(Fleet);
  writeVersion(Fleet.Machines, 2);
  std::this_thread::sleep_for(StabilityWindow);
  writeVersion(Fleet.Machines, 3);
  CHECK(waitUntil([&] { return allServeVersion(Fleet.Machines, 3); },
                  PropagationLimit));
  CHECK(allServeVersion(Fleet.Machines, 2));
}

TEST_CASE("restore: a version of the new history is not missed at a store "
          "revision that the old history had") {
  RestorableFleet Fleet;
  startRestorableFleet(Fleet, addProxiedMachine);
  for (const Machine &Machine : Fleet.Machines.List)
    sendCommand(nodeOf(Fleet.Machines, Machine).StoreProxy,
                R"({"route":0,"drop_to_target":true,"drop_to_client":true})");
  restoreStore(Fleet);
  writeVersion(Fleet.Machines, 2);
  writeVersion(Fleet.Machines, 3);
  spendStoreVersions(Fleet.Machines, 2 * LostStoreVersions);
  for (const Machine &Machine : Fleet.Machines.List) {
    const Proxy &StorePath = nodeOf(Fleet.Machines, Machine).StoreProxy;
    sendCommand(StorePath, R"({"route":0})");
    sendCommand(StorePath, R"({"route":0,"reset_open":true})");
  }
  CHECK(waitUntil([&] { return allServeVersion(Fleet.Machines, 3); },
                  StabilityWindow));
}

TEST_CASE("restore: a node that starts before the lost version is written "
          "again serves what its peers serve") {
  RestorableFleet Fleet;
  startRestorableFleet(Fleet);
  restoreStore(Fleet);
  NodeProcess &Node = nodeOf(Fleet.Machines, Fleet.Machines.List[0]);
  restartNode(Fleet.Machines.Fleet, Node);
  CHECK(waitUntil([&] { return servesVersion(Node, 2); }, StabilityWindow));
  std::this_thread::sleep_for(StabilityWindow);
  CHECK(allServeVersion(Fleet.Machines, 2));
  writeVersion(Fleet.Machines, 2);
  writeVersion(Fleet.Machines, 3);
  CHECK(waitUntil([&] { return allServeVersion(Fleet.Machines, 3); },
                  PropagationLimit));
}

TEST_CASE("restore: a node that starts after the rows of the other nodes were "
          "lost finds them") {
  RestorableFleet Fleet;
  startRestorableFleet(Fleet);
  MachineFleet &Machines = Fleet.Machines;
  std::this_thread::sleep_for(InitialSearchTime);
  emptyStore(Machines);
  writeVersion(Machines, 2);
  Machine Added = addMachine(Machines, "south", "south-b", "asset-registry");
  json Routes = routesUpTo(3);
  Routes["assets"] = routeOf("/assets/", "asset-registry", "idempotent");
  writeOperatorsConfig(Machines, "r3", Routes);
  CHECK(waitUntil(
      [&] {
        return servesVersion(nodeOf(Machines, Added), 1) &&
               servesVersion(nodeOf(Machines, Added), 2) &&
               servesRoute(nodeOf(Machines, Machines.List[0]), "assets");
      },
      RecoveryTime));
}

TEST_CASE("restore: a node that restarts while the store is empty serves what "
          "its peers serve") {
  RestorableFleet Fleet;
  startRestorableFleet(Fleet);
  MachineFleet &Machines = Fleet.Machines;
  std::this_thread::sleep_for(InitialSearchTime);
  emptyStore(Machines);
  NodeProcess &Node = nodeOf(Machines, Machines.List[0]);
  restartNode(Machines.Fleet, Node);
  CHECK(waitUntil(
      [&] { return servesVersion(Node, 1) && servesVersion(Node, 2); },
      RecoveryTime));
}

} // namespace currantgauge::integration
