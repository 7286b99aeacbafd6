// The control thread's handle for a caller's HTTP exchange. Each call posts its
// work to the traffic thread of the caller's connection.
//
//   Exchange->Refuse(Refusal);
#ifndef CURRANTGAUGE_RUNTIME_CALLER_EXCHANGE_H
#define CURRANTGAUGE_RUNTIME_CALLER_EXCHANGE_H

#include "currantgauge/base/ids.h"
#include "currantgauge/core/effect.h"
#include "currantgauge/runtime/answer_pipe.h"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <functional>

namespace currantgauge::runtime {

// CallerExchange is a caller's request that has not been answered yet.
struct CallerExchange
    : boost::intrusive_ref_counter<CallerExchange, boost::thread_safe_counter> {
  // Passes on the pipe through which the answer of a new attempt will come. The
  // answer of the attempt Continued, if any, may still be delivered, too.
  std::function<void(base::AttemptId Attempt, AnswerPipePtr,
                     base::AttemptId Continued)>
      Attach;
  std::function<void(const core::DeliverAnswer &)> Deliver;
  std::function<void(const core::RefuseRequest &)> Refuse;
  std::function<void(const core::AnswerActionId &)> SendActionId;
};

using CallerExchangePtr = boost::intrusive_ptr<CallerExchange>;

} // namespace currantgauge::runtime

#endif // CURRANTGAUGE_RUNTIME_CALLER_EXCHANGE_H
