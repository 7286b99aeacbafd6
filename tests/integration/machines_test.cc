// Tests the full request path with real processes in the protocol of the
// machines' platform.
#include "tests/integration/callers.h"
#include "tests/integration/machines.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <set>
#include <string>
#include <thread>

namespace currantgauge::integration {
namespace {

using nlohmann::json;

// The drainMs setting of the sites.
constexpr std::chrono::milliseconds DrainTime{2000};

json listRoutes() {
  return {{"view", routeOf("/lists/", "cutlist", "idempotent")},
          {"commit", routeOf("/commits/", "cutlist", "non_idempotent")}};
}

bool allReady(MachineFleet &Machines) {
  return std::all_of(Machines.List.begin(), Machines.List.end(),
                     [&](const Machine &Machine) {
                       return isReady(nodeOf(Machines, Machine));
                     });
}

// Starts two cutlist machines in one region and one stocktally machine in
// another.
void startThreeMachines(MachineFleet &Machines, const json &Routes) {
  addMachine(Machines, "north", "north-a", "cutlist");
  addMachine(Machines, "north", "north-b", "cutlist");
  addMachine(Machines, "south", "south-a", "stocktally");
  writeOperatorsConfig(Machines, "r3", Routes);
  REQUIRE(waitUntil([&] { return allReady(Machines); }));
  REQUIRE(waitForServers(Machines.Fleet, 3));
}

// Lists contradictions between the callers' responses and the servers' counts:
// an action that ran twice, and one that ran although its caller got neither
// success nor a status that leaves this open (502 or 504).
std::vector<std::string> findRunContradictions(const MachineFleet &Machines,
                                               RequestLoad &Load) {
  std::map<std::string, std::uint64_t> Runs = runsByAttempt(Machines);
  std::vector<std::string> Found;
  for (const auto &[Id, Count] : Runs)
    if (Count > 1)
      Found.push_back(Id + " ran " + std::to_string(Count) + " times");
  for (const CallerRequest &Request : Load.Failures) {
    std::string Status = Request.Response
                             ? std::to_string(Request.Response->Status)
                             : "no response";
    bool MayHaveRun = Status == "502" || Status == "504";
    if (Runs[Request.AttemptId] > 0 && !MayHaveRun)
      Found.push_back(Request.AttemptId + " ran, but its caller got " + Status);
  }
  return Found;
}

std::size_t countFailures(RequestLoad &Load) {
  std::lock_guard<std::mutex> Guard(Load.Lock);
  return Load.Failures.size();
}

void changeState(const ServerProcess &Server, const std::string &State) {
  controlServer(Server, json{{"state", State}}.dump());
  REQUIRE(waitUntil([&] { return statsOf(Server)["acknowledged"] == State; }));
}

} // namespace

TEST_CASE("machines: a fleet without seeds serves every kind from every node") {
  MachineFleet Machines;
  addMachine(Machines, "north", "north-a", "cutlist");
  addMachine(Machines, "north", "north-b", "cutlist");
  addMachine(Machines, "south", "south-a", "stocktally");
  // No configuration yet: the node isn't ready, and responds 503 instead of
  // 404.
  CHECK_FALSE(isReady(nodeOf(Machines, Machines.List[0])));
  CallerRequest Early =
      sendAsCaller(nodeOf(Machines, Machines.List[0]), "GET", "/lists/7");
  REQUIRE(Early.Response);
  CHECK(Early.Response->Status == 503);
  writeOperatorsConfig(Machines, "r3", listRoutes());
  REQUIRE(waitUntil([&] { return allReady(Machines); }));
  REQUIRE(waitForServers(Machines.Fleet, 3));
  for (const Machine &Machine : Machines.List) {
    const NodeProcess &Node = nodeOf(Machines, Machine);
    CallerRequest View = sendAsCaller(Node, "GET", "/lists/7?full=1");
    CHECK(isOwnResponse(View, "GET", "/lists/7?full=1"));
    CallerRequest Commit = sendAsCaller(Node, "POST", "/commits/9", "order 12");
    CHECK(isOwnResponse(Commit, "POST", "/commits/9"));
    CHECK(Commit.Response->Body.ends_with("order 12"));
    CHECK(runsByAttempt(Machines)[Commit.AttemptId] == 1);
    CHECK(sendAsCaller(Node, "GET", "/nowhere/1").Response->Status == 404);
  }
  // The node sets the service of the caller to that of its machine and ignores
  // what the caller sent.
  std::set<std::string> Callers;
  for (const ServerProcess &Server : Machines.Fleet.Servers) {
    json Stats = statsOf(Server);
    for (const auto &[Service, Count] : Stats["by_caller"].items())
      Callers.insert(Service);
  }
  CAPTURE(json(Callers).dump());
  CHECK(Callers == std::set<std::string>{"cutlist", "stocktally"});
}

TEST_CASE("machines: the feed delivers versions after a store outage and after "
          "dropped history") {
  MachineFleet Machines;
  startThreeMachines(Machines, listRoutes());
  auto IsServedBy = [&](std::size_t Number, const std::string &Target) {
    CallerRequest Request =
        sendAsCaller(nodeOf(Machines, Machines.List[1]), "GET", Target);
    return isOwnResponse(Request, "GET", Target) &&
           Request.Response->Body.starts_with("i-" + std::to_string(Number) +
                                              " ");
  };
  json Routes = listRoutes();
  Routes["view"]["service"] = "stocktally";
  Routes.erase("commit");
  writeOperatorsConfig(Machines, "r8", Routes);
  CHECK(waitUntil([&] { return IsServedBy(3, "/lists/7"); }));
  CHECK(sendAsCaller(nodeOf(Machines, Machines.List[0]), "POST", "/commits/9")
            .Response->Status == 404);
  sendRequest(Machines.Fleet.PlatformAddress, "PUT", "/control",
              R"({"outage":"refuse"})");
  Routes["tally"] = routeOf("/tally/", "stocktally", "idempotent");
  writeOperatorsConfig(Machines, "r11", Routes);
  CHECK(IsServedBy(3, "/lists/7"));
  sendRequest(Machines.Fleet.PlatformAddress, "PUT", "/control",
              R"({"forget":true})");
  CHECK(waitUntil([&] { return IsServedBy(3, "/tally/7"); }));
}

TEST_CASE("machines: a server that drains or has left gets no new requests") {
  for (std::string State : {"leaving", "gone"}) {
    CAPTURE(State);
    MachineFleet Machines;
    startThreeMachines(Machines, listRoutes());
    RequestLoad Load(Machines, "POST", "/commits/9", 3);
    REQUIRE(waitUntil([&] { return Load.Succeeded > 60; }));
    ServerProcess &Leaving = serverOf(Machines, Machines.List[0]);
    changeState(Leaving, State);
    std::this_thread::sleep_for(DrainTime);
    std::uint64_t Runs = runsOf(Leaving);
    int SucceededBefore = Load.Succeeded;
    CHECK(waitUntil([&] { return Load.Succeeded > SucceededBefore + 60; }));
    stopLoad(Load);
    CHECK(runsOf(Leaving) == Runs);
    CHECK(countFailures(Load) == 0);
  }
}

TEST_CASE("machines: a planned stop under load loses no request") {
  MachineFleet Machines;
  startThreeMachines(Machines, listRoutes());
  RequestLoad Load(Machines, "POST", "/commits/9", 3);
  REQUIRE(waitUntil([&] { return Load.Succeeded > 60; }));
  // The platform stops the backend server first, then its node.
  ServerProcess &Server = serverOf(Machines, Machines.List[0]);
  sendSignal(Server.Process, SIGTERM);
  REQUIRE(waitForExit(Server.Process) == 0);
  CHECK(countFailures(Load) == 0);
  NodeProcess &Node = nodeOf(Machines, Machines.List[0]);
  sendSignal(Node.Process, SIGTERM);
  CHECK(waitForExit(Node.Process) == 0);
  int SucceededBefore = Load.Succeeded;
  CHECK(waitUntil([&] { return Load.Succeeded > SucceededBefore + 60; }));
  stopLoad(Load);
  // Callers of the stopped node get no response or 503, and none of these
  // requests ran.
  CHECK(json(findRunContradictions(Machines, Load)).dump() == "[]");
  std::size_t Unexpected = 0;
  for (const CallerRequest &Request : Load.Failures)
    if (Request.Response && Request.Response->Status != 503)
      ++Unexpected;
  CHECK(Unexpected == 0);
}

TEST_CASE("machines: a server that took over an address runs no request of the "
          "previous service") {
  MachineFleet Machines;
  startThreeMachines(Machines, listRoutes());
  ServerProcess Killed = serverOf(Machines, Machines.List[0]);
  sendSignal(Killed.Process, SIGKILL);
  REQUIRE(waitForExit(Killed.Process) != 0);
  // The replacement announces itself to no node, so the node still expects the
  // killed server at this address.
  NodeProcess UnreachableNode;
  UnreachableNode.AnnounceAddress = "127.0.0.1:1";
  std::size_t Colon = Killed.Address.rfind(':');
  ServerProcess &Replacement =
      startServer(Machines.Fleet, "i-9", "stocktally", UnreachableNode,
                  {"--machines", "--host=" + Killed.Address.substr(0, Colon),
                   "--port=" + Killed.Address.substr(Colon + 1)});
  REQUIRE(Replacement.Address == Killed.Address);
  RequestLoad Load(Machines, "POST", "/commits/9", 3);
  CHECK(waitUntil([&] { return Load.Succeeded > 100; }));
  CHECK(waitUntil([&] { return statsOf(Replacement)["misdirected"] > 0; }));
  stopLoad(Load);
  CHECK(statsOf(Replacement)["runs"] == 0);
  CHECK(json(findRunContradictions(Machines, Load)).dump() == "[]");
  CHECK(countFailures(Load) == 0);
}

TEST_CASE(
    "machines: a server restarts at its address although the host's other "
    "processes have taken the port") {
  MachineFleet Machines;
  addMachine(Machines, "north", "north-a", "cutlist");
  ServerProcess &Server = serverOf(Machines, Machines.List[0]);
  std::string Address = Server.Address;
  std::size_t Colon = Address.rfind(':');
  std::string Port = Address.substr(Colon + 1);
  sendSignal(Server.Process, SIGKILL);
  REQUIRE(waitForExit(Server.Process) != 0);
  boost::asio::io_context Io;
  boost::asio::ip::tcp::acceptor Other(
      Io, {boost::asio::ip::address_v4::loopback(),
           static_cast<std::uint16_t>(std::stoi(Port))});
  restartServer(
      Machines.Fleet, Server, "i-1-2", "cutlist",
      nodeOf(Machines, Machines.List[0]),
      {"--machines", "--host=" + Address.substr(0, Colon), "--port=" + Port});
  CHECK(Server.Address == Address);
}

TEST_CASE("machines: a malformed heartbeat is refused and changes nothing") {
  MachineFleet Machines;
  startThreeMachines(Machines, listRoutes());
  const NodeProcess &Node = nodeOf(Machines, Machines.List[0]);
  const std::string Call = "/api/rpc?call=instances.heartbeat&of=i-1";
  json Good = {{"address", serverOf(Machines, Machines.List[0]).Address},
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
  CHECK(waitForServers(Machines.Fleet, 3));
  CHECK(
      isOwnResponse(sendAsCaller(Node, "GET", "/lists/7"), "GET", "/lists/7"));
  auto Metrics = sendRequest(Node.MetricsAddress, "GET", "/metrics");
  REQUIRE(Metrics);
  CHECK(Metrics->Body.find("reason=\"bad_announcement\"") != std::string::npos);
}

} // namespace currantgauge::integration
