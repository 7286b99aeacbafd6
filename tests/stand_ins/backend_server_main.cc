// A stand-in for a backend server. It announces itself to a node, takes a given
// time for each request, and can be made faulty.
//
//   backend_server --name=cutlist-1 --service=cutlist --node=127.0.0.1:8083
//
// It prints {"address": "IP:N", "port": N} on standard output and is controlled
// over HTTP:
//   POST /.control {"mode": "ok|stall|fail|slow|shed|reset|cut|status",
//                   "share": 1.0, "status": 500, "work_ms": 5, "announce":
//                   true, "state": "ready|leaving|gone"}
//                  (a missing "share" becomes 1.0, a missing "announce" true;
//                  other missing fields keep their values)
//   GET /.stats    {"runs": N, "running": N, "by_key": {"key": runs},
//                   "by_caller": {"service": runs}, "misdirected": N,
//                   "by_workspace": {"name": runs}, "credentials": N,
//                   "acknowledged": "the last state that the node accepted"}
// A mode other than ok applies to "share" of the requests: stall responds after
// an hour, slow after ten times the work time, fail with 500, shed with 503 and
// status with "status", which may be any number up to 999;
// reset resets the connection instead of responding 200, and cut truncates the
// response 200.
// It prints the statistics of /.stats on standard error when it exits on
// SIGTERM or SIGINT. A request whose body contains "CRASH" ends the process at
// once. With --record=FILE it appends a line "run ID SECONDS" or "refuse ID
// SECONDS" for each request, with the attempt id and seconds of the steady
// clock. The file remains if the process is killed. With --machines it uses the
// protocol of the machines' platform, "by_key" is by the id of the caller's
// attempt, and it refuses requests, among others those beyond twice its slots.
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
              "address to announce, IP:port; empty: the listener's");
DEFINE_string(host, "127.0.0.1", "IP address to listen on");
DEFINE_int32(port, 0, "port to listen on; 0: any free port");
DEFINE_int32(slots, 4,
             "announced number of requests that it can run at a time");
DEFINE_int32(work_ms, 5, "time to run a request, in milliseconds");
DEFINE_int32(cold_start_ms, 0, "announced cold start, in milliseconds");
DEFINE_bool(machines, false, "use the protocol of the machines' platform");
DEFINE_int32(answer_bytes, 0, "bytes added to the body of each answer 200");
DEFINE_string(record, "",
              "file to append a line to for each request; empty: none");

namespace {

namespace asio = boost::asio;
namespace stand_ins = currantgauge::stand_ins;
namespace beast = boost::beast;
using asio::ip::tcp;
using ErrorCode = boost::system::error_code;
using Json = nlohmann::json;
using HttpRequest = beast::http::request<beast::http::string_body>;
using HttpResponse = beast::http::response<beast::http::string_body>;

auto storeError(ErrorCode &Error) {
  return asio::redirect_error(asio::use_awaitable, Error);
}

constexpr std::uint64_t MaxBodyBytes = 128UL * 1024 * 1024;

struct ServerState {
  std::string Mode = "ok";
  double FaultShare = 1; // fraction of requests that Mode applies to
  unsigned FaultStatus = 500;
  int WorkMillis = 5;
  std::uint64_t Runs = 0;
  std::uint64_t Running = 0;
  std::uint64_t Misdirected = 0; // requests meant for another instance
  std::map<std::string, std::uint64_t> ByKey;
  std::map<std::string, std::uint64_t> ByCaller;
  std::map<std::string, std::uint64_t> ByWorkspace;
  std::uint64_t Credentials = 0; // requests that carried a caller's key
  std::minstd_rand Random{1};
};

void record(const char *Event, const HttpRequest &Request,
            const char *IdField) {
  if (FLAGS_record.empty())
    return;
  std::ofstream File(FLAGS_record, std::ios::app);
  std::chrono::duration<double> Time =
      std::chrono::steady_clock::now().time_since_epoch();
  File << Event << ' ' << Request[IdField] << ' ' << std::fixed << Time.count()
       << std::endl;
}

bool shouldInjectFault(ServerState &Server) {
  return std::uniform_real_distribution<>()(Server.Random) < Server.FaultShare;
}

HttpResponse makeResponse(const HttpRequest &Request, unsigned Status,
                          std::string Body) {
  HttpResponse Response;
  Response.version(11);
  Response.result(Status);
  Response.keep_alive(Request.keep_alive());
  Response.body() = std::move(Body);
  Response.prepare_payload();
  return Response;
}

HttpResponse control(ServerState &Server, stand_ins::AnnouncerState &Announcer,
                     const HttpRequest &Request) {
  Json Body = Json::parse(Request.body(), nullptr, false);
  if (!Body.is_object())
    return makeResponse(Request, 400, "not an object\n");
  Server.Mode = Body.value("mode", Server.Mode);
  Server.FaultShare = Body.value("share", 1.0);
  Server.FaultStatus = Body.value("status", Server.FaultStatus);
  Server.WorkMillis = Body.value("work_ms", Server.WorkMillis);
  Announcer.Paused = !Body.value("announce", true);
  Announcer.State = Body.value("state", Announcer.State);
  return makeResponse(Request, 200, "{}\n");
}

std::string statsJson(const ServerState &Server,
                      const stand_ins::AnnouncerState &Announcer) {
  Json Body = {{"runs", Server.Runs},
               {"running", Server.Running},
               {"by_key", Server.ByKey},
               {"by_caller", Server.ByCaller},
               {"by_workspace", Server.ByWorkspace},
               {"credentials", Server.Credentials},
               {"misdirected", Server.Misdirected},
               {"acknowledged", Announcer.AcknowledgedState}};
  return Body.dump() + "\n";
}

constexpr char HealthPath[] = "/health";
constexpr char AttemptField[] = "Currantgauge-Attempt-Id";
constexpr char ExpectedField[] = "Currantgauge-Expected-Instance";

// Returns the response to a request that a server of the machines' platform
// refuses to run, or no value if it runs the request.
std::optional<HttpResponse> makeRefusal(ServerState &Server,
                                        const HttpRequest &Request) {
  unsigned Status = 0;
  auto Expected = Request.find(ExpectedField);
  if (Request[AttemptField].empty())
    Status = 400;
  else if (Expected != Request.end() && Expected->value() != FLAGS_name)
    Status = 421;
  else if (Server.Running >= 2 * static_cast<std::uint64_t>(FLAGS_slots))
    Status = 503;
  if (Status == 0)
    return std::nullopt;
  if (Status == 421)
    ++Server.Misdirected;
  record("refuse", Request, AttemptField);
  HttpResponse Refused = makeResponse(Request, Status, "not executed\n");
  Refused.set("Currantgauge-Not-Executed", "1");
  return Refused;
}

HttpResponse healthResponse(const HttpRequest &Request) {
  HttpResponse Healthy = makeResponse(Request, 200, "");
  Healthy.set("Currantgauge-Instance-Id", FLAGS_name);
  return Healthy;
}

void addSignature(const HttpRequest &Request, HttpResponse &Response) {
  std::string Id(Request[AttemptField]);
  Response.set(AttemptField, Id);
  Response.set("Currantgauge-Response-Signature", "of " + Id);
}

// A request counts as run as soon as its work starts, whatever the response.
asio::awaitable<HttpResponse> runRequest(ServerState &Server,
                                         const HttpRequest &Request) {
  ++Server.Runs;
  ++Server.Running;
  std::string Key(Request[FLAGS_machines ? AttemptField : "Idempotency-Key"]);
  if (!Key.empty())
    ++Server.ByKey[Key];
  record("run", Request, AttemptField);
  if (FLAGS_machines) {
    ++Server.ByCaller[std::string(Request["Currantgauge-Caller-Service"])];
    ++Server.ByWorkspace[std::string(Request["Currantgauge-Tenant"])];
    Server.Credentials += Request.count("Currantgauge-Credential");
  }
  if (Request.body().find("CRASH") != std::string::npos)
    std::_Exit(3);
  bool InjectFault = Server.Mode != "ok" && shouldInjectFault(Server);
  constexpr int SlowFactor = 10;
  int Millis = Server.WorkMillis;
  if (InjectFault && Server.Mode == "slow")
    Millis *= SlowFactor;
  if (InjectFault && Server.Mode == "stall")
    Millis = 3600 * 1000;
  asio::steady_timer Timer(co_await asio::this_coro::executor,
                           std::chrono::milliseconds(Millis));
  ErrorCode Ignored;
  co_await Timer.async_wait(storeError(Ignored));
  --Server.Running;
  if (InjectFault && Server.Mode == "fail")
    co_return makeResponse(Request, 500, "failed\n");
  if (InjectFault && Server.Mode == "status")
    co_return makeResponse(Request, Server.FaultStatus, "no such status\n");
  if (InjectFault && Server.Mode == "shed") {
    HttpResponse Shed = makeResponse(Request, 503, "busy\n");
    Shed.set(beast::http::field::retry_after, "1");
    co_return Shed;
  }
  std::string Body = FLAGS_name + " " + std::string(Request.method_string()) +
                     " " + std::string(Request.target()) + " " + Request.body();
  Body.append(static_cast<std::size_t>(std::max(FLAGS_answer_bytes, 0)), '.');
  co_return makeResponse(Request, 200, Body);
}

// Returns false if the connection has to be closed.
asio::awaitable<bool> sendResponse(ServerState &Server,
                                   beast::tcp_stream &Stream,
                                   HttpResponse &Response) {
  ErrorCode Error;
  bool CanFault = Response.result_int() == 200 && Server.Mode != "ok";
  if (CanFault && Server.Mode == "reset" && shouldInjectFault(Server)) {
    Stream.socket().set_option(asio::socket_base::linger(true, 0), Error);
    Stream.close();
    co_return false;
  }
  if (CanFault && Server.Mode == "cut" && shouldInjectFault(Server)) {
    Response.content_length(Response.body().size() + 100);
    co_await beast::http::async_write(Stream, Response, storeError(Error));
    co_return false;
  }
  co_await beast::http::async_write(Stream, Response, storeError(Error));
  co_return !Error && Response.keep_alive();
}

asio::awaitable<void> serve(tcp::socket Socket, ServerState &Server,
                            stand_ins::AnnouncerState &Announcer) {
  beast::tcp_stream Stream(std::move(Socket));
  beast::flat_buffer Input;
  bool KeepOpen = true;
  while (KeepOpen) {
    beast::http::request_parser<beast::http::string_body> Parser;
    Parser.body_limit(MaxBodyBytes);
    ErrorCode Error;
    co_await beast::http::async_read(Stream, Input, Parser, storeError(Error));
    if (Error)
      break;
    HttpRequest Request = Parser.release();
    if (Request.target() == "/.control" || Request.target() == "/.stats") {
      HttpResponse Response =
          Request.target() == "/.stats"
              ? makeResponse(Request, 200, statsJson(Server, Announcer))
              : control(Server, Announcer, Request);
      co_await beast::http::async_write(Stream, Response, storeError(Error));
      KeepOpen = !Error && Response.keep_alive();
      continue;
    }
    std::optional<HttpResponse> Refused;
    if (FLAGS_machines)
      Refused = Request.target() == HealthPath ? healthResponse(Request)
                                               : makeRefusal(Server, Request);
    if (Refused) {
      co_await beast::http::async_write(Stream, *Refused, storeError(Error));
      KeepOpen = !Error && Refused->keep_alive();
      continue;
    }
    HttpResponse Response = co_await runRequest(Server, Request);
    if (FLAGS_machines)
      addSignature(Request, Response);
    KeepOpen = co_await sendResponse(Server, Stream, Response);
  }
}

asio::awaitable<void> acceptLoop(tcp::acceptor &Acceptor, ServerState &Server,
                                 stand_ins::AnnouncerState &Announcer) {
  while (true) {
    ErrorCode Error;
    tcp::socket Socket = co_await Acceptor.async_accept(storeError(Error));
    if (Error)
      co_return;
    Socket.set_option(tcp::no_delay(true), Error);
    asio::co_spawn(Acceptor.get_executor(),
                   serve(std::move(Socket), Server, Announcer), asio::detached);
  }
}

// On SIGTERM or SIGINT, announces that the server is leaving, keeps serving for
// LeaveDelay and until no request is running, and ends the process. With the
// machine protocol, it announces before the end that the server is gone.
asio::awaitable<void> stopOnSignal(asio::signal_set &Signals,
                                   ServerState &Server,
                                   stand_ins::AnnouncerState &Announcer,
                                   asio::io_context &Io) {
  ErrorCode Error;
  co_await Signals.async_wait(storeError(Error));
  Announcer.State = "leaving";
  co_await stand_ins::announceOnce(Announcer);
  asio::steady_timer Pause(Io);
  constexpr std::chrono::milliseconds LeaveDelay{3500};
  Pause.expires_after(LeaveDelay);
  co_await Pause.async_wait(storeError(Error));
  while (Server.Running > 0) {
    Pause.expires_after(std::chrono::milliseconds(20));
    co_await Pause.async_wait(storeError(Error));
  }
  if (Announcer.UsesMachineProtocol) {
    Announcer.State = "gone";
    co_await stand_ins::announceOnce(Announcer);
  }
  std::cerr << statsJson(Server, Announcer);
  Io.stop();
}

} // namespace

int main(int Count, char **Values) {
  gflags::ParseCommandLineFlags(&Count, &Values, true);
  asio::io_context Io(1);
  ServerState Server;
  Server.WorkMillis = FLAGS_work_ms;
  tcp::acceptor Acceptor(Io,
                         tcp::endpoint(asio::ip::make_address(FLAGS_host),
                                       static_cast<std::uint16_t>(FLAGS_port)));
  std::uint16_t Port = Acceptor.local_endpoint().port();
  std::string Address = FLAGS_host + ":" + std::to_string(Port);
  stand_ins::AnnouncerState Announcer;
  Announcer.Name = FLAGS_name;
  Announcer.Service = FLAGS_service;
  Announcer.Node = FLAGS_node;
  Announcer.Address = FLAGS_advertise.empty() ? Address : FLAGS_advertise;
  Announcer.Slots = FLAGS_slots;
  Announcer.UsesMachineProtocol = FLAGS_machines;
  Announcer.ColdStartMillis = FLAGS_cold_start_ms;
  Announcer.Incarnation = static_cast<std::uint64_t>(
      std::chrono::system_clock::now().time_since_epoch().count());
  asio::signal_set Signals(Io, SIGTERM, SIGINT);
  asio::co_spawn(Io, acceptLoop(Acceptor, Server, Announcer), asio::detached);
  asio::co_spawn(Io, stand_ins::announceLoop(Announcer), asio::detached);
  asio::co_spawn(Io, stopOnSignal(Signals, Server, Announcer, Io),
                 asio::detached);
  std::cout << Json{{"address", Address}, {"port", Port}}.dump() << std::endl;
  Io.run();
  std::_Exit(0);
}
