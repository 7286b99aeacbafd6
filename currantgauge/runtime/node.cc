#include "currantgauge/runtime/node.h"

#include "currantgauge/core/reduce.h"
#include "currantgauge/runtime/clock.h"
#include "currantgauge/runtime/effects.h"

#include <utility>
#include <variant>

namespace currantgauge::runtime {
namespace {

// Handles are filed before the event is reduced, since its effects use them.
void fileHandles(Node &Self, ControlInput &Input) {
  if (auto *Arrival = std::get_if<core::RequestArrived>(&Input.Body))
    Self.Entries[Arrival->Facts.Request] =
        EntryHandle{Input.Caller, Input.Message};
  if (auto *Asked = std::get_if<core::ActionIdRequested>(&Input.Body))
    Self.Entries[Asked->Request] = EntryHandle{Input.Caller, {}};
  if (auto *Arrival = std::get_if<core::AttemptArrived>(&Input.Body)) {
    Input.Pipe->Record = !Arrival->Facts.IdempotencyKey.empty() ||
                         !Arrival->Facts.Action.empty();
    Self.Owned[Arrival->Facts.Attempt] =
        OwnerHandle{Input.Message, Input.Pipe, Arrival->Facts.Request, nullptr};
  }
  if (auto *Asked = std::get_if<core::OperatorCommandReceived>(&Input.Body)) {
    Asked->Call = base::CallId(++Self.LastReply);
    Self.Replies[Asked->Call] = Input.Reply;
  }
}

void dropHandles(Node &Self, const ControlInput &Input) {
  if (const auto *Gone = std::get_if<core::CallerGone>(&Input.Body))
    forgetEntry(Self, Gone->Request);
  if (const auto *Ended = std::get_if<core::AttemptEnded>(&Input.Body))
    Self.EntryPipes.erase(Ended->Attempt);
}

void reduceOne(Node &Self, ControlInput &Input) {
  fileHandles(Self, Input);
  core::Event Happened{steadyNow(), wallNow(), std::move(Input.Body)};
  Self.Effects.clear();
  core::reduce(Self.State, Happened, Self.Effects);
  writeEvent(Self.Log, Happened, Self.Effects);
  for (core::Effect &Each : Self.Effects)
    carryOut(Self, Each);
  Input.Body = std::move(Happened.Body);
  dropHandles(Self, Input);
}

} // namespace

void post(Node &Self, ControlInput Input) {
  postInput(Self.Control, std::move(Input));
}

void handleInput(Node &Self, ControlInput &Input) {
  reduceOne(Self, Input);
  while (!Self.Follow.empty()) {
    ControlInput Next = std::move(Self.Follow.front());
    Self.Follow.pop_front();
    reduceOne(Self, Next);
  }
}

} // namespace currantgauge::runtime
