#include "tests/integration/callers.h"
#include "tests/integration/fleet.h"
#include "tests/integration/proxy.h"

#include <doctest/doctest.h>

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

namespace currantgauge::integration {
namespace {

constexpr std::chrono::milliseconds FlapInterval{700};

std::vector<std::uint64_t> runsOfAll(const TestFleet &Fleet) {
  std::vector<std::uint64_t> Runs;
  for (const ServerProcess &Server : Fleet.Servers)
    Runs.push_back(runsOf(Server));
  return Runs;
}

// successfulRequests() returns how many requests a node has answered with
// success.
std::uint64_t successfulRequests(const NodeProcess &Node) {
  const std::string MetricPrefix =
      "currantgauge_requests_total{kind=\"list_read\",verdict=\"ran\"} ";
  auto Page = sendRequest(Node.AnnounceAddress, "GET", "/metrics");
  std::size_t At = Page ? Page->Body.find(MetricPrefix) : std::string::npos;
  return At == std::string::npos
             ? 0
             : std::stoull(Page->Body.substr(At + MetricPrefix.size()));
}

void startFourServers(TestFleet &Fleet) {
  startNode(Fleet, "a", "north", "north-a");
  startNode(Fleet, "b", "north", "north-b");
  for (int I = 1; I <= 4; ++I)
    startServer(Fleet, "cutlist-" + std::to_string(I), "cutlist",
                Fleet.Nodes[static_cast<std::size_t>(I) % 2]);
  REQUIRE(pushConfig(Fleet, DemoConfig));
  REQUIRE(waitForServers(Fleet, 4));
}

void testSilencedConnections(std::size_t Callers, int Requests) {
  TestFleet Fleet;
  startNode(Fleet, "a", "north", "north-a");
  ServerProcess &HiddenServer =
      startServer(Fleet, "hidden", "elsewhere", Fleet.Nodes[0]);
  Proxy ServerProxy = startProxy(HiddenServer.Address);
  // The same kind of server, reached through the proxy.
  startServer(Fleet, "cutlist-1", "cutlist", Fleet.Nodes[0],
              {"--advertise=" + ServerProxy.Address});
  startServer(Fleet, "cutlist-2", "cutlist", Fleet.Nodes[0]);
  REQUIRE(pushConfig(Fleet, DemoConfig));
  REQUIRE(waitForServers(Fleet, 3));
  ReadLoad Load(Fleet, Callers);
  REQUIRE(waitUntil([&] { return Load.Succeeded > 100; }));
  REQUIRE(Load.Failed == 0);
  int SilencedCount = silenceOpenConnections(ServerProxy);
  REQUIRE(SilencedCount > 0);
  int Good = Load.Succeeded;
  REQUIRE(waitUntil([&] { return Load.Succeeded > Good + Requests; }));
  INFO("asks that failed:" << failuresOf(Load));
  CHECK(Load.Failed.load() <= SilencedCount);
  CHECK_FALSE(wasEjected(Fleet, "cutlist-1"));
  CHECK_FALSE(wasEjected(Fleet, "cutlist-2"));
}

} // namespace

TEST_CASE("a stalled server leaves traffic, its peers stay, and it returns") {
  TestFleet Fleet;
  startFourServers(Fleet);
  ReadLoad Load(Fleet, 8);
  REQUIRE(waitUntil([&] { return Load.Succeeded > 100; }));
  controlServer(Fleet.Servers[0], R"({"mode":"stall"})");
  CHECK(waitUntil([&] { return wasEjected(Fleet, "cutlist-1"); }));
  // What was in flight ends; after it the server gets trials alone.
  std::this_thread::sleep_for(std::chrono::seconds(3));
  int Bad = Load.Failed;
  int Good = Load.Succeeded;
  REQUIRE(waitUntil([&] { return Load.Succeeded > Good + 200; }));
  INFO("asks that failed:" << failuresOf(Load));
  CHECK(Load.Failed == Bad);
  for (int I = 2; I <= 4; ++I)
    CHECK_FALSE(wasEjected(Fleet, "cutlist-" + std::to_string(I)));
  controlServer(Fleet.Servers[0], R"({"mode":"ok"})");
  std::uint64_t Before = runsOf(Fleet.Servers[0]);
  CHECK(waitUntil([&] { return runsOf(Fleet.Servers[0]) > Before + 50; },
                  std::chrono::seconds(30)));
}

TEST_CASE("a server that flaps leaves traffic, its peers stay") {
  TestFleet Fleet;
  startFourServers(Fleet);
  ReadLoad Load(Fleet, 8);
  REQUIRE(waitUntil([&] { return Load.Succeeded > 100; }));
  std::atomic<bool> Stop{false};
  std::thread Flapping([&] {
    for (bool Stalled = true; !Stop; Stalled = !Stalled) {
      controlServer(Fleet.Servers[0],
                    Stalled ? R"({"mode":"stall"})" : R"({"mode":"ok"})");
      std::this_thread::sleep_for(FlapInterval);
    }
  });
  bool Ejected = waitUntil([&] { return wasEjected(Fleet, "cutlist-1"); });
  std::vector<std::uint64_t> Runs = runsOfAll(Fleet);
  int Good = Load.Succeeded;
  bool Served = waitUntil([&] { return Load.Succeeded > Good + 600; });
  std::vector<std::uint64_t> After = runsOfAll(Fleet);
  Stop = true;
  Flapping.join();
  CHECK(Ejected);
  CHECK(Served);
  // Half of what the least used peer got would be a server that is in traffic
  // whenever it is well.
  for (std::size_t I = 1; I < 4; ++I)
    CHECK(2 * (After[0] - Runs[0]) < After[I] - Runs[I]);
  for (int I = 2; I <= 4; ++I)
    CHECK_FALSE(wasEjected(Fleet, "cutlist-" + std::to_string(I)));
}

TEST_CASE("connections gone silent cost at most one ask each") {
  testSilencedConnections(4, 300);
}

// KNOWN-RED.txt: rarely the server that is well is ejected.
TEST_CASE("connections gone silent under more load" * doctest::skip()) {
  testSilencedConnections(12, 1500);
}

TEST_CASE("a channel between nodes gone silent costs one ask") {
  TestFleet Fleet;
  startNode(Fleet, "a", "north", "north-a");
  startProxiedNode(Fleet, "b", "north", "north-a");
  startServer(Fleet, "cutlist-1", "cutlist", Fleet.Nodes[1]);
  startServer(Fleet, "cutlist-2", "cutlist", Fleet.Nodes[0]);
  REQUIRE(pushConfig(Fleet, DemoConfig));
  REQUIRE(waitForServers(Fleet, 2));
  ReadLoad Load(Fleet, 2); // one caller a node
  REQUIRE(waitUntil([&] { return Load.Succeeded > 100; }));
  REQUIRE(Load.Failed == 0);
  int SilencedCount = silenceOpenConnections(Fleet.Nodes[1].PeerProxy);
  REQUIRE(SilencedCount > 0);
  int Good = Load.Succeeded;
  REQUIRE(waitUntil([&] { return Load.Succeeded > Good + 200; }));
  INFO("asks that failed:" << failuresOf(Load));
  CHECK(Load.Failed.load() <= SilencedCount);
  CHECK_FALSE(wasEjected(Fleet, "cutlist-1"));
  CHECK_FALSE(wasEjected(Fleet, "cutlist-2"));
}

TEST_CASE("a silent channel to the only owner costs what was in flight") {
  TestFleet Fleet;
  startNode(Fleet, "a", "north", "north-a");
  startProxiedNode(Fleet, "b", "north", "north-a");
  for (const char *Name : {"cutlist-1", "cutlist-2"})
    startServer(Fleet, Name, "cutlist", Fleet.Nodes[1]);
  REQUIRE(pushConfig(Fleet, DemoConfig));
  REQUIRE(waitForServers(Fleet, 2));
  constexpr int CallersPerNode = 4;
  ReadLoad Load(Fleet, 2 * CallersPerNode);
  REQUIRE(waitUntil([&] { return Load.Succeeded > 100; }));
  REQUIRE(Load.Failed == 0);
  REQUIRE(silenceOpenConnections(Fleet.Nodes[1].PeerProxy) == 1);
  std::uint64_t Runs = successfulRequests(Fleet.Nodes[0]);
  REQUIRE(waitUntil(
      [&] { return successfulRequests(Fleet.Nodes[0]) > Runs + 200; }));
  INFO("asks that failed:" << failuresOf(Load));
  CHECK(Load.Failed.load() <= CallersPerNode);
  CHECK_FALSE(wasEjected(Fleet, "cutlist-1"));
  CHECK_FALSE(wasEjected(Fleet, "cutlist-2"));
}

} // namespace currantgauge::integration
