#include "currantgauge/http/caller_session.h"

#include "currantgauge/http/caller_answer.h"
#include "currantgauge/http/caller_request.h"
#include "currantgauge/http/fields.h"
#include "currantgauge/http/wake.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <sys/socket.h>

#include <cerrno>
#include <chrono>
#include <optional>
#include <string>
#include <variant>

namespace currantgauge::http {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;
using ErrorCode = boost::system::error_code;

std::chrono::microseconds chronoOf(base::Duration Span) {
  return std::chrono::microseconds(Span.Micros);
}

// Turn is what control said about the request that is being served.
struct Turn {
  std::optional<core::RefuseRequest> Refusal;
  std::optional<core::DeliverAnswer> Delivery;
  std::optional<core::AnswerActionId> Issued;
  base::AttemptId Attempt;
  runtime::AnswerPipePtr Pipe;
  // What has arrived of Attempt's answer and was not yet passed on.
  runtime::AnswerHead Head;
  std::string Body;
  bool HaveHead = false;
  bool Buffered = false; // AnswerBuffered was said
  std::optional<core::AttemptOutcome> End;
};

struct Session
    : boost::intrusive_ref_counter<Session, boost::thread_safe_counter> {
  CallerContext &Context;
  beast::tcp_stream Stream;
  beast::flat_buffer Input;
  Wake Signal;
  std::uint64_t Serving = 0; // Sequence of the request; words of others are old
  bool Gone = false;
  Turn Now;

  Session(tcp::socket Socket, CallerContext &Shared)
      : Context(Shared), Stream(std::move(Socket)),
        Signal(this->Stream.get_executor()) {}
};

using SessionPtr = boost::intrusive_ptr<Session>;
using RequestParser = beast::http::request_parser<beast::http::string_body>;

// onThread() runs Work on the session's thread if it still serves the request.
template <typename Work>
void onThread(const SessionPtr &Self, std::uint64_t Sequence, Work What) {
  asio::post(Self->Stream.get_executor(),
             [Self, Sequence, What = std::move(What)]() mutable {
               if (Self->Serving != Sequence)
                 return;
               What(*Self);
               raise(Self->Signal);
             });
}

void attach(const SessionPtr &Self, std::uint64_t Sequence,
            base::AttemptId Attempt, runtime::AnswerPipePtr Pipe) {
  onThread(Self, Sequence, [Self, Sequence, Attempt, Pipe](Session &S) {
    S.Now = Turn();
    S.Now.Attempt = Attempt;
    S.Now.Pipe = Pipe;
    runtime::setReader(*Pipe, [Self, Sequence] {
      onThread(Self, Sequence, [](Session &) {});
    });
  });
}

runtime::CallerExchangePtr makeExchange(const SessionPtr &Self,
                                        std::uint64_t Sequence) {
  runtime::CallerExchangePtr Exchange(new runtime::CallerExchange);
  Exchange->Attach = [Self, Sequence](base::AttemptId Attempt,
                                      runtime::AnswerPipePtr Pipe) {
    attach(Self, Sequence, Attempt, std::move(Pipe));
  };
  Exchange->Deliver = [Self, Sequence](const core::DeliverAnswer &Delivery) {
    onThread(Self, Sequence,
             [Delivery](Session &S) { S.Now.Delivery = Delivery; });
  };
  Exchange->Refuse = [Self, Sequence](const core::RefuseRequest &Refusal) {
    onThread(Self, Sequence,
             [Refusal](Session &S) { S.Now.Refusal = Refusal; });
  };
  Exchange->Issue = [Self, Sequence](const core::AnswerActionId &Issued) {
    onThread(Self, Sequence, [Issued](Session &S) { S.Now.Issued = Issued; });
  };
  return Exchange;
}

// The socket turns readable while an answer is awaited: the caller closed, or
// it sent its next request early, which stays in the socket.
void watchCaller(const SessionPtr &Self, std::uint64_t Sequence) {
  Self->Stream.socket().async_wait(
      tcp::socket::wait_read, [Self, Sequence](ErrorCode Error) {
        if (Error || Self->Serving != Sequence)
          return;
        char Byte = 0;
        ssize_t Got = ::recv(Self->Stream.socket().native_handle(), &Byte, 1,
                             MSG_PEEK | MSG_DONTWAIT);
        if (Got > 0 || (Got < 0 && (errno == EAGAIN || errno == EINTR)))
          return;
        Self->Gone = true;
        raise(Self->Signal);
      });
}

void readParts(Session &S) {
  Turn &Now = S.Now;
  std::size_t Limit = S.Context.AnswerBuffer.Bytes;
  while (Now.Pipe && !Now.End && Now.Body.size() < Limit) {
    auto Part = runtime::takePart(*Now.Pipe);
    if (!Part)
      return;
    if (auto *Head = std::get_if<runtime::AnswerHead>(&*Part)) {
      Now.Head = std::move(*Head);
      Now.HaveHead = true;
    } else if (auto *Chunk = std::get_if<runtime::AnswerChunk>(&*Part)) {
      Now.Body += Chunk->Bytes;
    } else {
      Now.End = std::get<runtime::AnswerEnd>(*Part).Outcome;
      S.Context.Post(runtime::ControlInput{
          core::AttemptEnded{Now.Attempt, *Now.End}, {}, {}, {}, {}});
    }
  }
  if (Now.Pipe && !Now.End && !Now.Buffered && Now.Body.size() >= Limit) {
    Now.Buffered = true;
    S.Context.Post(runtime::ControlInput{
        core::AnswerBuffered{Now.Attempt, Now.Head.Status}, {}, {}, {}, {}});
  }
}

template <typename Message>
asio::awaitable<bool> writeMessage(Session &S, Message &Answer) {
  ErrorCode Error;
  S.Stream.expires_after(chronoOf(S.Context.Idle));
  co_await beast::http::async_write(S.Stream, Answer, into(Error));
  co_return !Error && Answer.keep_alive();
}

asio::awaitable<bool> writeHeadOnly(Session &S, TextResponse &Answer) {
  ErrorCode Error;
  S.Stream.expires_after(chronoOf(S.Context.Idle));
  beast::http::response_serializer<beast::http::string_body> Serializer(Answer);
  co_await beast::http::async_write_header(S.Stream, Serializer, into(Error));
  co_return !Error && Answer.keep_alive();
}

bool hasNoBody(const TextRequest &Request, std::uint32_t Status) {
  auto Code = beast::http::int_to_status(Status);
  return Request.method() == beast::http::verb::head ||
         Code == beast::http::status::no_content ||
         Code == beast::http::status::not_modified;
}

// An answer that ends before its end closes the connection in the middle of
// the message, so that the caller can't take it for a whole one.
asio::awaitable<bool> writeStream(Session &S, const AnswerMark &Mark,
                                  unsigned Version, bool KeepAlive) {
  StreamResponse Answer = streamMessage(S.Now.Head, Mark, Version, KeepAlive);
  beast::http::response_serializer<beast::http::buffer_body> Serializer(Answer);
  ErrorCode Error;
  S.Stream.expires_after(chronoOf(S.Context.Idle));
  co_await beast::http::async_write_header(S.Stream, Serializer, into(Error));
  while (!Error && !S.Gone) {
    readParts(S);
    bool Last = S.Now.End.has_value();
    if (Last && S.Now.End->What != base::Verdict::Ran)
      break;
    if (S.Now.Body.empty() && !Last) {
      co_await waitFor(S.Signal);
      continue;
    }
    std::string Bytes = std::exchange(S.Now.Body, std::string());
    Answer.body().data = Bytes.empty() ? nullptr : Bytes.data();
    Answer.body().size = Bytes.size();
    Answer.body().more = !Last;
    S.Stream.expires_after(chronoOf(S.Context.Idle));
    co_await beast::http::async_write(S.Stream, Serializer, into(Error));
    if (Error == beast::http::error::need_buffer)
      Error = {};
    if (Last)
      co_return !Error && KeepAlive && Serializer.is_done();
  }
  if (S.Now.Pipe && !S.Now.End) {
    runtime::cancelPipe(*S.Now.Pipe);
    S.Context.Post(
        runtime::ControlInput{core::CallerGone{Mark.Request}, {}, {}, {}, {}});
  }
  co_return false;
}

asio::awaitable<bool> deliver(Session &S, const TextRequest &Request,
                              base::RequestId Id, bool KeepAlive) {
  AnswerMark Mark{Id, *S.Now.Delivery};
  if (!S.Now.End)
    co_return co_await writeStream(S, Mark, Request.version(), KeepAlive);
  TextResponse Answer =
      wholeMessage(S.Now.Head, std::move(S.Now.Body), Mark, KeepAlive);
  if (hasNoBody(Request, S.Now.Head.Status))
    co_return co_await writeHeadOnly(S, Answer);
  co_return co_await writeMessage(S, Answer);
}

asio::awaitable<bool> awaitAnswer(Session &S, const TextRequest &Request,
                                  base::RequestId Id, bool KeepAlive) {
  while (true) {
    co_await waitFor(S.Signal);
    if (S.Gone) {
      S.Context.Post(
          runtime::ControlInput{core::CallerGone{Id}, {}, {}, {}, {}});
      co_return false;
    }
    readParts(S);
    if (S.Now.Issued) {
      TextResponse Answer = actionIdMessage(*S.Now.Issued, KeepAlive);
      co_return co_await writeMessage(S, Answer);
    }
    if (S.Now.Refusal) {
      TextResponse Answer = refusalMessage(*S.Now.Refusal, KeepAlive);
      co_return co_await writeMessage(S, Answer);
    }
    if (S.Now.Delivery && S.Now.HaveHead)
      co_return co_await deliver(S, Request, Id, KeepAlive);
  }
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

asio::awaitable<void> refuseInput(Session &S, base::Reason Why,
                                  const std::string &Detail) {
  S.Context.Post(
      runtime::ControlInput{core::InputRefused{Why}, {}, {}, {}, {}});
  TextResponse Answer = badRequestMessage(Why, Detail);
  co_await writeMessage(S, Answer);
}

// Returns false when the connection has no further request.
asio::awaitable<bool> readRequest(Session &S, RequestParser &Parser) {
  Parser.header_limit(static_cast<std::uint32_t>(S.Context.HeaderLimit.Bytes));
  Parser.body_limit(S.Context.BodyLimit.Bytes);
  ErrorCode Error;
  if (S.Input.size() == 0) {
    S.Stream.expires_after(chronoOf(S.Context.Idle));
    std::size_t Got =
        co_await S.Stream.async_read_some(S.Input.prepare(4096), into(Error));
    if (Error)
      co_return false;
    S.Input.commit(Got);
  }
  S.Stream.expires_after(chronoOf(S.Context.Read));
  co_await beast::http::async_read_header(S.Stream, S.Input, Parser,
                                          into(Error));
  if (!Error && beast::iequals(Parser.get()[beast::http::field::expect],
                               "100-continue")) {
    beast::http::response<beast::http::empty_body> Continue(
        beast::http::status::continue_, 11);
    co_await beast::http::async_write(S.Stream, Continue, into(Error));
  }
  if (!Error)
    co_await beast::http::async_read(S.Stream, S.Input, Parser, into(Error));
  if (!Error)
    co_return true;
  if (Error != beast::http::error::end_of_stream &&
      Error != asio::error::connection_reset)
    co_await refuseInput(S, reasonOf(Error), sentenceOf(Error));
  co_return false;
}

bool asksForActionId(const TextRequest &Request) {
  return Request.method() == beast::http::verb::post &&
         Request.target() ==
             beast::string_view(ActionsPath.data(), ActionsPath.size());
}

asio::awaitable<bool> serveRequest(const SessionPtr &Self,
                                   const TextRequest &Request) {
  Session &S = *Self;
  std::string Detail;
  auto Facts = readFacts(Request, Detail);
  if (!Facts) {
    co_await refuseInput(S, base::Reason::BadRequest, Detail);
    co_return false;
  }
  std::uint64_t Sequence = ++S.Context.LastRequest;
  Facts->Request = base::RequestId{S.Context.Origin, Sequence};
  S.Now = Turn();
  S.Serving = Sequence;
  bool KeepAlive = Request.keep_alive() && !S.Context.Stopping;
  runtime::ControlInput Input;
  if (asksForActionId(Request))
    Input.Body = core::ActionIdAsked{Facts->Request};
  else
    Input.Body = core::RequestArrived{*Facts};
  Input.Caller = makeExchange(Self, Sequence);
  Input.Message = readMessage(Request);
  S.Context.Post(std::move(Input));
  S.Stream.expires_never();
  watchCaller(Self, Sequence);
  bool More = co_await awaitAnswer(S, Request, Facts->Request, KeepAlive);
  S.Serving = 0;
  S.Now = Turn();
  S.Stream.socket().cancel();
  co_return More;
}

asio::awaitable<void> runSession(SessionPtr Self) {
  bool More = true;
  while (More && !Self->Context.Stopping) {
    RequestParser Parser;
    if (!co_await readRequest(*Self, Parser))
      break;
    More = co_await serveRequest(Self, Parser.get());
  }
  ErrorCode Ignored;
  Self->Stream.socket().shutdown(tcp::socket::shutdown_send, Ignored);
  Self->Stream.close();
}

} // namespace

void startCallerSession(tcp::socket Socket, CallerContext &Context) {
  auto Executor = Socket.get_executor();
  SessionPtr Self(new Session(std::move(Socket), Context));
  asio::co_spawn(Executor, runSession(Self), asio::detached);
}

} // namespace currantgauge::http
