#include "currantgauge/http/pending_request.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <variant>

namespace currantgauge::http {
namespace {

namespace asio = boost::asio;

runtime::ControlInput makeInput(core::EventBody Body) {
  return runtime::ControlInput{std::move(Body), {}, {}, {}, {}};
}

// postToSession() runs Action on the connection's thread, unless the request is
// done. Answer parts are read even if an earlier request of the connection has
// to be answered first: the control thread waits for the end of the attempt.
template <typename Callable>
void postToSession(const SessionHandle &Session,
                   const PendingRequestPtr &Pending, Callable Action) {
  asio::post(Session.Executor,
             [Session, Pending, Action = std::move(Action)]() mutable {
               if (Pending->Done)
                 return;
               Action(*Pending);
               readAnswerParts(Session.Context, *Pending);
               Session.OnChange();
             });
}

// Keeps the answer of the attempt Continued, if any, beside that of the newest.
void keepAnswer(PendingRequest &Pending, base::AttemptId Continued) {
  if (Pending.Answer.Attempt == Continued)
    Pending.Earlier = std::move(Pending.Answer);
  else if (Pending.Earlier.Attempt != Continued)
    Pending.Earlier = AttemptAnswer();
  Pending.Answer = AttemptAnswer();
}

// Drops the answer that is not delivered.
void selectAnswer(PendingRequest &Pending, base::AttemptId Delivered) {
  if (Pending.Earlier.Pipe && Pending.Earlier.Attempt == Delivered)
    Pending.Answer = std::move(Pending.Earlier);
  Pending.Earlier = AttemptAnswer();
}

void attachPipe(const SessionHandle &Session, const PendingRequestPtr &Pending,
                base::AttemptId Attempt, const runtime::AnswerPipePtr &Pipe,
                base::AttemptId Continued) {
  postToSession(
      Session, Pending,
      [Session, Pending, Attempt, Pipe, Continued](PendingRequest &Request) {
        keepAnswer(Request, Continued);
        Request.Answer.Attempt = Attempt;
        Request.Answer.Pipe = Pipe;
        runtime::setWakeReader(*Pipe, [Session, Pending] {
          postToSession(Session, Pending, [](PendingRequest &) {});
        });
      });
}

// Returns the size up to which an answer is buffered. It is smaller while the
// answers of all callers use all memory that they may.
std::size_t holdAnswerBuffer(CallerContext &Context, AttemptAnswer &Answer) {
  base::ByteCount Limit = Context.AnswerBuffer;
  if (!Context.AnswerMemory || !Answer.Pipe ||
      runtime::tryHold(Answer.Hold, *Context.AnswerMemory, Limit))
    return Limit.Bytes;
  return std::min<std::size_t>(Limit.Bytes, runtime::MinPipeBytes);
}

void readParts(CallerContext &Context, AttemptAnswer &Answer) {
  std::size_t Limit = holdAnswerBuffer(Context, Answer);
  while (Answer.Pipe && !Answer.Outcome && Answer.Body.size() < Limit) {
    auto Part = runtime::popPart(*Answer.Pipe);
    if (!Part)
      return;
    if (auto *Head = std::get_if<runtime::AnswerHead>(&*Part)) {
      Answer.Head = std::move(*Head);
      Answer.HasHead = true;
    } else if (auto *Chunk = std::get_if<runtime::AnswerChunk>(&*Part)) {
      Answer.Body += Chunk->Bytes;
    } else {
      Answer.Outcome = std::get<runtime::AnswerEnd>(*Part).Outcome;
      Context.Post(
          makeInput(core::AttemptEnded{Answer.Attempt, *Answer.Outcome}));
    }
  }
  if (Answer.Pipe && !Answer.Outcome && !Answer.ReportedBufferFull &&
      Answer.Body.size() >= Limit) {
    Answer.ReportedBufferFull = true;
    Context.Post(
        makeInput(core::AnswerBufferFull{Answer.Attempt, Answer.Head.Status}));
  }
}

} // namespace

runtime::CallerExchangePtr
makeCallerExchange(const SessionHandle &Session,
                   const PendingRequestPtr &Pending) {
  runtime::CallerExchangePtr Exchange(new runtime::CallerExchange);
  Exchange->Attach = [Session, Pending](base::AttemptId Attempt,
                                        runtime::AnswerPipePtr Pipe,
                                        base::AttemptId Continued) {
    attachPipe(Session, Pending, Attempt, Pipe, Continued);
  };
  Exchange->Deliver = [Session, Pending](const core::DeliverAnswer &Delivery) {
    postToSession(Session, Pending, [Delivery](PendingRequest &Request) {
      Request.Delivery = Delivery;
      selectAnswer(Request, Delivery.Attempt);
    });
  };
  Exchange->Refuse = [Session, Pending](const core::RefuseRequest &Refusal) {
    postToSession(Session, Pending, [Refusal](PendingRequest &Request) {
      Request.Refusal = Refusal;
    });
  };
  Exchange->SendActionId = [Session,
                            Pending](const core::AnswerActionId &Answer) {
    postToSession(Session, Pending, [Answer](PendingRequest &Request) {
      Request.ActionIdAnswer = Answer;
    });
  };
  return Exchange;
}

void readAnswerParts(CallerContext &Context, PendingRequest &Pending) {
  readParts(Context, Pending.Earlier);
  readParts(Context, Pending.Answer);
}

bool hasAnswer(const PendingRequest &Pending) {
  return Pending.LocalAnswer || Pending.Refusal || Pending.ActionIdAnswer ||
         (Pending.Delivery && Pending.Answer.HasHead);
}

void abandonRequest(CallerContext &Context, PendingRequest &Pending,
                    core::ConnectionEnd End) {
  if (Pending.Done)
    return;
  Pending.Done = true;
  if (Pending.Answer.Pipe && Pending.Delivery && !Pending.Answer.Outcome)
    runtime::cancelPipe(*Pending.Answer.Pipe);
  if (Pending.LocalAnswer)
    return;
  auto SinceRead = std::chrono::duration_cast<std::chrono::microseconds>(
      std::chrono::steady_clock::now() - Pending.ReadAt);
  Context.Post(makeInput(core::CallerGone{
      Pending.Request, End, base::microseconds(SinceRead.count())}));
}

} // namespace currantgauge::http
