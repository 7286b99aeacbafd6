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

const std::string Secret = "actions: {secret: integration}\n";
const char *const SlowLink = R"({"route":0,"delay_ms":8})";
const char *const ResetLink = R"({"route":0,"reset_open":true})";
const char *const CutLink =
    R"({"route":0,"delay_ms":8,"drop_to_target":true,"drop_to_client":true})";

// Lists are served in each region, commits in the south alone.
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

void setLink(const TestFleet &Some, const char *Faults) {
  for (const NodeProcess &Node : Some.Nodes)
    sendCommand(Node.PeerProxy, Faults);
}

void startRegions(TestFleet &Some) {
  startPlatform(Some);
  startProxiedNode(Some, "n", "north", "north-a", Secret);
  startProxiedNode(Some, "s", "south", "south-a", Secret);
  setLink(Some, SlowLink);
  startServer(Some, "cutlist-n", "cutlist", Some.Nodes[0]);
  startServer(Some, "cutlist-s", "cutlist", Some.Nodes[1]);
  startServer(Some, "orders-s", "orders", Some.Nodes[1], {"--work_ms=50"});
  REQUIRE(pushConfig(Some, writeConfig(Some, "two", TwoServices)));
  REQUIRE(waitForServers(Some, 3));
}

// Committing asks in the north, one action after the other, until it ends.
struct Committing {
  explicit Committing(const NodeProcess &Node, std::size_t Threads) {
    for (std::size_t I = 0; I < Threads; ++I)
      this->Threads.emplace_back([this, &Node, I] {
        for (int Number = 0; !this->Stop; ++Number) {
          std::string Key =
              "k" + std::to_string(I) + "-" + std::to_string(Number);
          bool ById = Number % 2 == 0;
          auto Got = ById ? commitById(Node, Key, requestActionId(Node))
                          : commit(Node, Key);
          std::lock_guard<std::mutex> Guard(this->Lock);
          this->Records.ByKey[Key].push_back(Got);
          ++this->Count;
          this->Ran += verdictOf(Got) == "ran";
        }
      });
  }
  ~Committing() { this->end(); }
  Committing(const Committing &) = delete;
  Committing &operator=(const Committing &) = delete;

  void end() {
    this->Stop = true;
    for (std::thread &Each : this->Threads)
      Each.join();
    this->Threads.clear();
  }

  std::atomic<bool> Stop{false};
  std::atomic<int> Count{0};
  std::atomic<int> Ran{0};
  std::mutex Lock;
  ActionResponses Records;
  std::vector<std::thread> Threads;
};

} // namespace

TEST_CASE("regions that lose each other go on, and no action's verdict lies") {
  TestFleet Some;
  startRegions(Some);
  Committing Orders(Some.Nodes[0], 4);
  REQUIRE(waitUntil([&] { return Orders.Ran > 20; }));
  ReadLoad Local(Some, 4);
  REQUIRE(waitUntil([&] { return Local.Succeeded > 40; }));
  setLink(Some, ResetLink);
  setLink(Some, CutLink);
  int Before = Orders.Count;
  CHECK(waitUntil([&] { return Orders.Count >= Before + 12; }));
  int Good = Local.Succeeded;
  CHECK(waitUntil([&] { return Local.Succeeded > Good + 40; }));
  setLink(Some, SlowLink);
  int Ran = Orders.Ran;
  CHECK(waitUntil([&] { return Orders.Ran > Ran + 20; }));
  CHECK(waitForMemberState(Some.Nodes[0], "s", "alive ok"));
  CHECK(waitForMemberState(Some.Nodes[1], "n", "alive ok"));
  Orders.end();
  CHECK(Local.Failed == 0);
  for (const std::string &Wrong : findContradictions(Some, Orders.Records))
    FAIL_CHECK(Wrong);
  for (const ServerProcess &Server : Some.Servers)
    CHECK_FALSE(wasEjected(Some, Server.Name));
}

} // namespace currantgauge::integration
