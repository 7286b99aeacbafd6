#include "tests/integration/callers.h"
#include "tests/integration/fleet.h"
#include "tests/integration/proxy.h"

#include <doctest/doctest.h>

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace currantgauge::integration {
namespace {

const std::string ActionSecretSettings = "actions: {secret: integration}\n";
const char *const SlowLink = R"({"route":0,"delay_ms":8})";
const char *const ResetLink = R"({"route":0,"reset_open":true})";
const char *const CutLink =
    R"({"route":0,"delay_ms":8,"drop_to_target":true,"drop_to_client":true})";

// Lists are served in both regions, commits only in the south.
const char *const TwoServices = R"(
ranks:
  urgent: {order: 0, share: 50%, deadline: 3s, worth: 10}
  normal: {order: 1, share: 30%, deadline: 30s, worth: 3}
services:
  cutlist: {floor: 50%}
  orders: {floor: 50%}
kinds:
  list_read: {service: cutlist, rank: normal}
  cut_commit: {service: orders, rank: urgent, idempotent: false}
routes:
  lists: {prefix: /lists, kind: list_read}
  commits: {method: POST, prefix: /commits, kind: cut_commit}
)";

void setLinkFaults(const TestFleet &Fleet, const char *Faults) {
  for (const NodeProcess &Node : Fleet.Nodes)
    sendCommand(Node.PeerProxy, Faults);
}

void startRegions(TestFleet &Fleet) {
  startPlatform(Fleet);
  startProxiedNode(Fleet, "n", "north", "north-a", ActionSecretSettings);
  startProxiedNode(Fleet, "s", "south", "south-a", ActionSecretSettings);
  setLinkFaults(Fleet, SlowLink);
  startServer(Fleet, "cutlist-n", "cutlist", Fleet.Nodes[0]);
  startServer(Fleet, "cutlist-s", "cutlist", Fleet.Nodes[1]);
  startServer(Fleet, "orders-s", "orders", Fleet.Nodes[1], {"--work_ms=50"});
  REQUIRE(pushConfig(Fleet, writeConfig(Fleet, "two", TwoServices)));
  REQUIRE(waitForServers(Fleet, 3));
}

// CommitLoad sends commits to a node from several threads, each one action
// after another, until it is stopped.
struct CommitLoad {
  explicit CommitLoad(const NodeProcess &Node, std::size_t Threads) {
    for (std::size_t I = 0; I < Threads; ++I)
      this->Threads.emplace_back([this, &Node, I] {
        for (int Number = 0; !this->Stop; ++Number) {
          std::string Key =
              "k" + std::to_string(I) + "-" + std::to_string(Number);
          bool ById = Number % 2 == 0;
          auto Response = ById ? commitById(Node, Key, requestActionId(Node))
                               : commit(Node, Key);
          std::lock_guard<std::mutex> Guard(this->Lock);
          this->Responses.ByKey[Key].push_back(Response);
          ++this->Count;
          this->Ran += verdictOf(Response) == "ran";
        }
      });
  }
  ~CommitLoad() { this->stop(); }
  CommitLoad(const CommitLoad &) = delete;
  CommitLoad &operator=(const CommitLoad &) = delete;

  void stop() {
    this->Stop = true;
    for (std::thread &Thread : this->Threads)
      Thread.join();
    this->Threads.clear();
  }

  std::atomic<bool> Stop{false};
  std::atomic<int> Count{0};
  std::atomic<int> Ran{0};
  std::mutex Lock;
  ActionResponses Responses;
  std::vector<std::thread> Threads;
};

} // namespace

TEST_CASE(
    "partitioned regions keep serving and every action's verdict is correct") {
  TestFleet Fleet;
  startRegions(Fleet);
  CommitLoad Commits(Fleet.Nodes[0], 4);
  REQUIRE(waitUntil([&] { return Commits.Ran > 20; }));
  ReadLoad Reads(Fleet, 4);
  REQUIRE(waitUntil([&] { return Reads.Succeeded > 40; }));
  setLinkFaults(Fleet, ResetLink);
  setLinkFaults(Fleet, CutLink);
  int CountBefore = Commits.Count;
  CHECK(waitUntil([&] { return Commits.Count >= CountBefore + 12; }));
  int SucceededBefore = Reads.Succeeded;
  CHECK(waitUntil([&] { return Reads.Succeeded > SucceededBefore + 40; }));
  setLinkFaults(Fleet, SlowLink);
  int RanBefore = Commits.Ran;
  CHECK(waitUntil([&] { return Commits.Ran > RanBefore + 20; }));
  CHECK(waitForMemberState(Fleet.Nodes[0], "s", "alive ok"));
  CHECK(waitForMemberState(Fleet.Nodes[1], "n", "alive ok"));
  Commits.stop();
  CHECK(Reads.Failed == 0);
  for (const std::string &Contradiction :
       findContradictions(Fleet, Commits.Responses))
    FAIL_CHECK(Contradiction);
  for (const ServerProcess &Server : Fleet.Servers)
    CHECK_FALSE(wasEjected(Fleet, Server.Name));
}

} // namespace currantgauge::integration
