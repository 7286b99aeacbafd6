#include "currantgauge/http/service.h"

#include "currantgauge/http/await.h"
#include "currantgauge/http/listener.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/beast/ssl/ssl_stream.hpp>

#include <chrono>
#include <memory>
#include <optional>

namespace currantgauge::http {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;
using ErrorCode = boost::system::error_code;

// For a TLS handshake or shutdown, reading a request or writing an answer.
constexpr std::chrono::seconds IoTimeout{30};
constexpr std::uint64_t BodyLimitBytes = 64ULL * 1024 * 1024;

struct PendingReply {
  AsyncEvent Replied;
  std::optional<ServiceAnswer> Answer;

  explicit PendingReply(asio::any_io_executor Executor) : Replied(Executor) {}
};

asio::awaitable<ServiceAnswer> callHandler(const ServiceHandler &Handler,
                                           const ServiceRequest &Request) {
  auto Executor = co_await asio::this_coro::executor;
  auto Pending = std::make_shared<PendingReply>(Executor);
  Handler(Request, [Pending, Executor](ServiceAnswer Answer) {
    asio::post(Executor, [Pending, Answer = std::move(Answer)]() mutable {
      Pending->Answer = std::move(Answer);
      notify(Pending->Replied);
    });
  });
  co_await waitFor(Pending->Replied);
  co_return std::move(*Pending->Answer);
}

template <typename Stream>
asio::awaitable<void> serve(Stream &Connection, const ServiceHandler &Handler) {
  beast::tcp_stream &Socket = beast::get_lowest_layer(Connection);
  beast::flat_buffer Input;
  while (true) {
    beast::http::request_parser<beast::http::string_body> Parser;
    Parser.body_limit(BodyLimitBytes);
    Socket.expires_after(IoTimeout);
    ErrorCode Error;
    co_await beast::http::async_read(Connection, Input, Parser,
                                     redirectError(Error));
    if (Error)
      break;
    Socket.expires_never();
    ServiceAnswer Answer = co_await callHandler(Handler, Parser.get());
    beast::http::response<beast::http::string_body> Response;
    Response.version(11);
    Response.result(Answer.Status);
    Response.set(beast::http::field::content_type, Answer.ContentType);
    Response.keep_alive(Parser.get().keep_alive());
    Response.body() = std::move(Answer.Body);
    Response.prepare_payload();
    Socket.expires_after(IoTimeout);
    co_await beast::http::async_write(Connection, Response,
                                      redirectError(Error));
    if (Error || !Response.keep_alive())
      break;
  }
}

asio::awaitable<void> servePlain(tcp::socket Socket, ServiceHandler Handler) {
  beast::tcp_stream Connection(std::move(Socket));
  co_await serve(Connection, Handler);
}

asio::awaitable<void> serveTls(tcp::socket Socket, ServiceHandler Handler,
                               TlsContextPtr Tls) {
  beast::ssl_stream<beast::tcp_stream> Connection(std::move(Socket), *Tls);
  ErrorCode Error;
  beast::get_lowest_layer(Connection).expires_after(IoTimeout);
  co_await Connection.async_handshake(asio::ssl::stream_base::server,
                                      redirectError(Error));
  if (Error)
    co_return;
  co_await serve(Connection, Handler);
  beast::get_lowest_layer(Connection).expires_after(IoTimeout);
  co_await Connection.async_shutdown(redirectError(Error));
}

} // namespace

std::uint16_t listenService(asio::io_context &Io,
                            const base::NetAddress &Address,
                            ServiceHandler Handler, ErrorCode &Error,
                            TlsContextPtr Tls) {
  return listen(
      Io, Address, [&Io]() -> asio::io_context & { return Io; },
      [Handler = std::move(Handler), Tls](tcp::socket Socket) {
        auto Executor = Socket.get_executor();
        if (Tls)
          asio::co_spawn(Executor, serveTls(std::move(Socket), Handler, Tls),
                         asio::detached);
        else
          asio::co_spawn(Executor, servePlain(std::move(Socket), Handler),
                         asio::detached);
      },
      Error);
}

} // namespace currantgauge::http
