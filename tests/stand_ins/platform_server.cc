#include "tests/stand_ins/platform_server.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>

#include <chrono>
#include <utility>

namespace currantgauge::stand_ins {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

// A feed without changes is answered after this long, empty.
constexpr std::chrono::milliseconds FeedWait{5000};
constexpr std::chrono::milliseconds FeedStep{10};

asio::awaitable<void> pause(std::uint32_t Millis) {
  asio::steady_timer Timer(co_await asio::this_coro::executor);
  Timer.expires_after(std::chrono::milliseconds(Millis));
  co_await Timer.async_wait(asio::use_awaitable);
}

asio::awaitable<HttpResponse> feedAnswer(PlatformState &Service,
                                         const HttpRequest &Request) {
  for (auto Left = FeedWait; Left.count() > 0; Left -= FeedStep) {
    co_await pause(static_cast<std::uint32_t>(FeedStep.count()));
    if (auto Answer = handleTableRequest(Service.Tables, Request))
      co_return std::move(*Answer);
  }
  co_return emptyFeedResponse(Service.Tables);
}

asio::awaitable<void> serve(PlatformState &Service, tcp::socket Socket) {
  boost::beast::flat_buffer Buffer;
  try {
    for (;;) {
      HttpRequest Request;
      co_await http::async_read(Socket, Buffer, Request, asio::use_awaitable);
      PlatformResponse Answer = handlePlatformRequest(
          Service, Request, std::chrono::steady_clock::now());
      if (Answer.Action == ResponseAction::WaitForChange)
        Answer.Response = co_await feedAnswer(Service, Request);
      std::uint32_t Delay = Service.Faults.DelayMillis;
      if (Delay > 0 && !isControl(Request))
        co_await pause(Delay);
      if (Answer.Action == ResponseAction::Close)
        co_return;
      if (Answer.Action == ResponseAction::Ignore)
        continue;
      Answer.Response.keep_alive(Request.keep_alive());
      Answer.Response.prepare_payload();
      co_await http::async_write(Socket, Answer.Response, asio::use_awaitable);
    }
  } catch (const boost::system::system_error &) {
    // The client closed the connection.
  }
}

asio::awaitable<void> accept(PlatformState &Service, tcp::acceptor Acceptor) {
  for (;;) {
    tcp::socket Socket = co_await Acceptor.async_accept(asio::use_awaitable);
    Socket.set_option(tcp::no_delay(true));
    asio::co_spawn(Acceptor.get_executor(), serve(Service, std::move(Socket)),
                   asio::detached);
  }
}

} // namespace

unsigned short servePlatform(asio::io_context &Io, PlatformState &Service,
                             unsigned short Port) {
  tcp::acceptor Acceptor(Io,
                         tcp::endpoint(asio::ip::address_v4::loopback(), Port));
  unsigned short Chosen = Acceptor.local_endpoint().port();
  asio::co_spawn(Io, accept(Service, std::move(Acceptor)), asio::detached);
  return Chosen;
}

} // namespace currantgauge::stand_ins
