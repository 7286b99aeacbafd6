#include "currantgauge/actions/kept_answers.h"

#include <utility>

namespace currantgauge::actions {
namespace {

constexpr std::size_t RetainedLimit = 4000; // claims, answers among them
constexpr base::ByteCount KeptBytesLimit{16 * 1024 * 1024};

bool isBeyondBounds(const core::State &Node, const Retained &Oldest) {
  return Node.Actions.Kept.size() > RetainedLimit ||
         Node.Actions.KeptBytes > KeptBytesLimit ||
         Node.Now - Oldest.Since > AnswerKeepTime;
}

void forget(core::State &Node, const Retained &Old, core::EffectList &Effects) {
  auto Found = Node.Actions.Claims.find(Old.Key);
  if (Found == Node.Actions.Claims.end() ||
      Found->second.Attempt != Old.Attempt)
    return;
  const Claim &Of = Found->second;
  if (Of.Phase != ClaimPhase::Finished && Of.Phase != ClaimPhase::Idle)
    return;
  if (Of.AnswerKept) {
    Effects.push_back(core::DropAnswer{Old.Attempt});
    Node.Actions.KeptBytes.Bytes -= Of.AnswerBytes.Bytes;
  }
  Node.Actions.Claims.erase(Found);
}

} // namespace

void keepAnswer(core::State &Node, Claim &Of, base::ByteCount Size,
                core::EffectList &Effects) {
  if (Size > KeptAnswerLimit)
    return;
  Of.AnswerKept = true;
  Of.AnswerBytes = Size;
  Node.Actions.KeptBytes = Node.Actions.KeptBytes + Size;
  Effects.push_back(core::KeepAnswer{Of.Attempt});
}

void retain(core::State &Node, const std::string &Key,
            base::AttemptId Attempt) {
  Node.Actions.Kept.push_back(Retained{Node.Now, Key, Attempt});
}

void forgetOldAnswers(core::State &Node, core::EffectList &Effects) {
  auto &Kept = Node.Actions.Kept;
  while (!Kept.empty() && isBeyondBounds(Node, Kept.front())) {
    Retained Oldest = std::move(Kept.front());
    Kept.pop_front();
    forget(Node, Oldest, Effects);
  }
}

} // namespace currantgauge::actions
