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
constexpr std::chrono::milliseconds AnnounceLimit{900};

using Request = beast::http::request<beast::http::string_body>;

Request nativeRequest(const AnnouncerState &Word) {
  Request Built(beast::http::verb::put, "/v1/servers/" + Word.Name, 11);
  Built.body() = nlohmann::json{{"service", Word.Service},
                                {"address", Word.Address},
                                {"incarnation", Word.Incarnation},
                                {"slots", Word.Slots},
                                {"state", Word.State},
                                {"cold_start_ms", Word.ColdStartMillis}}
                     .dump();
  return Built;
}

// The native states are ready, leaving and gone.
Request machineRequest(AnnouncerState &Word) {
  bool Gone = Word.State == "gone";
  Request Built(beast::http::verb::post,
                std::string("/api/rpc?call=instances.") +
                    (Gone ? "deregister" : "heartbeat") + "&of=" + Word.Name,
                11);
  nlohmann::json Body{{"born", Word.Incarnation / 1000000}};
  if (!Gone) {
    Body["address"] = Word.Address;
    Body["information"] = {{"service", Word.Service},
                           {"version", "v1"},
                           {"zone", "north-a"},
                           {"slots", Word.Slots}};
    Body["status"] = {{"state", Word.State == "ready" ? "ready" : "draining"},
                      {"sequence", ++Word.Sequence},
                      {"coldRemainingMs", Word.ColdStartMillis}};
  }
  Built.set(beast::http::field::content_type, "application/json");
  Built.body() = Body.dump();
  return Built;
}

asio::awaitable<bool> tryAnnounce(AnnouncerState &Word) {
  boost::system::error_code Error;
  auto Into = asio::redirect_error(asio::use_awaitable, Error);
  beast::tcp_stream Stream(co_await asio::this_coro::executor);
  Stream.expires_after(AnnounceLimit);
  co_await Stream.async_connect(parseEndpoint(Word.Node), Into);
  if (Error)
    co_return false;
  std::string State = Word.State;
  Request Built =
      Word.UsesMachineProtocol ? machineRequest(Word) : nativeRequest(Word);
  Built.prepare_payload();
  co_await beast::http::async_write(Stream, Built, Into);
  beast::flat_buffer Input;
  beast::http::response<beast::http::string_body> Answer;
  if (!Error)
    co_await beast::http::async_read(Stream, Input, Answer, Into);
  if (Error || Answer.result_int() != 200)
    co_return false;
  Word.AcknowledgedState = State;
  co_return true;
}

} // namespace

asio::awaitable<void> announceOnce(AnnouncerState &Word) {
  co_await tryAnnounce(Word);
}

asio::awaitable<void> announceLoop(AnnouncerState &Word) {
  asio::steady_timer Timer(co_await asio::this_coro::executor);
  while (true) {
    bool Told = !Word.Paused && co_await tryAnnounce(Word);
    Timer.expires_after(Told ? RenewInterval : RetryInterval);
    boost::system::error_code Ignored;
    co_await Timer.async_wait(
        asio::redirect_error(asio::use_awaitable, Ignored));
  }
}

} // namespace currantgauge::stand_ins
