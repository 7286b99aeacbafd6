#include "currantgauge/actions/kept_answers.h"

#include <utility>

namespace currantgauge::actions {
namespace {

constexpr std::size_t MaxRetainedClaims = 4000; // with and without a response
constexpr base::ByteCount MaxKeptAnswerBytes{16 * 1024 * 1024};

bool exceedsBounds(const core::State &Node, const RetainedClaim &Oldest) {
  return Node.Actions.RetainedClaims.size() > MaxRetainedClaims ||
         Node.Actions.KeptAnswerBytes > MaxKeptAnswerBytes ||
         Node.Now - Oldest.Since > AnswerKeepTime;
}

void evict(core::State &Node, const RetainedClaim &Candidate,
           core::EffectList &Effects) {
  auto It = Node.Actions.Claims.find(Candidate.Key);
  if (It == Node.Actions.Claims.end() ||
      It->second.Attempt != Candidate.Attempt)
    return;
  const Claim &ActionClaim = It->second;
  if (ActionClaim.Phase != ClaimPhase::Finished &&
      ActionClaim.Phase != ClaimPhase::Idle)
    return;
  if (ActionClaim.AnswerKept) {
    Effects.push_back(core::DropAnswer{Candidate.Attempt});
    Node.Actions.KeptAnswerBytes.Bytes -= ActionClaim.AnswerBytes.Bytes;
  }
  Node.Actions.Claims.erase(It);
}

} // namespace

void keepAnswer(core::State &Node, Claim &ActionClaim, base::ByteCount Size,
                core::EffectList &Effects) {
  if (Size > KeptAnswerLimit)
    return;
  ActionClaim.AnswerKept = true;
  ActionClaim.AnswerBytes = Size;
  Node.Actions.KeptAnswerBytes = Node.Actions.KeptAnswerBytes + Size;
  Effects.push_back(core::KeepAnswer{ActionClaim.Attempt});
}

void retain(core::State &Node, const std::string &Key,
            base::AttemptId Attempt) {
  Node.Actions.RetainedClaims.push_back(RetainedClaim{Node.Now, Key, Attempt});
}

void evictOldAnswers(core::State &Node, core::EffectList &Effects) {
  auto &Claims = Node.Actions.RetainedClaims;
  while (!Claims.empty() && exceedsBounds(Node, Claims.front())) {
    RetainedClaim Oldest = std::move(Claims.front());
    Claims.pop_front();
    evict(Node, Oldest, Effects);
  }
}

} // namespace currantgauge::actions
