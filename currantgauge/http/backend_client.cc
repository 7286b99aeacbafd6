#include "currantgauge/http/backend_client.h"

#include "currantgauge/http/await.h"
#include "currantgauge/http/backend_answer.h"
#include "currantgauge/http/fields.h"
#include "currantgauge/http/listener.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <cstdint>
#include <limits>
#include <string>

namespace currantgauge::http {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;
using ErrorCode = boost::system::error_code;
using Clock = std::chrono::steady_clock;
using AnswerParser = beast::http::response_parser<beast::http::buffer_body>;

constexpr std::chrono::seconds ConnectionAgeLimit{60};
// Answers to others that may come in front of the one awaited.
constexpr int StrayLimit = 4;
constexpr std::chrono::milliseconds ConnectLimit{1000};
constexpr unsigned UserTimeoutMillis = 5000; // TCP_USER_TIMEOUT
constexpr std::size_t IdlePerServer = 16;    // connections
constexpr std::size_t ChunkBytes = 16 * 1024;
constexpr std::uint32_t AnswerHeaderLimit = 64 * 1024; // bytes

// Exchange is the coroutine's own side.
struct Exchange {
  BackendPool &Pool;
  asio::io_context &Io;
  ExchangeParams What;
  BackendExchangePtr Handle;
  boost::intrusive_ptr<runtime::AnswerPipe> Pipe;
  std::shared_ptr<Wake> Room;
  std::unique_ptr<BackendConnection> Connection;
  Clock::time_point Deadline;
  core::ExchangeOutcome Outcome;
};

// A server that closed an idle connection shows as readable with no bytes.
bool isUsable(BackendConnection &Idle, Clock::time_point Now) {
  if (Now - Idle.Born > ConnectionAgeLimit ||
      Now - Idle.IdleSince > Idle.IdleLimit)
    return false;
  char Byte = 0;
  ssize_t Got = ::recv(Idle.Stream.socket().native_handle(), &Byte, 1,
                       MSG_PEEK | MSG_DONTWAIT);
  return Got < 0 && errno == EAGAIN;
}

// The one used last comes first.
std::unique_ptr<BackendConnection> takeIdle(Exchange &E) {
  auto &Idle = E.Pool.Idle[E.What.Address];
  std::chrono::microseconds Freshest(E.What.MaxIdle.Micros);
  while (!Idle.empty()) {
    bool Stale = E.What.MaxIdle > base::Duration{} &&
                 Clock::now() - Idle.back()->IdleSince > Freshest;
    if (Stale)
      return nullptr;
    std::unique_ptr<BackendConnection> Last = std::move(Idle.back());
    Idle.pop_back();
    if (isUsable(*Last, Clock::now()))
      return Last;
  }
  return nullptr;
}

void keepIdle(Exchange &E) {
  auto &Idle = E.Pool.Idle[E.What.Address];
  if (Idle.size() >= IdlePerServer)
    return;
  E.Connection->IdleSince = Clock::now();
  E.Connection->Stream.expires_never();
  Idle.push_back(std::move(E.Connection));
}

void setSocketOptions(tcp::socket &Socket) {
  ErrorCode Ignored;
  Socket.set_option(tcp::no_delay(true), Ignored);
  ::setsockopt(Socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
               &UserTimeoutMillis, sizeof(UserTimeoutMillis));
}

asio::awaitable<bool> connect(Exchange &E) {
  auto Endpoint = parseEndpoint(E.What.Address);
  if (!Endpoint) {
    E.Outcome.Reason = base::Reason::BackendRefusedConnection;
    co_return false;
  }
  E.Connection = std::make_unique<BackendConnection>(E.Io);
  E.Handle->Connection = E.Connection.get();
  E.Connection->Born = Clock::now();
  E.Connection->Stream.expires_at(
      std::min(E.Deadline, Clock::now() + ConnectLimit));
  ErrorCode Error;
  co_await E.Connection->Stream.async_connect(*Endpoint, into(Error));
  if (Error) {
    E.Outcome.Reason = base::Reason::BackendRefusedConnection;
    E.Outcome.SuspectedCrash = Error == asio::error::connection_refused;
    co_return false;
  }
  setSocketOptions(E.Connection->Stream.socket());
  co_return true;
}

asio::awaitable<bool> openConnection(Exchange &E) {
  if (!E.What.NewConnection)
    E.Connection = takeIdle(E);
  E.Outcome.NewConnection = !E.Connection;
  if (!E.Connection)
    co_return co_await connect(E);
  E.Handle->Connection = E.Connection.get();
  co_return true;
}

beast::http::request<beast::http::string_body> buildRequest(const Exchange &E) {
  beast::http::request<beast::http::string_body> Request;
  Request.version(11);
  Request.method_string(E.What.Message->Method);
  Request.target(E.What.Message->Target);
  for (const auto &[Name, Value] : E.What.Message->Headers)
    Request.insert(Name, Value);
  auto Set = [&Request](std::string_view Name, const std::string &Value) {
    Request.set(beast::string_view(Name.data(), Name.size()), Value);
  };
  auto Left = std::chrono::duration_cast<std::chrono::milliseconds>(
      E.Deadline - Clock::now());
  const HttpDialect &Wire = *E.What.Dialect;
  if (!Wire.RequestIdField.empty())
    Set(Wire.RequestIdField, base::formatId(E.What.Request));
  if (!Wire.ForwardsAttemptId)
    Set(Wire.AttemptIdField, base::formatId(E.What.Attempt));
  if (!Wire.ExpectedServerField.empty())
    Set(Wire.ExpectedServerField, E.What.ExpectedServer.Value);
  Set(Wire.TimeoutField,
      std::to_string(std::max<std::int64_t>(Left.count(), 1)));
  Request.body() = E.What.Message->Body;
  Request.prepare_payload();
  return Request;
}

base::Reason reasonOf(const Exchange &E, ErrorCode Error, bool AnyAnswer) {
  if (E.Handle->CancelWhy != base::Reason::None)
    return E.Handle->CancelWhy;
  if (Error == beast::error::timeout)
    return base::Reason::BackendTimeout;
  bool Closed = Error == beast::http::error::end_of_stream ||
                Error == beast::http::error::partial_message ||
                Error.category() != beast::http::make_error_code(
                                        beast::http::error::end_of_stream)
                                        .category();
  if (!Closed)
    return base::Reason::BackendError; // bytes that are no HTTP answer
  return AnyAnswer ? base::Reason::AnswerCutShort : base::Reason::BackendReset;
}

void fail(Exchange &E, ErrorCode Error, bool AnyAnswer) {
  E.Outcome.Reason = reasonOf(E, Error, AnyAnswer);
  E.Outcome.SuspectedCrash = E.Outcome.Reason == base::Reason::BackendReset ||
                             E.Outcome.Reason == base::Reason::AnswerCutShort;
}

// From the first byte on it can't be proved that the server did not run it.
asio::awaitable<bool> sendRequest(Exchange &E) {
  auto Request = buildRequest(E);
  ErrorCode Error;
  E.Connection->Stream.expires_at(E.Deadline);
  E.Outcome.AnyByteSent = true;
  co_await beast::http::async_write(E.Connection->Stream, Request, into(Error));
  if (Error)
    fail(E, Error, false);
  co_return !Error;
}

void pushHead(Exchange &E, const AnswerParser &Parser) {
  runtime::AnswerHead Head;
  Head.Status = Parser.get().result_int();
  for (const auto &Field : Parser.get()) {
    std::string Name(Field.name_string());
    if (!isHopByHop(Name) || beast::iequals(Name, "content-length"))
      Head.Headers.emplace_back(std::move(Name), std::string(Field.value()));
  }
  runtime::pushPart(*E.Pipe, std::move(Head));
}

// BodyUse is what becomes of a body: a stray answer's is read away.
enum class BodyUse { Pass, Skip };

asio::awaitable<bool> readBody(Exchange &E, AnswerParser &Parser, BodyUse Use) {
  ErrorCode Error;
  while (!Parser.is_done()) {
    while (Use == BodyUse::Pass && !runtime::hasRoom(*E.Pipe) &&
           E.Handle->CancelWhy == base::Reason::None)
      co_await waitFor(*E.Room);
    std::string Chunk(ChunkBytes, '\0');
    Parser.get().body().data = Chunk.data();
    Parser.get().body().size = Chunk.size();
    co_await beast::http::async_read_some(
        E.Connection->Stream, E.Connection->Input, Parser, into(Error));
    if (Error == beast::http::error::need_buffer)
      Error = {};
    Chunk.resize(ChunkBytes - Parser.get().body().size);
    if (Use == BodyUse::Pass && !Chunk.empty()) {
      E.Outcome.AnswerBytes.Bytes += Chunk.size();
      runtime::pushPart(*E.Pipe, runtime::AnswerChunk{std::move(Chunk)});
    }
    if (Error) {
      fail(E, Error, true);
      co_return false;
    }
  }
  co_return true;
}

// An answer that ends with its connection can't be told from one cut short,
// unless the dialect has servers reset what they break off.
asio::awaitable<void> readAnswer(Exchange &E) {
  bool Head = E.What.Message->Method == "HEAD";
  int Strays = 0;
  while (true) {
    AnswerParser Parser;
    Parser.header_limit(AnswerHeaderLimit);
    Parser.body_limit(std::numeric_limits<std::uint64_t>::max());
    Parser.skip(Head);
    ErrorCode Error;
    co_await beast::http::async_read_header(
        E.Connection->Stream, E.Connection->Input, Parser, into(Error));
    if (Error) {
      fail(E, Error, Error == beast::http::error::partial_message);
      co_return;
    }
    if (Parser.get().result_int() < 200)
      continue;
    if (isStray(Parser.get(), *E.What.Dialect, *E.What.Message)) {
      bool Skipped = ++Strays <= StrayLimit && !Parser.need_eof();
      if (Skipped)
        Skipped = co_await readBody(E, Parser, BodyUse::Skip);
      if (Skipped)
        continue;
      E.Outcome.Reason = base::Reason::AnswerCutShort;
      co_return;
    }
    E.Outcome.Status = Parser.get().result_int();
    readRetryAfter(Parser.get(), E.Outcome);
    readProofs(Parser.get(), *E.What.Dialect, E.Outcome);
    bool Framed = !Parser.need_eof();
    if (isSpoilt(Parser.get(), *E.What.Dialect)) {
      E.Outcome.Reason = base::Reason::AnswerCutShort;
      co_return;
    }
    pushHead(E, Parser);
    bool Whole = co_await readBody(E, Parser, BodyUse::Pass);
    if (!Whole)
      co_return;
    E.Outcome.AnswerComplete =
        Framed || E.What.Dialect->CloseDelimitedIsComplete;
    if (!E.Outcome.AnswerComplete)
      E.Outcome.Reason = base::Reason::AnswerCutShort;
    if (Framed && Parser.keep_alive() && E.Connection->Input.size() == 0) {
      E.Connection->IdleLimit = idleLimitOf(Parser.get());
      keepIdle(E);
    }
    co_return;
  }
}

// The awaits stand in statements of their own: the compiler miscompiles an
// await to the right of a short-circuiting operator.
asio::awaitable<void> attempt(Exchange &E) {
  bool Open = co_await openConnection(E);
  if (!Open)
    co_return;
  bool Sent = co_await sendRequest(E);
  if (Sent)
    co_await readAnswer(E);
}

asio::awaitable<void> run(std::shared_ptr<Exchange> E,
                          std::function<void(core::ExchangeOutcome)> Done) {
  if (E->Handle->CancelWhy == base::Reason::None)
    co_await attempt(*E);
  if (!E->Outcome.AnyByteSent && E->Handle->CancelWhy != base::Reason::None)
    E->Outcome.Reason = E->Handle->CancelWhy;
  E->Handle->Connection = nullptr;
  E->Handle->WakeWaiting = nullptr;
  runtime::setWakeWriter(*E->Pipe, nullptr);
  E->Connection.reset();
  Done(E->Outcome);
}

} // namespace

BackendExchangePtr
startExchange(BackendPool &Pool, asio::io_context &Io, ExchangeParams What,
              std::function<void(core::ExchangeOutcome)> Done) {
  BackendExchangePtr Handle(new BackendExchange);
  Handle->Io = &Io;
  auto Room = std::make_shared<Wake>(Io.get_executor());
  auto WakeRoom = [Room, &Io] { asio::post(Io, [Room] { raise(*Room); }); };
  runtime::setWakeWriter(*What.Pipe, WakeRoom);
  Handle->WakeWaiting = WakeRoom;
  auto Deadline =
      Clock::now() + std::chrono::microseconds(What.TimeLeft.Micros);
  auto Pipe = What.Pipe;
  auto E = std::make_shared<Exchange>(Exchange{
      Pool, Io, std::move(What), Handle, Pipe, Room, nullptr, Deadline, {}});
  asio::co_spawn(Io, run(E, std::move(Done)), asio::detached);
  return Handle;
}

void cancelExchange(const BackendExchangePtr &Exchange, base::Reason Why) {
  asio::post(*Exchange->Io, [Exchange, Why] {
    if (Exchange->CancelWhy == base::Reason::None)
      Exchange->CancelWhy = Why;
    if (Exchange->Connection)
      Exchange->Connection->Stream.close();
    if (Exchange->WakeWaiting)
      Exchange->WakeWaiting();
  });
}

} // namespace currantgauge::http
