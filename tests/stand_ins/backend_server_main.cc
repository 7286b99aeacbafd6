// A stand-in for a backend server: announces itself to a node, runs requests in
// a number of milliseconds, and can be told to be sick.
//
//   backend_server --name=cutlist-1 --service=cutlist --node=127.0.0.1:8083
//
// It prints {"port": N} on standard output. Control by HTTP:
//   POST /.control {"mode": "ok|stall|fail|slow|shed|reset|cut", "share": 1.0,
//                   "work_ms": 5, "announce": true,
//                   "state": "ready|leaving|gone"}
//   GET /.stats    {"runs": N, "running": N, "by_key": {"key": runs},
//                   "by_caller": {"service": runs}, "misdirected": N,
//                   "acknowledged": "the last state that a node took"}
// The same is printed on standard error when it ends by SIGTERM.
// With --record=FILE each request adds a line "run ID SECONDS" or "refuse ID
// SECONDS" of the steady clock, which outlives the process.
// With --machines it speaks the protocol of the machines' platform, and the key
// is the id of the caller's attempt.
#include "tests/stand_ins/announcer.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <map>
#include <optional>
#include <random>
#include <string>

DEFINE_string(name, "server-1", "name of this backend server");
DEFINE_string(service, "cutlist", "service that it runs");
DEFINE_string(node, "127.0.0.1:8083", "announce address of a node, IP:port");
DEFINE_string(advertise, "",
              "address to announce, IP:port; empty: the one listened on");
DEFINE_int32(port, 0, "port to listen on; 0: any");
DEFINE_int32(slots, 4, "requests that it runs at a time");
DEFINE_int32(work_ms, 5, "time to run a request, in milliseconds");
DEFINE_int32(cold_start_ms, 0, "announced cold start, in milliseconds");
DEFINE_bool(machines, false, "speak the protocol of the machines' platform");
DEFINE_int32(answer_bytes, 0, "bytes added to each answer");
DEFINE_string(record, "",
              "file that gets a line for each request; empty: none");

namespace {

namespace asio = boost::asio;
namespace stand_ins = currantgauge::stand_ins;
namespace beast = boost::beast;
using asio::ip::tcp;
using ErrorCode = boost::system::error_code;
using Json = nlohmann::json;
using Request = beast::http::request<beast::http::string_body>;
using Response = beast::http::response<beast::http::string_body>;

auto into(ErrorCode &Error) {
  return asio::redirect_error(asio::use_awaitable, Error);
}

struct Server {
  std::string Mode = "ok";
  double Share = 1; // of requests that Mode hits
  int WorkMillis = 5;
  std::uint64_t Runs = 0;
  std::uint64_t Running = 0;
  std::uint64_t Misdirected = 0; // meant for another server
  std::map<std::string, std::uint64_t> ByKey;
  std::map<std::string, std::uint64_t> ByCaller;
  std::minstd_rand Source{1};
};

void record(const char *What, const Request &Asked, const char *IdField) {
  if (FLAGS_record.empty())
    return;
  std::ofstream File(FLAGS_record, std::ios::app);
  std::chrono::duration<double> Time =
      std::chrono::steady_clock::now().time_since_epoch();
  File << What << ' ' << Asked[IdField] << ' ' << std::fixed << Time.count()
       << std::endl;
}

bool isHit(Server &Self) {
  return std::uniform_real_distribution<>()(Self.Source) < Self.Share;
}

Response answer(const Request &Asked, unsigned Status, std::string Body) {
  Response Answer;
  Answer.version(11);
  Answer.result(Status);
  Answer.keep_alive(Asked.keep_alive());
  Answer.body() = std::move(Body);
  Answer.prepare_payload();
  return Answer;
}

Response control(Server &Self, stand_ins::AnnouncerState &Word,
                 const Request &Asked) {
  Json Body = Json::parse(Asked.body(), nullptr, false);
  if (!Body.is_object())
    return answer(Asked, 400, "not an object\n");
  Self.Mode = Body.value("mode", Self.Mode);
  Self.Share = Body.value("share", 1.0);
  Self.WorkMillis = Body.value("work_ms", Self.WorkMillis);
  Word.Paused = !Body.value("announce", true);
  Word.State = Body.value("state", Word.State);
  return answer(Asked, 200, "{}\n");
}

std::string stats(const Server &Self, const stand_ins::AnnouncerState &Word) {
  Json Body = {{"runs", Self.Runs},
               {"running", Self.Running},
               {"by_key", Self.ByKey},
               {"by_caller", Self.ByCaller},
               {"misdirected", Self.Misdirected},
               {"acknowledged", Word.AcknowledgedState}};
  return Body.dump() + "\n";
}

constexpr char HealthPath[] = "/health";
constexpr char AttemptField[] = "Currantgauge-Attempt-Id";
constexpr char ExpectedField[] = "Currantgauge-Expected-Instance";

// refusal() is the answer of a server of the machines' platform that does not
// run a request; none when it does.
std::optional<Response> refusal(Server &Self, const Request &Asked) {
  unsigned Status = 0;
  auto Expected = Asked.find(ExpectedField);
  if (Asked[AttemptField].empty())
    Status = 400;
  else if (Expected != Asked.end() && Expected->value() != FLAGS_name)
    Status = 421;
  else if (Self.Running >= 2 * static_cast<std::uint64_t>(FLAGS_slots))
    Status = 503;
  if (Status == 0)
    return std::nullopt;
  if (Status == 421)
    ++Self.Misdirected;
  record("refuse", Asked, AttemptField);
  Response Refused = answer(Asked, Status, "not executed\n");
  Refused.set("Currantgauge-Not-Executed", "1");
  return Refused;
}

Response health(const Request &Asked) {
  Response Healthy = answer(Asked, 200, "");
  Healthy.set("Currantgauge-Instance-Id", FLAGS_name);
  return Healthy;
}

void sign(const Request &Asked, Response &Answer) {
  std::string Id(Asked[AttemptField]);
  Answer.set(AttemptField, Id);
  Answer.set("Currantgauge-Response-Signature", "of " + Id);
}

// A request counts as run when its work starts.
asio::awaitable<Response> work(Server &Self, const Request &Asked) {
  ++Self.Runs;
  ++Self.Running;
  std::string Key(Asked[FLAGS_machines ? AttemptField : "Idempotency-Key"]);
  if (!Key.empty())
    ++Self.ByKey[Key];
  record("run", Asked, AttemptField);
  if (FLAGS_machines)
    ++Self.ByCaller[std::string(Asked["Currantgauge-Caller-Service"])];
  if (Asked.body().find("CRASH") != std::string::npos)
    std::_Exit(3);
  bool Hit = Self.Mode != "ok" && isHit(Self);
  constexpr int SlowFactor = 10;
  int Millis = Self.WorkMillis;
  if (Hit && Self.Mode == "slow")
    Millis *= SlowFactor;
  if (Hit && Self.Mode == "stall")
    Millis = 3600 * 1000;
  asio::steady_timer Timer(co_await asio::this_coro::executor,
                           std::chrono::milliseconds(Millis));
  ErrorCode Ignored;
  co_await Timer.async_wait(into(Ignored));
  --Self.Running;
  if (Hit && Self.Mode == "fail")
    co_return answer(Asked, 500, "failed\n");
  if (Hit && Self.Mode == "shed") {
    Response Shed = answer(Asked, 503, "busy\n");
    Shed.set(beast::http::field::retry_after, "1");
    co_return Shed;
  }
  std::string Body = FLAGS_name + " " + std::string(Asked.method_string()) +
                     " " + std::string(Asked.target()) + " " + Asked.body();
  Body.append(static_cast<std::size_t>(std::max(FLAGS_answer_bytes, 0)), '.');
  co_return answer(Asked, 200, Body);
}

// Returns false when the connection is to be closed.
asio::awaitable<bool> send(Server &Self, beast::tcp_stream &Stream,
                           Response &Answer) {
  ErrorCode Error;
  bool Working = Answer.result_int() == 200 && Self.Mode != "ok";
  if (Working && Self.Mode == "reset" && isHit(Self)) {
    Stream.socket().set_option(asio::socket_base::linger(true, 0), Error);
    Stream.close();
    co_return false;
  }
  if (Working && Self.Mode == "cut" && isHit(Self)) {
    Answer.content_length(Answer.body().size() + 100);
    co_await beast::http::async_write(Stream, Answer, into(Error));
    co_return false;
  }
  co_await beast::http::async_write(Stream, Answer, into(Error));
  co_return !Error && Answer.keep_alive();
}

asio::awaitable<void> serve(tcp::socket Socket, Server &Self,
                            stand_ins::AnnouncerState &Word) {
  beast::tcp_stream Stream(std::move(Socket));
  beast::flat_buffer Input;
  bool More = true;
  while (More) {
    Request Asked;
    ErrorCode Error;
    co_await beast::http::async_read(Stream, Input, Asked, into(Error));
    if (Error)
      break;
    if (Asked.target() == "/.control" || Asked.target() == "/.stats") {
      Response Answer = Asked.target() == "/.stats"
                            ? answer(Asked, 200, stats(Self, Word))
                            : control(Self, Word, Asked);
      co_await beast::http::async_write(Stream, Answer, into(Error));
      More = !Error && Answer.keep_alive();
      continue;
    }
    std::optional<Response> Refused;
    if (FLAGS_machines)
      Refused =
          Asked.target() == HealthPath ? health(Asked) : refusal(Self, Asked);
    if (Refused) {
      co_await beast::http::async_write(Stream, *Refused, into(Error));
      More = !Error && Refused->keep_alive();
      continue;
    }
    Response Answer = co_await work(Self, Asked);
    if (FLAGS_machines)
      sign(Asked, Answer);
    More = co_await send(Self, Stream, Answer);
  }
}

asio::awaitable<void> acceptLoop(tcp::acceptor &Acceptor, Server &Self,
                                 stand_ins::AnnouncerState &Word) {
  while (true) {
    ErrorCode Error;
    tcp::socket Socket = co_await Acceptor.async_accept(into(Error));
    if (Error)
      co_return;
    Socket.set_option(tcp::no_delay(true), Error);
    asio::co_spawn(Acceptor.get_executor(),
                   serve(std::move(Socket), Self, Word), asio::detached);
  }
}

// SIGTERM: announce leaving, wait until nothing runs, go.
asio::awaitable<void> leaveOnSignal(asio::signal_set &Signals, Server &Self,
                                    stand_ins::AnnouncerState &Word,
                                    asio::io_context &Io) {
  ErrorCode Error;
  co_await Signals.async_wait(into(Error));
  Word.State = "leaving";
  co_await stand_ins::announceOnce(Word);
  asio::steady_timer Pause(Io);
  constexpr std::chrono::milliseconds Linger{3500};
  Pause.expires_after(Linger);
  co_await Pause.async_wait(into(Error));
  while (Self.Running > 0) {
    Pause.expires_after(std::chrono::milliseconds(20));
    co_await Pause.async_wait(into(Error));
  }
  if (Word.UsesMachineProtocol) {
    Word.State = "gone";
    co_await stand_ins::announceOnce(Word);
  }
  std::cerr << stats(Self, Word);
  Io.stop();
}

} // namespace

int main(int Count, char **Values) {
  gflags::ParseCommandLineFlags(&Count, &Values, true);
  asio::io_context Io(1);
  Server Self;
  Self.WorkMillis = FLAGS_work_ms;
  tcp::acceptor Acceptor(Io,
                         tcp::endpoint(asio::ip::make_address("127.0.0.1"),
                                       static_cast<std::uint16_t>(FLAGS_port)));
  std::uint16_t Port = Acceptor.local_endpoint().port();
  stand_ins::AnnouncerState Word;
  Word.Name = FLAGS_name;
  Word.Service = FLAGS_service;
  Word.Node = FLAGS_node;
  Word.Address = FLAGS_advertise.empty() ? "127.0.0.1:" + std::to_string(Port)
                                         : FLAGS_advertise;
  Word.Slots = FLAGS_slots;
  Word.UsesMachineProtocol = FLAGS_machines;
  Word.ColdStartMillis = FLAGS_cold_start_ms;
  Word.Incarnation = static_cast<std::uint64_t>(
      std::chrono::system_clock::now().time_since_epoch().count());
  asio::signal_set Signals(Io, SIGTERM, SIGINT);
  asio::co_spawn(Io, acceptLoop(Acceptor, Self, Word), asio::detached);
  asio::co_spawn(Io, stand_ins::announceLoop(Word), asio::detached);
  asio::co_spawn(Io, leaveOnSignal(Signals, Self, Word, Io), asio::detached);
  std::cout << Json{{"port", Port}}.dump() << std::endl;
  Io.run();
  std::_Exit(0);
}
