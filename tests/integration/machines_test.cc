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

bool allReady(MachineFleet &All) {
  return std::all_of(All.List.begin(), All.List.end(), [&](const Machine &One) {
    return isReady(nodeOf(All, One));
  });
}

// Two machines of cutlist in one region and one of stocktally in the other.
void startThree(MachineFleet &All, const json &Routes) {
  addMachine(All, "north", "north-a", "cutlist");
  addMachine(All, "north", "north-b", "cutlist");
  addMachine(All, "south", "south-a", "stocktally");
  writeOperatorsConfig(All, "r3", Routes);
  REQUIRE(waitUntil([&] { return allReady(All); }));
  REQUIRE(waitForServers(All.Fleet, 3));
}

// Where the answer of a caller's request denies what the servers saw: an action
// that ran twice, or ran and was refused, or ran and got no answer.
std::vector<std::string> deniedBy(const MachineFleet &All, RequestLoad &Asked) {
  std::map<std::string, std::uint64_t> Runs = runsByAttempt(All);
  std::vector<std::string> Found;
  for (const auto &[Id, Count] : Runs)
    if (Count > 1)
      Found.push_back(Id + " ran " + std::to_string(Count) + " times");
  for (const CallerRequest &One : Asked.Failures) {
    std::string Status =
        One.Response ? std::to_string(One.Response->Status) : "no answer";
    bool Doubt = Status == "502" || Status == "504";
    if (Runs[One.AttemptId] > 0 && !Doubt)
      Found.push_back(One.AttemptId + " ran and its caller got " + Status);
  }
  return Found;
}

std::size_t countOf(RequestLoad &Asked) {
  std::lock_guard<std::mutex> Guard(Asked.Lock);
  return Asked.Failures.size();
}

void changeState(const ServerProcess &Server, const std::string &State) {
  controlServer(Server, json{{"state", State}}.dump());
  REQUIRE(waitUntil([&] { return statsOf(Server)["acknowledged"] == State; }));
}

} // namespace

TEST_CASE("machines: a fleet without seeds serves every kind from every node") {
  MachineFleet All;
  addMachine(All, "north", "north-a", "cutlist");
  addMachine(All, "north", "north-b", "cutlist");
  addMachine(All, "south", "south-a", "stocktally");
  // Nothing is known yet: not ready, and no claim that a route is missing.
  CHECK_FALSE(isReady(nodeOf(All, All.List[0])));
  CallerRequest Early =
      sendAsCaller(nodeOf(All, All.List[0]), "GET", "/lists/7");
  REQUIRE(Early.Response);
  CHECK(Early.Response->Status == 503);
  writeOperatorsConfig(All, "r3", listRoutes());
  REQUIRE(waitUntil([&] { return allReady(All); }));
  REQUIRE(waitForServers(All.Fleet, 3));
  for (const Machine &One : All.List) {
    const NodeProcess &Node = nodeOf(All, One);
    CallerRequest View = sendAsCaller(Node, "GET", "/lists/7?full=1");
    CHECK(isOwnResponse(View, "GET", "/lists/7?full=1"));
    CallerRequest Commit = sendAsCaller(Node, "POST", "/commits/9", "order 12");
    CHECK(isOwnResponse(Commit, "POST", "/commits/9"));
    CHECK(Commit.Response->Body.ends_with("order 12"));
    CHECK(runsByAttempt(All)[Commit.AttemptId] == 1);
    CHECK(sendAsCaller(Node, "GET", "/nowhere/1").Response->Status == 404);
  }
  // The node names the service of the machine, whatever the caller said.
  std::set<std::string> Callers;
  for (const ServerProcess &Server : All.Fleet.Servers) {
    json Stats = statsOf(Server);
    for (const auto &[Service, Count] : Stats["by_caller"].items())
      Callers.insert(Service);
  }
  CAPTURE(json(Callers).dump());
  CHECK(Callers == std::set<std::string>{"cutlist", "stocktally"});
}

TEST_CASE("machines: a version takes force through the feed, also one written "
          "while the store was away, or that history forgot") {
  MachineFleet All;
  startThree(All, listRoutes());
  auto RanBy = [&](std::size_t Which, const std::string &Target) {
    CallerRequest One = sendAsCaller(nodeOf(All, All.List[1]), "GET", Target);
    return isOwnResponse(One, "GET", Target) &&
           One.Response->Body.starts_with("i-" + std::to_string(Which) + " ");
  };
  json Routes = listRoutes();
  Routes["view"]["service"] = "stocktally";
  Routes.erase("commit");
  writeOperatorsConfig(All, "r8", Routes);
  CHECK(waitUntil([&] { return RanBy(3, "/lists/7"); }));
  CHECK(sendAsCaller(nodeOf(All, All.List[0]), "POST", "/commits/9")
            .Response->Status == 404);
  sendRequest(All.Fleet.PlatformAddress, "PUT", "/control",
              R"({"outage":"refuse"})");
  Routes["tally"] = routeOf("/tally/", "stocktally", "idempotent");
  writeOperatorsConfig(All, "r11", Routes);
  CHECK(RanBy(3, "/lists/7"));
  sendRequest(All.Fleet.PlatformAddress, "PUT", "/control",
              R"({"forget":true})");
  CHECK(waitUntil([&] { return RanBy(3, "/tally/7"); }));
}

TEST_CASE("machines: a server that drains or has left gets no new work") {
  for (std::string State : {"leaving", "gone"}) {
    CAPTURE(State);
    MachineFleet All;
    startThree(All, listRoutes());
    RequestLoad Asked(All, "POST", "/commits/9", 3);
    REQUIRE(waitUntil([&] { return Asked.Succeeded > 60; }));
    ServerProcess &Leaving = serverOf(All, All.List[0]);
    changeState(Leaving, State);
    std::this_thread::sleep_for(DrainTime);
    std::uint64_t Runs = runsOf(Leaving);
    int Good = Asked.Succeeded;
    CHECK(waitUntil([&] { return Asked.Succeeded > Good + 60; }));
    stopLoad(Asked);
    CHECK(runsOf(Leaving) == Runs);
    CHECK(countOf(Asked) == 0);
  }
}

TEST_CASE("machines: a planned stop under load loses nothing") {
  MachineFleet All;
  startThree(All, listRoutes());
  RequestLoad Asked(All, "POST", "/commits/9", 3);
  REQUIRE(waitUntil([&] { return Asked.Succeeded > 60; }));
  // As the platform does: first the backend server, then its node.
  ServerProcess &Server = serverOf(All, All.List[0]);
  sendSignal(Server.Process, SIGTERM);
  REQUIRE(waitForExit(Server.Process) == 0);
  CHECK(countOf(Asked) == 0);
  NodeProcess &Node = nodeOf(All, All.List[0]);
  sendSignal(Node.Process, SIGTERM);
  CHECK(waitForExit(Node.Process) == 0);
  int Good = Asked.Succeeded;
  CHECK(waitUntil([&] { return Asked.Succeeded > Good + 60; }));
  stopLoad(Asked);
  // Callers of the stopped node reach nobody, or are told to come again; none
  // of their requests ran unseen.
  CHECK(json(deniedBy(All, Asked)).dump() == "[]");
  std::size_t Read = 0;
  for (const CallerRequest &One : Asked.Failures)
    if (One.Response && One.Response->Status != 503)
      ++Read;
  CHECK(Read == 0);
}

TEST_CASE("machines: an address that another service took runs nothing of the "
          "first") {
  MachineFleet All;
  startThree(All, listRoutes());
  ServerProcess Before = serverOf(All, All.List[0]);
  sendSignal(Before.Process, SIGKILL);
  REQUIRE(waitForExit(Before.Process) != 0);
  // It announces itself to nobody, so that the node goes on believing.
  NodeProcess Nobody;
  Nobody.AnnounceAddress = "127.0.0.1:1";
  ServerProcess &After = startServer(
      All.Fleet, "i-9", "stocktally", Nobody,
      {"--machines",
       "--port=" + Before.Address.substr(Before.Address.rfind(':') + 1)});
  RequestLoad Asked(All, "POST", "/commits/9", 3);
  CHECK(waitUntil([&] { return Asked.Succeeded > 100; }));
  CHECK(waitUntil([&] { return statsOf(After)["misdirected"] > 0; }));
  stopLoad(Asked);
  CHECK(statsOf(After)["runs"] == 0);
  CHECK(json(deniedBy(All, Asked)).dump() == "[]");
  CHECK(countOf(Asked) == 0);
}

TEST_CASE("machines: a malformed heartbeat is refused and changes nothing") {
  MachineFleet All;
  startThree(All, listRoutes());
  const NodeProcess &Node = nodeOf(All, All.List[0]);
  const std::string Call = "/api/rpc?call=instances.heartbeat&of=i-1";
  json Good = {{"address", serverOf(All, All.List[0]).Address},
               {"information", {{"service", "cutlist"}, {"slots", 4}}},
               {"status", {{"state", "ready"}, {"sequence", 999999}}}};
  json NoSlots = Good, NoService = Good, NoState = Good;
  NoSlots["information"].erase("slots");
  NoService["information"]["service"] = 7;
  NoState["status"]["state"] = "asleep";
  for (const std::string &Body :
       {NoSlots.dump(), NoService.dump(), NoState.dump(),
        std::string("\xff\xfe not JSON"), std::string()}) {
    auto Answer = sendRequest(Node.AnnounceAddress, "POST", Call, Body);
    REQUIRE(Answer);
    CHECK(Answer->Status == 400);
    CHECK_FALSE(Answer->Body.empty());
  }
  CHECK(waitForServers(All.Fleet, 3));
  CHECK(
      isOwnResponse(sendAsCaller(Node, "GET", "/lists/7"), "GET", "/lists/7"));
  auto Metrics = sendRequest(Node.MetricsAddress, "GET", "/metrics");
  REQUIRE(Metrics);
  CHECK(Metrics->Body.find("reason=\"bad_announcement\"") != std::string::npos);
}

} // namespace currantgauge::integration
