// One request on a caller's connection, from its arrival to its answer. A
// pending request is accessed only on the thread of its connection; the control
// thread reaches it through a CallerExchange.
//
//   PendingRequestPtr Pending(new PendingRequest);
//   Input.Caller = makeCallerExchange(Session, Pending);
//   if (hasAnswer(*Pending)) ...
#ifndef CURRANTGAUGE_HTTP_PENDING_REQUEST_H
#define CURRANTGAUGE_HTTP_PENDING_REQUEST_H

#include "currantgauge/base/ids.h"
#include "currantgauge/core/effect.h"
#include "currantgauge/core/event.h"
#include "currantgauge/http/caller_answer.h"
#include "currantgauge/http/caller_session.h"
#include "currantgauge/runtime/answer_pipe.h"
#include "currantgauge/runtime/caller_exchange.h"
#include "currantgauge/runtime/memory_budget.h"

#include <utility>

#include <boost/asio/any_io_executor.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <chrono>
#include <functional>
#include <optional>
#include <string>

namespace currantgauge::http {

// AttemptAnswer is the answer of an attempt: the parts that were received but
// not yet written to the caller.
struct AttemptAnswer {
  base::AttemptId Attempt;
  runtime::AnswerPipePtr Pipe;
  runtime::AnswerHead Head;
  std::string Body;
  runtime::MemoryHold Hold; // of Body
  bool HasHead = false;
  bool ReportedBufferFull = false; // posted AnswerBufferFull
  std::optional<core::AttemptOutcome> Outcome;
};

// PendingRequest is a request that is not yet answered: the control thread's
// decision about it and the answers of its attempts in flight.
struct PendingRequest
    : boost::intrusive_ref_counter<PendingRequest, boost::thread_safe_counter> {
  base::RequestId Request;
  unsigned Version = 11; // of HTTP: 10 or 11
  bool KeepAlive = true;
  bool ExpectsBody = true; // false for HEAD: its answer has none
  bool Done = false;       // answered or abandoned; later input is ignored
  std::chrono::steady_clock::time_point ReadAt; // when it was read in full

  std::optional<TextResponse> LocalAnswer; // to invalid input; not from control
  std::optional<core::RefuseRequest> Refusal;
  std::optional<core::DeliverAnswer> Delivery;
  std::optional<core::AnswerActionId> ActionIdAnswer;

  AttemptAnswer Answer;  // of the newest attempt, or of the one delivered
  AttemptAnswer Earlier; // of an earlier attempt that continues
};

using PendingRequestPtr = boost::intrusive_ptr<PendingRequest>;

// SessionHandle gives a pending request access to the session that it belongs
// to.
struct SessionHandle {
  CallerContext &Context;
  boost::asio::any_io_executor Executor;
  std::function<void()> OnChange; // called on Executor after a change
};

// makeCallerExchange() returns the control thread's handle on a request.
runtime::CallerExchangePtr makeCallerExchange(const SessionHandle &Session,
                                              const PendingRequestPtr &Pending);

// readAnswerParts() reads the available parts of the answers until the answer
// buffer is full, and posts AnswerBufferFull when it is, or AttemptEnded at the
// end of an answer.
void readAnswerParts(CallerContext &Context, PendingRequest &Pending);

// hasAnswer() returns true when the request's answer, or the head of a streamed
// one, can be written now.
bool hasAnswer(const PendingRequest &Pending);

// abandonRequest() marks the request as done, cancels an answer that is still
// arriving, and posts CallerGone with End if the control thread knows the
// request. No effect if the request is already done.
void abandonRequest(CallerContext &Context, PendingRequest &Pending,
                    core::ConnectionEnd End);

} // namespace currantgauge::http

#endif // CURRANTGAUGE_HTTP_PENDING_REQUEST_H
