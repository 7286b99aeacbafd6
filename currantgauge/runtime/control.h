// The control thread: a detached CAF actor, the only caller of reduce().
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

// ControlInput is an event and the handles that its effects will need.
struct ControlInput {
  core::EventBody Body;
  CallerExchangePtr Caller;  // of RequestArrived
  RequestMessagePtr Message; // of RequestArrived and AttemptArrived
  AnswerPipePtr Pipe;        // of AttemptArrived
  std::function<void(const core::OperatorReply &)>
      Reply; // of OperatorCommandReceived
};

namespace detail {
struct ControlActor;
} // namespace detail

// ControlThread owns the actor and its system.
struct ControlThread {
  ControlThread();
  ~ControlThread();
  ControlThread(const ControlThread &) = delete;
  ControlThread &operator=(const ControlThread &) = delete;

  std::unique_ptr<detail::ControlActor> Actor;
};

// startControl() starts the thread; Handle runs on it for each input.
void startControl(ControlThread &Control,
                  std::function<void(ControlInput &)> Handle);

// postInput() hands an input to the thread and returns at once.
void postInput(ControlThread &Control, ControlInput Input);

// stopControl() ends the thread once the inputs before it are handled.
void stopControl(ControlThread &Control);

} // namespace currantgauge::runtime

#endif // CURRANTGAUGE_RUNTIME_CONTROL_H
