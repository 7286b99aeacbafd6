#include "tests/integration/callers.h"
#include "tests/integration/fleet.h"
#include "tests/integration/proxy.h"

#include <doctest/doctest.h>

#include <atomic>
#include <chrono>
#include <string>
#include <thread>

namespace currantgauge::integration {
namespace {

const std::string Secret = "actions: {secret: integration}\n";

// a and b reach each other through proxies whose faults spare c.
void startThree(TestFleet &Some) {
  startPlatform(Some);
  NodeProcess &A = startProxiedNode(Some, "a", "north", "north-a", Secret);
  NodeProcess &B = startProxiedNode(Some, "b", "north", "north-b", Secret);
  REQUIRE(waitForMemberState(A, "b", "alive ok"));
  REQUIRE(waitForMemberState(B, "a", "alive ok"));
  for (NodeProcess *Node : {&A, &B})
    REQUIRE(
        waitUntil([&] { return countOpenConnections(Node->PeerProxy) == 1; }));
  startNode(Some, "c", "north", "north-a", Secret);
  for (NodeProcess *Node : {&A, &B}) {
    REQUIRE(
        waitUntil([&] { return countOpenConnections(Node->PeerProxy) == 2; }));
    sendCommand(Node->PeerProxy, R"({"route":0,"spare_later":1})");
  }
  for (std::size_t I = 0; I < 3; ++I)
    startServer(Some, "cutlist-" + Some.Nodes[I].Name, "cutlist",
                Some.Nodes[I]);
  REQUIRE(pushConfig(Some, DemoConfig));
  REQUIRE(waitForServers(Some, 3));
}

// Each action is asked for once at each of the two nodes.
void commitAtBoth(const TestFleet &Some, const std::string &Name,
                  ActionResponses &Records) {
  std::string Id = requestActionId(Some.Nodes[0]);
  for (std::size_t Node : {0, 1}) {
    std::string Key = Name + "-key";
    Records.ByKey[Key].push_back(commit(Some.Nodes[Node], Key));
    Key = Name + "-id";
    Records.ByKey[Key].push_back(commitById(Some.Nodes[Node], Key, Id));
  }
}

// readsThrough() says whether a node gets an answer of a server when that is
// the only one it is not told to leave alone.
bool readsThrough(const TestFleet &Some, const NodeProcess &Node,
                  const std::string &Server) {
  auto DrainOthers = [&](const std::string &Undo) {
    for (const ServerProcess &Other : Some.Servers)
      if (Other.Name != Server)
        query(Node, R"({"query":"drain","server":")" + Other.Name +
                        R"(","undo":)" + Undo + "}");
  };
  DrainOthers("false");
  auto Got = sendRequest(Node.CallerAddress, "GET", "/lists/7");
  DrainOthers("true");
  return headerOf(Got, "currantgauge-server") == Server;
}

} // namespace

TEST_CASE("a one-way cut between two nodes stops neither nor runs twice") {
  TestFleet Some;
  startThree(Some);
  NodeProcess &A = Some.Nodes[0];
  NodeProcess &B = Some.Nodes[1];
  ActionResponses Records;
  commitAtBoth(Some, "before", Records);
  // What a sends to b is lost, on connections of either.
  sendCommand(A.PeerProxy, R"({"route":0,"drop_to_client":true})");
  sendCommand(B.PeerProxy, R"({"route":0,"drop_to_target":true})");
  for (int I = 0; I < 3; ++I)
    commitAtBoth(Some, "cut-" + std::to_string(I), Records);
  CHECK(waitForMemberState(A, "b", "alive failed"));
  CHECK(waitForMemberState(B, "a", "alive failed"));
  for (int I = 0; I < 30; ++I)
    for (const NodeProcess *Node : {&A, &B}) {
      auto Got = sendRequest(Node->CallerAddress, "GET", "/lists/7");
      CHECK(verdictOf(Got) == "ran");
    }
  CHECK(memberState(Some.Nodes[2], "a") == "alive ok");
  CHECK(memberState(Some.Nodes[2], "b") == "alive ok");
  sendCommand(A.PeerProxy, R"({"route":0})");
  sendCommand(B.PeerProxy, R"({"route":0})");
  CHECK(waitForMemberState(A, "b", "alive ok"));
  CHECK(waitForMemberState(B, "a", "alive ok"));
  CHECK(readsThrough(Some, A, "cutlist-b"));
  CHECK(readsThrough(Some, B, "cutlist-a"));
  commitAtBoth(Some, "after", Records);
  for (const char *Key : {"after-key", "after-id"})
    for (const auto &Got : Records.ByKey[Key])
      CHECK(verdictOf(Got) == "ran");
  for (const std::string &Wrong : findContradictions(Some, Records))
    FAIL_CHECK(Wrong);
  for (const ServerProcess &Server : Some.Servers)
    CHECK_FALSE(wasEjected(Some, Server.Name));
}

} // namespace currantgauge::integration
