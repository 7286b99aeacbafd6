#include "currantgauge/runtime/node.h"

#include "currantgauge/core/reduce.h"
#include "currantgauge/runtime/clock.h"
#include "currantgauge/runtime/effects.h"

#include <utility>
#include <variant>

namespace currantgauge::runtime {
namespace {

// Called before the event is reduced, because its effects use the handles.
void storeHandles(Node &Self, ControlInput &Input) {
  if (auto *Arrival = std::get_if<core::RequestArrived>(&Input.Body))
    Self.Entries[Arrival->Facts.Request] =
        EntryHandle{Input.Caller, Input.Message};
  if (auto *Requested = std::get_if<core::ActionIdRequested>(&Input.Body))
    Self.Entries[Requested->Request] = EntryHandle{Input.Caller, {}};
  if (auto *Arrival = std::get_if<core::AttemptArrived>(&Input.Body)) {
    Input.Pipe->Record = !Arrival->Facts.IdempotencyKey.empty() ||
                         !Arrival->Facts.Action.empty();
    Self.OwnedAttempts[Arrival->Facts.Attempt] =
        OwnerHandle{Input.Message, Input.Pipe, Arrival->Facts.Request, nullptr};
  }
  if (auto *Command = std::get_if<core::OperatorCommandReceived>(&Input.Body)) {
    Command->Call = base::CallId(++Self.LastOperatorCall);
    Self.OperatorReplies[Command->Call] = Input.Reply;
  }
}

void releaseHandles(Node &Self, const ControlInput &Input) {
  if (const auto *Gone = std::get_if<core::CallerGone>(&Input.Body))
    removeEntry(Self, Gone->Request);
  if (const auto *Ended = std::get_if<core::AttemptEnded>(&Input.Body))
    Self.EntryPipes.erase(Ended->Attempt);
}

void processInput(Node &Self, ControlInput &Input) {
  storeHandles(Self, Input);
  core::Event Event{steadyNow(), wallNow(), std::move(Input.Body)};
  Self.Effects.clear();
  core::reduce(Self.State, Event, Self.Effects);
  writeEvent(Self.EventJournal, Event, Self.Effects);
  for (core::Effect &Effect : Self.Effects)
    executeEffect(Self, Effect);
  Input.Body = std::move(Event.Body);
  releaseHandles(Self, Input);
}

} // namespace

void post(Node &Self, ControlInput Input) {
  postInput(Self.Control, std::move(Input));
}

void handleInput(Node &Self, ControlInput &Input) {
  processInput(Self, Input);
  while (!Self.PendingInputs.empty()) {
    ControlInput Next = std::move(Self.PendingInputs.front());
    Self.PendingInputs.pop_front();
    processInput(Self, Next);
  }
}

} // namespace currantgauge::runtime
