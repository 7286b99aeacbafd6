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

constexpr std::size_t Nodes = 12;
const std::string Examples = std::string(CURRANTGAUGE_SOURCE_DIR) + "/examples";

void startTwelveNodes(TestFleet &Some) {
  constexpr std::array<const char *, 4> Domains = {"north-a", "north-b",
                                                   "south-a", "south-b"};
  startPlatform(Some);
  for (std::size_t Index = 0; Index < Nodes; ++Index) {
    std::string Domain = Domains[Index % Domains.size()];
    startNode(Some, "n" + std::to_string(Index), Domain.substr(0, 5), Domain);
  }
}

// Each node must know the others first: --wait is about the nodes known.
bool waitForMembers(TestFleet &Some) {
  return waitUntil([&] {
    for (const NodeProcess &Node : Some.Nodes) {
      std::string Text = query(Node, R"({"query":"status"})");
      for (const NodeProcess &Other : Some.Nodes)
        if (Text.find("\"" + Other.Name + "\"") == std::string::npos)
          return false;
    }
    return true;
  });
}

int push(const TestFleet &Some, std::size_t Node, const std::string &Example,
         const std::vector<std::string> &Flags = {}) {
  std::vector<std::string> Arguments = {
      "config", "push", Examples + "/" + Example,
      "--node=" + Some.Nodes[Node].OperatorAddress, "--author=test"};
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

bool isEverywhere(const TestFleet &Some, std::uint64_t Version) {
  for (const NodeProcess &Node : Some.Nodes)
    if (versionAt(Node) != Version)
      return false;
  return true;
}

double secondsUntilEverywhere(const TestFleet &Some, std::uint64_t Version) {
  auto Start = std::chrono::steady_clock::now();
  REQUIRE(waitUntil([&] { return isEverywhere(Some, Version); }));
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - Start)
      .count();
}

} // namespace

TEST_CASE("a version is in force everywhere though the store is killed") {
  TestFleet Some;
  startTwelveNodes(Some);
  REQUIRE(push(Some, 0, "waitaha") == 0);
  secondsUntilEverywhere(Some, 1);
  REQUIRE(push(Some, 5, "okonkwo") == 0);
  sendSignal(Some.PlatformProcess, SIGKILL);
  auto Killed = std::chrono::steady_clock::now();
  restartNode(Some, Some.Nodes[7]);
  secondsUntilEverywhere(Some, 2);
  double Seconds =
      std::chrono::duration<double>(std::chrono::steady_clock::now() - Killed)
          .count();
  MESSAGE("12 nodes, store killed, one node restarted: in force after "
          << Seconds << " s");
  CHECK(waitUntil([&] {
    auto Ready = sendRequest(Some.Nodes[7].AnnounceAddress, "GET", "/readyz");
    return Ready && Ready->Status == 200;
  }));
  CHECK(push(Some, 3, "waitaha") == 1);
  CHECK(isEverywhere(Some, 2));
}

TEST_CASE("config push --wait returns when every node has the version") {
  TestFleet Some;
  startTwelveNodes(Some);
  REQUIRE(waitForMembers(Some));
  REQUIRE(push(Some, 2, "waitaha", {"--wait"}) == 0);
  CHECK(isEverywhere(Some, 1));
  CHECK(push(Some, 9, "okonkwo", {"--base=7"}) == 1);
  REQUIRE(push(Some, 9, "okonkwo", {"--base=1", "--wait"}) == 0);
  CHECK(isEverywhere(Some, 2));
}

} // namespace currantgauge::integration
