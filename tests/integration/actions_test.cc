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

const std::string Secret = "actions: {secret: integration}\n";
// Longer than any lease of a backend server or a node.
constexpr std::chrono::seconds PastAnyLease{7};

// Three nodes before the platform's stand-in, which a fault proxy precedes.
struct ActionFleet {
  TestFleet Some;
  std::string Platform; // past the proxy
  Proxy Store;
};

void startNodes(ActionFleet &With) {
  startPlatform(With.Some);
  With.Platform = With.Some.PlatformAddress;
  With.Store = startProxy(With.Platform);
  With.Some.PlatformAddress = With.Store.Address;
  startNode(With.Some, "a", "north", "north-a", Secret);
  startNode(With.Some, "b", "north", "north-a", Secret);
  startNode(With.Some, "c", "north", "north-b", Secret);
}

void addServer(ActionFleet &With, const char *Name, std::size_t Node,
               const std::vector<std::string> &Flags = {}) {
  startServer(With.Some, Name, "cutlist", With.Some.Nodes[Node], Flags);
}

void serve(ActionFleet &With) {
  REQUIRE(pushConfig(With.Some, DemoConfig));
  REQUIRE(waitForServers(With.Some, With.Some.Servers.size()));
}

std::optional<HttpResponse> commit(ActionFleet &With, std::size_t Node,
                                   const std::string &Key,
                                   const std::string &Body = "order 12") {
  return sendRequest(With.Some.Nodes[Node].CallerAddress, "POST", "/commits/9",
                     Body, {{"Idempotency-Key", Key}});
}

std::optional<HttpResponse> commitById(ActionFleet &With, std::size_t Node,
                                       const std::string &Id) {
  return sendRequest(With.Some.Nodes[Node].CallerAddress, "POST", "/commits/9",
                     "order 12", {{"Currantgauge-Action-Id", Id}});
}

std::string requestActionId(ActionFleet &With, std::size_t Node) {
  return requestActionId(With.Some.Nodes[Node]);
}

std::uint64_t totalRuns(ActionFleet &With) {
  std::uint64_t Runs = 0;
  for (const ServerProcess &Server : With.Some.Servers)
    Runs += runsOf(Server);
  return Runs;
}

std::uint64_t claimedRows(ActionFleet &With) {
  auto Rows =
      sendRequest(With.Platform, "GET", "/tables/claims/rows?after=&limit=100");
  return Rows ? nlohmann::json::parse(Rows->Body)["rows"].size() : 0;
}

std::size_t aliveServers(const ActionFleet &With) {
  std::size_t Alive = 0;
  for (const ServerProcess &Server : With.Some.Servers)
    Alive += sendRequest(Server.Address, "GET", "/.stats").has_value();
  return Alive;
}

// quarantinedPrint() returns the fingerprint that the operator's command lists.
std::string quarantinedPrint(const NodeProcess &Node) {
  std::string Output;
  CHECK(runCommand({"quarantine", "list", "--output=json",
                    "--node=" + Node.OperatorAddress},
                   Output) == 0);
  auto Reply = nlohmann::json::parse(Output, nullptr, false);
  REQUIRE(Reply.is_object());
  REQUIRE(Reply["tables"][0]["rows"].size() == 1);
  return Reply["tables"][0]["rows"][0][0];
}

// askUntilRan() repeats an ask until it is answered by a backend server.
std::optional<HttpResponse> askUntilRan(ActionFleet &With, std::size_t Node,
                                        const std::string &Key) {
  std::optional<HttpResponse> Got;
  waitUntil([&] {
    Got = commit(With, Node, Key);
    return verdictOf(Got) == "ran";
  });
  return Got;
}

} // namespace

TEST_CASE("a key runs once, however often and wherever it is asked for") {
  ActionFleet With;
  startNodes(With);
  addServer(With, "cutlist-1", 1, {"--work_ms=100"});
  addServer(With, "cutlist-2", 2, {"--work_ms=100"});
  serve(With);
  std::vector<std::future<std::optional<HttpResponse>>> Asks;
  for (std::size_t Number = 0; Number < 9; ++Number)
    Asks.push_back(std::async(std::launch::async, [&With, Number] {
      return commit(With, Number % 3, "once");
    }));
  for (auto &Ask : Asks) {
    auto Got = Ask.get();
    bool Running = reasonOf(Got) == "action_running";
    CHECK(verdictOf(Got) == (Running ? "may_have_run" : "ran"));
  }
  std::optional<HttpResponse> First = askUntilRan(With, 0, "once");
  REQUIRE(First.has_value());
  for (std::size_t Node : {0, 1, 2}) {
    CAPTURE(Node);
    auto Again = commit(With, Node, "once");
    REQUIRE(verdictOf(Again) == "ran");
    CHECK(Again->Body == First->Body);
  }
  auto Other = commit(With, 0, "once", "order 13");
  CHECK(verdictOf(Other) == "not_run");
  CHECK(reasonOf(Other) == "action_mismatch");
  CHECK(totalRuns(With) == 1);
}

TEST_CASE("an owner killed while it runs an action leaves it in doubt") {
  ActionFleet With;
  startNodes(With);
  addServer(With, "cutlist-1", 1, {"--work_ms=1500"});
  serve(With);
  auto First =
      std::async(std::launch::async, [&] { return commit(With, 0, "killed"); });
  REQUIRE(waitUntil([&] { return totalRuns(With) == 1; }));
  sendSignal(With.Some.Nodes[1].Process, SIGKILL);
  CHECK(verdictOf(First.get()) == "may_have_run");
  addServer(With, "cutlist-2", 2);
  REQUIRE(waitUntil(
      [&] { return verdictOf(commit(With, 0, "another key")) == "ran"; }));
  CHECK(verdictOf(commit(With, 0, "killed")) == "may_have_run");
  CHECK(verdictOf(commit(With, 2, "killed")) == "may_have_run");
  restartNode(With.Some, With.Some.Nodes[1]);
  CHECK(verdictOf(commit(With, 2, "killed")) == "may_have_run");
  CHECK(runsOf(With.Some.Servers[0]) == 1);
  CHECK(runsOf(With.Some.Servers[1]) == 1); // the other key
}

TEST_CASE("a holder paused past any lease runs nothing when it wakes") {
  ActionFleet With;
  startNodes(With);
  addServer(With, "cutlist-1", 1);
  serve(With);
  sendCommand(With.Store, R"({"route":0,"delay_ms":100})");
  auto First =
      std::async(std::launch::async, [&] { return commit(With, 0, "paused"); });
  // The row is written; its answer is still on the way to the holder.
  REQUIRE(waitUntil([&] { return claimedRows(With) == 1; }));
  sendSignal(With.Some.Nodes[1].Process, SIGSTOP);
  sendCommand(With.Store, R"({"route":0,"delay_ms":0})");
  addServer(With, "cutlist-2", 2);
  CHECK(verdictOf(First.get()) == "may_have_run");
  std::this_thread::sleep_for(PastAnyLease);
  CHECK(verdictOf(commit(With, 2, "paused")) == "may_have_run");
  sendSignal(With.Some.Nodes[1].Process, SIGCONT);
  std::this_thread::sleep_for(std::chrono::seconds(1));
  CHECK(totalRuns(With) == 0);
  CHECK(verdictOf(askUntilRan(With, 2, "paused")) == "ran");
  CHECK(totalRuns(With) == 1);
}

TEST_CASE("a store that is gone in the middle of a claim runs nothing") {
  ActionFleet With;
  startNodes(With);
  addServer(With, "cutlist-1", 1);
  addServer(With, "cutlist-2", 2);
  serve(With);
  REQUIRE(verdictOf(askUntilRan(With, 0, "warm")) == "ran");
  // Writes are applied, their answers and later reads get lost.
  sendCommand(With.Store, R"({"route":0,"drop_to_client":true})");
  auto Lost = commit(With, 0, "lost answer");
  CHECK(verdictOf(Lost) == "not_run");
  CHECK(reasonOf(Lost) == "store_unavailable");
  sendCommand(With.Store, R"({"route":0,"refuse":true})");
  sendCommand(With.Store, R"({"route":0,"reset_open":true})");
  for (int Number = 0; Number < 5; ++Number) {
    auto Refused = commit(With, 0, "refused");
    CHECK(verdictOf(Refused) == "not_run");
    CHECK(reasonOf(Refused) == "store_unavailable");
  }
  CHECK(totalRuns(With) == 1);
  std::string Id = requestActionId(With, 0);
  CHECK(verdictOf(commitById(With, 0, Id)) == "ran");
  CHECK(totalRuns(With) == 2);
  sendCommand(With.Store, R"({"route":0})");
  CHECK(verdictOf(askUntilRan(With, 2, "lost answer")) == "ran");
  CHECK(verdictOf(askUntilRan(With, 1, "refused")) == "ran");
  CHECK(totalRuns(With) == 4);
}

TEST_CASE("an action id runs once and never after its issuer was replaced") {
  ActionFleet With;
  startNodes(With);
  addServer(With, "cutlist-1", 1);
  serve(With);
  std::string Id = requestActionId(With, 0);
  std::string Open = requestActionId(With, 0);
  auto First = commitById(With, 2, Id); // not the issuer, not the owner
  REQUIRE(verdictOf(First) == "ran");
  for (std::size_t Node : {0, 1, 2}) {
    auto Again = commitById(With, Node, Id);
    REQUIRE(verdictOf(Again) == "ran");
    CHECK(Again->Body == First->Body);
  }
  auto Forged = commitById(With, 0, Id + "0");
  CHECK(verdictOf(Forged) == "not_run");
  CHECK(reasonOf(Forged) == "action_forged");
  sendSignal(With.Some.Nodes[0].Process, SIGKILL);
  restartNode(With.Some, With.Some.Nodes[0]);
  REQUIRE(pushConfig(With.Some, DemoConfig));
  REQUIRE(waitForServers(With.Some, 1));
  for (std::size_t Node : {0, 1, 2})
    CHECK(verdictOf(commitById(With, Node, Open)) == "may_have_run");
  CHECK(totalRuns(With) == 1);
}

TEST_CASE("a request that kills servers is quarantined after two, everywhere") {
  ActionFleet With;
  startNodes(With);
  for (const char *Name : {"cutlist-1", "cutlist-2", "cutlist-3"})
    addServer(With, Name, 1);
  serve(With);
  auto Kill = [&](std::size_t Node) {
    return sendRequest(With.Some.Nodes[Node].CallerAddress, "POST",
                       "/commits/9", "CRASH");
  };
  auto Listed = [&](std::size_t Node, const std::string &Phase) {
    return query(With.Some.Nodes[Node], R"({"query":"quarantine"})")
               .find('"' + Phase + '"') != std::string::npos;
  };
  CHECK(verdictOf(Kill(0)) == "may_have_run");
  REQUIRE(waitUntil([&] { return Listed(1, "suspected"); }));
  CHECK(verdictOf(Kill(0)) == "may_have_run");
  for (std::size_t Node : {0, 1, 2}) {
    CAPTURE(Node);
    REQUIRE(waitUntil([&] { return Listed(Node, "quarantined"); }));
    for (int Number = 0; Number < 3; ++Number) {
      auto Refused = Kill(Node);
      CHECK(verdictOf(Refused) == "not_run");
      CHECK(reasonOf(Refused) == "quarantined");
    }
    auto Healthy = sendRequest(With.Some.Nodes[Node].CallerAddress, "POST",
                               "/commits/9", "order");
    CHECK(verdictOf(Healthy) == "ran");
  }
  for (const ServerProcess &Server : With.Some.Servers)
    CHECK_FALSE(wasEjected(With.Some, Server.Name));
  CHECK(aliveServers(With) == 1);
  // Cleared at one node, it runs again from another, and kills the last one.
  std::string Print = quarantinedPrint(With.Some.Nodes[2]);
  std::string Output;
  CHECK(runCommand({"quarantine", "clear", Print,
                    "--node=" + With.Some.Nodes[2].OperatorAddress},
                   Output) == 0);
  CHECK(waitUntil([&] { return !Listed(0, "quarantined"); }));
  CHECK(verdictOf(Kill(0)) == "may_have_run");
  CHECK(aliveServers(With) == 0);
}

} // namespace currantgauge::integration
