#include "tests/integration/callers.h"
#include "tests/integration/fleet.h"
#include "tests/integration/proxy.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <csignal>
#include <future>
#include <string>
#include <thread>
#include <vector>

namespace currantgauge::integration {
namespace {

const std::string ActionSecretSettings = "actions: {secret: integration}\n";
// Longer than the lease of any backend server or node.
constexpr std::chrono::seconds LongerThanAnyLease{7};

// ActionSetup is three nodes that reach the platform stand-in through a fault
// proxy.
struct ActionSetup {
  TestFleet Fleet;
  std::string DirectPlatformAddress; // without the proxy
  Proxy StoreProxy;
};

void startNodes(ActionSetup &Setup) {
  startPlatform(Setup.Fleet);
  Setup.DirectPlatformAddress = Setup.Fleet.PlatformAddress;
  Setup.StoreProxy = startProxy(Setup.DirectPlatformAddress);
  Setup.Fleet.PlatformAddress = Setup.StoreProxy.Address;
  startNode(Setup.Fleet, "a", "north", "north-a", ActionSecretSettings);
  startNode(Setup.Fleet, "b", "north", "north-a", ActionSecretSettings);
  startNode(Setup.Fleet, "c", "north", "north-b", ActionSecretSettings);
}

void addServer(ActionSetup &Setup, const char *Name, std::size_t Node,
               const std::vector<std::string> &Flags = {}) {
  startServer(Setup.Fleet, Name, "cutlist", Setup.Fleet.Nodes[Node], Flags);
}

void pushConfigAndWait(ActionSetup &Setup) {
  REQUIRE(pushConfig(Setup.Fleet, DemoConfig));
  REQUIRE(waitForServers(Setup.Fleet, Setup.Fleet.Servers.size()));
}

std::optional<HttpResponse> commit(ActionSetup &Setup, std::size_t Node,
                                   const std::string &Key,
                                   const std::string &Body = "order 12") {
  return sendRequest(Setup.Fleet.Nodes[Node].CallerAddress, "POST",
                     "/commits/9", Body, {{"Idempotency-Key", Key}});
}

std::optional<HttpResponse> commitById(ActionSetup &Setup, std::size_t Node,
                                       const std::string &Id) {
  return sendRequest(Setup.Fleet.Nodes[Node].CallerAddress, "POST",
                     "/commits/9", "order 12",
                     {{"Currantgauge-Action-Id", Id}});
}

std::string requestActionId(ActionSetup &Setup, std::size_t Node) {
  return requestActionId(Setup.Fleet.Nodes[Node]);
}

std::uint64_t totalRuns(ActionSetup &Setup) {
  std::uint64_t Runs = 0;
  for (const ServerProcess &Server : Setup.Fleet.Servers)
    Runs += runsOf(Server);
  return Runs;
}

std::uint64_t countClaims(ActionSetup &Setup) {
  auto Rows = sendRequest(Setup.DirectPlatformAddress, "GET",
                          "/tables/claims/rows?after=&limit=100");
  return Rows ? nlohmann::json::parse(Rows->Body)["rows"].size() : 0;
}

std::size_t countLiveServers(const ActionSetup &Setup) {
  std::size_t Alive = 0;
  for (const ServerProcess &Server : Setup.Fleet.Servers)
    Alive += sendRequest(Server.Address, "GET", "/.stats").has_value();
  return Alive;
}

// Returns the fingerprint that `quarantine list` prints, which must be the only
// one.
std::string quarantinedFingerprint(const NodeProcess &Node) {
  std::string Output;
  CHECK(runCommand({"quarantine", "list", "--output=json",
                    "--node=" + Node.OperatorAddress},
                   Output) == 0);
  auto Reply = nlohmann::json::parse(Output, nullptr, false);
  REQUIRE(Reply.is_object());
  REQUIRE(Reply["tables"][0]["rows"].size() == 1);
  return Reply["tables"][0]["rows"][0][0];
}

// Repeats a commit until its verdict is "ran", for up to 20 s.
std::optional<HttpResponse> commitUntilRan(ActionSetup &Setup, std::size_t Node,
                                           const std::string &Key) {
  std::optional<HttpResponse> Response;
  waitUntil([&] {
    Response = commit(Setup, Node, Key);
    return verdictOf(Response) == "ran";
  });
  return Response;
}

} // namespace

TEST_CASE("an idempotency key runs once for requests at any node") {
  ActionSetup Setup;
  startNodes(Setup);
  addServer(Setup, "cutlist-1", 1, {"--work_ms=100"});
  addServer(Setup, "cutlist-2", 2, {"--work_ms=100"});
  pushConfigAndWait(Setup);
  std::vector<std::future<std::optional<HttpResponse>>> Requests;
  for (std::size_t Number = 0; Number < 9; ++Number)
    Requests.push_back(std::async(std::launch::async, [&Setup, Number] {
      return commit(Setup, Number % 3, "once");
    }));
  for (auto &Request : Requests) {
    auto Response = Request.get();
    bool Running = reasonOf(Response) == "action_running";
    CHECK(verdictOf(Response) == (Running ? "may_have_run" : "ran"));
  }
  std::optional<HttpResponse> First = commitUntilRan(Setup, 0, "once");
  REQUIRE(First.has_value());
  for (std::size_t Node : {0, 1, 2}) {
    CAPTURE(Node);
    auto Repeated = commit(Setup, Node, "once");
    REQUIRE(verdictOf(Repeated) == "ran");
    CHECK(Repeated->Body == First->Body);
  }
  auto Mismatched = commit(Setup, 0, "once", "order 13");
  CHECK(verdictOf(Mismatched) == "not_run");
  CHECK(reasonOf(Mismatched) == "action_mismatch");
  CHECK(totalRuns(Setup) == 1);
}

TEST_CASE("an action whose owner is killed while it runs stays may_have_run") {
  ActionSetup Setup;
  startNodes(Setup);
  addServer(Setup, "cutlist-1", 1, {"--work_ms=1500"});
  pushConfigAndWait(Setup);
  auto First = std::async(std::launch::async,
                          [&] { return commit(Setup, 0, "killed"); });
  REQUIRE(waitUntil([&] { return totalRuns(Setup) == 1; }));
  sendSignal(Setup.Fleet.Nodes[1].Process, SIGKILL);
  CHECK(verdictOf(First.get()) == "may_have_run");
  addServer(Setup, "cutlist-2", 2);
  REQUIRE(waitUntil(
      [&] { return verdictOf(commit(Setup, 0, "another key")) == "ran"; }));
  CHECK(verdictOf(commit(Setup, 0, "killed")) == "may_have_run");
  CHECK(verdictOf(commit(Setup, 2, "killed")) == "may_have_run");
  restartNode(Setup.Fleet, Setup.Fleet.Nodes[1]);
  CHECK(verdictOf(commit(Setup, 2, "killed")) == "may_have_run");
  CHECK(runsOf(Setup.Fleet.Servers[0]) == 1);
  CHECK(runsOf(Setup.Fleet.Servers[1]) == 1); // the other key
}

TEST_CASE("a claim holder paused past its lease runs nothing when it resumes") {
  ActionSetup Setup;
  startNodes(Setup);
  addServer(Setup, "cutlist-1", 1);
  pushConfigAndWait(Setup);
  sendCommand(Setup.StoreProxy, R"({"route":0,"delay_ms":100})");
  auto First = std::async(std::launch::async,
                          [&] { return commit(Setup, 0, "paused"); });
  // The row is written, but the response hasn't reached the claim holder yet.
  REQUIRE(waitUntil([&] { return countClaims(Setup) == 1; }));
  sendSignal(Setup.Fleet.Nodes[1].Process, SIGSTOP);
  sendCommand(Setup.StoreProxy, R"({"route":0,"delay_ms":0})");
  addServer(Setup, "cutlist-2", 2);
  CHECK(verdictOf(First.get()) == "may_have_run");
  std::this_thread::sleep_for(LongerThanAnyLease);
  CHECK(verdictOf(commit(Setup, 2, "paused")) == "may_have_run");
  sendSignal(Setup.Fleet.Nodes[1].Process, SIGCONT);
  std::this_thread::sleep_for(std::chrono::seconds(1));
  CHECK(totalRuns(Setup) == 0);
  CHECK(verdictOf(commitUntilRan(Setup, 2, "paused")) == "ran");
  CHECK(totalRuns(Setup) == 1);
}

TEST_CASE("an action does not run if the store fails during its claim") {
  ActionSetup Setup;
  startNodes(Setup);
  addServer(Setup, "cutlist-1", 1);
  addServer(Setup, "cutlist-2", 2);
  pushConfigAndWait(Setup);
  REQUIRE(verdictOf(commitUntilRan(Setup, 0, "warm")) == "ran");
  // The store applies writes, but its responses, also to later reads, are lost.
  sendCommand(Setup.StoreProxy, R"({"route":0,"drop_to_client":true})");
  auto LostAnswer = commit(Setup, 0, "lost answer");
  CHECK(verdictOf(LostAnswer) == "not_run");
  CHECK(reasonOf(LostAnswer) == "store_unavailable");
  sendCommand(Setup.StoreProxy, R"({"route":0,"refuse":true})");
  sendCommand(Setup.StoreProxy, R"({"route":0,"reset_open":true})");
  for (int Number = 0; Number < 5; ++Number) {
    auto Refused = commit(Setup, 0, "refused");
    CHECK(verdictOf(Refused) == "not_run");
    CHECK(reasonOf(Refused) == "store_unavailable");
  }
  CHECK(totalRuns(Setup) == 1);
  std::string Id = requestActionId(Setup, 0);
  CHECK(verdictOf(commitById(Setup, 0, Id)) == "ran");
  CHECK(totalRuns(Setup) == 2);
  sendCommand(Setup.StoreProxy, R"({"route":0})");
  CHECK(verdictOf(commitUntilRan(Setup, 2, "lost answer")) == "ran");
  CHECK(verdictOf(commitUntilRan(Setup, 1, "refused")) == "ran");
  CHECK(totalRuns(Setup) == 4);
}

TEST_CASE("an action id runs once and never after its issuer restarted") {
  ActionSetup Setup;
  startNodes(Setup);
  addServer(Setup, "cutlist-1", 1);
  pushConfigAndWait(Setup);
  std::string Id = requestActionId(Setup, 0);
  std::string UnusedId = requestActionId(Setup, 0);
  auto First = commitById(Setup, 2, Id); // neither the issuer nor the owner
  REQUIRE(verdictOf(First) == "ran");
  for (std::size_t Node : {0, 1, 2}) {
    auto Repeated = commitById(Setup, Node, Id);
    REQUIRE(verdictOf(Repeated) == "ran");
    CHECK(Repeated->Body == First->Body);
  }
  auto Forged = commitById(Setup, 0, Id + "0");
  CHECK(verdictOf(Forged) == "not_run");
  CHECK(reasonOf(Forged) == "action_forged");
  sendSignal(Setup.Fleet.Nodes[0].Process, SIGKILL);
  restartNode(Setup.Fleet, Setup.Fleet.Nodes[0]);
  REQUIRE(pushConfig(Setup.Fleet, DemoConfig));
  REQUIRE(waitForServers(Setup.Fleet, 1));
  for (std::size_t Node : {0, 1, 2})
    CHECK(verdictOf(commitById(Setup, Node, UnusedId)) == "may_have_run");
  CHECK(totalRuns(Setup) == 1);
}

TEST_CASE("a request that crashes two servers is quarantined on all nodes") {
  ActionSetup Setup;
  startNodes(Setup);
  for (const char *Name : {"cutlist-1", "cutlist-2", "cutlist-3"})
    addServer(Setup, Name, 1);
  pushConfigAndWait(Setup);
  auto SendCrash = [&](std::size_t Node) {
    return sendRequest(Setup.Fleet.Nodes[Node].CallerAddress, "POST",
                       "/commits/9", "CRASH");
  };
  auto Listed = [&](std::size_t Node, const std::string &Phase) {
    return query(Setup.Fleet.Nodes[Node], R"({"query":"quarantine"})")
               .find('"' + Phase + '"') != std::string::npos;
  };
  CHECK(verdictOf(SendCrash(0)) == "may_have_run");
  REQUIRE(waitUntil([&] { return Listed(1, "suspected"); }));
  CHECK(verdictOf(SendCrash(0)) == "may_have_run");
  for (std::size_t Node : {0, 1, 2}) {
    CAPTURE(Node);
    REQUIRE(waitUntil([&] { return Listed(Node, "quarantined"); }));
    for (int Number = 0; Number < 3; ++Number) {
      auto Refused = SendCrash(Node);
      CHECK(verdictOf(Refused) == "not_run");
      CHECK(reasonOf(Refused) == "quarantined");
    }
    auto Healthy = sendRequest(Setup.Fleet.Nodes[Node].CallerAddress, "POST",
                               "/commits/9", "order");
    CHECK(verdictOf(Healthy) == "ran");
  }
  for (const ServerProcess &Server : Setup.Fleet.Servers)
    CHECK_FALSE(wasEjected(Setup.Fleet, Server.Name));
  CHECK(countLiveServers(Setup) == 1);
  // After the quarantine is cleared at one node, the request runs again through
  // another node and crashes the last server.
  std::string Fingerprint = quarantinedFingerprint(Setup.Fleet.Nodes[2]);
  std::string Output;
  CHECK(runCommand({"quarantine", "clear", Fingerprint,
                    "--node=" + Setup.Fleet.Nodes[2].OperatorAddress},
                   Output) == 0);
  CHECK(waitUntil([&] { return !Listed(0, "quarantined"); }));
  CHECK(verdictOf(SendCrash(0)) == "may_have_run");
  CHECK(countLiveServers(Setup) == 0);
}

} // namespace currantgauge::integration
