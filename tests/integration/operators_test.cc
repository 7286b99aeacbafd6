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

// Deadlines that no machine is too busy for.
std::string configText(int Floor) {
  return "ranks:\n"
         "  normal: {order: 0, deadline: 30s}\n"
         "services:\n"
         "  cutlist: {floor: " +
         std::to_string(Floor) +
         "%}\n"
         "kinds:\n"
         "  list_read: {service: cutlist, rank: normal}\n"
         "routes:\n"
         "  lists: {prefix: /lists, kind: list_read}\n";
}

// Pushed is how a push command ended.
struct Pushed {
  int ExitCode = -1;
  std::string Output;
};

Pushed push(const NodeProcess &Node, const std::string &Folder,
            const std::string &Author, int Base) {
  Pushed Result;
  Result.ExitCode =
      runCommand({"config", "push", Folder, "--node=" + Node.OperatorAddress,
                  "--author=" + Author, "--base=" + std::to_string(Base)},
                 Result.Output);
  return Result;
}

bool isInForce(const TestFleet &Some, const std::string &Version) {
  return waitUntil([&] {
    for (const NodeProcess &Node : Some.Nodes)
      if (query(Node, R"({"query":"status"})")
              .find(R"("config_version":")" + Version + '"') ==
          std::string::npos)
        return false;
    return true;
  });
}

// historyRows() returns the accepted versions that a node lists.
std::size_t historyRows(const NodeProcess &Node) {
  auto Reply = nlohmann::json::parse(
      query(Node, R"({"query":"config_history"})"), nullptr, false);
  if (!Reply.is_object() || Reply["tables"].empty())
    return 0;
  return Reply["tables"][0]["rows"].size();
}

} // namespace

TEST_CASE("of two operators who push at once one wins and the other is told") {
  TestFleet Some;
  startPlatform(Some);
  Proxy Store = startProxy(Some.PlatformAddress);
  Some.PlatformAddress = Store.Address;
  startNode(Some, "a", "north", "north-a");
  startNode(Some, "b", "south", "south-a");
  REQUIRE(pushConfig(Some, writeConfig(Some, "first", configText(40))));
  REQUIRE(isInForce(Some, "1"));
  // Both read the head row before either moves it.
  sendCommand(Store, R"({"route":0,"delay_ms":50})");
  constexpr int Rounds = 5;
  for (int Round = 1; Round <= Rounds; ++Round) {
    CAPTURE(Round);
    std::string AnnsFolder = writeConfig(Some, "ann", configText(Round));
    std::string BensFolder = writeConfig(Some, "ben", configText(50 + Round));
    auto Other = std::async(std::launch::async, [&] {
      return push(Some.Nodes[1], BensFolder, "ben", Round);
    });
    Pushed Ann = push(Some.Nodes[0], AnnsFolder, "ann", Round);
    Pushed Ben = Other.get();
    CAPTURE(Ann.Output);
    CAPTURE(Ben.Output);
    REQUIRE(Ann.ExitCode + Ben.ExitCode == 1);
    bool AnnWon = Ann.ExitCode == 0;
    const Pushed &Loser = AnnWon ? Ben : Ann;
    std::string Winner = AnnWon ? "ann" : "ben";
    CHECK(Loser.Output.find("not accepted") != std::string::npos);
    CHECK(Loser.Output.find("by " + Winner) != std::string::npos);
    CHECK(isInForce(Some, std::to_string(Round + 1)));
    std::string InForce = query(Some.Nodes[1], R"({"query":"config"})");
    CHECK(InForce.find(std::to_string(AnnWon ? Round : 50 + Round) + "%") !=
          std::string::npos);
  }
  for (const NodeProcess &Node : Some.Nodes)
    CHECK(historyRows(Node) == Rounds + 1);
}

TEST_CASE("a push whose answer is lost is accepted once") {
  TestFleet Some;
  startPlatform(Some);
  std::string Direct = Some.PlatformAddress;
  Proxy Store = startProxy(Direct);
  Some.PlatformAddress = Store.Address;
  startNode(Some, "a", "north", "north-a");
  startNode(Some, "b", "south", "south-a");
  REQUIRE(pushConfig(Some, writeConfig(Some, "first", configText(40))));
  REQUIRE(isInForce(Some, "1"));
  auto HeadIs = [&](const std::string &Version) {
    auto Row = sendRequest(Direct, "GET", "/tables/config/rows/head");
    return Row &&
           Row->Body.find(R"("version":)" + Version) != std::string::npos;
  };
  REQUIRE(HeadIs("1"));
  sendCommand(Store, R"({"route":0,"delay_ms":200})");
  auto Pushing = std::async(std::launch::async, [&] {
    return push(Some.Nodes[0], writeConfig(Some, "ann", configText(10)), "ann",
                1);
  });
  // The row has moved, its answer is still on the way to the node.
  bool Moved = waitUntil([&] { return HeadIs("2"); });
  sendCommand(Store, R"({"route":0,"delay_ms":200,"drop_to_client":true})");
  std::this_thread::sleep_for(std::chrono::seconds(1));
  sendCommand(Store, R"({"route":0})");
  Pushed Ann = Pushing.get();
  CAPTURE(Ann.Output);
  REQUIRE(Moved);
  CHECK(Ann.ExitCode == 0);
  CHECK(isInForce(Some, "2"));
  CHECK(HeadIs("2"));
  CHECK(historyRows(Some.Nodes[0]) == 2);
}

TEST_CASE("a change of configuration under load drops no request") {
  TestFleet Some;
  startPlatform(Some);
  startNode(Some, "a", "north", "north-a");
  startNode(Some, "b", "north", "north-b");
  for (std::size_t Node : {0, 1})
    startServer(Some, "cutlist-" + std::to_string(Node), "cutlist",
                Some.Nodes[Node], {"--work_ms=100", "--slots=8"});
  REQUIRE(pushConfig(Some, writeConfig(Some, "first", configText(40))));
  REQUIRE(waitForServers(Some, 2));
  ReadLoad Asking(Some, 12);
  for (int Version = 2; Version <= 6; ++Version) {
    int Before = Asking.Succeeded;
    REQUIRE(waitUntil([&] { return Asking.Succeeded > Before + 30; }));
    std::string Folder = writeConfig(Some, "next", configText(Version));
    Pushed Next = push(Some.Nodes[static_cast<std::size_t>(Version) % 2],
                       Folder, "ann", Version - 1);
    CAPTURE(Next.Output);
    REQUIRE(Next.ExitCode == 0);
    REQUIRE(isInForce(Some, std::to_string(Version)));
  }
  int Before = Asking.Succeeded;
  CHECK(waitUntil([&] { return Asking.Succeeded > Before + 30; }));
  CHECK(Asking.Failed == 0);
}

} // namespace currantgauge::integration
