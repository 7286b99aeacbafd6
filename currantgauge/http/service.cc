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

constexpr std::chrono::seconds ReadLimit{30};
constexpr std::uint64_t ServiceBodyLimit = 64ULL * 1024 * 1024; // bytes

struct Pending {
  Wake Signal;
  std::optional<ServiceAnswer> Answer;

  explicit Pending(asio::any_io_executor Executor) : Signal(Executor) {}
};

asio::awaitable<ServiceAnswer> askHandler(const ServiceHandler &Handler,
                                          const ServiceRequest &Request) {
  auto Executor = co_await asio::this_coro::executor;
  auto Wait = std::make_shared<Pending>(Executor);
  Handler(Request, [Wait, Executor](ServiceAnswer Answer) {
    asio::post(Executor, [Wait, Answer = std::move(Answer)]() mutable {
      Wait->Answer = std::move(Answer);
      raise(Wait->Signal);
    });
  });
  co_await waitFor(Wait->Signal);
  co_return std::move(*Wait->Answer);
}

template <typename Stream>
asio::awaitable<void> serve(Stream &Peer, const ServiceHandler &Handler) {
  beast::tcp_stream &Socket = beast::get_lowest_layer(Peer);
  beast::flat_buffer Input;
  while (true) {
    beast::http::request_parser<beast::http::string_body> Parser;
    Parser.body_limit(ServiceBodyLimit);
    Socket.expires_after(ReadLimit);
    ErrorCode Error;
    co_await beast::http::async_read(Peer, Input, Parser, into(Error));
    if (Error)
      break;
    Socket.expires_never();
    ServiceAnswer Answer = co_await askHandler(Handler, Parser.get());
    beast::http::response<beast::http::string_body> Response;
    Response.version(11);
    Response.result(Answer.Status);
    Response.set(beast::http::field::content_type, Answer.ContentType);
    Response.keep_alive(Parser.get().keep_alive());
    Response.body() = std::move(Answer.Body);
    Response.prepare_payload();
    Socket.expires_after(ReadLimit);
    co_await beast::http::async_write(Peer, Response, into(Error));
    if (Error || !Response.keep_alive())
      break;
  }
}

asio::awaitable<void> servePlain(tcp::socket Socket, ServiceHandler Handler) {
  beast::tcp_stream Peer(std::move(Socket));
  co_await serve(Peer, Handler);
}

asio::awaitable<void> serveTls(tcp::socket Socket, ServiceHandler Handler,
                               TlsContextPtr Tls) {
  beast::ssl_stream<beast::tcp_stream> Peer(std::move(Socket), *Tls);
  ErrorCode Error;
  beast::get_lowest_layer(Peer).expires_after(ReadLimit);
  co_await Peer.async_handshake(asio::ssl::stream_base::server, into(Error));
  if (Error)
    co_return;
  co_await serve(Peer, Handler);
  beast::get_lowest_layer(Peer).expires_after(ReadLimit);
  co_await Peer.async_shutdown(into(Error));
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
