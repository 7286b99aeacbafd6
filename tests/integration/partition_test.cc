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
void startThree(Fleet &Some) {
  startPlatform(Some);
  NodeProcess &A = startProxiedNode(Some, "a", "north", "north-a", Secret);
  NodeProcess &B = startProxiedNode(Some, "b", "north", "north-b", Secret);
  REQUIRE(waitForMember(A, "b", "alive ok"));
  REQUIRE(waitForMember(B, "a", "alive ok"));
  for (NodeProcess *Node : {&A, &B})
    REQUIRE(waitUntil([&] { return openConnections(Node->Between) == 1; }));
  startNode(Some, "c", "north", "north-a", Secret);
  for (NodeProcess *Node : {&A, &B}) {
    REQUIRE(waitUntil([&] { return openConnections(Node->Between) == 2; }));
    order(Node->Between, R"({"route":0,"spare_later":1})");
  }
  for (std::size_t I = 0; I < 3; ++I)
    startServer(Some, "cutlist-" + Some.Nodes[I].Name, "cutlist",
                Some.Nodes[I]);
  REQUIRE(pushConfig(Some, DemoConfig));
  REQUIRE(waitForServers(Some, 3));
}

// Each action is asked for once at each of the two nodes.
void commitAtBoth(const Fleet &Some, const std::string &Name,
                  ActionRecords &Records) {
  std::string Id = takeId(Some.Nodes[0]);
  for (std::size_t Node : {0, 1}) {
    std::string Key = Name + "-key";
    Records.Actions[Key].push_back(commit(Some.Nodes[Node], Key));
    Key = Name + "-id";
    Records.Actions[Key].push_back(commitById(Some.Nodes[Node], Key, Id));
  }
}

// readsThrough() says whether a node gets an answer of a server when that is
// the only one it is not told to leave alone.
bool readsThrough(const Fleet &Some, const NodeProcess &Node,
                  const std::string &Server) {
  auto DrainOthers = [&](const std::string &Undo) {
    for (const ServerProcess &Other : Some.Servers)
      if (Other.Name != Server)
        query(Node, R"({"query":"drain","server":")" + Other.Name +
                        R"(","undo":)" + Undo + "}");
  };
  DrainOthers("false");
  auto Got = ask(Node.Callers, "GET", "/lists/7");
  DrainOthers("true");
  return fieldOf(Got, "currantgauge-server") == Server;
}

} // namespace

TEST_CASE("a one-way cut between two nodes stops neither nor runs twice") {
  Fleet Some;
  startThree(Some);
  NodeProcess &A = Some.Nodes[0];
  NodeProcess &B = Some.Nodes[1];
  ActionRecords Records;
  commitAtBoth(Some, "before", Records);
  // What a sends to b is lost, on connections of either.
  order(A.Between, R"({"route":0,"drop_to_client":true})");
  order(B.Between, R"({"route":0,"drop_to_target":true})");
  for (int I = 0; I < 3; ++I)
    commitAtBoth(Some, "cut-" + std::to_string(I), Records);
  CHECK(waitForMember(A, "b", "alive failed"));
  CHECK(waitForMember(B, "a", "alive failed"));
  for (int I = 0; I < 30; ++I)
    for (const NodeProcess *Node : {&A, &B}) {
      auto Got = ask(Node->Callers, "GET", "/lists/7");
      CHECK(verdictOf(Got) == "ran");
    }
  CHECK(memberAt(Some.Nodes[2], "a") == "alive ok");
  CHECK(memberAt(Some.Nodes[2], "b") == "alive ok");
  order(A.Between, R"({"route":0})");
  order(B.Between, R"({"route":0})");
  CHECK(waitForMember(A, "b", "alive ok"));
  CHECK(waitForMember(B, "a", "alive ok"));
  CHECK(readsThrough(Some, A, "cutlist-b"));
  CHECK(readsThrough(Some, B, "cutlist-a"));
  commitAtBoth(Some, "after", Records);
  for (const char *Key : {"after-key", "after-id"})
    for (const auto &Got : Records.Actions[Key])
      CHECK(verdictOf(Got) == "ran");
  for (const std::string &Wrong : contradictions(Some, Records))
    FAIL_CHECK(Wrong);
  for (const ServerProcess &Server : Some.Servers)
    CHECK_FALSE(wasEjected(Some, Server.Name));
}

} // namespace currantgauge::integration
