// Calls between nodes over a connection that has gone silent, while new ones
// work.
#include "currantgauge/peer/loopback_test.h"
#include "currantgauge/peer/server.h"
#include "currantgauge/peer/unary_calls.h"
#include "tests/stand_ins/fault_proxy.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <doctest/doctest.h>

#include <atomic>
#include <chrono>
#include <future>
#include <memory>
#include <optional>
#include <thread>
#include <utility>

namespace currantgauge::peer {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

// A version is due in force 2 s after its acknowledgement.
constexpr std::chrono::seconds PropagationLimit{2};
constexpr base::ConfigVersion Served{7};

// SilentFixture runs a peer server behind a fault proxy.
struct SilentFixture {
  asio::io_context Io;
  asio::executor_work_guard<asio::io_context::executor_type> Work{
      this->Io.get_executor()};
  stand_ins::FaultProxy Proxy;
  std::unique_ptr<PeerServer> Server;
  std::atomic<int> Delivered{0};
  base::NetAddress Address;
  PeerClient Client;
  std::thread ProxyThread;

  SilentFixture() {
    tcp::endpoint Target = freeEndpoint();
    PeerHandlers Handlers;
    Handlers.Deliver = [this](membership::PeerMessage) { ++this->Delivered; };
    Handlers.FetchConfig = [](base::ConfigVersion) {
      config::ConfigDelta Delta;
      Delta.Version = Served;
      return std::optional(Delta);
    };
    std::error_code Error;
    this->Server =
        startPeerServer(toAddress(Target), std::move(Handlers), Error);
    REQUIRE(this->Server);
    auto &Route = stand_ins::addRoute(this->Io, this->Proxy, 0, Target);
    this->Address = toAddress(loopback(Route.Port));
    this->ProxyThread = std::thread([this] { this->Io.run(); });
  }

  ~SilentFixture() {
    stopPeerServer(*this->Server, base::milliseconds(100));
    this->Io.stop();
    this->ProxyThread.join();
  }

  void silence() {
    std::promise<void> Done;
    asio::post(this->Io, [&] {
      stand_ins::silenceOpenConnections(*this->Proxy.Routes.front());
      Done.set_value();
    });
    Done.get_future().wait();
  }

  bool deliverOnce() {
    std::promise<bool> Done;
    membership::PeerMessage Message;
    Message.From = base::NodeName("a");
    Message.Kind = membership::MessageKind::Ack;
    deliver(this->Client, this->Address, Message,
            [&](bool Success) { Done.set_value(Success); });
    return Done.get_future().get();
  }

  std::optional<config::ConfigDelta> fetchOnce() {
    std::promise<std::optional<config::ConfigDelta>> Done;
    fetchConfig(this->Client, this->Address, base::ConfigVersion(1),
                [&](auto Delta) { Done.set_value(std::move(Delta)); });
    return Done.get_future().get();
  }
};

} // namespace

// A message on a silent connection was lost, and so were all that followed
// until the connection's keep-alive ended it, after 4 s.
TEST_CASE("a message on a silent connection arrives over a new one") {
  SilentFixture Fixture;
  REQUIRE(Fixture.deliverOnce());
  Fixture.silence();
  auto Start = std::chrono::steady_clock::now();
  CHECK(Fixture.deliverOnce());
  CHECK(std::chrono::steady_clock::now() - Start < PropagationLimit);
  CHECK(Fixture.Delivered >= 2);
}

TEST_CASE("a version is fetched in time though the connection is silent") {
  SilentFixture Fixture;
  REQUIRE(Fixture.deliverOnce());
  Fixture.silence();
  auto Start = std::chrono::steady_clock::now();
  std::optional<config::ConfigDelta> Delta = Fixture.fetchOnce();
  CHECK(std::chrono::steady_clock::now() - Start < PropagationLimit);
  REQUIRE(Delta);
  CHECK(Delta->Version == Served);
}

} // namespace currantgauge::peer
