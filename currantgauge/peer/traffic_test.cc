// Measures the bytes that calls between nodes send, through a counting proxy.
#include "currantgauge/membership/size.h"
#include "currantgauge/peer/loopback_test.h"
#include "currantgauge/peer/server.h"
#include "currantgauge/peer/unary_calls.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include <array>
#include <atomic>
#include <cstddef>
#include <future>
#include <string>
#include <thread>

namespace currantgauge::peer {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

// CountingProxy forwards one connection and counts the bytes of the caller.
struct CountingProxy {
  explicit CountingProxy(unsigned short Port)
      : Acceptor(Io, loopback()), Caller(Io), Server(Io), Target(Port) {}

  asio::io_context Io;
  tcp::acceptor Acceptor;
  tcp::socket Caller;
  tcp::socket Server;
  unsigned short Target;
  std::atomic<std::size_t> Bytes{0};
};

void copy(tcp::socket &From, tcp::socket &To, std::atomic<std::size_t> *Count) {
  std::array<char, 4096> Buffer;
  boost::system::error_code Error;
  while (!Error) {
    std::size_t Length = From.read_some(asio::buffer(Buffer), Error);
    if (Count)
      *Count += Length;
    if (!Error)
      asio::write(To, asio::buffer(Buffer, Length), Error);
  }
  To.shutdown(tcp::socket::shutdown_both, Error);
}

void run(CountingProxy &Proxy) {
  Proxy.Acceptor.accept(Proxy.Caller);
  Proxy.Server.connect(loopback(Proxy.Target));
  std::thread ResponseThread(
      [&] { copy(Proxy.Server, Proxy.Caller, nullptr); });
  copy(Proxy.Caller, Proxy.Server, &Proxy.Bytes);
  ResponseThread.join();
}

membership::PeerMessage makeRumours(std::size_t Count) {
  membership::PeerMessage Message;
  Message.From = base::NodeName("sidecar-north-a-1");
  Message.Kind = membership::MessageKind::Rumours;
  for (std::size_t I = 0; I < Count; ++I) {
    routing::BackendRecord &Record = Message.Backends.emplace_back();
    Record.Name = base::BackendName("i-7f3a91c" + std::to_string(I));
    Record.Service = base::ServiceName("cutlist");
    Record.Owner = base::NodeName("sidecar-north-a-" + std::to_string(I));
    Record.Region = base::RegionName("north");
    Record.Domain = base::DomainName("north-a");
    Record.Address = base::NetAddress("10.1.0." + std::to_string(I) + ":8145");
    Record.Slots = 4;
  }
  return Message;
}

bool deliverOnce(PeerClient &Client, const base::NetAddress &Address,
                 const membership::PeerMessage &Message) {
  std::promise<bool> Done;
  deliver(Client, Address, Message,
          [&](bool Delivered) { Done.set_value(Delivered); });
  return Done.get_future().get();
}

} // namespace

TEST_CASE("rumours are compressed to less than half of their size") {
  tcp::endpoint Target = freeEndpoint();
  std::atomic<std::size_t> Records{0};
  PeerHandlers Handlers;
  Handlers.Deliver = [&](membership::PeerMessage Message) {
    Records += Message.Backends.size();
  };
  std::error_code Error;
  auto Server = startPeerServer(toAddress(Target), Handlers, Error);
  REQUIRE(Server);
  CountingProxy Proxy(Target.port());
  base::NetAddress Address = toAddress(Proxy.Acceptor.local_endpoint());
  std::thread ProxyThread([&] { run(Proxy); });
  constexpr std::size_t Count = 12;
  constexpr std::size_t Calls = 10;
  membership::PeerMessage Message = makeRumours(Count);
  {
    PeerClient Client;
    REQUIRE(deliverOnce(Client, Address, Message)); // opens the connection
    std::size_t Before = Proxy.Bytes;
    for (std::size_t I = 0; I < Calls; ++I)
      REQUIRE(deliverOnce(Client, Address, Message));
    std::size_t BytesPerCall = (Proxy.Bytes - Before) / Calls;
    CAPTURE(BytesPerCall);
    CHECK(BytesPerCall < membership::encodedSize(Message) / 2);
  }
  CHECK(Records == Count * (Calls + 1));
  stopPeerServer(*Server, base::milliseconds(100));
  ProxyThread.join();
}

} // namespace currantgauge::peer
