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

const std::string ActionSecretSettings = "actions: {secret: integration}\n";

// Starts a, b and c. The proxies between a and b exempt the connections of c.
void startThreeNodes(TestFleet &Fleet) {
  startPlatform(Fleet);
  NodeProcess &A =
      startProxiedNode(Fleet, "a", "north", "north-a", ActionSecretSettings);
  NodeProcess &B =
      startProxiedNode(Fleet, "b", "north", "north-b", ActionSecretSettings);
  REQUIRE(waitForMemberState(A, "b", "alive ok"));
  REQUIRE(waitForMemberState(B, "a", "alive ok"));
  for (NodeProcess *Node : {&A, &B})
    REQUIRE(
        waitUntil([&] { return countOpenConnections(Node->PeerProxy) == 1; }));
  startNode(Fleet, "c", "north", "north-a", ActionSecretSettings);
  for (NodeProcess *Node : {&A, &B}) {
    REQUIRE(
        waitUntil([&] { return countOpenConnections(Node->PeerProxy) == 2; }));
    sendCommand(Node->PeerProxy, R"({"route":0,"spare_later":1})");
  }
  for (std::size_t I = 0; I < 3; ++I)
    startServer(Fleet, "cutlist-" + Fleet.Nodes[I].Name, "cutlist",
                Fleet.Nodes[I]);
  REQUIRE(pushConfig(Fleet, DemoConfig));
  REQUIRE(waitForServers(Fleet, 3));
}

// Requests each action once at each of the first two nodes.
void commitAtBoth(const TestFleet &Fleet, const std::string &Name,
                  ActionResponses &Responses) {
  std::string Id = requestActionId(Fleet.Nodes[0]);
  for (std::size_t Node : {0, 1}) {
    std::string Key = Name + "-key";
    Responses.ByKey[Key].push_back(commit(Fleet.Nodes[Node], Key));
    Key = Name + "-id";
    Responses.ByKey[Key].push_back(commitById(Fleet.Nodes[Node], Key, Id));
  }
}

// Returns whether a node gets a response from a server when all other servers
// are drained.
bool canReadFrom(const TestFleet &Fleet, const NodeProcess &Node,
                 const std::string &Server) {
  auto DrainOthers = [&](const std::string &Undo) {
    for (const ServerProcess &OtherServer : Fleet.Servers)
      if (OtherServer.Name != Server)
        query(Node, R"({"query":"drain","server":")" + OtherServer.Name +
                        R"(","undo":)" + Undo + "}");
  };
  DrainOthers("false");
  auto Response = sendRequest(Node.CallerAddress, "GET", "/lists/7");
  DrainOthers("true");
  return headerOf(Response, "currantgauge-server") == Server;
}

} // namespace

TEST_CASE("a one-way partition between two nodes stops neither and runs no "
          "action twice") {
  TestFleet Fleet;
  startThreeNodes(Fleet);
  NodeProcess &A = Fleet.Nodes[0];
  NodeProcess &B = Fleet.Nodes[1];
  ActionResponses Responses;
  commitAtBoth(Fleet, "before", Responses);
  // Drops what a sends to b, on connections opened by either node.
  sendCommand(A.PeerProxy, R"({"route":0,"drop_to_client":true})");
  sendCommand(B.PeerProxy, R"({"route":0,"drop_to_target":true})");
  for (int I = 0; I < 3; ++I)
    commitAtBoth(Fleet, "cut-" + std::to_string(I), Responses);
  CHECK(waitForMemberState(A, "b", "alive failed"));
  CHECK(waitForMemberState(B, "a", "alive failed"));
  for (int I = 0; I < 30; ++I)
    for (const NodeProcess *Node : {&A, &B}) {
      auto Response = sendRequest(Node->CallerAddress, "GET", "/lists/7");
      CHECK(verdictOf(Response) == "ran");
    }
  CHECK(memberState(Fleet.Nodes[2], "a") == "alive ok");
  CHECK(memberState(Fleet.Nodes[2], "b") == "alive ok");
  sendCommand(A.PeerProxy, R"({"route":0})");
  sendCommand(B.PeerProxy, R"({"route":0})");
  CHECK(waitForMemberState(A, "b", "alive ok"));
  CHECK(waitForMemberState(B, "a", "alive ok"));
  CHECK(canReadFrom(Fleet, A, "cutlist-b"));
  CHECK(canReadFrom(Fleet, B, "cutlist-a"));
  commitAtBoth(Fleet, "after", Responses);
  for (const char *Key : {"after-key", "after-id"})
    for (const auto &Response : Responses.ByKey[Key])
      CHECK(verdictOf(Response) == "ran");
  for (const std::string &Contradiction : findContradictions(Fleet, Responses))
    FAIL_CHECK(Contradiction);
  for (const ServerProcess &Server : Fleet.Servers)
    CHECK_FALSE(wasEjected(Fleet, Server.Name));
}

} // namespace currantgauge::integration
