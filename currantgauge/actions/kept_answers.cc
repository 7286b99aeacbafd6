#include "currantgauge/actions/kept_answers.h"

#include <utility>

namespace currantgauge::actions {
namespace {

constexpr std::size_t RetainedLimit = 4000; // claims, answers among them
constexpr base::ByteCount KeptBytesLimit{16 * 1024 * 1024};

bool isBeyondBounds(const core::State &Node, const RetainedClaim &Oldest) {
  return Node.Actions.RetainedClaims.size() > RetainedLimit ||
         Node.Actions.KeptAnswerBytes > KeptBytesLimit ||
         Node.Now - Oldest.Since > AnswerKeepTime;
}

void forget(core::State &Node, const RetainedClaim &Old,
            core::EffectList &Effects) {
  auto Found = Node.Actions.Claims.find(Old.Key);
  if (Found == Node.Actions.Claims.end() ||
      Found->second.Attempt != Old.Attempt)
    return;
  const Claim &Of = Found->second;
  if (Of.Phase != ClaimPhase::Finished && Of.Phase != ClaimPhase::Idle)
    return;
  if (Of.AnswerKept) {
    Effects.push_back(core::ForgetAnswer{Old.Attempt});
    Node.Actions.KeptAnswerBytes.Bytes -= Of.AnswerBytes.Bytes;
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
  Node.Actions.KeptAnswerBytes = Node.Actions.KeptAnswerBytes + Size;
  Effects.push_back(core::KeepAnswer{Of.Attempt});
}

void retain(core::State &Node, const std::string &Key,
            base::AttemptId Attempt) {
  Node.Actions.RetainedClaims.push_back(RetainedClaim{Node.Now, Key, Attempt});
}

void evictOldAnswers(core::State &Node, core::EffectList &Effects) {
  auto &Kept = Node.Actions.RetainedClaims;
  while (!Kept.empty() && isBeyondBounds(Node, Kept.front())) {
    RetainedClaim Oldest = std::move(Kept.front());
    Kept.pop_front();
    forget(Node, Oldest, Effects);
  }
}

} // namespace currantgauge::actions
