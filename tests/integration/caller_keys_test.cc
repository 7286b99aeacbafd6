// Tests with real processes that callers are identified by their keys, in the
// protocol of the machines' platform.
#include "tests/integration/machines.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace currantgauge::integration {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using nlohmann::json;

// The configPropagationMs setting of the sites.
constexpr std::chrono::milliseconds PropagationBound{3000};

json listRoutes() {
  json Open = routeOf("/open/", "stocktally", "idempotent");
  Open["public"] = true;
  return {{"view", routeOf("/lists/", "cutlist", "idempotent")},
          {"commit", routeOf("/commits/", "cutlist", "non_idempotent")},
          {"open", Open}};
}

json makeTenants(const std::vector<std::string> &DepotKeys) {
  return {{"depot", {{"apiKeys", DepotKeys}, {"priority", 1}}},
          {"yard", {{"apiKeys", {"key-yard-1"}}, {"ratePerS", 50}}}};
}

void startFleet(MachineFleet &Machines, const json &Tenants) {
  addMachine(Machines, "north", "north-a", "cutlist");
  addMachine(Machines, "north", "north-b", "cutlist");
  addMachine(Machines, "south", "south-a", "stocktally");
  writeOperatorsConfig(Machines, "r3", listRoutes(), json::object(), Tenants);
  REQUIRE(waitUntil([&] {
    return std::all_of(Machines.List.begin(), Machines.List.end(),
                       [&](const Machine &Machine) {
                         return isReady(nodeOf(Machines, Machine));
                       });
  }));
  REQUIRE(waitForServers(Machines.Fleet, 3));
}

// Returns the status, 0 if there is no response.
unsigned statusOf(const NodeProcess &Node, const std::string &Target,
                  const HeaderMap &Fields) {
  CallerRequest Sent = sendAsCaller(Node, "GET", Target, "", 4000, Fields);
  return Sent.Response ? Sent.Response->Status : 0;
}

unsigned statusWithKey(const NodeProcess &Node, const std::string &Key) {
  return statusOf(Node, "/lists/7", {{"Currantgauge-Credential", Key}});
}

bool allNodesAnswer(MachineFleet &Machines, const std::string &Key,
                    unsigned Status) {
  return std::all_of(
      Machines.List.begin(), Machines.List.end(), [&](const Machine &Machine) {
        return statusWithKey(nodeOf(Machines, Machine), Key) == Status;
      });
}

// OpenConnection is a connection that stays open between requests.
struct OpenConnection {
  asio::io_context Io;
  asio::ip::tcp::socket Socket{this->Io};
  beast::flat_buffer Input;
  std::uint64_t Requests = 0;

  explicit OpenConnection(const std::string &Address) {
    std::size_t Colon = Address.rfind(':');
    asio::ip::tcp::resolver Resolver(this->Io);
    asio::connect(this->Socket, Resolver.resolve(Address.substr(0, Colon),
                                                 Address.substr(Colon + 1)));
  }

  // Sends pipelined requests with one key and returns the statuses.
  std::vector<unsigned> request(const std::string &Key, int Count) {
    std::string Text;
    for (int Index = 0; Index < Count; ++Index)
      Text += "GET /lists/7 HTTP/1.1\r\nHost: lists.example\r\n"
              "Currantgauge-Attempt-Id: open-" +
              std::to_string(++this->Requests) +
              "\r\nCurrantgauge-Deadline-Milliseconds: 4000\r\n"
              "Currantgauge-Credential: " +
              Key + "\r\n\r\n";
    asio::write(this->Socket, asio::buffer(Text));
    std::vector<unsigned> Statuses;
    for (int Index = 0; Index < Count; ++Index) {
      beast::http::response<beast::http::string_body> Response;
      beast::http::read(this->Socket, this->Input, Response);
      Statuses.push_back(Response.result_int());
    }
    return Statuses;
  }
};

// Sums a map in the statistics of all backend servers.
std::map<std::string, std::uint64_t> runsByWorkspace(MachineFleet &Machines) {
  std::map<std::string, std::uint64_t> Runs;
  for (const Machine &Machine : Machines.List) {
    json Stats = statsOf(serverOf(Machines, Machine));
    for (const auto &[Name, Count] : Stats.at("by_workspace").items())
      Runs[Name] += Count.get<std::uint64_t>();
  }
  return Runs;
}

std::uint64_t countCredentials(MachineFleet &Machines) {
  std::uint64_t Count = 0;
  for (const Machine &Machine : Machines.List)
    Count += statsOf(serverOf(Machines, Machine))["credentials"]
                 .get<std::uint64_t>();
  return Count;
}

} // namespace

TEST_CASE("machines: the workspace of the caller's key, and not the key, "
          "reaches the server") {
  MachineFleet Machines;
  startFleet(Machines, makeTenants({"key-depot-1", "key-depot-2"}));
  for (const Machine &Machine : Machines.List) {
    const NodeProcess &Node = nodeOf(Machines, Machine);
    CHECK(statusWithKey(Node, "key-depot-1") == 200);
    CHECK(statusWithKey(Node, "key-depot-2") == 200);
    // yard has a fleet limit, whose home issues permits only after it has
    // settled.
    CHECK(waitUntil(
        [&] {
          return statusOf(Node, "/lists/7",
                          {{"Currantgauge-Credential", "key-yard-1"},
                           {"Currantgauge-Tenant", "forged"}}) == 200;
        },
        std::chrono::seconds(10)));
    CHECK(statusOf(Node, "/open/7",
                   {{"Currantgauge-Credential", "key-unknown"},
                    {"Currantgauge-Tenant", "forged"}}) == 200);
    CHECK(statusOf(Node, "/open/7", {}) == 200);
    CHECK(statusOf(Node, "/lists/7", {}) == 401);
    CHECK(statusWithKey(Node, "key-unknown") == 401);
    CHECK(statusWithKey(Node, "depot") == 401);
    CHECK(statusOf(Node, "/nowhere/7", {}) == 404);
  }
  CHECK(json(runsByWorkspace(Machines)).dump() ==
        R"({"":6,"depot":6,"yard":3})");
  CHECK(countCredentials(Machines) == 0);
  CHECK(findLogLines(Machines.Fleet, "key-depot").empty());
  CHECK(findLogLines(Machines.Fleet, "key-unknown").empty());
  for (const NodeProcess &Node : Machines.Fleet.Nodes) {
    auto Metrics = sendRequest(Node.MetricsAddress, "GET", "/metrics");
    REQUIRE(Metrics);
    CHECK(Metrics->Body.find("unknown_key") != std::string::npos);
    CHECK(Metrics->Body.find("key-") == std::string::npos);
  }
}

TEST_CASE("machines: a key that is taken away is refused at every node within "
          "the bound, on open connections, too") {
  MachineFleet Machines;
  startFleet(Machines, makeTenants({"key-depot-1", "key-depot-2"}));
  std::vector<std::unique_ptr<OpenConnection>> Open;
  for (const Machine &Machine : Machines.List) {
    Open.push_back(std::make_unique<OpenConnection>(
        nodeOf(Machines, Machine).CallerAddress));
    CHECK(Open.back()->request("key-depot-1", 3) ==
          std::vector<unsigned>{200, 200, 200});
  }
  writeOperatorsConfig(Machines, "r4", listRoutes(), json::object(),
                       makeTenants({"key-depot-2"}));
  CHECK(waitUntil([&] { return allNodesAnswer(Machines, "key-depot-1", 401); },
                  PropagationBound));
  for (auto &Connection : Open) {
    CHECK(Connection->request("key-depot-1", 3) ==
          std::vector<unsigned>{401, 401, 401});
    CHECK(Connection->request("key-depot-2", 2) ==
          std::vector<unsigned>{200, 200});
  }
}

TEST_CASE("machines: without any key left, all but public routes are refused") {
  MachineFleet Machines;
  startFleet(Machines, makeTenants({"key-depot-1"}));
  CHECK(allNodesAnswer(Machines, "key-depot-1", 200));
  writeOperatorsConfig(Machines, "r4", listRoutes(), json::object(),
                       json::object());
  CHECK(waitUntil([&] { return allNodesAnswer(Machines, "key-depot-1", 401); },
                  PropagationBound));
  for (const Machine &Machine : Machines.List) {
    CHECK(statusOf(nodeOf(Machines, Machine), "/lists/7", {}) == 401);
    CHECK(statusOf(nodeOf(Machines, Machine), "/open/7", {}) == 200);
  }
}

TEST_CASE("machines: a version with malformed tenants is refused and logged, "
          "and the last good one stays") {
  MachineFleet Machines;
  startFleet(Machines, makeTenants({"key-depot-1"}));
  writeOperatorsConfig(Machines, "r4", listRoutes(), json::object(),
                       {{"depot", {{"apiKeys", "key-depot-2"}}}});
  CHECK(waitUntil([&] {
    return findLogLines(Machines.Fleet, "tenants.depot: apiKeys must be a list")
               .size() >= Machines.List.size();
  }));
  CHECK(allNodesAnswer(Machines, "key-depot-1", 200));
  CHECK(allNodesAnswer(Machines, "key-depot-2", 401));
  CHECK(findLogLines(Machines.Fleet, "key-depot").empty());
}

} // namespace currantgauge::integration
