#include "tests/integration/callers.h"
#include "tests/integration/fleet.h"

#include <doctest/doctest.h>

#include <csignal>
#include <string>

namespace currantgauge::integration {
namespace {

// phaseAt() is the first word of memberState().
std::string phaseAt(const NodeProcess &Node, const std::string &Of) {
  std::string Said = memberState(Node, Of);
  return Said.substr(0, Said.find(' '));
}

bool waitForPhase(const NodeProcess &Node, const std::string &Of,
                  const std::string &Phase) {
  return waitUntil([&] { return phaseAt(Node, Of) == Phase; });
}

} // namespace

TEST_CASE("nodes come and go while the platform is gone") {
  TestFleet Some;
  startPlatform(Some);
  startNode(Some, "a", "north", "north-a");
  startNode(Some, "b", "north", "north-b");
  startNode(Some, "c", "south", "south-a");
  CHECK(waitForPhase(Some.Nodes[0], "c", "alive"));
  CHECK(waitForPhase(Some.Nodes[2], "b", "alive"));
  sendSignal(Some.PlatformProcess, SIGKILL);
  sendSignal(Some.Nodes[2].Process, SIGKILL);
  startNode(Some, "d", "south", "south-b");
  CHECK(waitForPhase(Some.Nodes[0], "c", "dead"));
  CHECK(waitForPhase(Some.Nodes[1], "c", "dead"));
  CHECK(waitForPhase(Some.Nodes[0], "d", "alive"));
  CHECK(waitForPhase(Some.Nodes[3], "a", "alive"));
  CHECK(waitForPhase(Some.Nodes[3], "b", "alive"));
  restartNode(Some, Some.Nodes[2]);
  CHECK(waitForPhase(Some.Nodes[0], "c", "alive"));
  CHECK(waitForPhase(Some.Nodes[2], "d", "alive"));
}

TEST_CASE("a node that stops says so, and its servers go with it") {
  TestFleet Some;
  startNode(Some, "a", "north", "north-a");
  startNode(Some, "b", "north", "north-b");
  startServer(Some, "cutlist-1", "cutlist", Some.Nodes[1]);
  REQUIRE(waitForServers(Some, 1));
  sendSignal(Some.Nodes[1].Process, SIGTERM);
  CHECK(waitForExit(Some.Nodes[1].Process) == 0);
  CHECK(waitForPhase(Some.Nodes[0], "b", "left"));
  std::string Status = query(Some.Nodes[0], R"({"query":"status"})");
  CHECK(Status.find("cutlist-1") == std::string::npos);
}

TEST_CASE("a paused node is suspected and refutes when it goes on") {
  TestFleet Some;
  startNode(Some, "a", "north", "north-a");
  startNode(Some, "b", "north", "north-b");
  startNode(Some, "c", "north", "north-b");
  REQUIRE(waitForPhase(Some.Nodes[0], "c", "alive"));
  REQUIRE(waitForPhase(Some.Nodes[2], "b", "alive"));
  sendSignal(Some.Nodes[2].Process, SIGSTOP);
  CHECK(waitUntil([&] { return phaseAt(Some.Nodes[0], "c") != "alive"; }));
  sendSignal(Some.Nodes[2].Process, SIGCONT);
  CHECK(waitForPhase(Some.Nodes[0], "c", "alive"));
  CHECK(waitForPhase(Some.Nodes[1], "c", "alive"));
}

} // namespace currantgauge::integration
