#include "currantgauge/http/answer_writer.h"

#include "currantgauge/http/caller_answer.h"

#include <boost/beast/http/error.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/status.hpp>
#include <boost/beast/http/write.hpp>

#include <chrono>
#include <string>

namespace currantgauge::http {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using ErrorCode = boost::system::error_code;

void startWriteTimeout(AnswerOutput &Output) {
  Output.Stream.expires_after(
      std::chrono::microseconds(Output.Context.IdleMicros));
}

template <typename Message>
asio::awaitable<ErrorCode> writeMessage(AnswerOutput Output, Message &Answer) {
  ErrorCode Error;
  startWriteTimeout(Output);
  co_await beast::http::async_write(Output.Stream, Answer,
                                    redirectError(Error));
  co_return Error;
}

asio::awaitable<ErrorCode> writeHead(AnswerOutput Output,
                                     TextResponse &Answer) {
  ErrorCode Error;
  startWriteTimeout(Output);
  beast::http::response_serializer<beast::http::string_body> Serializer(Answer);
  co_await beast::http::async_write_header(Output.Stream, Serializer,
                                           redirectError(Error));
  co_return Error;
}

bool hasNoBody(const PendingRequest &Pending) {
  auto Code = beast::http::int_to_status(Pending.Answer.Head.Status);
  return !Pending.ExpectsBody || Code == beast::http::status::no_content ||
         Code == beast::http::status::not_modified;
}

// Forwards an answer while it arrives. If the attempt fails midway, the
// connection is closed before the end of the message, so that the caller can't
// mistake the answer for a complete one.
asio::awaitable<ErrorCode> writeStream(AnswerOutput Output,
                                       PendingRequest &Pending,
                                       const AnswerMetadata &Metadata,
                                       bool KeepAlive) {
  StreamResponse Answer = makeStreamedAnswer(Pending.Answer.Head, Metadata,
                                             Pending.Version, KeepAlive);
  beast::http::response_serializer<beast::http::buffer_body> Serializer(Answer);
  ErrorCode Error;
  startWriteTimeout(Output);
  co_await beast::http::async_write_header(Output.Stream, Serializer,
                                           redirectError(Error));
  while (!Error && !Pending.Done) {
    readAnswerParts(Output.Context, Pending);
    bool Last = Pending.Answer.Outcome.has_value();
    if (Last && Pending.Answer.Outcome->Verdict != base::Verdict::Ran)
      break;
    if (Pending.Answer.Body.empty() && !Last) {
      co_await waitFor(Output.AnswerReady);
      continue;
    }
    std::string Bytes = std::exchange(Pending.Answer.Body, std::string());
    Answer.body().data = Bytes.empty() ? nullptr : Bytes.data();
    Answer.body().size = Bytes.size();
    Answer.body().more = !Last;
    startWriteTimeout(Output);
    co_await beast::http::async_write(Output.Stream, Serializer,
                                      redirectError(Error));
    if (Error == beast::http::error::need_buffer)
      Error = {};
    if (Last && !Error && Serializer.is_done())
      co_return Error;
    if (Last)
      break;
  }
  co_return Error ? Error : beast::http::error::partial_message;
}

asio::awaitable<ErrorCode>
writeDelivery(AnswerOutput Output, PendingRequest &Pending, bool KeepAlive) {
  AnswerMetadata Metadata{Pending.Request, *Pending.Delivery,
                          Output.Context.Dialect.AddsMetadataFields};
  if (!Pending.Answer.Outcome)
    co_return co_await writeStream(Output, Pending, Metadata, KeepAlive);
  TextResponse Answer = makeCompleteAnswer(
      Pending.Answer.Head, std::move(Pending.Answer.Body), Metadata, KeepAlive);
  if (hasNoBody(Pending))
    co_return co_await writeHead(Output, Answer);
  co_return co_await writeMessage(Output, Answer);
}

} // namespace

asio::awaitable<ErrorCode>
writeAnswer(AnswerOutput Output, PendingRequest &Pending, bool KeepAlive) {
  const HttpDialect &Dialect = Output.Context.Dialect;
  if (Pending.LocalAnswer) {
    Pending.LocalAnswer->keep_alive(KeepAlive);
    co_return co_await writeMessage(Output, *Pending.LocalAnswer);
  }
  if (Pending.ActionIdAnswer) {
    TextResponse Answer =
        makeActionIdAnswer(*Pending.ActionIdAnswer, Dialect, KeepAlive);
    co_return co_await writeMessage(Output, Answer);
  }
  if (Pending.Refusal) {
    TextResponse Answer = makeRefusal(*Pending.Refusal, Dialect, KeepAlive);
    co_return co_await writeMessage(Output, Answer);
  }
  co_return co_await writeDelivery(Output, Pending, KeepAlive);
}

} // namespace currantgauge::http
