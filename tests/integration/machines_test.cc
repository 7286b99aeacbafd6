// The whole path in the protocol of the machines' platform, with real
// processes.
#include "tests/integration/callers.h"
#include "tests/integration/machines.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <set>
#include <string>
#include <thread>

namespace currantgauge::integration {
namespace {

using nlohmann::json;

// The sites' drainMs.
constexpr std::chrono::milliseconds DrainTime{2000};

json listRoutes() {
  return {{"view", routeOf("/lists/", "cutlist", "idempotent")},
          {"commit", routeOf("/commits/", "cutlist", "non_idempotent")}};
}

bool allReady(Machines &All) {
  return std::all_of(All.Each.begin(), All.Each.end(), [&](const Machine &One) {
    return isReady(nodeOf(All, One));
  });
}

// Two machines of cutlist in one region and one of stocktally in the other.
void startThree(Machines &All, const json &Routes) {
  addMachine(All, "north", "north-a", "cutlist");
  addMachine(All, "north", "north-b", "cutlist");
  addMachine(All, "south", "south-a", "stocktally");
  writeOperatorsConfig(All, "r3", Routes);
  REQUIRE(waitUntil([&] { return allReady(All); }));
  REQUIRE(waitForServers(All.Some, 3));
}

// Where the answer of a caller's request denies what the servers saw: an action
// that ran twice, or ran and was refused, or ran and got no answer.
std::vector<std::string> deniedBy(const Machines &All, Traffic &Asked) {
  std::map<std::string, std::uint64_t> Runs = runsById(All);
  std::vector<std::string> Found;
  for (const auto &[Id, Count] : Runs)
    if (Count > 1)
      Found.push_back(Id + " ran " + std::to_string(Count) + " times");
  for (const Sent &One : Asked.Bad) {
    std::string Status =
        One.Got ? std::to_string(One.Got->Status) : "no answer";
    bool Doubt = Status == "502" || Status == "504";
    if (Runs[One.Id] > 0 && !Doubt)
      Found.push_back(One.Id + " ran and its caller got " + Status);
  }
  return Found;
}

std::size_t countOf(Traffic &Asked) {
  std::lock_guard<std::mutex> Guard(Asked.Lock);
  return Asked.Bad.size();
}

void changeState(const ServerProcess &Server, const std::string &State) {
  control(Server, json{{"state", State}}.dump());
  REQUIRE(waitUntil([&] { return statsOf(Server)["acknowledged"] == State; }));
}

} // namespace

TEST_CASE("machines: a fleet without seeds serves every kind from every node") {
  Machines All;
  addMachine(All, "north", "north-a", "cutlist");
  addMachine(All, "north", "north-b", "cutlist");
  addMachine(All, "south", "south-a", "stocktally");
  // Nothing is known yet: not ready, and no claim that a route is missing.
  CHECK_FALSE(isReady(nodeOf(All, All.Each[0])));
  Sent Early = send(nodeOf(All, All.Each[0]), "GET", "/lists/7");
  REQUIRE(Early.Got);
  CHECK(Early.Got->Status == 503);
  writeOperatorsConfig(All, "r3", listRoutes());
  REQUIRE(waitUntil([&] { return allReady(All); }));
  REQUIRE(waitForServers(All.Some, 3));
  for (const Machine &One : All.Each) {
    const NodeProcess &Node = nodeOf(All, One);
    Sent View = send(Node, "GET", "/lists/7?full=1");
    CHECK(isWhole(View, "GET", "/lists/7?full=1"));
    Sent Commit = send(Node, "POST", "/commits/9", "order 12");
    CHECK(isWhole(Commit, "POST", "/commits/9"));
    CHECK(Commit.Got->Body.ends_with("order 12"));
    CHECK(runsById(All)[Commit.Id] == 1);
    CHECK(send(Node, "GET", "/nowhere/1").Got->Status == 404);
  }
  // The node names the service of the machine, whatever the caller said.
  std::set<std::string> Callers;
  for (const ServerProcess &Server : All.Some.Servers) {
    json Stats = statsOf(Server);
    for (const auto &[Service, Count] : Stats["by_caller"].items())
      Callers.insert(Service);
  }
  CAPTURE(json(Callers).dump());
  CHECK(Callers == std::set<std::string>{"cutlist", "stocktally"});
}

TEST_CASE("machines: a version takes force through the feed, also one written "
          "while the store was away, or that history forgot") {
  Machines All;
  startThree(All, listRoutes());
  auto RanBy = [&](std::size_t Which, const std::string &Target) {
    Sent One = send(nodeOf(All, All.Each[1]), "GET", Target);
    return isWhole(One, "GET", Target) &&
           One.Got->Body.starts_with("i-" + std::to_string(Which) + " ");
  };
  json Routes = listRoutes();
  Routes["view"]["service"] = "stocktally";
  Routes.erase("commit");
  writeOperatorsConfig(All, "r8", Routes);
  CHECK(waitUntil([&] { return RanBy(3, "/lists/7"); }));
  CHECK(send(nodeOf(All, All.Each[0]), "POST", "/commits/9").Got->Status ==
        404);
  ask(All.Some.Platform, "PUT", "/control", R"({"outage":"refuse"})");
  Routes["tally"] = routeOf("/tally/", "stocktally", "idempotent");
  writeOperatorsConfig(All, "r11", Routes);
  CHECK(RanBy(3, "/lists/7"));
  ask(All.Some.Platform, "PUT", "/control", R"({"forget":true})");
  CHECK(waitUntil([&] { return RanBy(3, "/tally/7"); }));
}

TEST_CASE("machines: a server that drains or has left gets no new work") {
  for (std::string State : {"leaving", "gone"}) {
    CAPTURE(State);
    Machines All;
    startThree(All, listRoutes());
    Traffic Asked(All, "POST", "/commits/9", 3);
    REQUIRE(waitUntil([&] { return Asked.Good > 60; }));
    ServerProcess &Leaving = serverOf(All, All.Each[0]);
    changeState(Leaving, State);
    std::this_thread::sleep_for(DrainTime);
    std::uint64_t Runs = runsOf(Leaving);
    int Good = Asked.Good;
    CHECK(waitUntil([&] { return Asked.Good > Good + 60; }));
    endTraffic(Asked);
    CHECK(runsOf(Leaving) == Runs);
    CHECK(countOf(Asked) == 0);
  }
}

TEST_CASE("machines: a planned stop under load loses nothing") {
  Machines All;
  startThree(All, listRoutes());
  Traffic Asked(All, "POST", "/commits/9", 3);
  REQUIRE(waitUntil([&] { return Asked.Good > 60; }));
  // As the platform does: first the backend server, then its node.
  ServerProcess &Server = serverOf(All, All.Each[0]);
  sendSignal(Server.Process, SIGTERM);
  REQUIRE(exitCodeOf(Server.Process) == 0);
  CHECK(countOf(Asked) == 0);
  NodeProcess &Node = nodeOf(All, All.Each[0]);
  sendSignal(Node.Process, SIGTERM);
  CHECK(exitCodeOf(Node.Process) == 0);
  int Good = Asked.Good;
  CHECK(waitUntil([&] { return Asked.Good > Good + 60; }));
  endTraffic(Asked);
  // Callers of the stopped node reach nobody, or are told to come again; none
  // of their requests ran unseen.
  CHECK(json(deniedBy(All, Asked)).dump() == "[]");
  std::size_t Read = 0;
  for (const Sent &One : Asked.Bad)
    if (One.Got && One.Got->Status != 503)
      ++Read;
  CHECK(Read == 0);
}

TEST_CASE("machines: an address that another service took runs nothing of the "
          "first") {
  Machines All;
  startThree(All, listRoutes());
  ServerProcess Before = serverOf(All, All.Each[0]);
  sendSignal(Before.Process, SIGKILL);
  REQUIRE(exitCodeOf(Before.Process) != 0);
  // It announces itself to nobody, so that the node goes on believing.
  NodeProcess Nobody;
  Nobody.Announcements = "127.0.0.1:1";
  ServerProcess &After = startServer(
      All.Some, "i-9", "stocktally", Nobody,
      {"--machines",
       "--port=" + Before.Address.substr(Before.Address.rfind(':') + 1)});
  Traffic Asked(All, "POST", "/commits/9", 3);
  CHECK(waitUntil([&] { return Asked.Good > 100; }));
  CHECK(waitUntil([&] { return statsOf(After)["misdirected"] > 0; }));
  endTraffic(Asked);
  CHECK(statsOf(After)["runs"] == 0);
  CHECK(json(deniedBy(All, Asked)).dump() == "[]");
  CHECK(countOf(Asked) == 0);
}

TEST_CASE("machines: a malformed heartbeat is refused and changes nothing") {
  Machines All;
  startThree(All, listRoutes());
  const NodeProcess &Node = nodeOf(All, All.Each[0]);
  const std::string Call = "/api/rpc?call=instances.heartbeat&of=i-1";
  json Good = {{"address", serverOf(All, All.Each[0]).Address},
               {"information", {{"service", "cutlist"}, {"slots", 4}}},
               {"status", {{"state", "ready"}, {"sequence", 999999}}}};
  json NoSlots = Good, NoService = Good, NoState = Good;
  NoSlots["information"].erase("slots");
  NoService["information"]["service"] = 7;
  NoState["status"]["state"] = "asleep";
  for (const std::string &Body :
       {NoSlots.dump(), NoService.dump(), NoState.dump(),
        std::string("\xff\xfe not JSON"), std::string()}) {
    auto Answer = ask(Node.Announcements, "POST", Call, Body);
    REQUIRE(Answer);
    CHECK(Answer->Status == 400);
    CHECK_FALSE(Answer->Body.empty());
  }
  CHECK(waitForServers(All.Some, 3));
  CHECK(isWhole(send(Node, "GET", "/lists/7"), "GET", "/lists/7"));
  auto Metrics = ask(Node.Metrics, "GET", "/metrics");
  REQUIRE(Metrics);
  CHECK(Metrics->Body.find("reason=\"bad_announcement\"") != std::string::npos);
}

} // namespace currantgauge::integration
