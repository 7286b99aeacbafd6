#include "currantgauge/store/store_client.h"

#include "currantgauge/runtime/tcp_options.h"

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

constexpr std::uint64_t MaxAnswerBytes = 64 * 1024 * 1024;
constexpr unsigned HttpTooManyRequests = 429;
// A connection fails when the service's host has acknowledged nothing for this
// long: of data that was sent, or of the probes of an idle connection.
constexpr std::chrono::milliseconds UserTimeout{2500};
constexpr std::chrono::seconds ProbeInterval{1};
// Each try of a read gets the remaining time divided by this, so that after a
// try on an unresponsive connection there is time for another one.
constexpr int ReadTryDivisor = 3;
// Share of MaxPerSecond by which each response other than 429 raises the rate.
constexpr double RecoveryShare = 0.01;

std::chrono::microseconds toChrono(base::Duration Span) {
  return std::chrono::microseconds(Span.Micros);
}

tcp::endpoint parseEndpoint(const base::NetAddress &Address) {
  std::size_t Colon = Address.Value.rfind(':');
  if (Colon == std::string::npos)
    throw boost::system::system_error(asio::error::invalid_argument);
  return tcp::endpoint(
      asio::ip::make_address(Address.Value.substr(0, Colon)),
      static_cast<unsigned short>(std::stoi(Address.Value.substr(Colon + 1))));
}

// Reserves the next call and returns when it may start.
Clock::time_point reserveStart(CallRate &Rate, base::Duration Burst,
                               Clock::time_point Now) {
  Clock::time_point Start = std::max(Rate.NextStart, Now - toChrono(Burst));
  Rate.NextStart = Start + std::chrono::microseconds(
                               static_cast<std::int64_t>(1e6 / Rate.PerSecond));
  return std::max(Start, Now);
}

void adjustRate(CallRate &Rate, double MinPerSecond, unsigned HttpStatus) {
  if (HttpStatus == HttpTooManyRequests)
    Rate.PerSecond = std::max(MinPerSecond, Rate.PerSecond / 2);
  else
    Rate.PerSecond = std::min(
        Rate.MaxPerSecond, Rate.PerSecond + Rate.MaxPerSecond * RecoveryShare);
}

// Checked before reuse, because a write sent on a connection that the service
// has closed would have an unknown outcome.
bool isOpen(beast::tcp_stream &Stream) {
  char Byte = 0;
  boost::system::error_code Error;
  Stream.socket().non_blocking(true, Error);
  Stream.socket().receive(asio::buffer(&Byte, 1), tcp::socket::message_peek,
                          Error);
  return Error == asio::error::would_block;
}

StreamPtr popIdle(StoreClient &Client) {
  while (!Client.Idle.empty()) {
    IdleConnection Connection = std::move(Client.Idle.back());
    Client.Idle.pop_back();
    bool IsFresh = Clock::now() - Connection.IdleSince <
                   toChrono(Client.Limits.MaxIdleTime);
    if (IsFresh && isOpen(*Connection.Stream))
      return std::move(Connection.Stream);
  }
  return nullptr;
}

void pushIdle(StoreClient &Client, StreamPtr Stream) {
  if (Client.Idle.size() < Client.Limits.MaxIdleConnections)
    Client.Idle.push_back(IdleConnection{std::move(Stream), Clock::now()});
}

asio::awaitable<StreamPtr> connect(StoreClient &Client,
                                   Clock::time_point Deadline) {
  StreamPtr Stream = popIdle(Client);
  if (Stream)
    co_return Stream;
  Stream = std::make_unique<beast::tcp_stream>(*Client.Strand);
  Stream->expires_at(Deadline);
  co_await Stream->async_connect(parseEndpoint(Client.Address),
                                 asio::use_awaitable);
  runtime::setTcpOptions(Stream->socket(), UserTimeout);
  runtime::probeWhenIdle(Stream->socket(), ProbeInterval);
  co_return Stream;
}

asio::awaitable<StoreResponse> sendAndReceive(beast::tcp_stream &Stream,
                                              const StoreRequest &Request) {
  co_await http::async_write(Stream, Request, asio::use_awaitable);
  beast::flat_buffer Buffer;
  http::response_parser<http::string_body> Parser;
  Parser.body_limit(MaxAnswerBytes);
  co_await http::async_read(Stream, Buffer, Parser, asio::use_awaitable);
  co_return Parser.release();
}

// TryResult is the result of one try. RateLimited: the service answered 429, so
// the operation was not applied.
struct TryResult {
  base::StoreResult Result;
  bool RateLimited = false;
};

// Sends the request once, on one connection.
asio::awaitable<TryResult> tryOnce(StoreClient &Client,
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
    adjustRate(isWrite(Operation) ? Client.Writes : Client.Reads,
               Client.Limits.MinPerSecond, Response.result_int());
    if (Response.keep_alive())
      pushIdle(Client, std::move(Stream));
    co_return TryResult{Client.Codec.Decode(Operation, Response),
                        Response.result_int() == HttpTooManyRequests};
  } catch (const std::exception &) {
    // The other connections to the service have probably failed as well.
    Client.Idle.clear();
    base::StoreResult Failed;
    Failed.Status = MayBeApplied ? base::StoreStatus::Unknown
                                 : base::StoreStatus::Unavailable;
    co_return TryResult{Failed, false};
  }
}

asio::awaitable<void> sleepUntil(Clock::time_point Time) {
  asio::steady_timer Timer(co_await asio::this_coro::executor);
  Timer.expires_at(Time);
  co_await Timer.async_wait(asio::use_awaitable);
}

Clock::time_point nextTryTime(StoreClient &Client, int Try) {
  std::int64_t MaxWait = Client.Limits.InitialBackoff.Micros
                         << std::min(Try, 6);
  std::int64_t Wait = MaxWait / 2 + Client.Jitter() % (MaxWait / 2 + 1);
  return Clock::now() + std::chrono::microseconds(Wait);
}

asio::awaitable<base::StoreResult>
callWithRetries(StoreClient &Client, const base::StoreOperation &Operation,
                const StoreRequest &Request, Clock::time_point Deadline) {
  bool IsWrite = isWrite(Operation);
  CallRate &Rate = IsWrite ? Client.Writes : Client.Reads;
  TryResult LastTry;
  for (int Try = 0;; ++Try) {
    Clock::time_point Start =
        reserveStart(Rate, Client.Limits.Burst, Clock::now());
    if (Start >= Deadline)
      co_return LastTry.Result;
    if (Start > Clock::now())
      co_await sleepUntil(Start);
    Clock::time_point Now = Clock::now();
    // A watch is a long poll that may take until its deadline. The caller of
    // callStore() repeats it.
    bool IsWatch = std::holds_alternative<base::WatchRows>(Operation);
    LastTry = co_await tryOnce(Client, Operation, Request,
                               IsWrite || IsWatch
                                   ? Deadline
                                   : Now + (Deadline - Now) / ReadTryDivisor);
    bool ShouldRetry =
        !IsWatch &&
        (LastTry.RateLimited ||
         (!IsWrite && LastTry.Result.Status == base::StoreStatus::Unavailable));
    Clock::time_point RetryTime = nextTryTime(Client, Try);
    if (!ShouldRetry || RetryTime >= Deadline)
      co_return LastTry.Result;
    co_await sleepUntil(RetryTime);
  }
}

asio::awaitable<void> call(StoreClient &Client, base::StoreOperation Operation,
                           Clock::time_point Deadline,
                           std::function<void(base::StoreResult)> OnResult) {
  std::optional<StoreRequest> Request = Client.Codec.Encode(Operation);
  base::StoreResult Result;
  if (Request) {
    Request->set(http::field::host, Client.Address.Value);
    Request->prepare_payload();
    Result = co_await callWithRetries(Client, Operation, *Request, Deadline);
  }
  OnResult(std::move(Result));
}

} // namespace

StoreClient::StoreClient(base::NetAddress Address, StoreLimits Limits,
                         Encoding Codec)
    : Address(std::move(Address)), Limits(Limits),
      Codec(Codec), Reads{Limits.ReadsPerSecond, Limits.ReadsPerSecond, {}},
      Writes{Limits.WritesPerSecond, Limits.WritesPerSecond, {}},
      Jitter(std::random_device{}()) {}

void callStore(StoreClient &Client, asio::io_context &Io,
               const base::StoreOperation &Operation, base::Duration Timeout,
               std::function<void(base::StoreResult)> OnResult) {
  if (!Client.Strand)
    Client.Strand = asio::make_strand(Io);
  asio::co_spawn(*Client.Strand,
                 call(Client, Operation, Clock::now() + toChrono(Timeout),
                      std::move(OnResult)),
                 asio::detached);
}

} // namespace currantgauge::store
