#include "tests/stand_ins/announcer.h"

#include "tests/stand_ins/fault_proxy.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>

#include <chrono>

namespace currantgauge::stand_ins {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;

constexpr std::chrono::milliseconds RenewInterval{1000};
constexpr std::chrono::milliseconds RetryInterval{100};
constexpr std::chrono::milliseconds AnnounceTimeout{900};

using HttpRequest = beast::http::request<beast::http::string_body>;

HttpRequest nativeRequest(const AnnouncerState &Announcer) {
  HttpRequest Request(beast::http::verb::put, "/v1/servers/" + Announcer.Name,
                      11);
  Request.body() = nlohmann::json{{"service", Announcer.Service},
                                  {"address", Announcer.Address},
                                  {"incarnation", Announcer.Incarnation},
                                  {"slots", Announcer.Slots},
                                  {"state", Announcer.State},
                                  {"cold_start_ms", Announcer.ColdStartMillis}}
                       .dump();
  return Request;
}

// Maps the states: the machine protocol has ready and draining, and deregisters
// a server that is gone.
HttpRequest machineRequest(AnnouncerState &Announcer) {
  bool Gone = Announcer.State == "gone";
  HttpRequest Request(beast::http::verb::post,
                      std::string("/api/rpc?call=instances.") +
                          (Gone ? "deregister" : "heartbeat") +
                          "&of=" + Announcer.Name,
                      11);
  nlohmann::json Body{{"born", Announcer.Incarnation / 1000000}};
  if (!Gone) {
    Body["address"] = Announcer.Address;
    Body["information"] = {{"service", Announcer.Service},
                           {"version", "v1"},
                           {"zone", "north-a"},
                           {"slots", Announcer.Slots}};
    Body["status"] = {
        {"state", Announcer.State == "ready" ? "ready" : "draining"},
        {"sequence", ++Announcer.Sequence},
        {"coldRemainingMs", Announcer.ColdStartMillis}};
  }
  Request.set(beast::http::field::content_type, "application/json");
  Request.body() = Body.dump();
  return Request;
}

asio::awaitable<bool> tryAnnounce(AnnouncerState &Announcer) {
  boost::system::error_code Error;
  auto StoreError = asio::redirect_error(asio::use_awaitable, Error);
  beast::tcp_stream Stream(co_await asio::this_coro::executor);
  Stream.expires_after(AnnounceTimeout);
  co_await Stream.async_connect(parseEndpoint(Announcer.Node), StoreError);
  if (Error)
    co_return false;
  std::string State = Announcer.State;
  HttpRequest Request = Announcer.UsesMachineProtocol
                            ? machineRequest(Announcer)
                            : nativeRequest(Announcer);
  Request.prepare_payload();
  co_await beast::http::async_write(Stream, Request, StoreError);
  beast::flat_buffer Input;
  beast::http::response<beast::http::string_body> Response;
  if (!Error)
    co_await beast::http::async_read(Stream, Input, Response, StoreError);
  if (Error || Response.result_int() != 200)
    co_return false;
  Announcer.AcknowledgedState = State;
  co_return true;
}

} // namespace

asio::awaitable<void> announceOnce(AnnouncerState &Announcer) {
  co_await tryAnnounce(Announcer);
}

asio::awaitable<void> announceLoop(AnnouncerState &Announcer) {
  asio::steady_timer Timer(co_await asio::this_coro::executor);
  while (true) {
    bool Announced = !Announcer.Paused && co_await tryAnnounce(Announcer);
    Timer.expires_after(Announced ? RenewInterval : RetryInterval);
    boost::system::error_code Ignored;
    co_await Timer.async_wait(
        asio::redirect_error(asio::use_awaitable, Ignored));
  }
}

} // namespace currantgauge::stand_ins
