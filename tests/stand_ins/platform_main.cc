// The platform's stand-in as a process. It prints {"port": N} and serves until
// it is ended.
//
//   platform --port=0
#include "tests/stand_ins/platform.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <iostream>
#include <utility>

DEFINE_int32(port, 0, "port on 127.0.0.1; 0: any free one");

namespace currantgauge::stand_ins {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

asio::awaitable<void> pause(std::uint32_t Millis) {
  asio::steady_timer Timer(co_await asio::this_coro::executor);
  Timer.expires_after(std::chrono::milliseconds(Millis));
  co_await Timer.async_wait(asio::use_awaitable);
}

asio::awaitable<void> serve(Platform &Service, tcp::socket Socket) {
  boost::beast::flat_buffer Buffer;
  try {
    for (;;) {
      HttpRequest Request;
      co_await http::async_read(Socket, Buffer, Request, asio::use_awaitable);
      PlatformAnswer Answer =
          answerPlatform(Service, Request, std::chrono::steady_clock::now());
      std::uint32_t Delay = Service.Faults.DelayMillis;
      if (Delay > 0 && !isControl(Request))
        co_await pause(Delay);
      if (Answer.Fate == AnswerFate::Close)
        co_return;
      if (Answer.Fate == AnswerFate::Silence)
        continue;
      Answer.Response.keep_alive(Request.keep_alive());
      Answer.Response.prepare_payload();
      co_await http::async_write(Socket, Answer.Response, asio::use_awaitable);
    }
  } catch (const boost::system::system_error &) {
    // The client closed the connection.
  }
}

asio::awaitable<void> accept(Platform &Service, tcp::acceptor &Acceptor) {
  for (;;) {
    tcp::socket Socket = co_await Acceptor.async_accept(asio::use_awaitable);
    Socket.set_option(tcp::no_delay(true));
    asio::co_spawn(Acceptor.get_executor(), serve(Service, std::move(Socket)),
                   asio::detached);
  }
}

} // namespace
} // namespace currantgauge::stand_ins

int main(int Argc, char **Argv) {
  using namespace currantgauge::stand_ins;
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  boost::asio::io_context Io;
  Platform Service;
  tcp::acceptor Acceptor(
      Io, tcp::endpoint(boost::asio::ip::address_v4::loopback(),
                        static_cast<unsigned short>(FLAGS_port)));
  std::cout << nlohmann::json{{"port", Acceptor.local_endpoint().port()}}
            << std::endl;
  boost::asio::co_spawn(Io, accept(Service, Acceptor), boost::asio::detached);
  Io.run();
}
