#include "currantgauge/actions/claim_store.h"

#include "currantgauge/actions/claim_row.h"
#include "currantgauge/actions/claims.h"
#include "currantgauge/actions/row_cleanup.h"
#include "currantgauge/core/owner.h"

#include <algorithm>
#include <map>
#include <utility>

namespace currantgauge::actions {
namespace {

constexpr std::size_t MaxTransactionRows = 100;
constexpr base::Duration WriteTimeout = base::milliseconds(250);
constexpr base::Duration ReadTimeout = base::milliseconds(250);

base::RowWrite rowWrite(const core::State &Node, const std::string &Key,
                        const Claim &ActionClaim) {
  base::RowWrite Write;
  Write.Table = ClaimTable;
  Write.Key = Key;
  Write.ETag = ActionClaim.ETag;
  Write.Condition = ActionClaim.ETag.empty() ? base::WriteCondition::IfAbsent
                                             : base::WriteCondition::IfMatch;
  Write.Remove = ActionClaim.Write == ClaimWrite::Remove;
  if (!Write.Remove)
    Write.Value = encodeRow(ClaimRow{ActionClaim.Attempt, Node.Self.Name,
                                     Node.Self.Incarnation, ActionClaim.Body,
                                     ActionClaim.Write == ClaimWrite::MarkDone,
                                     Node.WallTime});
  return Write;
}

// moveToTransaction() moves queued writes into a transaction. A queue may
// contain claims that no longer need a write, or the same claim twice.
void moveToTransaction(core::State &Node, std::deque<std::string> &Queue,
                       std::size_t Limit, Transaction &Next,
                       base::WriteRows &Rows) {
  while (!Queue.empty() && Next.Keys.size() < Limit) {
    std::string Key = std::move(Queue.front());
    Queue.pop_front();
    auto It = Node.Actions.Claims.find(Key);
    if (It == Node.Actions.Claims.end() || It->second.InFlight ||
        It->second.Write == ClaimWrite::None)
      continue;
    It->second.InFlight = true;
    Rows.Rows.push_back(rowWrite(Node, Key, It->second));
    Next.Keys.push_back(std::move(Key));
  }
}

void requeue(core::State &Node, const std::string &Key) {
  auto It = Node.Actions.Claims.find(Key);
  if (It == Node.Actions.Claims.end())
    return;
  It->second.InFlight = false;
  queueWrite(Node, Key, It->second.Write);
}

void readRow(core::State &Node, const std::string &Key,
             core::EffectList &Effects) {
  auto It = Node.Actions.Claims.find(Key);
  if (It == Node.Actions.Claims.end())
    return;
  if (It->second.Phase == ClaimPhase::Claiming)
    It->second.Phase = ClaimPhase::Settling;
  base::CallId Call = core::nextCallId(Node);
  Node.Actions.Reads[Call] = Key;
  Effects.push_back(
      core::CallStore{Call, base::ReadRow{ClaimTable, Key}, ReadTimeout});
}

void onTransactionDone(core::State &Node, const Transaction &SentTransaction,
                       const base::StoreResult &Result,
                       core::EffectList &Effects) {
  std::map<std::string, std::string> ETags;
  for (const base::StoreRow &Row : Result.Rows)
    ETags[Row.Key] = Row.ETag;
  for (const std::string &Key : SentTransaction.Keys)
    onRowWritten(Node, Key, ETags[Key], Effects);
}

// onTransactionConflict() handles a failed condition: nothing was applied.
// Claims whose present rows were returned are resolved by them and the others
// are written again. If no row was returned, the transaction is split to find
// the conflict.
void onTransactionConflict(core::State &Node,
                           const Transaction &SentTransaction,
                           const base::StoreResult &Result,
                           core::EffectList &Effects) {
  std::map<std::string, base::StoreRow> PresentRows;
  for (const base::StoreRow &Row : Result.Rows)
    PresentRows[Row.Key] = Row;
  if (PresentRows.empty() && SentTransaction.Keys.size() == 1)
    return readRow(Node, SentTransaction.Keys[0], Effects);
  if (PresentRows.empty())
    Node.Actions.RowLimit = (SentTransaction.Keys.size() + 1) / 2;
  for (const std::string &Key : SentTransaction.Keys) {
    auto It = PresentRows.find(Key);
    if (It == PresentRows.end())
      requeue(Node, Key);
    else
      onRowRead(Node, Key, It->second, Effects);
  }
}

// onTransactionUnknown() handles a transaction that may have been applied. Rows
// of new claims are read to find out; the other writes are conditional and can
// be repeated.
void onTransactionUnknown(core::State &Node, const Transaction &SentTransaction,
                          core::EffectList &Effects) {
  for (const std::string &Key : SentTransaction.Keys) {
    auto It = Node.Actions.Claims.find(Key);
    if (It != Node.Actions.Claims.end() &&
        It->second.Write == ClaimWrite::Insert)
      readRow(Node, Key, Effects);
    else
      requeue(Node, Key);
  }
}

void onTransactionAnswered(core::State &Node, const base::StoreResult &Result,
                           core::EffectList &Effects) {
  Transaction SentTransaction = std::move(*Node.Actions.InFlight);
  Node.Actions.InFlight.reset();
  Node.Actions.RowLimit = MaxTransactionRows;
  Node.Actions.StoreFailing =
      Result.Status != base::StoreStatus::Done &&
      Result.Status != base::StoreStatus::ConditionFailed;
  switch (Result.Status) {
  case base::StoreStatus::Done:
    return onTransactionDone(Node, SentTransaction, Result, Effects);
  case base::StoreStatus::ConditionFailed:
    return onTransactionConflict(Node, SentTransaction, Result, Effects);
  case base::StoreStatus::Unknown:
    return onTransactionUnknown(Node, SentTransaction, Effects);
  default:
    for (const std::string &Key : SentTransaction.Keys)
      onRowNotWritten(Node, Key, Effects);
  }
}

void onRead(core::State &Node, const std::string &Key,
            const base::StoreResult &Result, core::EffectList &Effects) {
  auto It = Node.Actions.Claims.find(Key);
  if (It == Node.Actions.Claims.end())
    return;
  bool IsSettled = Result.Status == base::StoreStatus::Done ||
                   Result.Status == base::StoreStatus::NotFound;
  if (!IsSettled && It->second.Write != ClaimWrite::Insert)
    return requeue(Node, Key);
  std::optional<base::StoreRow> Row;
  if (!Result.Rows.empty())
    Row = Result.Rows[0];
  onRowRead(Node, Key, Row, Effects);
}

void runFreedServices(core::State &Node, core::EffectList &Effects) {
  for (const base::ServiceName &Service :
       std::exchange(Node.Actions.FreedServices, {}))
    core::startQueuedAttempts(Node, Service, Effects);
}

} // namespace

void queueWrite(core::State &Node, const std::string &Key, ClaimWrite Write) {
  Node.Actions.Claims.at(Key).Write = Write;
  if (Write == ClaimWrite::Insert)
    Node.Actions.ClaimQueue.push_back(Key);
  else if (Write != ClaimWrite::None)
    Node.Actions.DeferredQueue.push_back(Key);
}

void sendNextTransaction(core::State &Node, core::EffectList &Effects) {
  ActionState &State = Node.Actions;
  bool IncludeDeferred = State.FlushDeferred || Node.Stopping;
  if (State.InFlight || (State.ClaimQueue.empty() && !IncludeDeferred))
    return;
  std::size_t Limit = State.RowLimit == 0 ? MaxTransactionRows : State.RowLimit;
  Transaction Next;
  base::WriteRows Rows;
  moveToTransaction(Node, State.ClaimQueue, Limit, Next, Rows);
  if (!State.StoreFailing)
    moveToTransaction(Node, State.DeferredQueue, Limit, Next, Rows);
  State.FlushDeferred = !State.DeferredQueue.empty() && State.FlushDeferred;
  if (Next.Keys.empty())
    return;
  Next.Call = core::nextCallId(Node);
  Effects.push_back(core::CallStore{Next.Call, std::move(Rows), WriteTimeout});
  State.InFlight = std::move(Next);
}

bool onStoreAnswered(core::State &Node, const core::StoreAnswered &Answered,
                     core::EffectList &Effects) {
  ActionState &State = Node.Actions;
  auto Read = State.Reads.find(Answered.Call);
  if (State.InFlight && State.InFlight->Call == Answered.Call) {
    onTransactionAnswered(Node, Answered.Result, Effects);
  } else if (Read != State.Reads.end()) {
    std::string Key = std::move(Read->second);
    State.Reads.erase(Read);
    onRead(Node, Key, Answered.Result, Effects);
  } else {
    return onCleanupAnswered(Node, Answered, Effects);
  }
  runFreedServices(Node, Effects);
  sendNextTransaction(Node, Effects);
  return true;
}

} // namespace currantgauge::actions
