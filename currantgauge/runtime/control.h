// The control thread: a detached CAF actor and, in a running node, the only
// caller of reduce().
//
//   ControlThread Control;
//   startControl(Control, [](ControlInput &Input) { ... });
//   postInput(Control, ControlInput{.Body = core::StopRequested{}});
#ifndef CURRANTGAUGE_RUNTIME_CONTROL_H
#define CURRANTGAUGE_RUNTIME_CONTROL_H

#include "currantgauge/core/event.h"
#include "currantgauge/runtime/answer_pipe.h"
#include "currantgauge/runtime/caller_exchange.h"
#include "currantgauge/runtime/message.h"

#include <functional>
#include <memory>

namespace currantgauge::runtime {

// ControlInput is an event and the handles that the effects it causes will use.
struct ControlInput {
  core::EventBody Body;
  CallerExchangePtr Caller;  // for RequestArrived and ActionIdRequested
  RequestMessagePtr Message; // for RequestArrived and AttemptArrived
  AnswerPipePtr Pipe;        // for AttemptArrived
  std::function<void(const core::OperatorReply &)>
      Reply; // for OperatorCommandReceived
};

namespace detail {
struct ControlActor;
} // namespace detail

// ControlThread owns the actor and the CAF actor system that it runs in.
struct ControlThread {
  ControlThread();
  ~ControlThread();
  ControlThread(const ControlThread &) = delete;
  ControlThread &operator=(const ControlThread &) = delete;

  std::unique_ptr<detail::ControlActor> Actor;
};

// startControl() starts the thread, which calls Handler for each input.
void startControl(ControlThread &Control,
                  std::function<void(ControlInput &)> Handler);

// postInput() enqueues an input and returns immediately. It is thread-safe.
void postInput(ControlThread &Control, ControlInput Input);

// stopControl() stops the thread after it has handled the inputs posted before.
void stopControl(ControlThread &Control);

} // namespace currantgauge::runtime

#endif // CURRANTGAUGE_RUNTIME_CONTROL_H
