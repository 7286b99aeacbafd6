// One request of a caller's connection, from its arrival to its answer. A turn
// belongs to the thread of its connection; control speaks to it through a
// CallerExchange.
//
//   TurnPtr Next = newTurn(Context, Request);
//   bool Ready = hasAnswer(*Next);
#ifndef CURRANTGAUGE_HTTP_PENDING_REQUEST_H
#define CURRANTGAUGE_HTTP_PENDING_REQUEST_H

#include "currantgauge/base/ids.h"
#include "currantgauge/core/effect.h"
#include "currantgauge/http/caller_answer.h"
#include "currantgauge/http/caller_session.h"
#include "currantgauge/runtime/answer_pipe.h"
#include "currantgauge/runtime/caller_exchange.h"

#include <utility>

#include <boost/asio/any_io_executor.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <functional>
#include <optional>
#include <string>

namespace currantgauge::http {

// Turn is what control said about a request and what arrived of its answer.
struct Turn : boost::intrusive_ref_counter<Turn, boost::thread_safe_counter> {
  base::RequestId Request;
  unsigned Version = 11; // of HTTP
  bool KeepAlive = true;
  bool BodyAwaited = true; // false: the answer to HEAD has none
  bool Over = false;       // answered or given up: later words are old

  std::optional<TextResponse> Ready; // needs nothing of control
  std::optional<core::RefuseRequest> Refusal;
  std::optional<core::DeliverAnswer> Delivery;
  std::optional<core::AnswerActionId> Issued;

  // Of the attempt at hand, not yet passed on.
  base::AttemptId Attempt;
  runtime::AnswerPipePtr Pipe;
  runtime::AnswerHead Head;
  std::string Body;
  bool HaveHead = false;
  bool Buffered = false; // AnswerBufferFull was said
  std::optional<core::AttemptOutcome> End;
};

using TurnPtr = boost::intrusive_ptr<Turn>;

// TurnPlace is where a turn's words are handled and who is told of them.
struct TurnPlace {
  CallerContext &Context;
  boost::asio::any_io_executor Executor;
  std::function<void()> Changed; // runs on Executor
};

// makeExchange() returns control's handle on a turn.
runtime::CallerExchangePtr makeExchange(const TurnPlace &Where,
                                        const TurnPtr &Which);

// readParts() takes what has arrived of the answer, up to the answer buffer,
// and tells control of its end.
void readParts(CallerContext &Context, Turn &Which);

// hasAnswer() says that the turn can be answered now.
bool hasAnswer(const Turn &Which);

// abandonTurn() tells control that the caller is gone, unless the turn is over.
void abandonTurn(CallerContext &Context, Turn &Which);

} // namespace currantgauge::http

#endif // CURRANTGAUGE_HTTP_PENDING_REQUEST_H
