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
using Asked = beast::http::request<beast::http::string_body>;
using Answer = beast::http::response<beast::http::string_body>;
using ErrorCode = boost::system::error_code;

constexpr std::chrono::milliseconds Deadline{3000};
// A node answers by the deadline; this is for one that is gone.
constexpr std::chrono::milliseconds Allowance{500};
constexpr int LongestPause = 40; // milliseconds between two requests
constexpr int VersionOneIn = 5;  // requests for a version's route
constexpr int ActionOneIn = 3;

// Connection is a caller's; null Stream: none is open.
struct Connection {
  asio::io_context Io;
  std::unique_ptr<beast::tcp_stream> Stream;
  beast::flat_buffer Input;
};

// await() runs one operation of the stream to its end or time limit.
template <typename Start>
ErrorCode await(Connection &Open, std::chrono::milliseconds Limit,
                Start Begin) {
  ErrorCode Result;
  Open.Stream->expires_after(Limit);
  Begin([&](ErrorCode Error, auto &&...) { Result = Error; });
  Open.Io.restart();
  Open.Io.run();
  return Result;
}

bool open(Connection &Open, const std::string &Address) {
  Open.Stream = std::make_unique<beast::tcp_stream>(Open.Io);
  Open.Input.clear();
  constexpr std::chrono::milliseconds ConnectLimit{1000};
  ErrorCode Error = await(Open, ConnectLimit, [&](auto Done) {
    Open.Stream->async_connect(stand_ins::parseEndpoint(Address), Done);
  });
  if (Error)
    Open.Stream.reset();
  return !Error;
}

// exchange() returns false when there was no whole answer.
bool exchange(Connection &Open, const Asked &Message, Answer &Got) {
  ErrorCode Error = await(Open, Deadline, [&](auto Done) {
    beast::http::async_write(*Open.Stream, Message, Done);
  });
  if (!Error)
    Error = await(Open, Deadline + Allowance, [&](auto Done) {
      beast::http::async_read(*Open.Stream, Open.Input, Got, Done);
    });
  return !Error;
}

Asked messageOf(const Request &One, const std::string &Target) {
  Asked Message;
  Message.version(11);
  Message.method(One.Idempotent ? beast::http::verb::get
                                : beast::http::verb::post);
  Message.target(Target);
  Message.set(beast::http::field::host, "lists.example");
  Message.set("Currantgauge-Attempt-Id", One.Id);
  Message.set("Currantgauge-Deadline-Milliseconds",
              std::to_string(Deadline.count()));
  if (!One.Idempotent)
    Message.body() = "order of " + One.Id;
  Message.prepare_payload();
  return Message;
}

// Why an answer is not the backend server's own to this request.
std::string wrongOf(const Answer &Got, const Asked &Message,
                    const Request &One) {
  if (Got.result_int() != 200)
    return "";
  std::string Signature(Got["Currantgauge-Response-Signature"]);
  if (Signature != "of " + One.Id)
    return "200 with the signature \"" + Signature + "\"";
  std::string Echo(Got["Currantgauge-Attempt-Id"]);
  if (Echo != One.Id)
    return "200 that echoes \"" + Echo + "\"";
  std::string Body = " " + std::string(Message.method_string()) + " " +
                     std::string(Message.target()) + " " + Message.body();
  return Got.body().ends_with(Body) ? "" : "200 with the body " + Got.body();
}

struct Caller {
  std::size_t Machine = 0;
  std::string Name;
  std::string Address;
  std::mt19937_64 Source;
  std::uint64_t Count = 0;
};

int draw(Caller &Self, int From, int To) {
  return std::uniform_int_distribution<>(From, To)(Self.Source);
}

// A route of each version and two of all: lists may be read again, commits may
// run once.
std::string chooseTarget(Caller &Self, std::uint32_t Newest, Request &One) {
  std::string Rest = std::to_string(draw(Self, 1, 1000));
  if (draw(Self, 1, VersionOneIn) == 1) {
    One.Version =
        static_cast<std::uint32_t>(draw(Self, 1, static_cast<int>(Newest)));
    return "/v" + std::to_string(One.Version) + "/" + Rest;
  }
  One.Idempotent = draw(Self, 1, ActionOneIn) != 1;
  return (One.Idempotent ? "/lists/" : "/commits/") + Rest;
}

Request askOnce(Caller &Self, Connection &Open, std::uint32_t Newest) {
  Request One;
  One.Machine = Self.Machine;
  One.Id = Self.Name + "-" + std::to_string(++Self.Count);
  std::string Target = chooseTarget(Self, Newest, One);
  Asked Message = messageOf(One, Target);
  Answer Got;
  One.Sent = now();
  bool Whole = exchange(Open, Message, Got);
  One.Ended = now();
  if (Whole) {
    One.Status = Got.result_int();
    One.Wrong = wrongOf(Got, Message, One);
    if (One.Wrong.empty() && Open.Input.size() > 0)
      One.Wrong = "bytes follow the answer";
  }
  if (!Whole || !Got.keep_alive())
    Open.Stream.reset();
  return One;
}

} // namespace

Seconds now() {
  return std::chrono::duration<double>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

Callers::Callers(const integration::MachineFleet &All, std::size_t PerMachine,
                 std::uint64_t Seed) {
  for (std::size_t I = 0; I < PerMachine * All.List.size(); ++I) {
    Caller Self;
    Self.Machine = I % All.List.size();
    Self.Name = "c" + std::to_string(I);
    Self.Address = All.Fleet.Nodes[All.List[Self.Machine].Node].CallerAddress;
    Self.Source.seed(Seed * 1000 + I);
    this->Threads.emplace_back([this, Self]() mutable {
      Connection Open;
      while (!this->Stop) {
        if (Open.Stream || open(Open, Self.Address)) {
          Request One = askOnce(Self, Open, this->Newest);
          std::lock_guard<std::mutex> Guard(this->Lock);
          this->Done.push_back(std::move(One));
        }
        std::this_thread::sleep_for(
            std::chrono::milliseconds(draw(Self, 1, LongestPause)));
      }
    });
  }
}

Callers::~Callers() { endCallers(*this); }

std::vector<Request> endCallers(Callers &Some) {
  Some.Stop = true;
  for (std::thread &Each : Some.Threads)
    if (Each.joinable())
      Each.join();
  std::lock_guard<std::mutex> Guard(Some.Lock);
  return std::exchange(Some.Done, {});
}

} // namespace currantgauge::soak
