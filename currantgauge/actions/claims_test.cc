#include "currantgauge/actions/claims.h"

#include "currantgauge/actions/action_ids.h"
#include "currantgauge/actions/claim_row.h"
#include "currantgauge/actions/claim_store.h"
#include "currantgauge/actions/row_cleanup.h"
#include "currantgauge/base/memory_store.h"
#include "currantgauge/core/reduce.h"

#include <doctest/doctest.h>

#include <string>
#include <variant>
#include <vector>

namespace currantgauge::actions {
namespace {

constexpr base::TimePoint Start{1000};
const base::BackendName Server("s1");

core::State makeNode() {
  core::NodeIdentity Self;
  Self.Name = base::NodeName("a");
  Self.Incarnation = base::Incarnation(1);
  Self.ActionSecret = "secret";
  core::State Node = core::makeState(Self, 1);
  Node.Now = Start;
  Node.Routing.Servers[Server].Record.Name = Server;
  return Node;
}

admission::QueuedAttemptPtr addAttempt(core::State &Node, const char *Key,
                                       std::uint64_t Sequence) {
  admission::QueuedAttemptPtr Attempt(new admission::QueuedAttempt);
  Attempt->Facts.Attempt = base::AttemptId{9, Sequence};
  Attempt->Facts.Kind = base::KindName("commit");
  Attempt->Facts.IdempotencyKey = base::IdempotencyKey(Key);
  Attempt->Facts.Idempotent = false;
  Attempt->Server = Server;
  Attempt->Deadline = Start + base::seconds(10);
  Node.Owner.Attempts[Attempt->Facts.Attempt] = Attempt;
  return Attempt;
}

template <typename EffectType>
std::vector<EffectType> collectEffects(const core::EffectList &Effects) {
  std::vector<EffectType> Matches;
  for (const core::Effect &Item : Effects)
    if (const EffectType *Match = std::get_if<EffectType>(&Item))
      Matches.push_back(*Match);
  return Matches;
}

// settle() answers store calls from Store until none is left and returns all
// effects.
core::EffectList settle(core::State &Node, base::MemoryStore &Store,
                        core::EffectList Effects) {
  for (std::size_t At = 0; At < Effects.size(); ++At)
    if (const auto *Call = std::get_if<core::CallStore>(&Effects[At])) {
      core::StoreAnswered Answer{Call->Call,
                                 base::applyOperation(Store, Call->Operation)};
      onStoreAnswered(Node, Answer, Effects);
    }
  return Effects;
}

} // namespace

TEST_CASE("concurrent claims share a transaction and fail independently") {
  core::State Node = makeNode();
  base::MemoryStore Store;
  ClaimRow Foreign;
  Foreign.Holder = base::NodeName("b");
  admission::QueuedAttemptPtr First = addAttempt(Node, "k0", 1);
  core::EffectList Effects;
  startClaim(Node, *First, Effects);
  for (int Number = 1; Number <= 10; ++Number) {
    std::string Key = "k" + std::to_string(Number);
    auto Attempt = addAttempt(Node, Key.c_str(), 1 + Number);
    CHECK(startClaim(Node, *Attempt, Effects).Decision == GuardDecision::Wait);
    if (Number == 5)
      Store.Tables[ClaimTable][claimKey(Attempt->Facts)] =
          base::MemoryRow{encodeRow(Foreign), 1};
  }
  CHECK(collectEffects<core::CallStore>(Effects).size() == 1);
  Effects = settle(Node, Store, std::move(Effects));
  // Three transactions: the first claim, the other ten, and the nine left after
  // one of these failed.
  CHECK(collectEffects<core::CallStore>(Effects).size() == 3);
  auto Sent = collectEffects<core::SendToBackend>(Effects);
  CHECK(Sent.size() == 10);
  for (const core::SendToBackend &Send : Sent)
    CHECK(Send.NewConnection);
  auto Ended = collectEffects<core::EndAttempt>(Effects);
  REQUIRE(Ended.size() == 1);
  CHECK(Ended[0].Outcome.ReferredNode == base::NodeName("b"));
  CHECK(Ended[0].Outcome.Verdict == base::Verdict::MayHaveRun);
}

TEST_CASE(
    "a failed transaction that names no row is split until the row is found") {
  core::State Node = makeNode();
  core::EffectList Effects;
  startClaim(Node, *addAttempt(Node, "first", 1), Effects);
  for (int Number = 2; Number <= 9; ++Number)
    startClaim(
        Node, *addAttempt(Node, ("k" + std::to_string(Number)).c_str(), Number),
        Effects);
  std::size_t Reads = 0;
  for (std::size_t At = 0; At < Effects.size(); ++At) {
    const auto *Call = std::get_if<core::CallStore>(&Effects[At]);
    if (!Call)
      continue;
    core::StoreAnswered Answer{Call->Call, {}};
    const auto *Writes = std::get_if<base::WriteRows>(&Call->Operation);
    Answer.Result.Status = base::StoreStatus::NotFound;
    if (!Writes)
      ++Reads;
    else if (Writes->Rows.size() > 1 || At > 0)
      Answer.Result.Status = base::StoreStatus::ConditionFailed;
    else
      Answer.Result.Status = base::StoreStatus::Done;
    onStoreAnswered(Node, Answer, Effects);
  }
  CHECK(Reads == 8);
  for (const auto &Ended : collectEffects<core::EndAttempt>(Effects))
    CHECK(Ended.Outcome.Reason == base::Reason::StoreUnavailable);
  CHECK(collectEffects<core::EndAttempt>(Effects).size() == 8);
}

TEST_CASE("while the store fails only one claim waits for it") {
  core::State Node = makeNode();
  Node.Actions.StoreFailing = true;
  core::EffectList Effects;
  CHECK(startClaim(Node, *addAttempt(Node, "a", 1), Effects).Decision ==
        GuardDecision::Wait);
  GuardAnswer Second = startClaim(Node, *addAttempt(Node, "b", 2), Effects);
  CHECK(Second.Decision == GuardDecision::Refuse);
  CHECK(Second.Outcome.Verdict == base::Verdict::NotRun);
  CHECK(Second.Outcome.Reason == base::Reason::StoreUnavailable);
}

TEST_CASE("an owner runs an action by id only with its permission") {
  core::State Node = makeNode();
  auto Attempt = addAttempt(Node, "", 1);
  Attempt->Facts.Action = base::ActionToken("1.1.1.1.b.00");
  core::EffectList Effects;
  GuardAnswer Guard = startPermitted(Node, *Attempt, Effects);
  CHECK(Guard.Decision == GuardDecision::Refuse);
  CHECK(Guard.Outcome.Verdict == base::Verdict::MayHaveRun);
  Attempt->Facts.Permitted = true;
  CHECK(startPermitted(Node, *Attempt, Effects).Decision == GuardDecision::Run);
  CHECK(startPermitted(Node, *Attempt, Effects).Decision ==
        GuardDecision::Refuse);
}

TEST_CASE("an id placed at its own issuer is not permitted a second time") {
  core::State Node = makeNode();
  core::EffectList Effects;
  onActionIdRequested(Node, core::ActionIdRequested{base::RequestId{1, 1}},
                      Effects);
  core::RequestFacts Facts;
  Facts.Request = base::RequestId{1, 2};
  Facts.Action = collectEffects<core::AnswerActionId>(Effects).at(0).Action;
  CHECK(queryPermission(Node, Facts).Permitted);
  notePlaced(Node, Facts, Node.Self.Name);
  noteRequestEnded(Node, Facts);
  CHECK(queryPermission(Node, Facts).ReferredNode == Node.Self.Name);
  core::AttemptFacts Attempt;
  Attempt.Action = Facts.Action;
  Attempt.Entry = Node.Self.Name;
  core::AttemptOutcome Answer = answerPermissionQuery(Node, Attempt);
  CHECK_FALSE(Answer.Permitted);
  CHECK(Answer.Verdict == base::Verdict::MayHaveRun);
  CHECK(Answer.ReferredNode.empty());
}

TEST_CASE("rows past their retention are removed in one transaction") {
  core::State Node = makeNode();
  base::MemoryStore Store;
  Node.WallTime.Millis = 2 * base::toMillis(RowRetention);
  for (int Number = 0; Number < 50; ++Number) {
    ClaimRow Row;
    Row.WrittenAt.Millis = Number < 30 ? 0 : Node.WallTime.Millis - 1000;
    Store.Tables[ClaimTable]["~" + std::to_string(Number)] =
        base::MemoryRow{encodeRow(Row), 1};
  }
  core::EffectList Effects;
  startCleanup(Node, Effects);
  CHECK(Effects.empty());
  Node.Now = Node.Actions.NextScanAt;
  startCleanup(Node, Effects);
  Effects = settle(Node, Store, std::move(Effects));
  CHECK(Effects.size() == 2);
  CHECK(Store.Tables[ClaimTable].size() == 20);
}

} // namespace currantgauge::actions
