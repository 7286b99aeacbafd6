#include "currantgauge/http/backend_client.h"

#include "currantgauge/http/await.h"
#include "currantgauge/http/backend_answer.h"
#include "currantgauge/http/fields.h"
#include "currantgauge/http/listener.h"
#include "currantgauge/runtime/tcp_options.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/span_body.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <memory>
#include <string>
#include <utility>

namespace currantgauge::http {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using ErrorCode = boost::system::error_code;
using Clock = std::chrono::steady_clock;
using AnswerParser = beast::http::response_parser<beast::http::buffer_body>;

// Maximum number of late answers to other attempts that one exchange skips.
constexpr int StaleAnswerLimit = 4;
// Maximum number of interim answers before the final one.
constexpr int InterimAnswerLimit = 16;
constexpr std::chrono::milliseconds ConnectTimeout{1000};
constexpr std::chrono::milliseconds UserTimeout{5000};
constexpr std::size_t ChunkBytes = 16 * 1024;
constexpr std::uint32_t AnswerHeaderLimitBytes = 64 * 1024;

// Exchange is the state of the coroutine that runs an exchange.
struct Exchange {
  BackendPool &Pool;
  asio::io_context &Io;
  ExchangeParams Params;
  BackendExchangePtr Handle;
  boost::intrusive_ptr<runtime::AnswerPipe> Pipe;
  std::shared_ptr<AsyncEvent> PipeHasRoom;
  std::unique_ptr<BackendConnection> Connection;
  Clock::time_point Deadline;
  core::ExchangeOutcome Outcome;
};

asio::awaitable<bool> connect(Exchange &E) {
  auto Endpoint = parseEndpoint(E.Params.Address);
  if (!Endpoint) {
    E.Outcome.Reason = base::Reason::BackendRefusedConnection;
    co_return false;
  }
  E.Connection = std::make_unique<BackendConnection>(E.Io);
  E.Handle->Connection = E.Connection.get();
  E.Connection->CreatedAt = Clock::now();
  E.Connection->Stream.expires_at(
      std::min(E.Deadline, Clock::now() + ConnectTimeout));
  ErrorCode Error;
  co_await E.Connection->Stream.async_connect(*Endpoint, redirectError(Error));
  if (Error) {
    E.Outcome.Reason = base::Reason::BackendRefusedConnection;
    E.Outcome.SuspectedCrash = Error == asio::error::connection_refused;
    co_return false;
  }
  runtime::setTcpOptions(E.Connection->Stream.socket(), UserTimeout);
  co_return true;
}

asio::awaitable<bool> openConnection(Exchange &E) {
  if (!E.Params.NewConnection)
    E.Connection = takeIdleConnection(
        E.Pool, E.Params.Address, E.Params.MaxIdle,
        echoedAttemptIdOf(*E.Params.Message, *E.Params.Dialect));
  E.Outcome.NewConnection = !E.Connection;
  if (!E.Connection)
    co_return co_await connect(E);
  E.Handle->Connection = E.Connection.get();
  co_return true;
}

// The body stays in the message, which all attempts share.
beast::http::request<beast::http::span_body<const char>>
buildRequest(const Exchange &E) {
  beast::http::request<beast::http::span_body<const char>> Request;
  Request.version(11);
  Request.method_string(E.Params.Message->Method);
  Request.target(E.Params.Message->Target);
  for (const auto &[Name, Value] : E.Params.Message->Headers)
    Request.insert(Name, Value);
  auto Set = [&Request](std::string_view Name, const std::string &Value) {
    Request.set(beast::string_view(Name.data(), Name.size()), Value);
  };
  auto TimeLeft = std::chrono::duration_cast<std::chrono::milliseconds>(
      E.Deadline - Clock::now());
  const HttpDialect &Dialect = *E.Params.Dialect;
  if (!Dialect.RequestIdField.empty())
    Set(Dialect.RequestIdField, base::formatId(E.Params.Request));
  if (!Dialect.ForwardsAttemptId)
    Set(Dialect.AttemptIdField, base::formatId(E.Params.Attempt));
  if (!Dialect.ExpectedServerField.empty())
    Set(Dialect.ExpectedServerField, E.Params.ExpectedServer.Value);
  if (!Dialect.SentWorkspaceField.empty()) {
    // Servers trust this field, whatever the caller sent.
    Request.erase(Dialect.SentWorkspaceField);
    if (!E.Params.Workspace.empty())
      Set(Dialect.SentWorkspaceField, E.Params.Workspace.Value);
  }
  Set(Dialect.TimeoutField,
      std::to_string(std::max<std::int64_t>(TimeLeft.count(), 1)));
  const std::string &Body = E.Params.Message->Body;
  Request.body() = beast::span<const char>(Body.data(), Body.size());
  Request.prepare_payload();
  return Request;
}

// AnswerStarted says whether a part of the answer was received.
base::Reason reasonOf(const Exchange &E, ErrorCode Error, bool AnswerStarted) {
  if (E.Handle->CancelReason != base::Reason::None)
    return E.Handle->CancelReason;
  if (Error == beast::error::timeout)
    return base::Reason::BackendTimeout;
  bool Closed = Error == beast::http::error::end_of_stream ||
                Error == beast::http::error::partial_message ||
                Error.category() != beast::http::make_error_code(
                                        beast::http::error::end_of_stream)
                                        .category();
  if (!Closed)
    return base::Reason::BackendError; // not a valid HTTP message
  return AnswerStarted ? base::Reason::AnswerCutShort
                       : base::Reason::BackendReset;
}

void setFailure(Exchange &E, ErrorCode Error, bool AnswerStarted) {
  E.Outcome.Reason = reasonOf(E, Error, AnswerStarted);
  E.Outcome.SuspectedCrash = E.Outcome.Reason == base::Reason::BackendReset ||
                             E.Outcome.Reason == base::Reason::AnswerCutShort;
}

// Sets AnyByteSent first: once a byte may have been sent, only the server can
// confirm that it did not run the request.
asio::awaitable<bool> sendRequest(Exchange &E) {
  auto Request = buildRequest(E);
  ErrorCode Error;
  E.Connection->Stream.expires_at(E.Deadline);
  E.Outcome.AnyByteSent = true;
  co_await beast::http::async_write(E.Connection->Stream, Request,
                                    redirectError(Error));
  if (Error)
    setFailure(E, Error, false);
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

// BodyHandling says whether a body is forwarded to the pipe or, for a stale
// answer, read and discarded.
enum class BodyHandling { Forward, Discard };

asio::awaitable<bool> readBody(Exchange &E, AnswerParser &Parser,
                               BodyHandling Handling) {
  ErrorCode Error;
  std::string Buffer(ChunkBytes, '\0');
  while (!Parser.is_done()) {
    while (Handling == BodyHandling::Forward && !runtime::hasRoom(*E.Pipe) &&
           E.Handle->CancelReason == base::Reason::None)
      co_await waitFor(*E.PipeHasRoom);
    Parser.get().body().data = Buffer.data();
    Parser.get().body().size = Buffer.size();
    co_await beast::http::async_read_some(E.Connection->Stream,
                                          E.Connection->Input, Parser,
                                          redirectError(Error));
    if (Error == beast::http::error::need_buffer)
      Error = {};
    std::size_t Size = Buffer.size() - Parser.get().body().size;
    if (Handling == BodyHandling::Forward && Size > 0) {
      E.Outcome.AnswerBytes.Bytes += Size;
      runtime::pushPart(*E.Pipe,
                        runtime::AnswerChunk{std::string(Buffer, 0, Size)});
    }
    if (Error) {
      setFailure(E, Error, true);
      co_return false;
    }
  }
  co_return true;
}

// Whether the server confirms that it did not run the request. A server may
// repeat an earlier refusal: one that echoes no attempt id is a confirmation
// only as the first refusal on its connection.
void readRefusal(Exchange &E, const AnswerHeader &Head) {
  const HttpDialect &Dialect = *E.Params.Dialect;
  auto &Refused = E.Connection->RefusedAttempts;
  readNotRunConfirmation(Head, Dialect, E.Outcome);
  if (!E.Outcome.ConfirmedNotRun)
    return;
  if (isUnidentified(Head, Dialect, *E.Params.Message)) {
    E.Outcome.ConfirmedNotRun = Refused.empty();
    E.Connection->Reusable = false;
  }
  Refused.insert(echoedAttemptIdOf(*E.Params.Message, Dialect));
}

// Sets the reason of the outcome if the answer can't be passed on.
void readAnswerHeader(Exchange &E, const AnswerHeader &Head) {
  const HttpDialect &Dialect = *E.Params.Dialect;
  E.Outcome.Status = Head.result_int();
  readRetryAfter(Head, E.Outcome);
  readRefusal(E, Head);
  if (isUnprovenRefusal(Head, Dialect, E.Outcome))
    E.Outcome.Reason = base::Reason::BackendError;
  else if (isInvalidAnswer(Head, Dialect) ||
           (isSuccess(Head) &&
            isUnidentified(Head, Dialect, *E.Params.Message)))
    E.Outcome.Reason = base::Reason::AnswerCutShort;
}

// Reads the answer to this attempt. The end of a close-delimited answer can't
// be told from a truncation, unless the dialect's servers reset the connection
// when they break off an answer.
asio::awaitable<void> readAnswer(Exchange &E) {
  bool IsHead = E.Params.Message->Method == "HEAD";
  int StaleAnswers = 0, InterimAnswers = 0;
  while (true) {
    AnswerParser Parser;
    Parser.header_limit(AnswerHeaderLimitBytes);
    Parser.body_limit(std::numeric_limits<std::uint64_t>::max());
    Parser.skip(IsHead);
    ErrorCode Error;
    co_await beast::http::async_read_header(E.Connection->Stream,
                                            E.Connection->Input, Parser,
                                            redirectError(Error));
    if (Error) {
      setFailure(E, Error, Error == beast::http::error::partial_message);
      co_return;
    }
    AnswerKind Kind = kindOf(Parser.get());
    if (Kind == AnswerKind::Interim && ++InterimAnswers <= InterimAnswerLimit)
      continue;
    if (Kind != AnswerKind::Final) {
      E.Outcome.Reason = base::Reason::AnswerCutShort;
      co_return;
    }
    if (isStaleAnswer(Parser.get(), *E.Params.Dialect, *E.Params.Message)) {
      E.Connection->RefusedAttempts.insert(
          echoOf(Parser.get(), *E.Params.Dialect));
      bool Discarded = ++StaleAnswers <= StaleAnswerLimit && !Parser.need_eof();
      if (Discarded)
        Discarded = co_await readBody(E, Parser, BodyHandling::Discard);
      if (Discarded)
        continue;
      E.Outcome.Reason = base::Reason::AnswerCutShort;
      co_return;
    }
    readAnswerHeader(E, Parser.get());
    if (E.Outcome.Reason != base::Reason::None)
      co_return;
    bool Framed = !Parser.need_eof();
    pushHead(E, Parser);
    bool Complete = co_await readBody(E, Parser, BodyHandling::Forward);
    if (!Complete)
      co_return;
    E.Outcome.AnswerComplete =
        Framed || E.Params.Dialect->CloseDelimitedIsComplete;
    if (!E.Outcome.AnswerComplete)
      E.Outcome.Reason = base::Reason::AnswerCutShort;
    if (Framed && Parser.keep_alive() && E.Connection->Input.size() == 0) {
      E.Connection->IdleLimit = idleLimitOf(Parser.get());
      returnToPool(E.Pool, E.Params.Address, std::move(E.Connection));
    }
    co_return;
  }
}

// Each co_await is a separate statement: the compiler miscompiles a co_await on
// the right-hand side of a short-circuiting operator.
asio::awaitable<void> sendAndReceive(Exchange &E) {
  bool Open = co_await openConnection(E);
  if (!Open)
    co_return;
  bool Sent = co_await sendRequest(E);
  if (Sent)
    co_await readAnswer(E);
}

asio::awaitable<void>
runExchange(std::shared_ptr<Exchange> E,
            std::function<void(core::ExchangeOutcome)> OnEnded) {
  if (E->Handle->CancelReason == base::Reason::None)
    co_await sendAndReceive(*E);
  if (!E->Outcome.AnyByteSent && E->Handle->CancelReason != base::Reason::None)
    E->Outcome.Reason = E->Handle->CancelReason;
  E->Handle->Connection = nullptr;
  E->Handle->WakeWriter = nullptr;
  runtime::setWakeWriter(*E->Pipe, nullptr);
  E->Connection.reset();
  OnEnded(E->Outcome);
}

} // namespace

BackendExchangePtr
startExchange(BackendPool &Pool, asio::io_context &Io, ExchangeParams Params,
              std::function<void(core::ExchangeOutcome)> OnEnded) {
  BackendExchangePtr Handle(new BackendExchange);
  Handle->Io = &Io;
  auto PipeHasRoom = std::make_shared<AsyncEvent>(Io.get_executor());
  auto WakeWriter = [PipeHasRoom, &Io] {
    asio::post(Io, [PipeHasRoom] { notify(*PipeHasRoom); });
  };
  runtime::setWakeWriter(*Params.Pipe, WakeWriter);
  Handle->WakeWriter = WakeWriter;
  auto Deadline =
      Clock::now() + std::chrono::microseconds(Params.TimeLeft.Micros);
  auto Pipe = Params.Pipe;
  auto E = std::make_shared<Exchange>(Exchange{Pool,
                                               Io,
                                               std::move(Params),
                                               Handle,
                                               Pipe,
                                               PipeHasRoom,
                                               nullptr,
                                               Deadline,
                                               {}});
  asio::co_spawn(Io, runExchange(E, std::move(OnEnded)), asio::detached);
  return Handle;
}

void cancelExchange(const BackendExchangePtr &Exchange, base::Reason Reason) {
  asio::post(*Exchange->Io, [Exchange, Reason] {
    if (Exchange->CancelReason == base::Reason::None)
      Exchange->CancelReason = Reason;
    if (Exchange->Connection)
      Exchange->Connection->Stream.close();
    if (Exchange->WakeWriter)
      Exchange->WakeWriter();
  });
}

} // namespace currantgauge::http
