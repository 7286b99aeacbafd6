#include "tests/integration/callers.h"
#include "tests/integration/fleet.h"

#include <doctest/doctest.h>

#include <csignal>
#include <future>
#include <string>

namespace currantgauge::integration {
namespace {

// Starts two nodes. The only backend server belongs to the second.
void startTwoNodes(TestFleet &Fleet,
                   const std::vector<std::string> &ServerFlags) {
  startNode(Fleet, "a", "north", "north-a");
  startNode(Fleet, "b", "north", "north-b");
  startServer(Fleet, "cutlist-1", "cutlist", Fleet.Nodes[1], ServerFlags);
  REQUIRE(pushConfig(Fleet, DemoConfig));
  REQUIRE(waitForServers(Fleet, 1));
}

} // namespace

TEST_CASE("a response is forwarded through two nodes") {
  TestFleet Fleet;
  startTwoNodes(Fleet, {"--answer_bytes=300000"});
  auto Read = sendRequest(Fleet.Nodes[0].CallerAddress, "GET", "/lists/7");
  REQUIRE(Read.has_value());
  CHECK(Read->Status == 200);
  CHECK(Read->Body.starts_with("cutlist-1 GET /lists/7"));
  CHECK(Read->Body.size() > 300000);
  CHECK(Read->Headers["currantgauge-verdict"] == "ran");
  CHECK(Read->Headers["currantgauge-server"] == "cutlist-1");
  CHECK_FALSE(Read->Headers["currantgauge-request-id"].empty());
  auto Commit = sendRequest(Fleet.Nodes[0].CallerAddress, "POST", "/commits/9",
                            "order 12");
  REQUIRE(Commit.has_value());
  CHECK(Commit->Status == 200);
  CHECK(Commit->Body.find("order 12") != std::string::npos);
}

TEST_CASE("a graceful stop completes requests in flight") {
  TestFleet Fleet;
  startTwoNodes(Fleet, {"--work_ms=1500"});
  for (std::size_t Stopped : {0, 1}) {
    auto Slow = std::async(std::launch::async, [&] {
      return sendRequest(Fleet.Nodes[0].CallerAddress, "GET", "/lists/7");
    });
    REQUIRE(waitUntil([&] { return runsOf(Fleet.Servers[0]) == Stopped + 1; }));
    std::size_t NodeIndex = 1 - Stopped; // the owner first, then the entry
    sendSignal(Fleet.Nodes[NodeIndex].Process, SIGTERM);
    auto Response = Slow.get();
    REQUIRE(Response.has_value());
    CHECK(Response->Status == 200);
    CHECK(waitForExit(Fleet.Nodes[NodeIndex].Process) == 0);
    if (NodeIndex == 1) {
      restartNode(Fleet, Fleet.Nodes[1]);
      REQUIRE(pushConfig(Fleet, DemoConfig));
      REQUIRE(waitForServers(Fleet, 1));
    }
  }
}

TEST_CASE("the backend server never sees a refused request") {
  TestFleet Fleet;
  startTwoNodes(Fleet, {});
  auto NoRoute = sendRequest(Fleet.Nodes[0].CallerAddress, "GET", "/elsewhere");
  REQUIRE(NoRoute.has_value());
  CHECK(NoRoute->Status == 404);
  CHECK(NoRoute->Headers["currantgauge-verdict"] == "not_run");
  query(Fleet.Nodes[0], R"({"query":"drain","server":"cutlist-1"})");
  auto Drained = sendRequest(Fleet.Nodes[0].CallerAddress, "GET", "/lists/7");
  REQUIRE(Drained.has_value());
  CHECK(Drained->Status == 503);
  CHECK(Drained->Headers["currantgauge-verdict"] == "not_run");
  CHECK(Drained->Headers["currantgauge-reason"] == "no_backend");
  CHECK_FALSE(Drained->Headers["retry-after"].empty());
  CHECK(runsOf(Fleet.Servers[0]) == 0);
  auto Page = sendRequest(Fleet.Nodes[0].AnnounceAddress, "GET", "/metrics");
  REQUIRE(Page.has_value());
  CHECK(Page->Body.find("reason=\"no_backend\"} 1") != std::string::npos);
}

TEST_CASE("bad input gets an error message and affects no other connection") {
  TestFleet Fleet;
  startTwoNodes(Fleet, {});
  auto Bad = sendRequest(Fleet.Nodes[0].CallerAddress, "GET", "/lists/7", "",
                         {{"Currantgauge-Timeout-Ms", "soon"}});
  REQUIRE(Bad.has_value());
  CHECK(Bad->Status == 400);
  CHECK(Bad->Body.find("whole number of milliseconds") != std::string::npos);
  auto Large = sendRequest(Fleet.Nodes[0].CallerAddress, "POST", "/commits/9",
                           std::string(2 * 1024 * 1024, 'x'));
  if (Large)
    CHECK(Large->Status == 413);
  auto Long = sendRequest(Fleet.Nodes[0].CallerAddress, "GET", "/lists/7", "",
                          {{"X-Long", std::string(20000, 'x')}});
  if (Long)
    CHECK(Long->Status == 431);
  CHECK(runsOf(Fleet.Servers[0]) == 0);
  auto Good = sendRequest(Fleet.Nodes[0].CallerAddress, "GET", "/lists/7");
  REQUIRE(Good.has_value());
  CHECK(Good->Status == 200);
}

TEST_CASE("a caller that disconnects frees the slot of its request") {
  TestFleet Fleet;
  startTwoNodes(Fleet, {"--slots=1", "--work_ms=200"});
  controlServer(Fleet.Servers[0], R"({"mode":"stall"})");
  auto Abandoned = sendRequest(Fleet.Nodes[0].CallerAddress, "GET", "/lists/7",
                               "", {}, std::chrono::milliseconds(400));
  CHECK_FALSE(Abandoned.has_value());
  controlServer(Fleet.Servers[0], R"({"mode":"ok"})");
  auto Next = sendRequest(Fleet.Nodes[0].CallerAddress, "GET", "/lists/8");
  REQUIRE(Next.has_value());
  CHECK(Next->Status == 200);
}

TEST_CASE("a node's journal replays to the same effects") {
  TestFleet Fleet;
  std::string Path = Fleet.Folder + "/a.journal";
  startNode(Fleet, "a", "north", "north-a", "", {"--journal=" + Path});
  startServer(Fleet, "cutlist-1", "cutlist", Fleet.Nodes[0]);
  REQUIRE(pushConfig(Fleet, DemoConfig));
  REQUIRE(waitForServers(Fleet, 1));
  for (int I = 0; I < 20; ++I)
    sendRequest(Fleet.Nodes[0].CallerAddress, "GET", "/lists/7");
  sendSignal(Fleet.Nodes[0].Process, SIGTERM);
  CHECK(waitForExit(Fleet.Nodes[0].Process) == 0);
  std::string Output;
  CHECK(runCommand({"replay", Path}, Output) == 0);
  CHECK(Output.find("different effects: 0") != std::string::npos);
}

} // namespace currantgauge::integration
