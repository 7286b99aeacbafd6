#include "currantgauge/cli/operator_client.h"

#include "currantgauge/http/operator_codec.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl/context.hpp>
#include <boost/asio/ssl/host_name_verification.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/beast/ssl.hpp>

#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <fstream>
#include <string>
#include <utility>

namespace currantgauge::cli {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using HttpRequest = beast::http::request<beast::http::string_body>;
using HttpParser = beast::http::response_parser<beast::http::string_body>;

constexpr std::uint64_t ReplyLimitBytes = 256 * 1024 * 1024;
constexpr std::int64_t MicrosInSecond = 1000000;

asio::ip::tcp::endpoint endpointOf(const base::NetAddress &Address,
                                   boost::system::error_code &Error) {
  std::size_t Colon = Address.Value.rfind(':');
  std::string Host = Address.Value.substr(0, Colon);
  if (Host.starts_with('['))
    Host = Host.substr(1, Host.size() - 2);
  auto Port = static_cast<std::uint16_t>(
      std::strtoul(Address.Value.c_str() + Colon + 1, nullptr, 10));
  return {asio::ip::make_address(Host, Error), Port};
}

HttpRequest requestFor(const Options &Given,
                       const core::OperatorCommand &Query) {
  HttpRequest Request{beast::http::verb::post, "/v1/query", 11};
  Request.set(beast::http::field::host, Given.Node.Value);
  Request.set(beast::http::field::content_type, "application/json");
  if (!Given.Token.empty())
    Request.set(beast::http::field::authorization, "Bearer " + Given.Token);
  Request.body() = http::encodeCommand(Query);
  Request.prepare_payload();
  return Request;
}

// wait() runs one asynchronous operation to its end, so that the stream's own
// time limit applies to it.
template <typename Start>
boost::system::error_code wait(asio::io_context &Context, Start Begin) {
  boost::system::error_code Result;
  Begin([&Result](boost::system::error_code Error, auto &&...) {
    Result = Error;
  });
  Context.restart();
  Context.run();
  return Result;
}

template <typename Stream>
boost::system::error_code exchange(asio::io_context &Context, Stream &Peer,
                                   const HttpRequest &Request,
                                   HttpParser &Parser) {
  auto Error = wait(Context, [&](auto Done) {
    beast::http::async_write(Peer, Request, std::move(Done));
  });
  if (Error)
    return Error;
  beast::flat_buffer Buffer;
  return wait(Context, [&](auto Done) {
    beast::http::async_read(Peer, Buffer, Parser, std::move(Done));
  });
}

boost::system::error_code exchangeTls(asio::io_context &Context,
                                      beast::tcp_stream &Socket,
                                      const Options &Given,
                                      const HttpRequest &Request,
                                      HttpParser &Parser) {
  asio::ssl::context Tls(asio::ssl::context::tls_client);
  boost::system::error_code Error;
  Tls.load_verify_file(Given.Authority, Error);
  if (Error)
    return Error;
  Tls.set_verify_mode(asio::ssl::verify_peer);
  Tls.set_verify_callback(asio::ssl::host_name_verification(
      Socket.socket().remote_endpoint(Error).address().to_string()));
  beast::ssl_stream<beast::tcp_stream &> Peer(Socket, Tls);
  Error = wait(Context, [&](auto Done) {
    Peer.async_handshake(asio::ssl::stream_base::client, std::move(Done));
  });
  return Error ? Error : exchange(Context, Peer, Request, Parser);
}

boost::system::error_code askOnce(const Options &Given,
                                  const core::OperatorCommand &Query,
                                  HttpParser &Parser) {
  asio::io_context Context;
  boost::system::error_code Error;
  auto Endpoint = endpointOf(Given.Node, Error);
  if (Error)
    return Error;
  beast::tcp_stream Socket(Context);
  Socket.expires_after(std::chrono::microseconds(Given.TimeLimit.Micros));
  Error = wait(Context, [&](auto Done) {
    Socket.async_connect(Endpoint, std::move(Done));
  });
  if (Error)
    return Error;
  HttpRequest Request = requestFor(Given, Query);
  if (Given.Authority.empty())
    return exchange(Context, Socket, Request, Parser);
  return exchangeTls(Context, Socket, Given, Request, Parser);
}

// An error's own text often means little to an operator.
std::string describe(const Options &Given,
                     const boost::system::error_code &Error) {
  if (Error.category() ==
      beast::http::make_error_code(beast::http::error::bad_version).category())
    return "it does not speak HTTP; is --node its operators' listener, and is "
           "that over TLS (--ca)?";
  if (Error == asio::error::connection_refused)
    return "nothing listens there";
  if (Error == beast::error::timeout)
    return "it was silent for " +
           std::to_string(Given.TimeLimit.Micros / MicrosInSecond) +
           "s (--timeout)";
  if (Error.category() == asio::error::get_ssl_category())
    return "TLS: " + Error.message();
  return Error.message();
}

// readReply() takes an answer with any status. Other listeners of a node answer
// as well, and must not pass for an empty reply.
core::OperatorReply readReply(const Options &Given,
                              const HttpParser::value_type &Response) {
  core::OperatorReply Reply;
  if (Response.result() == beast::http::status::unauthorized) {
    Reply.Error = "node " + Given.Node.Value +
                  (Given.Token.empty()
                       ? " wants a token; give --token or CURRANTGAUGE_TOKEN"
                       : " refuses the token");
    return Reply;
  }
  Reply = http::parseReply(Response.body());
  if (Response.result() == beast::http::status::ok)
    return Reply;
  bool IsOperators = Response.result() == beast::http::status::bad_request &&
                     Reply.Error.find("malformed reply") == std::string::npos;
  if (!IsOperators || Reply.Error.empty()) {
    Reply = core::OperatorReply();
    Reply.Error = Given.Node.Value + " answers HTTP " +
                  std::to_string(Response.result_int()) +
                  "; is --node the operators' listener?";
  }
  return Reply;
}

} // namespace

NodeAnswer askNode(const Options &Given, const core::OperatorCommand &Query) {
  NodeAnswer Answer;
  if (!Given.Authority.empty() &&
      !std::ifstream(Given.Authority, std::ios::binary)) {
    Answer.Reply.Error = "can't read " + Given.Authority + " (--ca)";
    return Answer;
  }
  HttpParser Parser;
  Parser.body_limit(ReplyLimitBytes);
  boost::system::error_code Error = askOnce(Given, Query, Parser);
  if (Error) {
    Answer.Reply.Error = "no answer from node " + Given.Node.Value + ": " +
                         describe(Given, Error);
    return Answer;
  }
  Answer.Reached = true;
  Answer.Reply = readReply(Given, Parser.get());
  return Answer;
}

} // namespace currantgauge::cli
