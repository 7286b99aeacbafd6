#include "tests/integration/callers.h"
#include "tests/integration/fleet.h"
#include "tests/integration/proxy.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <cstddef>
#include <future>
#include <string>
#include <thread>

namespace currantgauge::integration {
namespace {

// Has a deadline long enough for a busy test machine.
std::string configText(int FloorPercent) {
  return "ranks:\n"
         "  normal: {order: 0, deadline: 30s}\n"
         "services:\n"
         "  cutlist: {floor: " +
         std::to_string(FloorPercent) +
         "%}\n"
         "kinds:\n"
         "  list_read: {service: cutlist, rank: normal}\n"
         "routes:\n"
         "  lists: {prefix: /lists, kind: list_read}\n";
}

// PushResult is the result of a push command.
struct PushResult {
  int ExitCode = -1;
  std::string Output;
};

PushResult push(const NodeProcess &Node, const std::string &Folder,
                const std::string &Author, int Base) {
  PushResult Result;
  Result.ExitCode =
      runCommand({"config", "push", Folder, "--node=" + Node.OperatorAddress,
                  "--author=" + Author, "--base=" + std::to_string(Base)},
                 Result.Output);
  return Result;
}

bool waitUntilInForce(const TestFleet &Fleet, const std::string &Version) {
  return waitUntil([&] {
    for (const NodeProcess &Node : Fleet.Nodes)
      if (query(Node, R"({"query":"status"})")
              .find(R"("config_version":")" + Version + '"') ==
          std::string::npos)
        return false;
    return true;
  });
}

// Returns how many accepted versions a node lists.
std::size_t countHistoryRows(const NodeProcess &Node) {
  auto Reply = nlohmann::json::parse(
      query(Node, R"({"query":"config_history"})"), nullptr, false);
  if (!Reply.is_object() || Reply["tables"].empty())
    return 0;
  return Reply["tables"][0]["rows"].size();
}

} // namespace

TEST_CASE("of two concurrent pushes one is accepted and the other reports it") {
  TestFleet Fleet;
  startPlatform(Fleet);
  Proxy StoreProxy = startProxy(Fleet.PlatformAddress);
  Fleet.PlatformAddress = StoreProxy.Address;
  startNode(Fleet, "a", "north", "north-a");
  startNode(Fleet, "b", "south", "south-a");
  REQUIRE(pushConfig(Fleet, writeConfig(Fleet, "first", configText(40))));
  REQUIRE(waitUntilInForce(Fleet, "1"));
  // The delay makes both pushes read the head row before either updates it.
  sendCommand(StoreProxy, R"({"route":0,"delay_ms":50})");
  constexpr int Rounds = 5;
  for (int Round = 1; Round <= Rounds; ++Round) {
    CAPTURE(Round);
    std::string AnnFolder = writeConfig(Fleet, "ann", configText(Round));
    std::string BenFolder = writeConfig(Fleet, "ben", configText(50 + Round));
    auto OtherPush = std::async(std::launch::async, [&] {
      return push(Fleet.Nodes[1], BenFolder, "ben", Round);
    });
    PushResult Ann = push(Fleet.Nodes[0], AnnFolder, "ann", Round);
    PushResult Ben = OtherPush.get();
    CAPTURE(Ann.Output);
    CAPTURE(Ben.Output);
    REQUIRE(Ann.ExitCode + Ben.ExitCode == 1);
    bool AnnWon = Ann.ExitCode == 0;
    const PushResult &Loser = AnnWon ? Ben : Ann;
    std::string Winner = AnnWon ? "ann" : "ben";
    CHECK(Loser.Output.find("not accepted") != std::string::npos);
    CHECK(Loser.Output.find("by " + Winner) != std::string::npos);
    CHECK(waitUntilInForce(Fleet, std::to_string(Round + 1)));
    std::string InForce = query(Fleet.Nodes[1], R"({"query":"config"})");
    CHECK(InForce.find(std::to_string(AnnWon ? Round : 50 + Round) + "%") !=
          std::string::npos);
  }
  for (const NodeProcess &Node : Fleet.Nodes)
    CHECK(countHistoryRows(Node) == Rounds + 1);
}

TEST_CASE("a push whose store response is lost is accepted once") {
  TestFleet Fleet;
  startPlatform(Fleet);
  std::string DirectAddress = Fleet.PlatformAddress;
  Proxy StoreProxy = startProxy(DirectAddress);
  Fleet.PlatformAddress = StoreProxy.Address;
  startNode(Fleet, "a", "north", "north-a");
  startNode(Fleet, "b", "south", "south-a");
  REQUIRE(pushConfig(Fleet, writeConfig(Fleet, "first", configText(40))));
  REQUIRE(waitUntilInForce(Fleet, "1"));
  auto HeadIs = [&](const std::string &Version) {
    auto Row = sendRequest(DirectAddress, "GET", "/tables/config/rows/head");
    return Row &&
           Row->Body.find(R"("version":)" + Version) != std::string::npos;
  };
  REQUIRE(HeadIs("1"));
  sendCommand(StoreProxy, R"({"route":0,"delay_ms":200})");
  auto Pushing = std::async(std::launch::async, [&] {
    return push(Fleet.Nodes[0], writeConfig(Fleet, "ann", configText(10)),
                "ann", 1);
  });
  // The row is updated, but the response hasn't reached the node yet.
  bool Moved = waitUntil([&] { return HeadIs("2"); });
  sendCommand(StoreProxy,
              R"({"route":0,"delay_ms":200,"drop_to_client":true})");
  std::this_thread::sleep_for(std::chrono::seconds(1));
  sendCommand(StoreProxy, R"({"route":0})");
  PushResult Ann = Pushing.get();
  CAPTURE(Ann.Output);
  REQUIRE(Moved);
  CHECK(Ann.ExitCode == 0);
  CHECK(waitUntilInForce(Fleet, "2"));
  CHECK(HeadIs("2"));
  CHECK(countHistoryRows(Fleet.Nodes[0]) == 2);
}

TEST_CASE("a change of configuration under load drops no request") {
  TestFleet Fleet;
  startPlatform(Fleet);
  startNode(Fleet, "a", "north", "north-a");
  startNode(Fleet, "b", "north", "north-b");
  for (std::size_t Node : {0, 1})
    startServer(Fleet, "cutlist-" + std::to_string(Node), "cutlist",
                Fleet.Nodes[Node], {"--work_ms=100", "--slots=8"});
  REQUIRE(pushConfig(Fleet, writeConfig(Fleet, "first", configText(40))));
  REQUIRE(waitForServers(Fleet, 2));
  ReadLoad Load(Fleet, 12);
  for (int Version = 2; Version <= 6; ++Version) {
    int SucceededBefore = Load.Succeeded;
    REQUIRE(waitUntil([&] { return Load.Succeeded > SucceededBefore + 30; }));
    std::string Folder = writeConfig(Fleet, "next", configText(Version));
    PushResult Next = push(Fleet.Nodes[static_cast<std::size_t>(Version) % 2],
                           Folder, "ann", Version - 1);
    CAPTURE(Next.Output);
    REQUIRE(Next.ExitCode == 0);
    REQUIRE(waitUntilInForce(Fleet, std::to_string(Version)));
  }
  int SucceededBefore = Load.Succeeded;
  CHECK(waitUntil([&] { return Load.Succeeded > SucceededBefore + 30; }));
  CHECK(Load.Failed == 0);
}

} // namespace currantgauge::integration
