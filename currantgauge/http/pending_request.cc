#include "currantgauge/http/pending_request.h"

#include <boost/asio/post.hpp>

#include <variant>

namespace currantgauge::http {
namespace {

namespace asio = boost::asio;

runtime::ControlInput inputOf(core::EventBody Body) {
  return runtime::ControlInput{std::move(Body), {}, {}, {}, {}};
}

// onThread() runs Work on the connection's thread while the turn lasts. Parts
// are read whether or not the turn is the next to be answered: its attempt has
// to end for control to go on.
template <typename Work>
void onThread(const TurnPlace &Where, const TurnPtr &Which, Work What) {
  asio::post(Where.Executor, [Where, Which, What = std::move(What)]() mutable {
    if (Which->Over)
      return;
    What(*Which);
    readParts(Where.Context, *Which);
    Where.Changed();
  });
}

void forgetParts(Turn &Which) {
  Which.Head = runtime::AnswerHead();
  Which.Body.clear();
  Which.HaveHead = false;
  Which.Buffered = false;
  Which.End.reset();
}

void attach(const TurnPlace &Where, const TurnPtr &Which,
            base::AttemptId Attempt, const runtime::AnswerPipePtr &Pipe) {
  onThread(Where, Which, [Where, Which, Attempt, Pipe](Turn &T) {
    forgetParts(T);
    T.Attempt = Attempt;
    T.Pipe = Pipe;
    runtime::setWakeReader(
        *Pipe, [Where, Which] { onThread(Where, Which, [](Turn &) {}); });
  });
}

} // namespace

runtime::CallerExchangePtr makeExchange(const TurnPlace &Where,
                                        const TurnPtr &Which) {
  runtime::CallerExchangePtr Exchange(new runtime::CallerExchange);
  Exchange->Attach = [Where, Which](base::AttemptId Attempt,
                                    runtime::AnswerPipePtr Pipe) {
    attach(Where, Which, Attempt, Pipe);
  };
  Exchange->Deliver = [Where, Which](const core::DeliverAnswer &Delivery) {
    onThread(Where, Which, [Delivery](Turn &T) { T.Delivery = Delivery; });
  };
  Exchange->Refuse = [Where, Which](const core::RefuseRequest &Refusal) {
    onThread(Where, Which, [Refusal](Turn &T) { T.Refusal = Refusal; });
  };
  Exchange->SendActionId = [Where, Which](const core::AnswerActionId &Issued) {
    onThread(Where, Which, [Issued](Turn &T) { T.Issued = Issued; });
  };
  return Exchange;
}

void readParts(CallerContext &Context, Turn &Which) {
  std::size_t Limit = Context.AnswerBuffer.Bytes;
  while (Which.Pipe && !Which.End && Which.Body.size() < Limit) {
    auto Part = runtime::popPart(*Which.Pipe);
    if (!Part)
      return;
    if (auto *Head = std::get_if<runtime::AnswerHead>(&*Part)) {
      Which.Head = std::move(*Head);
      Which.HaveHead = true;
    } else if (auto *Chunk = std::get_if<runtime::AnswerChunk>(&*Part)) {
      Which.Body += Chunk->Bytes;
    } else {
      Which.End = std::get<runtime::AnswerEnd>(*Part).Outcome;
      Context.Post(inputOf(core::AttemptEnded{Which.Attempt, *Which.End}));
    }
  }
  if (Which.Pipe && !Which.End && !Which.Buffered &&
      Which.Body.size() >= Limit) {
    Which.Buffered = true;
    Context.Post(
        inputOf(core::AnswerBufferFull{Which.Attempt, Which.Head.Status}));
  }
}

bool hasAnswer(const Turn &Which) {
  return Which.Ready || Which.Refusal || Which.Issued ||
         (Which.Delivery && Which.HaveHead);
}

void abandonTurn(CallerContext &Context, Turn &Which) {
  if (Which.Over)
    return;
  Which.Over = true;
  if (Which.Pipe && Which.Delivery && !Which.End)
    runtime::cancelPipe(*Which.Pipe);
  if (!Which.Ready)
    Context.Post(inputOf(core::CallerGone{Which.Request}));
}

} // namespace currantgauge::http
