#include "tests/integration/callers.h"
#include "tests/integration/fleet.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <chrono>
#include <csignal>
#include <cstdint>
#include <functional>
#include <future>
#include <string>
#include <thread>

namespace currantgauge::integration {
namespace {

// Starts two nodes. The only backend server belongs to the second.
void startTwoNodes(TestFleet &Fleet,
                   const std::vector<std::string> &ServerFlags) {
  startNode(Fleet, "a", "north", "north-a");
  startNode(Fleet, "b", "north", "north-b");
  startServer(Fleet, "cutlist-1", "cutlist", Fleet.Nodes[1], ServerFlags);
  REQUIRE(pushConfig(Fleet, DemoConfig));
  REQUIRE(waitForServers(Fleet, 1));
}

// readSlowly() sends a GET and reads the response at 400 KB a second until the
// connection ends. Runs OnHead once the first bytes have arrived.
std::string readSlowly(const std::string &Address, const std::string &Target,
                       const std::function<void()> &OnHead) {
  namespace asio = boost::asio;
  asio::io_context Io;
  asio::ip::tcp::socket Socket(Io);
  std::size_t Colon = Address.rfind(':');
  asio::ip::tcp::endpoint Node(
      asio::ip::make_address(Address.substr(0, Colon)),
      static_cast<std::uint16_t>(std::stoi(Address.substr(Colon + 1))));
  Socket.open(Node.protocol());
  Socket.set_option(asio::socket_base::receive_buffer_size(16 * 1024));
  Socket.connect(Node);
  std::string Request =
      "GET " + Target + " HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
  asio::write(Socket, asio::buffer(Request));
  std::string Text;
  std::string Piece(8 * 1024, '\0');
  boost::system::error_code Error;
  while (true) {
    std::size_t Size = Socket.read_some(asio::buffer(Piece), Error);
    if (Error)
      return Text;
    if (Text.empty())
      OnHead();
    Text.append(Piece, 0, Size);
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
}

} // namespace

TEST_CASE("a response is forwarded through two nodes") {
  TestFleet Fleet;
  startTwoNodes(Fleet, {"--answer_bytes=300000"});
  auto Read = sendRequest(Fleet.Nodes[0].CallerAddress, "GET", "/lists/7");
  REQUIRE(Read.has_value());
  CHECK(Read->Status == 200);
  CHECK(Read->Body.starts_with("cutlist-1 GET /lists/7"));
  CHECK(Read->Body.size() > 300000);
  CHECK(Read->Headers["currantgauge-verdict"] == "ran");
  CHECK(Read->Headers["currantgauge-server"] == "cutlist-1");
  CHECK_FALSE(Read->Headers["currantgauge-request-id"].empty());
  auto Commit = sendRequest(Fleet.Nodes[0].CallerAddress, "POST", "/commits/9",
                            "order 12");
  REQUIRE(Commit.has_value());
  CHECK(Commit->Status == 200);
  CHECK(Commit->Body.find("order 12") != std::string::npos);
}

TEST_CASE("a graceful stop completes requests in flight") {
  TestFleet Fleet;
  startTwoNodes(Fleet, {"--work_ms=1500"});
  for (std::size_t Stopped : {0, 1}) {
    auto Slow = std::async(std::launch::async, [&] {
      return sendRequest(Fleet.Nodes[0].CallerAddress, "GET", "/lists/7");
    });
    REQUIRE(waitUntil([&] { return runsOf(Fleet.Servers[0]) == Stopped + 1; }));
    std::size_t NodeIndex = 1 - Stopped; // the owner first, then the entry
    sendSignal(Fleet.Nodes[NodeIndex].Process, SIGTERM);
    auto Response = Slow.get();
    REQUIRE(Response.has_value());
    CHECK(Response->Status == 200);
    CHECK(waitForExit(Fleet.Nodes[NodeIndex].Process) == 0);
    if (NodeIndex == 1) {
      restartNode(Fleet, Fleet.Nodes[1]);
      REQUIRE(pushConfig(Fleet, DemoConfig));
      REQUIRE(waitForServers(Fleet, 1));
    }
  }
}

TEST_CASE("a graceful stop ends after a slow caller has its whole answer") {
  constexpr std::size_t AnswerBytes = 2'000'000;
  TestFleet Fleet;
  startTwoNodes(Fleet, {"--answer_bytes=" + std::to_string(AnswerBytes)});
  std::string Text = readSlowly(Fleet.Nodes[0].CallerAddress, "/lists/7", [&] {
    sendSignal(Fleet.Nodes[0].Process, SIGTERM);
  });
  CHECK(Text.starts_with("HTTP/1.1 200 "));
  CHECK(Text.size() > AnswerBytes);
  CHECK(waitForExit(Fleet.Nodes[0].Process) == 0);
}

TEST_CASE("the backend server never sees a refused request") {
  TestFleet Fleet;
  startTwoNodes(Fleet, {});
  auto NoRoute = sendRequest(Fleet.Nodes[0].CallerAddress, "GET", "/elsewhere");
  REQUIRE(NoRoute.has_value());
  CHECK(NoRoute->Status == 404);
  CHECK(NoRoute->Headers["currantgauge-verdict"] == "not_run");
  query(Fleet.Nodes[0], R"({"query":"drain","server":"cutlist-1"})");
  auto Drained = sendRequest(Fleet.Nodes[0].CallerAddress, "GET", "/lists/7");
  REQUIRE(Drained.has_value());
  CHECK(Drained->Status == 503);
  CHECK(Drained->Headers["currantgauge-verdict"] == "not_run");
  CHECK(Drained->Headers["currantgauge-reason"] == "no_backend");
  CHECK_FALSE(Drained->Headers["retry-after"].empty());
  CHECK(runsOf(Fleet.Servers[0]) == 0);
  auto Page = sendRequest(Fleet.Nodes[0].AnnounceAddress, "GET", "/metrics");
  REQUIRE(Page.has_value());
  CHECK(Page->Body.find("reason=\"no_backend\"} 1") != std::string::npos);
}

TEST_CASE("bad input gets an error message and affects no other connection") {
  TestFleet Fleet;
  startTwoNodes(Fleet, {});
  auto Bad = sendRequest(Fleet.Nodes[0].CallerAddress, "GET", "/lists/7", "",
                         {{"Currantgauge-Timeout-Ms", "soon"}});
  REQUIRE(Bad.has_value());
  CHECK(Bad->Status == 400);
  CHECK(Bad->Body.find("whole number of milliseconds") != std::string::npos);
  auto Large = sendRequest(Fleet.Nodes[0].CallerAddress, "POST", "/commits/9",
                           std::string(2 * 1024 * 1024, 'x'));
  if (Large)
    CHECK(Large->Status == 413);
  auto Long = sendRequest(Fleet.Nodes[0].CallerAddress, "GET", "/lists/7", "",
                          {{"X-Long", std::string(20000, 'x')}});
  if (Long)
    CHECK(Long->Status == 431);
  CHECK(runsOf(Fleet.Servers[0]) == 0);
  auto Good = sendRequest(Fleet.Nodes[0].CallerAddress, "GET", "/lists/7");
  REQUIRE(Good.has_value());
  CHECK(Good->Status == 200);
}

TEST_CASE("a caller that disconnects frees the slot of its request") {
  TestFleet Fleet;
  startTwoNodes(Fleet, {"--slots=1", "--work_ms=200"});
  controlServer(Fleet.Servers[0], R"({"mode":"stall"})");
  auto Abandoned = sendRequest(Fleet.Nodes[0].CallerAddress, "GET", "/lists/7",
                               "", {}, std::chrono::milliseconds(400));
  CHECK_FALSE(Abandoned.has_value());
  controlServer(Fleet.Servers[0], R"({"mode":"ok"})");
  auto Next = sendRequest(Fleet.Nodes[0].CallerAddress, "GET", "/lists/8");
  REQUIRE(Next.has_value());
  CHECK(Next->Status == 200);
}

TEST_CASE("a node's journal replays to the same effects") {
  TestFleet Fleet;
  std::string Path = Fleet.Folder + "/a.journal";
  startNode(Fleet, "a", "north", "north-a", "", {"--journal=" + Path});
  startServer(Fleet, "cutlist-1", "cutlist", Fleet.Nodes[0]);
  REQUIRE(pushConfig(Fleet, DemoConfig));
  REQUIRE(waitForServers(Fleet, 1));
  for (int I = 0; I < 20; ++I)
    sendRequest(Fleet.Nodes[0].CallerAddress, "GET", "/lists/7");
  sendSignal(Fleet.Nodes[0].Process, SIGTERM);
  CHECK(waitForExit(Fleet.Nodes[0].Process) == 0);
  std::string Output;
  CHECK(runCommand({"replay", Path}, Output) == 0);
  CHECK(Output.find("different effects: 0") != std::string::npos);
}

} // namespace currantgauge::integration
