#include "tests/soak/callers.h"

#include "tests/stand_ins/fault_proxy.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <chrono>
#include <memory>
#include <random>
#include <string>
#include <utility>

namespace currantgauge::soak {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using HttpRequest = beast::http::request<beast::http::string_body>;
using HttpResponse = beast::http::response<beast::http::string_body>;
using ErrorCode = boost::system::error_code;

constexpr std::chrono::milliseconds RequestTimeout{3000};
// Added to RequestTimeout, the deadline sent to the node. A live node responds
// by the deadline, so only one that is dead, frozen or cut off exceeds this.
constexpr std::chrono::milliseconds ResponseGrace{500};
constexpr int MaxPauseMillis = 40;   // between requests of a caller
constexpr int VersionRouteOneIn = 5; // one request in 5 is to a version's route
constexpr int ActionOneIn = 3;       // one in 3 of the others is an action

// CallerConnection is a caller's connection. Stream is null while none is open.
struct CallerConnection {
  asio::io_context IoContext;
  std::unique_ptr<beast::tcp_stream> Stream;
  beast::flat_buffer ReadBuffer;
};

// runOperation() runs one asynchronous operation on the stream until it
// completes or times out.
template <typename Operation>
ErrorCode runOperation(CallerConnection &Connection,
                       std::chrono::milliseconds Timeout,
                       Operation StartOperation) {
  ErrorCode Result;
  Connection.Stream->expires_after(Timeout);
  StartOperation([&](ErrorCode Error, auto &&...) { Result = Error; });
  Connection.IoContext.restart();
  Connection.IoContext.run();
  return Result;
}

bool openConnection(CallerConnection &Connection, const std::string &Address) {
  Connection.Stream = std::make_unique<beast::tcp_stream>(Connection.IoContext);
  Connection.ReadBuffer.clear();
  constexpr std::chrono::milliseconds ConnectTimeout{1000};
  ErrorCode Error =
      runOperation(Connection, ConnectTimeout, [&](auto Callback) {
        Connection.Stream->async_connect(stand_ins::parseEndpoint(Address),
                                         Callback);
      });
  if (Error)
    Connection.Stream.reset();
  return !Error;
}

// exchange() returns false if no complete response was received.
bool exchange(CallerConnection &Connection, const HttpRequest &Message,
              HttpResponse &Response) {
  ErrorCode Error =
      runOperation(Connection, RequestTimeout, [&](auto Callback) {
        beast::http::async_write(*Connection.Stream, Message, Callback);
      });
  if (!Error)
    Error = runOperation(
        Connection, RequestTimeout + ResponseGrace, [&](auto Callback) {
          beast::http::async_read(*Connection.Stream, Connection.ReadBuffer,
                                  Response, Callback);
        });
  return !Error;
}

HttpRequest buildHttpRequest(const CallerRequest &Request,
                             const std::string &Target) {
  HttpRequest Message;
  Message.version(11);
  Message.method(Request.Idempotent ? beast::http::verb::get
                                    : beast::http::verb::post);
  Message.target(Target);
  Message.set(beast::http::field::host, "lists.example");
  Message.set("Currantgauge-Attempt-Id", Request.Id);
  Message.set("Currantgauge-Deadline-Milliseconds",
              std::to_string(RequestTimeout.count()));
  if (!Request.Idempotent)
    Message.body() = "order of " + Request.Id;
  Message.prepare_payload();
  return Message;
}

// Returns why a 200 response is not a backend server's response to this
// request; empty if it is or if the status isn't 200.
std::string describeMismatch(const HttpResponse &Response,
                             const HttpRequest &Message,
                             const CallerRequest &Request) {
  if (Response.result_int() != 200)
    return "";
  std::string Signature(Response["Currantgauge-Response-Signature"]);
  if (Signature != "of " + Request.Id)
    return "200 with response signature \"" + Signature + "\"";
  std::string EchoedId(Response["Currantgauge-Attempt-Id"]);
  if (EchoedId != Request.Id)
    return "200 with attempt id \"" + EchoedId + "\"";
  std::string Body = " " + std::string(Message.method_string()) + " " +
                     std::string(Message.target()) + " " + Message.body();
  return Response.body().ends_with(Body) ? ""
                                         : "200 with body " + Response.body();
}

struct CallerState {
  std::size_t Machine = 0;
  std::string Name;
  std::string Address;
  std::mt19937_64 Random;
  std::uint64_t RequestCount = 0;
};

int drawInt(CallerState &Caller, int Min, int Max) {
  return std::uniform_int_distribution<>(Min, Max)(Caller.Random);
}

// Chooses the route of some version or one of the two routes that all versions
// have: lists are idempotent, commits are actions that may run only once. Sets
// RouteVersion or Idempotent of the request accordingly.
std::string chooseTarget(CallerState &Caller, std::uint32_t NewestVersion,
                         CallerRequest &Request) {
  std::string Suffix = std::to_string(drawInt(Caller, 1, 1000));
  if (drawInt(Caller, 1, VersionRouteOneIn) == 1) {
    Request.RouteVersion = static_cast<std::uint32_t>(
        drawInt(Caller, 1, static_cast<int>(NewestVersion)));
    return "/v" + std::to_string(Request.RouteVersion) + "/" + Suffix;
  }
  Request.Idempotent = drawInt(Caller, 1, ActionOneIn) != 1;
  return (Request.Idempotent ? "/lists/" : "/commits/") + Suffix;
}

CallerRequest sendRequest(CallerState &Caller, CallerConnection &Connection,
                          std::uint32_t NewestVersion) {
  CallerRequest Request;
  Request.Machine = Caller.Machine;
  Request.Id = Caller.Name + "-" + std::to_string(++Caller.RequestCount);
  std::string Target = chooseTarget(Caller, NewestVersion, Request);
  HttpRequest Message = buildHttpRequest(Request, Target);
  HttpResponse Response;
  Request.SentAt = now();
  bool Complete = exchange(Connection, Message, Response);
  Request.EndedAt = now();
  if (Complete) {
    Request.Status = Response.result_int();
    Request.Mismatch = describeMismatch(Response, Message, Request);
    if (Request.Mismatch.empty() && Connection.ReadBuffer.size() > 0)
      Request.Mismatch = "extra bytes after the response";
  }
  if (!Complete || !Response.keep_alive())
    Connection.Stream.reset();
  return Request;
}

} // namespace

Seconds now() {
  return std::chrono::duration<double>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

CallerPool::CallerPool(const integration::MachineFleet &Machines,
                       std::size_t CallersPerMachine, std::uint64_t Seed) {
  for (std::size_t I = 0; I < CallersPerMachine * Machines.List.size(); ++I) {
    CallerState Caller;
    Caller.Machine = I % Machines.List.size();
    Caller.Name = "c" + std::to_string(I);
    Caller.Address =
        Machines.Fleet.Nodes[Machines.List[Caller.Machine].Node].CallerAddress;
    Caller.Random.seed(Seed * 1000 + I);
    this->Threads.emplace_back([this, Caller]() mutable {
      CallerConnection Connection;
      while (!this->Stopping) {
        if (Connection.Stream || openConnection(Connection, Caller.Address)) {
          CallerRequest Request =
              sendRequest(Caller, Connection, this->NewestVersion);
          std::lock_guard<std::mutex> Guard(this->Mutex);
          this->FinishedRequests.push_back(std::move(Request));
        }
        std::this_thread::sleep_for(
            std::chrono::milliseconds(drawInt(Caller, 1, MaxPauseMillis)));
      }
    });
  }
}

CallerPool::~CallerPool() { stopCallers(*this); }

std::vector<CallerRequest> stopCallers(CallerPool &Pool) {
  Pool.Stopping = true;
  for (std::thread &Thread : Pool.Threads)
    if (Thread.joinable())
      Thread.join();
  std::lock_guard<std::mutex> Guard(Pool.Mutex);
  return std::exchange(Pool.FinishedRequests, {});
}

} // namespace currantgauge::soak
