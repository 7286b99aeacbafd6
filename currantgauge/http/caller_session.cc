#include "currantgauge/http/caller_session.h"

#include "currantgauge/http/answer_writer.h"
#include "currantgauge/http/await.h"
#include "currantgauge/http/caller_answer.h"
#include "currantgauge/http/caller_body.h"
#include "currantgauge/http/caller_request.h"
#include "currantgauge/http/pending_request.h"
#include "currantgauge/http/session_end.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/socket_base.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <string>

namespace currantgauge::http {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;
using ErrorCode = boost::system::error_code;

// Requests of one connection that may be unanswered at a time.
constexpr std::size_t PipelineLimit = 32;
// What the kernel keeps at most; enough for 100 Mbit/s at a 10 ms round trip.
constexpr int ReceiveBufferBytes = 128 * 1024;
// Time for a caller to close its connection after the last answer.
constexpr std::chrono::seconds LingerTime{1};

// Session is a caller's connection. One coroutine reads requests, another
// writes answers.
struct Session
    : boost::intrusive_ref_counter<Session, boost::thread_safe_counter> {
  CallerContext &Context;
  beast::tcp_stream Stream;
  beast::flat_buffer Input;
  std::deque<PendingRequestPtr> Requests; // unanswered, in order of arrival
  AsyncEvent AnswerReady; // a request may have an answer, or the session ends
  AsyncEvent RequestAnswered; // an answer was written, or the session ends
  asio::steady_timer IdleTimer;
  std::chrono::steady_clock::time_point IdleSince;
  asio::steady_timer ReadTimer;
  InputClaim *Claim = nullptr;    // of the request that is being read
  bool AcceptsRequests = true;    // more requests may be read
  bool Closing = false;           // nothing more is answered
  bool AwaitsRequest = false;     // no byte of the next request was read
  bool ReadsRequest = false;      // only a part of the next request was read
  bool IdleExpired = false;       // the idle timer ended the wait for a request
  std::uint64_t StartedReads = 0; // requests of which the first bytes were read

  Session(tcp::socket Socket, CallerContext &Shared)
      : Context(Shared), Stream(std::move(Socket)),
        AnswerReady(this->Stream.get_executor()),
        RequestAnswered(this->Stream.get_executor()),
        IdleTimer(this->Stream.get_executor()),
        ReadTimer(this->Stream.get_executor()) {}
};

using SessionPtr = boost::intrusive_ptr<Session>;

// Ends the wait for the next request when the connection stays idle. Only the
// reader closes the connection, since it knows whether a request has arrived.
// The stream's own timeout would also end the wait while answers are pending.
// The limit is read again at the end, since it may have been raised meanwhile.
void waitForIdleTimer(const SessionPtr &Self) {
  Self->IdleTimer.expires_at(
      Self->IdleSince + std::chrono::microseconds(Self->Context.IdleMicros));
  Self->IdleTimer.async_wait([Self](ErrorCode Error) {
    if (Error || !Self->Requests.empty() || !Self->AwaitsRequest)
      return;
    auto Idle = std::chrono::steady_clock::now() - Self->IdleSince;
    if (Idle < std::chrono::microseconds(Self->Context.IdleMicros))
      return waitForIdleTimer(Self);
    Self->IdleExpired = true;
    Self->Stream.cancel();
  });
}

void startIdleTimer(const SessionPtr &Self) {
  Self->IdleSince = std::chrono::steady_clock::now();
  waitForIdleTimer(Self);
}

// Abandons the unanswered requests and closes the connection.
void endSession(Session &S, core::ConnectionEnd End) {
  S.Closing = true;
  for (const PendingRequestPtr &Pending : S.Requests)
    abandonRequest(S.Context, *Pending, End);
  S.Context.Unanswered -= static_cast<std::int64_t>(S.Requests.size());
  S.Requests.clear();
  S.IdleTimer.cancel();
  ErrorCode Ignored;
  S.Stream.socket().shutdown(tcp::socket::shutdown_send, Ignored);
  S.Stream.close();
  notify(S.RequestAnswered);
  notify(S.AnswerReady);
}

// Ends the session after its last answer was written. Until the caller closes
// too, its input is discarded: a close with unread input resets the connection,
// which can destroy an answer in flight.
void finishSession(const SessionPtr &Self) {
  Self->Closing = true;
  ErrorCode Ignored;
  Self->Stream.socket().shutdown(tcp::socket::shutdown_send, Ignored);
  Self->IdleTimer.expires_after(LingerTime);
  Self->IdleTimer.async_wait([Self](ErrorCode Error) {
    if (!Error)
      Self->Stream.close();
  });
  notify(Self->RequestAnswered);
}

// Writes answers in the order of the requests. While the node stops, requests
// that were already read are still answered; the last answer closes the
// connection.
asio::awaitable<void> writeAnswers(SessionPtr Self) {
  Session &S = *Self;
  AnswerOutput Output{S.Context, S.Stream, S.AnswerReady};
  while (!S.Closing) {
    while (!S.Closing &&
           (S.Requests.empty() || !hasAnswer(*S.Requests.front())))
      co_await waitFor(S.AnswerReady);
    if (S.Closing)
      break;
    PendingRequestPtr Pending = S.Requests.front();
    bool Last =
        S.Requests.size() == 1 && (S.Context.Stopping || !S.AcceptsRequests);
    bool KeepAlive = Pending->KeepAlive && !Last;
    S.AcceptsRequests = S.AcceptsRequests && KeepAlive;
    ErrorCode Error = co_await writeAnswer(Output, *Pending, KeepAlive);
    if (S.Closing)
      break;
    if (Error)
      co_return endSession(S, endOfWrite(Error));
    Pending->Done = true;
    S.Requests.pop_front();
    --S.Context.Unanswered;
    if (!KeepAlive)
      co_return finishSession(Self);
    notify(S.RequestAnswered);
    if (!S.Requests.empty())
      continue;
    startIdleTimer(Self);
    if (S.Claim)
      setCanYield(S.Context.Inputs, *S.Claim, true);
  }
}

void addRequest(Session &S, PendingRequestPtr Pending) {
  S.IdleTimer.cancel();
  S.Requests.push_back(std::move(Pending));
  ++S.Context.Unanswered;
  notify(S.AnswerReady);
}

void refuseInput(Session &S, base::Reason Reason, const std::string &Detail) {
  S.Context.Post(
      runtime::ControlInput{core::InputRefused{Reason}, {}, {}, {}, {}});
  PendingRequestPtr Pending(new PendingRequest);
  Pending->KeepAlive = false;
  Pending->LocalAnswer =
      makeBadRequestAnswer(Reason, S.Context.Dialect, Detail);
  S.AcceptsRequests = false;
  addRequest(S, std::move(Pending));
}

// Refuses the request that is being read when it takes too long. The stream's
// own timeout would close the connection before earlier requests are answered.
void startReadTimer(const SessionPtr &Self) {
  Self->ReadsRequest = true;
  Self->ReadTimer.expires_after(
      std::chrono::microseconds(Self->Context.ReadMicros));
  Self->ReadTimer.async_wait([Self](ErrorCode Error) {
    bool IsStale = Self->ReadTimer.expiry() > std::chrono::steady_clock::now();
    if (Error || IsStale || !Self->ReadsRequest || !Self->AcceptsRequests ||
        Self->Closing)
      return;
    base::Reason Reason = base::Reason::CallerTimeout;
    refuseInput(*Self, Reason, std::string(base::reasonText(Reason)));
  });
}

void stopReadTimer(Session &S) {
  S.ReadsRequest = false;
  S.ReadTimer.cancel();
}

asio::awaitable<void> sendContinue(Session &S) {
  while (!S.Closing && !S.Requests.empty())
    co_await waitFor(S.RequestAnswered);
  if (S.Closing)
    co_return;
  beast::http::response<beast::http::empty_body> Continue(
      beast::http::status::continue_, 11);
  ErrorCode Ignored; // the next read detects a caller that is gone
  co_await beast::http::async_write(S.Stream, Continue, redirectError(Ignored));
}

// Waits for the first bytes of the next request. A cancelled read leaves bytes
// that have arrived since to the next one.
asio::awaitable<ErrorCode> readFirstBytes(Session &S) {
  ErrorCode Error, Ignored;
  S.Stream.expires_never();
  do {
    S.IdleExpired = false;
    S.AwaitsRequest = true;
    std::size_t Size = co_await S.Stream.async_read_some(
        S.Input.prepare(ReadBytes), redirectError(Error));
    S.AwaitsRequest = false;
    S.Input.commit(Size);
  } while (Error && S.IdleExpired && !S.Closing &&
           S.Stream.socket().available(Ignored) > 0);
  co_return Error;
}

// The read is cancelled only if no answer is being written, since a cancel ends
// writes, too. Otherwise the request is refused when its next bytes arrive.
std::function<void()> makeGiveWay(const SessionPtr &Self) {
  return [Self, Read = Self->StartedReads] {
    asio::post(Self->Stream.get_executor(), [Self, Read] {
      if (Self->ReadsRequest && Self->StartedReads == Read &&
          Self->Requests.empty() && !Self->Closing)
        Self->Stream.cancel();
    });
  };
}

asio::awaitable<ErrorCode> readHead(SessionPtr Self, InputSource Source,
                                    RequestParser &Parser) {
  Session &S = *Self;
  startReadTimer(Self);
  bool Held = hasWholeHead(S.Input);
  if (!Held)
    Held =
        co_await holdInput(Source, base::ByteCount{getInputLimit(S.Context)});
  if (!Held)
    co_return asio::error::no_memory;
  ErrorCode Error;
  co_await beast::http::async_read_header(S.Stream, S.Input, Parser,
                                          redirectError(Error));
  noteProgress(S.Context.Inputs, Source.Claim);
  if (!Error && beast::iequals(Parser.get()[beast::http::field::expect],
                               "100-continue")) {
    stopReadTimer(S); // its caller may have to wait for earlier answers
    co_await sendContinue(S);
    S.Stream.expires_never(); // set by the writes of answers
    startReadTimer(Self);
  }
  co_return Error;
}

// Reads the next request. Returns no error on success, eof or connection_reset
// if the connection ends or fails before the first byte of the request, and
// otherwise the error of the read or of the parser.
asio::awaitable<ErrorCode> readRequest(SessionPtr Self, RequestParser &Parser,
                                       runtime::MemoryHold &Hold) {
  Session &S = *Self;
  Parser.header_limit(static_cast<std::uint32_t>(S.Context.HeaderBytes));
  Parser.body_limit(getBodyLimit(S.Context));
  ErrorCode Error;
  if (S.Input.size() == 0) {
    if (S.Input.capacity() > ReadBytes)
      S.Input.shrink_to_fit();
    Error = co_await readFirstBytes(S);
    if (Error)
      co_return Error == asio::error::eof ? Error
                                          : asio::error::connection_reset;
  }
  if (!S.AcceptsRequests)
    co_return Error;
  S.IdleTimer.cancel();
  S.Stream.expires_never();
  S.Input.max_size(std::max(getInputLimit(S.Context), S.Input.size()));
  ++S.StartedReads;
  InputClaim Claim;
  Claim.GiveWay = makeGiveWay(Self);
  Claim.Input.CanYield = S.Requests.empty();
  S.Claim = &Claim;
  ClaimScope Scope(S.Context.Inputs, Claim);
  InputSource Source{S.Stream, S.Input, S.Context, Hold, Claim};
  Error = co_await readHead(Self, Source, Parser);
  if (!Error)
    Error = co_await readBody(Source, Parser);
  if (Error && givesWay(S.Context.Inputs, Claim))
    Error = asio::error::no_memory;
  S.Claim = nullptr;
  stopReadTimer(S);
  co_return Error;
}

void startRequest(const SessionPtr &Self, TextRequest Request,
                  runtime::MemoryHold Hold) {
  Session &S = *Self;
  std::string Detail;
  auto Facts = readFacts(Request, S.Context.Dialect, Detail);
  if (!Facts)
    return refuseInput(S, base::Reason::BadRequest, Detail);
  PendingRequestPtr Pending(new PendingRequest);
  Pending->Request =
      base::RequestId{S.Context.Origin, ++S.Context.LastSequence};
  Pending->ReadAt = std::chrono::steady_clock::now();
  Facts->Request = Pending->Request;
  Pending->Version = Request.version();
  Pending->KeepAlive = Request.keep_alive();
  Pending->ExpectsBody = Request.method() != beast::http::verb::head;
  S.AcceptsRequests = S.AcceptsRequests && Pending->KeepAlive;
  runtime::ControlInput Input;
  if (isActionIdRequest(Request, S.Context.Dialect))
    Input.Body = core::ActionIdRequested{Facts->Request};
  else
    Input.Body = core::RequestArrived{*Facts};
  SessionHandle Handle{S.Context, S.Stream.get_executor(),
                       [Self] { notify(Self->AnswerReady); }};
  Input.Caller = makeCallerExchange(Handle, Pending);
  Input.Message =
      readMessage(std::move(Request), S.Context.Dialect, S.Context.Service);
  Input.Message->Hold = std::move(Hold);
  addRequest(S, std::move(Pending));
  S.Context.Post(std::move(Input));
}

// Reads and discards input after the last request until the connection ends, so
// that unanswered requests are abandoned when the caller disconnects.
asio::awaitable<ErrorCode> waitForDisconnect(Session &S) {
  ErrorCode Error;
  while (!Error) {
    S.Input.clear();
    S.Stream.expires_never();
    co_await S.Stream.async_read_some(S.Input.prepare(ReadBytes),
                                      redirectError(Error));
  }
  co_return Error;
}

asio::awaitable<void> readRequests(SessionPtr Self) {
  Session &S = *Self;
  ErrorCode Error;
  startIdleTimer(Self);
  while (S.AcceptsRequests && !S.Closing) {
    while (!S.Closing && S.Requests.size() >= PipelineLimit)
      co_await waitFor(S.RequestAnswered);
    if (S.Closing)
      break;
    RequestParser Parser;
    runtime::MemoryHold Hold;
    Error = co_await readRequest(Self, Parser, Hold);
    if (S.Closing || !S.AcceptsRequests)
      break;
    if (!Error) {
      startRequest(Self, Parser.release(), std::move(Hold));
      continue;
    }
    bool Disconnected = Error == asio::error::eof ||
                        Error == beast::http::error::end_of_stream ||
                        Error == asio::error::connection_reset;
    if (Disconnected)
      break;
    refuseInput(S, refusalReasonOf(Error), describeError(Error));
  }
  if (!S.AcceptsRequests)
    Error = co_await waitForDisconnect(S);
  if (!S.Closing)
    co_return endSession(S, endOfRead(Error, S.IdleExpired));
  S.IdleTimer.cancel();
  S.Stream.close();
}

} // namespace

void startCallerSession(tcp::socket Socket, CallerContext &Context) {
  auto Executor = Socket.get_executor();
  ErrorCode Ignored;
  Socket.set_option(asio::socket_base::receive_buffer_size(ReceiveBufferBytes),
                    Ignored);
  SessionPtr Self(new Session(std::move(Socket), Context));
  asio::co_spawn(Executor, writeAnswers(Self), asio::detached);
  asio::co_spawn(Executor, readRequests(Self), asio::detached);
}

} // namespace currantgauge::http
