#include "tests/stand_ins/platform_server.h"

#include "tests/stand_ins/target.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <utility>

namespace currantgauge::stand_ins {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

// A feed request without changes gets an empty response after the time that it
// names, at most this.
constexpr std::chrono::milliseconds MaxFeedWait{30000};
constexpr std::chrono::milliseconds FeedPollInterval{10};

asio::awaitable<void> pause(std::uint32_t Millis) {
  asio::steady_timer Timer(co_await asio::this_coro::executor);
  Timer.expires_after(std::chrono::milliseconds(Millis));
  co_await Timer.async_wait(asio::use_awaitable);
}

std::chrono::milliseconds feedWaitOf(const HttpRequest &Request) {
  RequestTarget Target = parseTarget(Request.target());
  std::chrono::milliseconds Wait(
      std::strtoul(Target.Query["waitMs"].c_str(), nullptr, 10));
  return std::min(Wait, MaxFeedWait);
}

asio::awaitable<PlatformResponse> waitForFeed(PlatformState &Platform,
                                              const HttpRequest &Request) {
  std::uint64_t Era = Platform.Tables.Era;
  auto End = std::chrono::steady_clock::now() + feedWaitOf(Request);
  while (std::chrono::steady_clock::now() < End) {
    co_await pause(static_cast<std::uint32_t>(FeedPollInterval.count()));
    PlatformResponse Reply = resumeFeedRequest(
        Platform, Request, Era, std::chrono::steady_clock::now());
    if (Reply.Action != ResponseAction::WaitForChange)
      co_return Reply;
  }
  co_return PlatformResponse{emptyFeedResponse(Platform.Tables),
                             ResponseAction::Send};
}

asio::awaitable<void> serve(PlatformState &Platform, tcp::socket Socket) {
  boost::beast::flat_buffer Buffer;
  try {
    for (;;) {
      HttpRequest Request;
      co_await http::async_read(Socket, Buffer, Request, asio::use_awaitable);
      PlatformResponse Reply = handlePlatformRequest(
          Platform, Request, std::chrono::steady_clock::now());
      if (Reply.Action == ResponseAction::WaitForChange)
        Reply = co_await waitForFeed(Platform, Request);
      std::uint32_t Delay = Platform.Faults.DelayMillis;
      if (Delay > 0 && !isControl(Request))
        co_await pause(Delay);
      if (Reply.Action == ResponseAction::Close)
        co_return;
      if (Reply.Action == ResponseAction::Ignore)
        continue;
      Reply.Response.keep_alive(Request.keep_alive());
      Reply.Response.prepare_payload();
      co_await http::async_write(Socket, Reply.Response, asio::use_awaitable);
    }
  } catch (const boost::system::system_error &) {
    // The client closed the connection.
  }
}

asio::awaitable<void> accept(PlatformState &Platform, tcp::acceptor Acceptor) {
  for (;;) {
    tcp::socket Socket = co_await Acceptor.async_accept(asio::use_awaitable);
    Socket.set_option(tcp::no_delay(true));
    asio::co_spawn(Acceptor.get_executor(), serve(Platform, std::move(Socket)),
                   asio::detached);
  }
}

} // namespace

unsigned short servePlatform(asio::io_context &Io, PlatformState &Platform,
                             unsigned short Port) {
  tcp::acceptor Acceptor(Io,
                         tcp::endpoint(asio::ip::address_v4::loopback(), Port));
  unsigned short Chosen = Acceptor.local_endpoint().port();
  asio::co_spawn(Io, accept(Platform, std::move(Acceptor)), asio::detached);
  return Chosen;
}

} // namespace currantgauge::stand_ins
