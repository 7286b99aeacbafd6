#include "tests/integration/callers.h"
#include "tests/integration/fleet.h"

#include <doctest/doctest.h>

#include <csignal>
#include <future>
#include <string>

namespace currantgauge::integration {
namespace {

// Two nodes; the only backend server belongs to the second.
void startTwoNodes(TestFleet &Some,
                   const std::vector<std::string> &ServerFlags) {
  startNode(Some, "a", "north", "north-a");
  startNode(Some, "b", "north", "north-b");
  startServer(Some, "cutlist-1", "cutlist", Some.Nodes[1], ServerFlags);
  REQUIRE(pushConfig(Some, DemoConfig));
  REQUIRE(waitForServers(Some, 1));
}

} // namespace

TEST_CASE("an answer comes through two nodes") {
  TestFleet Some;
  startTwoNodes(Some, {"--answer_bytes=300000"});
  auto Read = sendRequest(Some.Nodes[0].CallerAddress, "GET", "/lists/7");
  REQUIRE(Read.has_value());
  CHECK(Read->Status == 200);
  CHECK(Read->Body.starts_with("cutlist-1 GET /lists/7"));
  CHECK(Read->Body.size() > 300000);
  CHECK(Read->Headers["currantgauge-verdict"] == "ran");
  CHECK(Read->Headers["currantgauge-server"] == "cutlist-1");
  CHECK_FALSE(Read->Headers["currantgauge-request-id"].empty());
  auto Commit = sendRequest(Some.Nodes[0].CallerAddress, "POST", "/commits/9",
                            "order 12");
  REQUIRE(Commit.has_value());
  CHECK(Commit->Status == 200);
  CHECK(Commit->Body.find("order 12") != std::string::npos);
}

TEST_CASE("a graceful stop cuts off no request in flight") {
  TestFleet Some;
  startTwoNodes(Some, {"--work_ms=1500"});
  for (std::size_t Stopped : {0, 1}) {
    auto Slow = std::async(std::launch::async, [&] {
      return sendRequest(Some.Nodes[0].CallerAddress, "GET", "/lists/7");
    });
    REQUIRE(waitUntil([&] { return runsOf(Some.Servers[0]) == Stopped + 1; }));
    std::size_t Which = 1 - Stopped; // the owner first, then the entry
    sendSignal(Some.Nodes[Which].Process, SIGTERM);
    auto Got = Slow.get();
    REQUIRE(Got.has_value());
    CHECK(Got->Status == 200);
    CHECK(waitForExit(Some.Nodes[Which].Process) == 0);
    if (Which == 1) {
      restartNode(Some, Some.Nodes[1]);
      REQUIRE(pushConfig(Some, DemoConfig));
      REQUIRE(waitForServers(Some, 1));
    }
  }
}

TEST_CASE("the backend server never sees a refused request") {
  TestFleet Some;
  startTwoNodes(Some, {});
  auto NoRoute = sendRequest(Some.Nodes[0].CallerAddress, "GET", "/elsewhere");
  REQUIRE(NoRoute.has_value());
  CHECK(NoRoute->Status == 404);
  CHECK(NoRoute->Headers["currantgauge-verdict"] == "not_run");
  query(Some.Nodes[0], R"({"query":"drain","server":"cutlist-1"})");
  auto Drained = sendRequest(Some.Nodes[0].CallerAddress, "GET", "/lists/7");
  REQUIRE(Drained.has_value());
  CHECK(Drained->Status == 503);
  CHECK(Drained->Headers["currantgauge-verdict"] == "not_run");
  CHECK(Drained->Headers["currantgauge-reason"] == "no_backend");
  CHECK_FALSE(Drained->Headers["retry-after"].empty());
  CHECK(runsOf(Some.Servers[0]) == 0);
  auto Page = sendRequest(Some.Nodes[0].AnnounceAddress, "GET", "/metrics");
  REQUIRE(Page.has_value());
  CHECK(Page->Body.find("reason=\"no_backend\"} 1") != std::string::npos);
}

TEST_CASE("bad input gets a plain sentence and harms no other connection") {
  TestFleet Some;
  startTwoNodes(Some, {});
  auto Bad = sendRequest(Some.Nodes[0].CallerAddress, "GET", "/lists/7", "",
                         {{"Currantgauge-Timeout-Ms", "soon"}});
  REQUIRE(Bad.has_value());
  CHECK(Bad->Status == 400);
  CHECK(Bad->Body.find("whole number of milliseconds") != std::string::npos);
  auto Large = sendRequest(Some.Nodes[0].CallerAddress, "POST", "/commits/9",
                           std::string(2 * 1024 * 1024, 'x'));
  if (Large)
    CHECK(Large->Status == 413);
  auto Long = sendRequest(Some.Nodes[0].CallerAddress, "GET", "/lists/7", "",
                          {{"X-Long", std::string(20000, 'x')}});
  if (Long)
    CHECK(Long->Status == 431);
  CHECK(runsOf(Some.Servers[0]) == 0);
  auto Good = sendRequest(Some.Nodes[0].CallerAddress, "GET", "/lists/7");
  REQUIRE(Good.has_value());
  CHECK(Good->Status == 200);
}

TEST_CASE("a caller that goes away frees the slot of its request") {
  TestFleet Some;
  startTwoNodes(Some, {"--slots=1", "--work_ms=200"});
  controlServer(Some.Servers[0], R"({"mode":"stall"})");
  auto Gone = sendRequest(Some.Nodes[0].CallerAddress, "GET", "/lists/7", "",
                          {}, std::chrono::milliseconds(400));
  CHECK_FALSE(Gone.has_value());
  controlServer(Some.Servers[0], R"({"mode":"ok"})");
  auto Next = sendRequest(Some.Nodes[0].CallerAddress, "GET", "/lists/8");
  REQUIRE(Next.has_value());
  CHECK(Next->Status == 200);
}

TEST_CASE("a node's journal replays to the same effects") {
  TestFleet Some;
  std::string Path = Some.Folder + "/a.journal";
  startNode(Some, "a", "north", "north-a", "", {"--journal=" + Path});
  startServer(Some, "cutlist-1", "cutlist", Some.Nodes[0]);
  REQUIRE(pushConfig(Some, DemoConfig));
  REQUIRE(waitForServers(Some, 1));
  for (int I = 0; I < 20; ++I)
    sendRequest(Some.Nodes[0].CallerAddress, "GET", "/lists/7");
  sendSignal(Some.Nodes[0].Process, SIGTERM);
  CHECK(waitForExit(Some.Nodes[0].Process) == 0);
  std::string Output;
  CHECK(runCommand({"replay", Path}, Output) == 0);
  CHECK(Output.find("different effects: 0") != std::string::npos);
}

} // namespace currantgauge::integration
