// Answers of a backend server whose status is outside 100 to 599.
#include "tests/integration/callers.h"
#include "tests/integration/fleet.h"

#include <doctest/doctest.h>

#include <string>

namespace currantgauge::integration {
namespace {

void answerWithStatus(const ServerProcess &Server, int Status) {
  controlServer(Server, R"({"mode": "status", "status": )" +
                            std::to_string(Status) + "}");
}

} // namespace

TEST_CASE("a caller never gets a status that is none from a backend server") {
  for (int Status : {0, 99, 600, 999}) {
    CAPTURE(Status);
    TestFleet Fleet;
    startNode(Fleet, "a", "north", "north-a");
    startServer(Fleet, "cutlist-1", "cutlist", Fleet.Nodes[0]);
    REQUIRE(pushConfig(Fleet, DemoConfig));
    REQUIRE(waitForServers(Fleet, 1));
    answerWithStatus(Fleet.Servers[0], Status);
    auto Answer = sendRequest(Fleet.Nodes[0].CallerAddress, "POST",
                              "/commits/9", "order");
    REQUIRE(Answer.has_value());
    CHECK(Answer->Status == 502);
    CHECK(Answer->Headers["currantgauge-verdict"] == "may_have_run");
  }
}

TEST_CASE("a read whose answer has no valid status is tried again") {
  TestFleet Fleet;
  startNode(Fleet, "a", "north", "north-a");
  startServer(Fleet, "cutlist-1", "cutlist", Fleet.Nodes[0]);
  startServer(Fleet, "cutlist-2", "cutlist", Fleet.Nodes[0]);
  REQUIRE(pushConfig(Fleet, DemoConfig));
  REQUIRE(waitForServers(Fleet, 2));
  // Successes permit the retries.
  for (int I = 0; I < 60; ++I)
    sendRequest(Fleet.Nodes[0].CallerAddress, "GET", "/lists/7");
  answerWithStatus(Fleet.Servers[0], 0);
  for (int I = 0; I < 8; ++I) {
    auto Answer = sendRequest(Fleet.Nodes[0].CallerAddress, "GET", "/lists/7");
    REQUIRE(Answer.has_value());
    CAPTURE(Answer->Headers["currantgauge-reason"]);
    CHECK(Answer->Status == 200);
  }
}

} // namespace currantgauge::integration
