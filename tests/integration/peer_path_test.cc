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

const std::string Secret = "actions: {secret: integration}\n";
constexpr std::chrono::milliseconds StartLimit{1500};
// Two by key and two by id, each twice at once.
constexpr int ActionsAtOnce = 4;

// HopFault strikes the way from the entry to the owner. Early: before the
// actions are sent; else while a server runs one of them.
struct HopFault {
  const char *Name;
  const char *Order;
  bool Early;
};

const HopFault HopFaults[] = {
    {"reset", R"({"route":0,"reset_open":true})", false},
    {"answer-lost", R"({"route":0,"drop_to_client":true})", false},
    {"ask-lost", R"({"route":0,"drop_to_target":true})", true},
    {"silent", R"({"route":0,"silence_open":true})", false},
    {"cut", R"({"route":0,"cut_after":40})", true},
    {"late", R"({"route":0,"delay_ms":300})", true},
};

struct Ask {
  std::string Key;
  std::future<std::optional<HttpResponse>> Got;
};

std::vector<Ask> sendActions(const TestFleet &Some, const HopFault &Fault,
                             std::map<std::string, std::string> &Ids) {
  std::vector<Ask> Sent;
  const NodeProcess &Entry = Some.Nodes[0];
  for (int I = 0; I < ActionsAtOnce; ++I) {
    std::string Key = std::string(Fault.Name) + "-" + std::to_string(I);
    std::string Id = I % 2 == 0 ? "" : requestActionId(Entry);
    Ids[Key] = Id;
    for (int Twice = 0; Twice < 2; ++Twice)
      Sent.push_back({Key, std::async(std::launch::async, [&Entry, Key, Id] {
                        return Id.empty() ? commit(Entry, Key)
                                          : commitById(Entry, Key, Id);
                      })});
  }
  return Sent;
}

bool anyRuns(const TestFleet &Some, const std::vector<Ask> &Sent) {
  auto Runs = runsByKey(Some);
  for (const Ask &Each : Sent)
    if (Runs.contains(Each.Key))
      return true;
  return false;
}

void strike(const TestFleet &Some, const HopFault &Fault,
            ActionResponses &Records) {
  const Proxy &Hop = Some.Nodes[1].PeerProxy;
  std::map<std::string, std::string> Ids;
  if (Fault.Early)
    sendCommand(Hop, Fault.Order);
  std::vector<Ask> Sent = sendActions(Some, Fault, Ids);
  if (!Fault.Early) {
    waitUntil([&] { return anyRuns(Some, Sent); }, StartLimit);
    sendCommand(Hop, Fault.Order);
  }
  for (Ask &Each : Sent)
    Records.ByKey[Each.Key].push_back(Each.Got.get());
  sendCommand(Hop, R"({"route":0})");
  sendCommand(Hop, R"({"route":0,"reset_open":true})");
  // Callers ask again, at the entry and elsewhere.
  for (std::size_t Node : {0, 2})
    for (const auto &[Key, Id] : Ids)
      Records.ByKey[Key].push_back(Id.empty()
                                       ? commit(Some.Nodes[Node], Key)
                                       : commitById(Some.Nodes[Node], Key, Id));
}

std::size_t countVerdicts(const ActionResponses &Records, const char *Verdict) {
  std::size_t Count = 0;
  for (const auto &[Key, Asks] : Records.ByKey)
    for (const auto &Got : Asks)
      Count += verdictOf(Got) == Verdict;
  return Count;
}

} // namespace

TEST_CASE("an action runs at most once whatever befalls the hop to its owner") {
  TestFleet Some;
  startPlatform(Some);
  startNode(Some, "a", "north", "north-a", Secret);
  startProxiedNode(Some, "b", "north", "north-a", Secret);
  startNode(Some, "c", "north", "north-b", Secret);
  startServer(Some, "cutlist-1", "cutlist", Some.Nodes[1],
              {"--work_ms=150", "--slots=8"});
  startServer(Some, "cutlist-2", "cutlist", Some.Nodes[2],
              {"--work_ms=150", "--slots=8"});
  REQUIRE(pushConfig(Some, DemoConfig));
  REQUIRE(waitForServers(Some, 2));
  ActionResponses Records;
  for (const HopFault &Fault : HopFaults)
    strike(Some, Fault, Records);
  for (const std::string &Wrong : findContradictions(Some, Records))
    FAIL_CHECK(Wrong);
  CHECK(countVerdicts(Records, "ran") > 0);
  CHECK(countVerdicts(Records, "may_have_run") > 0);
  for (const ServerProcess &Server : Some.Servers)
    CHECK_FALSE(wasEjected(Some, Server.Name));
}

} // namespace currantgauge::integration
