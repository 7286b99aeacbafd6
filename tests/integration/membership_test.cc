#include "tests/integration/callers.h"
#include "tests/integration/fleet.h"

#include <doctest/doctest.h>

#include <csignal>
#include <string>

namespace currantgauge::integration {
namespace {

// Returns the first word of memberState().
std::string phaseAt(const NodeProcess &Node, const std::string &Member) {
  std::string State = memberState(Node, Member);
  return State.substr(0, State.find(' '));
}

bool waitForPhase(const NodeProcess &Node, const std::string &Member,
                  const std::string &Phase) {
  return waitUntil([&] { return phaseAt(Node, Member) == Phase; });
}

} // namespace

TEST_CASE("nodes join and leave without the platform") {
  TestFleet Fleet;
  startPlatform(Fleet);
  startNode(Fleet, "a", "north", "north-a");
  startNode(Fleet, "b", "north", "north-b");
  startNode(Fleet, "c", "south", "south-a");
  CHECK(waitForPhase(Fleet.Nodes[0], "c", "alive"));
  CHECK(waitForPhase(Fleet.Nodes[2], "b", "alive"));
  sendSignal(Fleet.PlatformProcess, SIGKILL);
  sendSignal(Fleet.Nodes[2].Process, SIGKILL);
  startNode(Fleet, "d", "south", "south-b");
  CHECK(waitForPhase(Fleet.Nodes[0], "c", "dead"));
  CHECK(waitForPhase(Fleet.Nodes[1], "c", "dead"));
  CHECK(waitForPhase(Fleet.Nodes[0], "d", "alive"));
  CHECK(waitForPhase(Fleet.Nodes[3], "a", "alive"));
  CHECK(waitForPhase(Fleet.Nodes[3], "b", "alive"));
  restartNode(Fleet, Fleet.Nodes[2]);
  CHECK(waitForPhase(Fleet.Nodes[0], "c", "alive"));
  CHECK(waitForPhase(Fleet.Nodes[2], "d", "alive"));
}

TEST_CASE("a node that stops announces it and its servers are removed") {
  TestFleet Fleet;
  startNode(Fleet, "a", "north", "north-a");
  startNode(Fleet, "b", "north", "north-b");
  startServer(Fleet, "cutlist-1", "cutlist", Fleet.Nodes[1]);
  REQUIRE(waitForServers(Fleet, 1));
  sendSignal(Fleet.Nodes[1].Process, SIGTERM);
  CHECK(waitForExit(Fleet.Nodes[1].Process) == 0);
  CHECK(waitForPhase(Fleet.Nodes[0], "b", "left"));
  std::string Status = query(Fleet.Nodes[0], R"({"query":"status"})");
  CHECK(Status.find("cutlist-1") == std::string::npos);
}

TEST_CASE(
    "a paused node is suspected and refutes the suspicion when it resumes") {
  TestFleet Fleet;
  startNode(Fleet, "a", "north", "north-a");
  startNode(Fleet, "b", "north", "north-b");
  startNode(Fleet, "c", "north", "north-b");
  REQUIRE(waitForPhase(Fleet.Nodes[0], "c", "alive"));
  REQUIRE(waitForPhase(Fleet.Nodes[2], "b", "alive"));
  sendSignal(Fleet.Nodes[2].Process, SIGSTOP);
  CHECK(waitUntil([&] { return phaseAt(Fleet.Nodes[0], "c") != "alive"; }));
  sendSignal(Fleet.Nodes[2].Process, SIGCONT);
  CHECK(waitForPhase(Fleet.Nodes[0], "c", "alive"));
  CHECK(waitForPhase(Fleet.Nodes[1], "c", "alive"));
}

} // namespace currantgauge::integration
