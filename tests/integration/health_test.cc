#include "tests/integration/fleet.h"
#include "tests/integration/proxy.h"

#include <doctest/doctest.h>

#include <atomic>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

namespace currantgauge::integration {
namespace {

const std::string ConfigFolder =
    std::string(CURRANTGAUGE_SOURCE_DIR) + "/examples/demo/config";

// Load keeps asking for lists from several threads until it is destroyed.
struct Load {
  std::atomic<bool> Stop{false};
  std::atomic<int> Good{0};
  std::atomic<int> Bad{0};
  std::vector<std::thread> Threads;

  Load(const Fleet &Some, int Count) {
    for (int I = 0; I < Count; ++I)
      this->Threads.emplace_back([this, &Some, I] {
        std::size_t Node = static_cast<std::size_t>(I) % Some.Nodes.size();
        while (!this->Stop) {
          auto Got = ask(Some.Nodes[Node].Callers, "GET", "/lists/7");
          ++(Got && Got->Status == 200 ? this->Good : this->Bad);
          std::this_thread::sleep_for(std::chrono::milliseconds(30));
        }
      });
  }
  ~Load() {
    this->Stop = true;
    for (std::thread &Each : this->Threads)
      Each.join();
  }
  Load(const Load &) = delete;
  Load &operator=(const Load &) = delete;
};

bool wasEjected(const Fleet &Some, const std::string &Server) {
  for (const NodeProcess &Node : Some.Nodes) {
    auto Page = ask(Node.Announcements, "GET", "/metrics");
    if (Page && Page->Body.find("currantgauge_ejections_total{server=\"" +
                                Server + "\"") != std::string::npos)
      return true;
  }
  return false;
}

void startFour(Fleet &Some) {
  startNode(Some, "a", "north", "north-a");
  startNode(Some, "b", "north", "north-b");
  for (int I = 1; I <= 4; ++I)
    startServer(Some, "cutlist-" + std::to_string(I), "cutlist",
                Some.Nodes[static_cast<std::size_t>(I) % 2]);
  REQUIRE(pushConfig(Some, ConfigFolder));
  REQUIRE(waitForServers(Some, 4));
}

} // namespace

TEST_CASE("a stalled server leaves traffic, its peers stay, and it returns") {
  Fleet Some;
  startFour(Some);
  Load Asking(Some, 8);
  REQUIRE(waitUntil([&] { return Asking.Good > 100; }));
  control(Some.Servers[0], R"({"mode":"stall"})");
  CHECK(waitUntil([&] { return wasEjected(Some, "cutlist-1"); }));
  // What was in flight ends; after it the server gets trials alone.
  std::this_thread::sleep_for(std::chrono::seconds(3));
  int Bad = Asking.Bad;
  int Good = Asking.Good;
  REQUIRE(waitUntil([&] { return Asking.Good > Good + 200; }));
  CHECK(Asking.Bad == Bad);
  for (int I = 2; I <= 4; ++I)
    CHECK_FALSE(wasEjected(Some, "cutlist-" + std::to_string(I)));
  control(Some.Servers[0], R"({"mode":"ok"})");
  std::uint64_t Before = runsOf(Some.Servers[0]);
  CHECK(waitUntil([&] { return runsOf(Some.Servers[0]) > Before + 50; },
                  std::chrono::seconds(30)));
}

TEST_CASE("connections gone silent cost no healthy server its work") {
  Fleet Some;
  startNode(Some, "a", "north", "north-a");
  ServerProcess &Behind =
      startServer(Some, "hidden", "elsewhere", Some.Nodes[0]);
  Proxy Between = startProxy(Behind.Address);
  // The same kind of server, reached through the proxy.
  startServer(Some, "cutlist-1", "cutlist", Some.Nodes[0],
              {"--advertise=" + Between.Address});
  startServer(Some, "cutlist-2", "cutlist", Some.Nodes[0]);
  REQUIRE(pushConfig(Some, ConfigFolder));
  REQUIRE(waitForServers(Some, 3));
  Load Asking(Some, 4);
  REQUIRE(waitUntil([&] { return Asking.Good > 100; }));
  order(Between, R"({"route":0,"silence_open":true})");
  int Good = Asking.Good;
  REQUIRE(waitUntil([&] { return Asking.Good > Good + 300; }));
  MESSAGE("asks that failed: " << Asking.Bad.load());
  CHECK_FALSE(wasEjected(Some, "cutlist-1"));
  CHECK_FALSE(wasEjected(Some, "cutlist-2"));
}

} // namespace currantgauge::integration
