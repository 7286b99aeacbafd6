#include "currantgauge/http/listener.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <charconv>
#include <chrono>
#include <memory>
#include <string>

namespace currantgauge::http {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

// Delay after a failed accept, such as when out of file descriptors, to avoid a
// busy loop.
constexpr std::chrono::milliseconds AcceptRetryDelay{50};

asio::awaitable<void> acceptLoop(std::shared_ptr<tcp::acceptor> Acceptor,
                                 std::function<asio::io_context &()> NextIo,
                                 AcceptHandler Handler) {
  while (Acceptor->is_open()) {
    boost::system::error_code Error;
    asio::io_context &Io = NextIo();
    tcp::socket Socket(Io);
    co_await Acceptor->async_accept(
        Socket, asio::redirect_error(asio::use_awaitable, Error));
    if (Error == asio::error::operation_aborted)
      co_return;
    if (Error) {
      asio::steady_timer Pause(Acceptor->get_executor(), AcceptRetryDelay);
      co_await Pause.async_wait(
          asio::redirect_error(asio::use_awaitable, Error));
      continue;
    }
    Socket.set_option(tcp::no_delay(true), Error);
    asio::post(Io, [Handler, Socket = std::make_shared<tcp::socket>(std::move(
                                 Socket))] { Handler(std::move(*Socket)); });
  }
}

} // namespace

std::optional<tcp::endpoint> parseEndpoint(const base::NetAddress &Address) {
  std::size_t Colon = Address.Value.rfind(':');
  if (Colon == std::string::npos)
    return std::nullopt;
  std::string Host = Address.Value.substr(0, Colon);
  if (Host.size() > 2 && Host.front() == '[' && Host.back() == ']')
    Host = Host.substr(1, Host.size() - 2);
  boost::system::error_code Error;
  auto Ip = asio::ip::make_address(Host, Error);
  std::uint16_t Port = 0;
  const char *End = Address.Value.data() + Address.Value.size();
  auto Result = std::from_chars(Address.Value.data() + Colon + 1, End, Port);
  if (Error || Result.ec != std::errc() || Result.ptr != End)
    return std::nullopt;
  return tcp::endpoint(Ip, Port);
}

std::optional<tcp::endpoint>
parseRemoteEndpoint(const base::NetAddress &Address) {
  auto Endpoint = parseEndpoint(Address);
  return Endpoint && Endpoint->port() != 0 ? Endpoint : std::nullopt;
}

std::uint16_t listen(asio::io_context &Io, const base::NetAddress &Address,
                     std::function<asio::io_context &()> NextIo,
                     AcceptHandler Handler, boost::system::error_code &Error) {
  auto Endpoint = parseEndpoint(Address);
  if (!Endpoint) {
    Error = asio::error::invalid_argument;
    return 0;
  }
  auto Acceptor = std::make_shared<tcp::acceptor>(Io);
  Acceptor->open(Endpoint->protocol(), Error);
  if (!Error)
    Acceptor->set_option(tcp::acceptor::reuse_address(true), Error);
  if (!Error)
    Acceptor->bind(*Endpoint, Error);
  if (!Error)
    Acceptor->listen(asio::socket_base::max_listen_connections, Error);
  if (Error)
    return 0;
  std::uint16_t Port = Acceptor->local_endpoint(Error).port();
  asio::co_spawn(Io,
                 acceptLoop(Acceptor, std::move(NextIo), std::move(Handler)),
                 asio::detached);
  return Port;
}

} // namespace currantgauge::http
