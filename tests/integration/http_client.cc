#include "tests/integration/http_client.h"

#include "currantgauge/base/text.h"
#include "tests/stand_ins/fault_proxy.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <cstdint>
#include <thread>

namespace currantgauge::integration {
namespace {

namespace beast = boost::beast;
namespace asio = boost::asio;

constexpr std::uint64_t MaxBodyBytes = 128UL * 1024 * 1024;
constexpr std::chrono::milliseconds PollInterval{20};

} // namespace

std::optional<HttpResponse>
sendRequest(const std::string &Address, const std::string &Method,
            const std::string &Target, const std::string &Body,
            const HeaderMap &Fields, std::chrono::milliseconds Limit) {
  asio::io_context Io;
  beast::tcp_stream Stream(Io);
  Stream.expires_after(Limit);
  beast::http::request<beast::http::string_body> Request;
  Request.version(11);
  Request.method_string(Method);
  Request.target(Target);
  Request.set(beast::http::field::host, Address);
  for (const auto &[Name, Value] : Fields)
    Request.set(Name, Value);
  Request.body() = Body;
  Request.prepare_payload();
  beast::flat_buffer Input;
  beast::http::response_parser<beast::http::string_body> Parser;
  Parser.body_limit(MaxBodyBytes);
  bool Complete = false;
  Stream.async_connect(stand_ins::parseEndpoint(Address), [&](auto Error) {
    if (Error)
      return;
    beast::http::async_write(
        Stream, Request, [&](auto WriteError, std::size_t) {
          if (WriteError)
            return;
          beast::http::async_read(
              Stream, Input, Parser,
              [&](auto ReadError, std::size_t) { Complete = !ReadError; });
        });
  });
  Io.run();
  if (!Complete)
    return std::nullopt;
  const auto &Response = Parser.get();
  HttpResponse Result{Response.result_int(), {}, Response.body()};
  for (const auto &Field : Response) {
    std::string Name = base::toLower(std::string(Field.name_string()));
    Result.Headers[Name] = std::string(Field.value());
  }
  return Result;
}

bool waitUntil(const std::function<bool()> &Check,
               std::chrono::milliseconds Limit) {
  auto End = std::chrono::steady_clock::now() + Limit;
  while (!Check()) {
    if (std::chrono::steady_clock::now() > End)
      return false;
    std::this_thread::sleep_for(PollInterval);
  }
  return true;
}

} // namespace currantgauge::integration
