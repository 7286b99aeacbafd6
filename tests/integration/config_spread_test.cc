#include "tests/integration/fleet.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <array>
#include <chrono>
#include <csignal>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace currantgauge::integration {
namespace {

constexpr std::size_t NodeCount = 12;
const std::string Examples = std::string(CURRANTGAUGE_SOURCE_DIR) + "/examples";

void startTwelveNodes(TestFleet &Fleet) {
  constexpr std::array<const char *, 4> Domains = {"north-a", "north-b",
                                                   "south-a", "south-b"};
  startPlatform(Fleet);
  for (std::size_t Index = 0; Index < NodeCount; ++Index) {
    std::string Domain = Domains[Index % Domains.size()];
    startNode(Fleet, "n" + std::to_string(Index), Domain.substr(0, 5), Domain);
  }
}

// --wait covers only the nodes that the queried node knows, so all nodes must
// know each other first.
bool waitForMembers(TestFleet &Fleet) {
  return waitUntil([&] {
    for (const NodeProcess &Node : Fleet.Nodes) {
      std::string Text = query(Node, R"({"query":"status"})");
      for (const NodeProcess &Member : Fleet.Nodes)
        if (Text.find("\"" + Member.Name + "\"") == std::string::npos)
          return false;
    }
    return true;
  });
}

int push(const TestFleet &Fleet, std::size_t Node, const std::string &Example,
         const std::vector<std::string> &Flags = {}) {
  std::vector<std::string> Arguments = {
      "config", "push", Examples + "/" + Example,
      "--node=" + Fleet.Nodes[Node].OperatorAddress, "--author=test"};
  Arguments.insert(Arguments.end(), Flags.begin(), Flags.end());
  std::string Output;
  return runCommand(Arguments, Output);
}

std::uint64_t versionAt(const NodeProcess &Node) {
  auto Reply = nlohmann::json::parse(query(Node, R"({"query":"status"})"),
                                     nullptr, false);
  if (!Reply.is_object())
    return 0;
  return std::stoull(
      Reply["fields"]["config_version"].get_ref<const std::string &>());
}

bool isEverywhere(const TestFleet &Fleet, std::uint64_t Version) {
  for (const NodeProcess &Node : Fleet.Nodes)
    if (versionAt(Node) != Version)
      return false;
  return true;
}

double waitUntilEverywhere(const TestFleet &Fleet, std::uint64_t Version) {
  auto Start = std::chrono::steady_clock::now();
  REQUIRE(waitUntil([&] { return isEverywhere(Fleet, Version); }));
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - Start)
      .count();
}

} // namespace

TEST_CASE("a version reaches all nodes although the store is killed") {
  TestFleet Fleet;
  startTwelveNodes(Fleet);
  REQUIRE(push(Fleet, 0, "waitaha") == 0);
  waitUntilEverywhere(Fleet, 1);
  REQUIRE(push(Fleet, 5, "okonkwo") == 0);
  sendSignal(Fleet.PlatformProcess, SIGKILL);
  auto Killed = std::chrono::steady_clock::now();
  restartNode(Fleet, Fleet.Nodes[7]);
  waitUntilEverywhere(Fleet, 2);
  double Seconds =
      std::chrono::duration<double>(std::chrono::steady_clock::now() - Killed)
          .count();
  MESSAGE("12 nodes, store killed, one node restarted: in force on all after "
          << Seconds << " s");
  CHECK(waitUntil([&] {
    auto Ready = sendRequest(Fleet.Nodes[7].AnnounceAddress, "GET", "/readyz");
    return Ready && Ready->Status == 200;
  }));
  CHECK(push(Fleet, 3, "waitaha") == 1);
  CHECK(isEverywhere(Fleet, 2));
}

TEST_CASE("config push --wait returns once every node has the version") {
  TestFleet Fleet;
  startTwelveNodes(Fleet);
  REQUIRE(waitForMembers(Fleet));
  REQUIRE(push(Fleet, 2, "waitaha", {"--wait"}) == 0);
  CHECK(isEverywhere(Fleet, 1));
  CHECK(push(Fleet, 9, "okonkwo", {"--base=7"}) == 1);
  REQUIRE(push(Fleet, 9, "okonkwo", {"--base=1", "--wait"}) == 0);
  CHECK(isEverywhere(Fleet, 2));
}

} // namespace currantgauge::integration
