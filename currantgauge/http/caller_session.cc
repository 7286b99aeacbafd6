#include "currantgauge/http/caller_session.h"

#include "currantgauge/http/await.h"
#include "currantgauge/http/caller_answer.h"
#include "currantgauge/http/caller_request.h"
#include "currantgauge/http/fields.h"
#include "currantgauge/http/pending_request.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <chrono>
#include <deque>
#include <string>

namespace currantgauge::http {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;
using ErrorCode = boost::system::error_code;

// Requests of one connection that are read before the first is answered.
constexpr std::size_t PipelineLimit = 32;
constexpr std::size_t ReadBytes = 4096; // of the first read of a request

// Session has a coroutine that reads requests and one that writes answers.
struct Session
    : boost::intrusive_ref_counter<Session, boost::thread_safe_counter> {
  CallerContext &Context;
  beast::tcp_stream Stream;
  beast::flat_buffer Input;
  std::deque<TurnPtr> Pending; // in the order of their requests
  Wake Answered;               // the writer has something to look at
  Wake Room;                   // the reader may go on
  asio::steady_timer IdleTimer;
  bool Reading = true;  // requests may follow
  bool Closing = false; // an answer said that the connection closes

  Session(tcp::socket Socket, CallerContext &Shared)
      : Context(Shared), Stream(std::move(Socket)),
        Answered(this->Stream.get_executor()),
        Room(this->Stream.get_executor()),
        IdleTimer(this->Stream.get_executor()) {}
};

using SessionPtr = boost::intrusive_ptr<Session>;
using RequestParser = beast::http::request_parser<beast::http::string_body>;

std::chrono::microseconds idleOf(const CallerContext &Context) {
  return std::chrono::microseconds(Context.IdleMicros);
}

// An idle connection is closed by this timer and not by the stream's, which
// would also end a read that waits while answers are on their way.
void armIdle(const SessionPtr &Self) {
  Self->IdleTimer.expires_after(idleOf(Self->Context));
  Self->IdleTimer.async_wait([Self](ErrorCode Error) {
    if (!Error && Self->Pending.empty() && Self->Input.size() == 0)
      Self->Stream.close();
  });
}

template <typename Message>
asio::awaitable<bool> writeMessage(Session &S, Message &Answer) {
  ErrorCode Error;
  S.Stream.expires_after(idleOf(S.Context));
  co_await beast::http::async_write(S.Stream, Answer, into(Error));
  co_return !Error && Answer.keep_alive();
}

asio::awaitable<bool> writeHeadOnly(Session &S, TextResponse &Answer) {
  ErrorCode Error;
  S.Stream.expires_after(idleOf(S.Context));
  beast::http::response_serializer<beast::http::string_body> Serializer(Answer);
  co_await beast::http::async_write_header(S.Stream, Serializer, into(Error));
  co_return !Error && Answer.keep_alive();
}

bool hasNoBody(const Turn &T) {
  auto Code = beast::http::int_to_status(T.Head.Status);
  return !T.BodyAwaited || Code == beast::http::status::no_content ||
         Code == beast::http::status::not_modified;
}

// An answer that ends before its end closes the connection in the middle of
// the message, so that the caller can't take it for a whole one.
asio::awaitable<bool> writeStream(Session &S, Turn &T, const AnswerMark &Mark,
                                  bool KeepAlive) {
  StreamResponse Answer = streamMessage(T.Head, Mark, T.Version, KeepAlive);
  beast::http::response_serializer<beast::http::buffer_body> Serializer(Answer);
  ErrorCode Error;
  S.Stream.expires_after(idleOf(S.Context));
  co_await beast::http::async_write_header(S.Stream, Serializer, into(Error));
  while (!Error && !T.Over) {
    readParts(S.Context, T);
    bool Last = T.End.has_value();
    if (Last && T.End->Verdict != base::Verdict::Ran)
      break;
    if (T.Body.empty() && !Last) {
      co_await waitFor(S.Answered);
      continue;
    }
    std::string Bytes = std::exchange(T.Body, std::string());
    Answer.body().data = Bytes.empty() ? nullptr : Bytes.data();
    Answer.body().size = Bytes.size();
    Answer.body().more = !Last;
    S.Stream.expires_after(idleOf(S.Context));
    co_await beast::http::async_write(S.Stream, Serializer, into(Error));
    if (Error == beast::http::error::need_buffer)
      Error = {};
    if (Last)
      co_return !Error && KeepAlive && Serializer.is_done();
  }
  co_return false;
}

asio::awaitable<bool> deliver(Session &S, Turn &T, bool KeepAlive) {
  AnswerMark Mark{T.Request, *T.Delivery, S.Context.Dialect.AddsMetadataFields};
  if (!T.End)
    co_return co_await writeStream(S, T, Mark, KeepAlive);
  TextResponse Answer =
      wholeMessage(T.Head, std::move(T.Body), Mark, KeepAlive);
  if (hasNoBody(T))
    co_return co_await writeHeadOnly(S, Answer);
  co_return co_await writeMessage(S, Answer);
}

asio::awaitable<bool> writeAnswer(Session &S, Turn &T, bool KeepAlive) {
  if (T.Ready) {
    T.Ready->keep_alive(KeepAlive);
    co_return co_await writeMessage(S, *T.Ready);
  }
  if (T.Issued) {
    TextResponse Answer =
        actionIdMessage(*T.Issued, S.Context.Dialect, KeepAlive);
    co_return co_await writeMessage(S, Answer);
  }
  if (T.Refusal) {
    TextResponse Answer =
        refusalMessage(*T.Refusal, S.Context.Dialect, KeepAlive);
    co_return co_await writeMessage(S, Answer);
  }
  co_return co_await deliver(S, T, KeepAlive);
}

// The connection ends: whoever still waits for an answer gets none.
void endSession(Session &S) {
  S.Closing = true;
  for (const TurnPtr &T : S.Pending)
    abandonTurn(S.Context, *T);
  S.Pending.clear();
  S.IdleTimer.cancel();
  ErrorCode Ignored;
  S.Stream.socket().shutdown(tcp::socket::shutdown_send, Ignored);
  S.Stream.close();
  raise(S.Room);
  raise(S.Answered);
}

// While the node stops, the last answer of a connection closes it. Requests
// that were read before are still answered.
asio::awaitable<void> writeAnswers(SessionPtr Self) {
  Session &S = *Self;
  while (!S.Closing) {
    while (!S.Closing && (S.Pending.empty() || !hasAnswer(*S.Pending.front())))
      co_await waitFor(S.Answered);
    if (S.Closing)
      break;
    TurnPtr T = S.Pending.front();
    bool Last = S.Pending.size() == 1 && (S.Context.Stopping || !S.Reading);
    bool KeepAlive = T->KeepAlive && !Last;
    bool More = co_await writeAnswer(S, *T, KeepAlive);
    if (S.Closing)
      break;
    if (T->Pipe && T->Delivery && !T->End)
      abandonTurn(S.Context, *T);
    T->Over = true;
    S.Pending.pop_front();
    if (!More)
      break;
    raise(S.Room);
    if (S.Pending.empty())
      armIdle(Self);
  }
  if (!S.Closing)
    endSession(S);
}

base::Reason reasonOf(ErrorCode Error) {
  if (Error == beast::http::error::body_limit)
    return base::Reason::BodyTooLarge;
  if (Error == beast::http::error::header_limit ||
      Error == beast::http::error::buffer_overflow)
    return base::Reason::HeaderTooLarge;
  if (Error == beast::error::timeout)
    return base::Reason::CallerTimeout;
  return base::Reason::BadRequest;
}

std::string sentenceOf(ErrorCode Error) {
  base::Reason Why = reasonOf(Error);
  if (Why != base::Reason::BadRequest)
    return std::string(base::reasonText(Why));
  return "the request can't be read: " + Error.message();
}

void addTurn(Session &S, TurnPtr T) {
  S.IdleTimer.cancel();
  S.Pending.push_back(std::move(T));
  raise(S.Answered);
}

void refuseInput(Session &S, base::Reason Why, const std::string &Detail) {
  S.Context.Post(
      runtime::ControlInput{core::InputRefused{Why}, {}, {}, {}, {}});
  TurnPtr T(new Turn);
  T->KeepAlive = false;
  T->Ready = badRequestMessage(Why, S.Context.Dialect, Detail);
  S.Reading = false;
  addTurn(S, std::move(T));
}

asio::awaitable<void> sendContinue(Session &S) {
  while (!S.Closing && !S.Pending.empty())
    co_await waitFor(S.Room);
  beast::http::response<beast::http::empty_body> Continue(
      beast::http::status::continue_, 11);
  ErrorCode Ignored; // a caller that is gone shows at the next read
  co_await beast::http::async_write(S.Stream, Continue, into(Ignored));
}

// Returns an error when the connection has no further request.
asio::awaitable<ErrorCode> readRequest(Session &S, RequestParser &Parser) {
  Parser.header_limit(static_cast<std::uint32_t>(S.Context.HeaderBytes));
  Parser.body_limit(S.Context.BodyBytes.load());
  ErrorCode Error;
  if (S.Input.size() == 0) {
    S.Stream.expires_never();
    std::size_t Got = co_await S.Stream.async_read_some(
        S.Input.prepare(ReadBytes), into(Error));
    if (Error)
      co_return asio::error::eof;
    S.Input.commit(Got);
  }
  S.IdleTimer.cancel();
  S.Stream.expires_after(std::chrono::microseconds(S.Context.ReadMicros));
  co_await beast::http::async_read_header(S.Stream, S.Input, Parser,
                                          into(Error));
  if (!Error &&
      beast::iequals(Parser.get()[beast::http::field::expect], "100-continue"))
    co_await sendContinue(S);
  if (!Error)
    co_await beast::http::async_read(S.Stream, S.Input, Parser, into(Error));
  co_return Error;
}

bool asksForActionId(const CallerContext &Context, const TextRequest &Request) {
  return Context.Dialect.IssuesActionIds &&
         Request.method() == beast::http::verb::post &&
         Request.target() ==
             beast::string_view(ActionsPath.data(), ActionsPath.size());
}

void startTurn(const SessionPtr &Self, TextRequest Request) {
  Session &S = *Self;
  std::string Detail;
  auto Facts = readFacts(Request, S.Context.Dialect, Detail);
  if (!Facts)
    return refuseInput(S, base::Reason::BadRequest, Detail);
  TurnPtr T(new Turn);
  T->Request = base::RequestId{S.Context.Origin, ++S.Context.LastRequest};
  Facts->Request = T->Request;
  T->Version = Request.version();
  T->KeepAlive = Request.keep_alive();
  T->BodyAwaited = Request.method() != beast::http::verb::head;
  S.Reading = S.Reading && T->KeepAlive;
  runtime::ControlInput Input;
  if (asksForActionId(S.Context, Request))
    Input.Body = core::ActionIdRequested{Facts->Request};
  else
    Input.Body = core::RequestArrived{*Facts};
  TurnPlace Where{S.Context, S.Stream.get_executor(),
                  [Self] { raise(Self->Answered); }};
  Input.Caller = makeExchange(Where, T);
  Input.Message =
      readMessage(std::move(Request), S.Context.Dialect, S.Context.Service);
  addTurn(S, std::move(T));
  S.Context.Post(std::move(Input));
}

// After the last request the end of the caller's bytes is still watched for:
// it says that the caller is gone.
asio::awaitable<void> watchEnd(Session &S) {
  ErrorCode Error;
  while (!S.Closing && !Error) {
    S.Input.clear();
    S.Stream.expires_never();
    co_await S.Stream.async_read_some(S.Input.prepare(ReadBytes), into(Error));
  }
}

asio::awaitable<void> readRequests(SessionPtr Self) {
  Session &S = *Self;
  armIdle(Self);
  while (S.Reading && !S.Closing) {
    while (!S.Closing && S.Pending.size() >= PipelineLimit)
      co_await waitFor(S.Room);
    if (S.Closing)
      break;
    RequestParser Parser;
    ErrorCode Error = co_await readRequest(S, Parser);
    if (S.Closing)
      break;
    if (!Error) {
      startTurn(Self, Parser.release());
      continue;
    }
    bool Ended = Error == asio::error::eof ||
                 Error == beast::http::error::end_of_stream ||
                 Error == asio::error::connection_reset;
    if (Ended)
      break;
    refuseInput(S, reasonOf(Error), sentenceOf(Error));
  }
  if (!S.Reading && !S.Closing)
    co_await watchEnd(S);
  if (!S.Closing)
    endSession(S);
}

std::uint64_t firstSet(base::ByteCount Told, base::ByteCount Own) {
  return (Told > base::ByteCount{} ? Told : Own).Bytes;
}

std::int64_t firstSet(base::Duration Told, base::Duration Own) {
  return (Told > base::Duration{} ? Told : Own).Micros;
}

} // namespace

void setCallerLimits(CallerContext &Context,
                     const config::CallerLimits &Limits) {
  const config::CallerLimits &Own = Context.DefaultLimits;
  Context.HeaderBytes = firstSet(Limits.HeaderLimit, Own.HeaderLimit);
  Context.BodyBytes = firstSet(Limits.BodyLimit, Own.BodyLimit);
  Context.IdleMicros = firstSet(Limits.IdleTimeout, Own.IdleTimeout);
  Context.ReadMicros = firstSet(Limits.ReadTimeout, Own.ReadTimeout);
}

void startCallerSession(tcp::socket Socket, CallerContext &Context) {
  auto Executor = Socket.get_executor();
  SessionPtr Self(new Session(std::move(Socket), Context));
  asio::co_spawn(Executor, writeAnswers(Self), asio::detached);
  asio::co_spawn(Executor, readRequests(Self), asio::detached);
}

} // namespace currantgauge::http
