#include "tests/integration/callers.h"
#include "tests/integration/fleet.h"
#include "tests/integration/proxy.h"

#include <doctest/doctest.h>

#include <chrono>
#include <cstddef>
#include <future>
#include <string>
#include <utility>
#include <vector>

namespace currantgauge::integration {
namespace {

const std::string ActionSecretSettings = "actions: {secret: integration}\n";
// For a server to start one of the actions.
constexpr std::chrono::milliseconds StartTimeout{1500};
// Two by key and two by id. Each is requested twice concurrently.
constexpr int ConcurrentActions = 4;

// HopFault is a fault on the path from the entry to the owner. It starts before
// the actions are sent if BeforeSending is set, else while a server runs one of
// them.
struct HopFault {
  const char *Name;
  const char *Command;
  bool BeforeSending;
};

const HopFault HopFaults[] = {
    {"reset", R"({"route":0,"reset_open":true})", false},
    {"answer-lost", R"({"route":0,"drop_to_client":true})", false},
    {"ask-lost", R"({"route":0,"drop_to_target":true})", true},
    {"silent", R"({"route":0,"silence_open":true})", false},
    {"cut", R"({"route":0,"cut_after":40})", true},
    {"late", R"({"route":0,"delay_ms":300})", true},
};

struct PendingRequest {
  std::string Key;
  std::future<std::optional<HttpResponse>> Response;
};

std::vector<PendingRequest>
sendActions(const TestFleet &Fleet, const HopFault &Fault,
            std::map<std::string, std::string> &Ids) {
  std::vector<PendingRequest> Requests;
  const NodeProcess &Entry = Fleet.Nodes[0];
  for (int I = 0; I < ConcurrentActions; ++I) {
    std::string Key = std::string(Fault.Name) + "-" + std::to_string(I);
    std::string Id = I % 2 == 0 ? "" : requestActionId(Entry);
    Ids[Key] = Id;
    for (int Copy = 0; Copy < 2; ++Copy)
      Requests.push_back(
          {Key, std::async(std::launch::async, [&Entry, Key, Id] {
             return Id.empty() ? commit(Entry, Key)
                               : commitById(Entry, Key, Id);
           })});
  }
  return Requests;
}

bool hasAnyRun(const TestFleet &Fleet,
               const std::vector<PendingRequest> &Requests) {
  auto Runs = runsByKey(Fleet);
  for (const PendingRequest &Request : Requests)
    if (Runs.contains(Request.Key))
      return true;
  return false;
}

void runWithFault(const TestFleet &Fleet, const HopFault &Fault,
                  ActionResponses &Responses) {
  const Proxy &OwnerProxy = Fleet.Nodes[1].PeerProxy;
  std::map<std::string, std::string> Ids;
  if (Fault.BeforeSending)
    sendCommand(OwnerProxy, Fault.Command);
  std::vector<PendingRequest> Requests = sendActions(Fleet, Fault, Ids);
  if (!Fault.BeforeSending) {
    waitUntil([&] { return hasAnyRun(Fleet, Requests); }, StartTimeout);
    sendCommand(OwnerProxy, Fault.Command);
  }
  for (PendingRequest &Request : Requests)
    Responses.ByKey[Request.Key].push_back(Request.Response.get());
  sendCommand(OwnerProxy, R"({"route":0})");
  sendCommand(OwnerProxy, R"({"route":0,"reset_open":true})");
  // Callers repeat the requests at the entry and at another node.
  for (std::size_t Node : {0, 2})
    for (const auto &[Key, Id] : Ids)
      Responses.ByKey[Key].push_back(
          Id.empty() ? commit(Fleet.Nodes[Node], Key)
                     : commitById(Fleet.Nodes[Node], Key, Id));
}

std::size_t countVerdicts(const ActionResponses &Responses,
                          const char *Verdict) {
  std::size_t Count = 0;
  for (const auto &[Key, KeyResponses] : Responses.ByKey)
    for (const auto &Response : KeyResponses)
      Count += verdictOf(Response) == Verdict;
  return Count;
}

} // namespace

TEST_CASE(
    "an action runs at most once under any fault on the hop to its owner") {
  TestFleet Fleet;
  startPlatform(Fleet);
  startNode(Fleet, "a", "north", "north-a", ActionSecretSettings);
  startProxiedNode(Fleet, "b", "north", "north-a", ActionSecretSettings);
  startNode(Fleet, "c", "north", "north-b", ActionSecretSettings);
  startServer(Fleet, "cutlist-1", "cutlist", Fleet.Nodes[1],
              {"--work_ms=150", "--slots=8"});
  startServer(Fleet, "cutlist-2", "cutlist", Fleet.Nodes[2],
              {"--work_ms=150", "--slots=8"});
  REQUIRE(pushConfig(Fleet, DemoConfig));
  REQUIRE(waitForServers(Fleet, 2));
  ActionResponses Responses;
  for (const HopFault &Fault : HopFaults)
    runWithFault(Fleet, Fault, Responses);
  for (const std::string &Contradiction : findContradictions(Fleet, Responses))
    FAIL_CHECK(Contradiction);
  CHECK(countVerdicts(Responses, "ran") > 0);
  CHECK(countVerdicts(Responses, "may_have_run") > 0);
  for (const ServerProcess &Server : Fleet.Servers)
    CHECK_FALSE(wasEjected(Fleet, Server.Name));
}

} // namespace currantgauge::integration
