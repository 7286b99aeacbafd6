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

constexpr std::uint64_t MaxReplyBytes = 256 * 1024 * 1024;
constexpr std::int64_t MicrosPerSecond = 1000000;

asio::ip::tcp::endpoint parseEndpoint(const base::NetAddress &Address,
                                      boost::system::error_code &Error) {
  std::size_t Colon = Address.Value.rfind(':');
  std::string Host = Address.Value.substr(0, Colon);
  if (Host.starts_with('['))
    Host = Host.substr(1, Host.size() - 2);
  auto Port = static_cast<std::uint16_t>(
      std::strtoul(Address.Value.c_str() + Colon + 1, nullptr, 10));
  return {asio::ip::make_address(Host, Error), Port};
}

HttpRequest makeRequest(const Options &Opts,
                        const core::OperatorCommand &Query) {
  HttpRequest Request{beast::http::verb::post, "/v1/query", 11};
  Request.set(beast::http::field::host, Opts.NodeAddress.Value);
  Request.set(beast::http::field::content_type, "application/json");
  if (!Opts.Token.empty())
    Request.set(beast::http::field::authorization, "Bearer " + Opts.Token);
  Request.body() = http::encodeCommand(Query);
  Request.prepare_payload();
  return Request;
}

// runOperation() runs an asynchronous operation to its end. The timeout of
// beast::tcp_stream doesn't apply to synchronous operations.
template <typename Operation>
boost::system::error_code runOperation(asio::io_context &Context,
                                       Operation Start) {
  boost::system::error_code Result;
  Start([&Result](boost::system::error_code Error, auto &&...) {
    Result = Error;
  });
  Context.restart();
  Context.run();
  return Result;
}

template <typename AsyncStream>
boost::system::error_code
exchange(asio::io_context &Context, AsyncStream &Stream,
         const HttpRequest &Request, HttpParser &Parser) {
  auto Error = runOperation(Context, [&](auto OnDone) {
    beast::http::async_write(Stream, Request, std::move(OnDone));
  });
  if (Error)
    return Error;
  beast::flat_buffer Buffer;
  return runOperation(Context, [&](auto OnDone) {
    beast::http::async_read(Stream, Buffer, Parser, std::move(OnDone));
  });
}

boost::system::error_code exchangeTls(asio::io_context &Context,
                                      beast::tcp_stream &Socket,
                                      const Options &Opts,
                                      const HttpRequest &Request,
                                      HttpParser &Parser) {
  asio::ssl::context Tls(asio::ssl::context::tls_client);
  boost::system::error_code Error;
  Tls.load_verify_file(Opts.CaPath, Error);
  if (Error)
    return Error;
  Tls.set_verify_mode(asio::ssl::verify_peer);
  Tls.set_verify_callback(asio::ssl::host_name_verification(
      Socket.socket().remote_endpoint(Error).address().to_string()));
  beast::ssl_stream<beast::tcp_stream &> Stream(Socket, Tls);
  Error = runOperation(Context, [&](auto OnDone) {
    Stream.async_handshake(asio::ssl::stream_base::client, std::move(OnDone));
  });
  return Error ? Error : exchange(Context, Stream, Request, Parser);
}

boost::system::error_code sendRequest(const Options &Opts,
                                      const core::OperatorCommand &Query,
                                      HttpParser &Parser) {
  asio::io_context Context;
  boost::system::error_code Error;
  auto Endpoint = parseEndpoint(Opts.NodeAddress, Error);
  if (Error)
    return Error;
  beast::tcp_stream Socket(Context);
  Socket.expires_after(std::chrono::microseconds(Opts.Timeout.Micros));
  Error = runOperation(Context, [&](auto OnDone) {
    Socket.async_connect(Endpoint, std::move(OnDone));
  });
  if (Error)
    return Error;
  HttpRequest Request = makeRequest(Opts, Query);
  if (Opts.CaPath.empty())
    return exchange(Context, Socket, Request, Parser);
  return exchangeTls(Context, Socket, Opts, Request, Parser);
}

// Returns the message for an error. Replaces those of the libraries that don't
// help an operator.
std::string describeError(const Options &Opts,
                          const boost::system::error_code &Error) {
  if (Error.category() ==
      beast::http::make_error_code(beast::http::error::bad_version).category())
    return "the reply is not HTTP; is --node the operators' listener, and does "
           "it require TLS (--ca)?";
  if (Error == asio::error::connection_refused)
    return "connection refused";
  if (Error == beast::error::timeout)
    return "no reply within " +
           std::to_string(Opts.Timeout.Micros / MicrosPerSecond) +
           "s (--timeout)";
  if (Error.category() == asio::error::get_ssl_category())
    return "TLS: " + Error.message();
  return Error.message();
}

// readReply() converts a response of any status to a reply. A response that
// isn't from an operators' listener becomes an error, not an empty reply.
core::OperatorReply readReply(const Options &Opts,
                              const HttpParser::value_type &Response) {
  core::OperatorReply Reply;
  if (Response.result() == beast::http::status::unauthorized) {
    Reply.Error = "node " + Opts.NodeAddress.Value +
                  (Opts.Token.empty()
                       ? " requires a token; set --token or CURRANTGAUGE_TOKEN"
                       : " refuses the token");
    return Reply;
  }
  Reply = http::parseReply(Response.body());
  if (Response.result() == beast::http::status::ok)
    return Reply;
  bool IsQueryError = Response.result() == beast::http::status::bad_request &&
                      Reply.Error.find("malformed reply") == std::string::npos;
  if (!IsQueryError || Reply.Error.empty()) {
    Reply = core::OperatorReply();
    Reply.Error = Opts.NodeAddress.Value + " returned HTTP " +
                  std::to_string(Response.result_int()) +
                  "; is --node the operators' listener?";
  }
  return Reply;
}

} // namespace

QueryResult queryNode(const Options &Opts, const core::OperatorCommand &Query) {
  QueryResult Result;
  if (!Opts.CaPath.empty() && !std::ifstream(Opts.CaPath, std::ios::binary)) {
    Result.Reply.Error = "can't read " + Opts.CaPath + " (--ca)";
    return Result;
  }
  HttpParser Parser;
  Parser.body_limit(MaxReplyBytes);
  boost::system::error_code Error = sendRequest(Opts, Query, Parser);
  if (Error) {
    Result.Reply.Error = "no reply from node " + Opts.NodeAddress.Value + ": " +
                         describeError(Opts, Error);
    return Result;
  }
  Result.ReplyReceived = true;
  Result.Reply = readReply(Opts, Parser.get());
  return Result;
}

} // namespace currantgauge::cli
