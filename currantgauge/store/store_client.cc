#include "currantgauge/store/store_client.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <string>
#include <utility>
#include <variant>

namespace currantgauge::store {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using Clock = std::chrono::steady_clock;
using StreamPtr = std::unique_ptr<beast::tcp_stream>;

constexpr std::uint64_t AnswerLimitBytes = 64 * 1024 * 1024;
constexpr unsigned HttpTooManyRequests = 429;
// A try of a read gets this part of the time left, so that a connection that
// went silent leaves time for a new one.
constexpr int ReadTryShare = 3;
constexpr double RecoveryShare = 0.01; // of the highest rate, an answer

std::chrono::microseconds toChrono(base::Duration Span) {
  return std::chrono::microseconds(Span.Micros);
}

tcp::endpoint endpointOf(const base::NetAddress &Address) {
  std::size_t Colon = Address.Value.rfind(':');
  if (Colon == std::string::npos)
    throw boost::system::system_error(asio::error::invalid_argument);
  return tcp::endpoint(
      asio::ip::make_address(Address.Value.substr(0, Colon)),
      static_cast<unsigned short>(std::stoi(Address.Value.substr(Colon + 1))));
}

// reserve() returns when the next call may start.
Clock::time_point reserve(CallRate &Rate, base::Duration Burst,
                          Clock::time_point Now) {
  Clock::time_point Start = std::max(Rate.Next, Now - toChrono(Burst));
  Rate.Next = Start + std::chrono::microseconds(
                          static_cast<std::int64_t>(1e6 / Rate.PerSecond));
  return std::max(Start, Now);
}

void noteAnswer(CallRate &Rate, double Lowest, unsigned HttpStatus) {
  if (HttpStatus == HttpTooManyRequests)
    Rate.PerSecond = std::max(Lowest, Rate.PerSecond / 2);
  else
    Rate.PerSecond =
        std::min(Rate.Highest, Rate.PerSecond + Rate.Highest * RecoveryShare);
}

// A pooled connection that was closed meanwhile would leave a write in doubt.
bool isUsable(beast::tcp_stream &Stream) {
  char Byte = 0;
  boost::system::error_code Error;
  Stream.socket().non_blocking(true, Error);
  Stream.socket().receive(asio::buffer(&Byte, 1), tcp::socket::message_peek,
                          Error);
  return Error == asio::error::would_block;
}

StreamPtr takeIdle(StoreClient &Client) {
  while (!Client.Idle.empty()) {
    IdleConnection Last = std::move(Client.Idle.back());
    Client.Idle.pop_back();
    bool Young = Clock::now() - Last.Since < toChrono(Client.Limits.IdleTime);
    if (Young && isUsable(*Last.Stream))
      return std::move(Last.Stream);
  }
  return nullptr;
}

void putIdle(StoreClient &Client, StreamPtr Stream) {
  if (Client.Idle.size() < Client.Limits.IdleConnections)
    Client.Idle.push_back(IdleConnection{std::move(Stream), Clock::now()});
}

asio::awaitable<StreamPtr> connect(StoreClient &Client,
                                   Clock::time_point Deadline) {
  StreamPtr Stream = takeIdle(Client);
  if (Stream)
    co_return Stream;
  Stream = std::make_unique<beast::tcp_stream>(*Client.Strand);
  Stream->expires_at(Deadline);
  co_await Stream->async_connect(endpointOf(Client.Address),
                                 asio::use_awaitable);
  Stream->socket().set_option(tcp::no_delay(true));
  co_return Stream;
}

asio::awaitable<StoreResponse> sendAndReceive(beast::tcp_stream &Stream,
                                              const StoreRequest &Request) {
  co_await http::async_write(Stream, Request, asio::use_awaitable);
  beast::flat_buffer Buffer;
  http::response_parser<http::string_body> Parser;
  Parser.body_limit(AnswerLimitBytes);
  co_await http::async_read(Stream, Buffer, Parser, asio::use_awaitable);
  co_return Parser.release();
}

// Tried is how one try went. Limited: the service asked for fewer calls, and
// certainly applied nothing.
struct Tried {
  base::StoreResult Result;
  bool Limited = false;
};

// exchange() is one try on one connection.
asio::awaitable<Tried> exchange(StoreClient &Client,
                                const base::StoreOperation &Operation,
                                const StoreRequest &Request,
                                Clock::time_point Deadline) {
  bool MayBeApplied = false;
  try {
    StreamPtr Stream = co_await connect(Client, Deadline);
    Stream->expires_at(Deadline);
    MayBeApplied = isWrite(Operation);
    StoreResponse Response = co_await sendAndReceive(*Stream, Request);
    Stream->expires_never();
    noteAnswer(isWrite(Operation) ? Client.Writes : Client.Reads,
               Client.Limits.LowestPerSecond, Response.result_int());
    if (Response.keep_alive())
      putIdle(Client, std::move(Stream));
    co_return Tried{Client.Wire.Decode(Operation, Response),
                    Response.result_int() == HttpTooManyRequests};
  } catch (const std::exception &) {
    // Connections to one place tend to die together.
    Client.Idle.clear();
    base::StoreResult Failed;
    Failed.Status = MayBeApplied ? base::StoreStatus::Unknown
                                 : base::StoreStatus::Unavailable;
    co_return Tried{Failed, false};
  }
}

asio::awaitable<void> sleepUntil(Clock::time_point At) {
  asio::steady_timer Timer(co_await asio::this_coro::executor);
  Timer.expires_at(At);
  co_await Timer.async_wait(asio::use_awaitable);
}

Clock::time_point backoff(StoreClient &Client, int Try) {
  std::int64_t Limit = Client.Limits.FirstBackoff.Micros << std::min(Try, 6);
  std::int64_t Wait = Limit / 2 + Client.Jitter() % (Limit / 2 + 1);
  return Clock::now() + std::chrono::microseconds(Wait);
}

asio::awaitable<base::StoreResult>
callWithin(StoreClient &Client, const base::StoreOperation &Operation,
           const StoreRequest &Request, Clock::time_point Deadline) {
  bool Write = isWrite(Operation);
  CallRate &Rate = Write ? Client.Writes : Client.Reads;
  Tried Last;
  for (int Try = 0;; ++Try) {
    Clock::time_point Start = reserve(Rate, Client.Limits.Burst, Clock::now());
    if (Start >= Deadline)
      co_return Last.Result;
    if (Start > Clock::now())
      co_await sleepUntil(Start);
    Clock::time_point Now = Clock::now();
    // A watch waits for its answer on purpose and is asked again by its user.
    bool Watch = std::holds_alternative<base::WatchRows>(Operation);
    Last = co_await exchange(
        Client, Operation, Request,
        Write || Watch ? Deadline : Now + (Deadline - Now) / ReadTryShare);
    bool Again =
        !Watch &&
        (Last.Limited ||
         (!Write && Last.Result.Status == base::StoreStatus::Unavailable));
    Clock::time_point Next = backoff(Client, Try);
    if (!Again || Next >= Deadline)
      co_return Last.Result;
    co_await sleepUntil(Next);
  }
}

asio::awaitable<void> call(StoreClient &Client, base::StoreOperation Operation,
                           Clock::time_point Deadline,
                           std::function<void(base::StoreResult)> OnResult) {
  std::optional<StoreRequest> Request = Client.Wire.Encode(Operation);
  base::StoreResult Result;
  if (Request) {
    Request->set(http::field::host, Client.Address.Value);
    Request->prepare_payload();
    Result = co_await callWithin(Client, Operation, *Request, Deadline);
  }
  OnResult(std::move(Result));
}

} // namespace

StoreClient::StoreClient(base::NetAddress Address, StoreLimits Limits,
                         Encoding Wire)
    : Address(std::move(Address)), Limits(Limits),
      Wire(Wire), Reads{Limits.ReadsPerSecond, Limits.ReadsPerSecond, {}},
      Writes{Limits.WritesPerSecond, Limits.WritesPerSecond, {}},
      Jitter(std::random_device{}()) {}

void callStore(StoreClient &Client, asio::io_context &Io,
               const base::StoreOperation &Operation, base::Duration TimeLimit,
               std::function<void(base::StoreResult)> OnResult) {
  if (!Client.Strand)
    Client.Strand = asio::make_strand(Io);
  asio::co_spawn(*Client.Strand,
                 call(Client, Operation, Clock::now() + toChrono(TimeLimit),
                      std::move(OnResult)),
                 asio::detached);
}

} // namespace currantgauge::store
