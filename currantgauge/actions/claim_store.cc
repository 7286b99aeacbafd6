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

constexpr std::size_t TransactionRows = 100;
constexpr base::Duration WriteTimeLimit = base::milliseconds(250);
constexpr base::Duration ReadTimeLimit = base::milliseconds(250);

base::RowWrite rowWrite(const core::State &Node, const std::string &Key,
                        const Claim &Of) {
  base::RowWrite Write;
  Write.Table = ClaimTable;
  Write.Key = Key;
  Write.ETag = Of.ETag;
  Write.Condition = Of.ETag.empty() ? base::WriteCondition::IfAbsent
                                    : base::WriteCondition::IfMatch;
  Write.Remove = Of.Write == ClaimWrite::Remove;
  if (!Write.Remove)
    Write.Value =
        encodeRow(ClaimRow{Of.Attempt, Node.Self.Name, Node.Self.Life, Of.Body,
                           Of.Write == ClaimWrite::MarkDone, Node.Wall});
  return Write;
}

// A queue may name claims that need no write any more, or twice the same.
void takeFrom(core::State &Node, std::deque<std::string> &Queue,
              std::size_t Limit, Transaction &Next, base::WriteRows &Rows) {
  while (!Queue.empty() && Next.Keys.size() < Limit) {
    std::string Key = std::move(Queue.front());
    Queue.pop_front();
    auto Found = Node.Actions.Claims.find(Key);
    if (Found == Node.Actions.Claims.end() || Found->second.InFlight ||
        Found->second.Write == ClaimWrite::None)
      continue;
    Found->second.InFlight = true;
    Rows.Rows.push_back(rowWrite(Node, Key, Found->second));
    Next.Keys.push_back(std::move(Key));
  }
}

void requeue(core::State &Node, const std::string &Key) {
  auto Found = Node.Actions.Claims.find(Key);
  if (Found == Node.Actions.Claims.end())
    return;
  Found->second.InFlight = false;
  queueWrite(Node, Key, Found->second.Write);
}

void readRow(core::State &Node, const std::string &Key,
             core::EffectList &Effects) {
  auto Found = Node.Actions.Claims.find(Key);
  if (Found == Node.Actions.Claims.end())
    return;
  if (Found->second.Phase == ClaimPhase::Claiming)
    Found->second.Phase = ClaimPhase::Settling;
  base::CallId Call = core::nextCall(Node);
  Node.Actions.Reads[Call] = Key;
  Effects.push_back(
      core::CallStore{Call, base::ReadRow{ClaimTable, Key}, ReadTimeLimit});
}

void onWritten(core::State &Node, const Transaction &Sent,
               const base::StoreResult &Result, core::EffectList &Effects) {
  std::map<std::string, std::string> ETags;
  for (const base::StoreRow &Row : Result.Rows)
    ETags[Row.Key] = Row.ETag;
  for (const std::string &Key : Sent.Keys)
    onRowWritten(Node, Key, ETags[Key], Effects);
}

// Nothing was applied. Rows that stood in the way settle their own claims; the
// others go again, in smaller transactions when no row is named.
void onConditionFailed(core::State &Node, const Transaction &Sent,
                       const base::StoreResult &Result,
                       core::EffectList &Effects) {
  std::map<std::string, base::StoreRow> Present;
  for (const base::StoreRow &Row : Result.Rows)
    Present[Row.Key] = Row;
  if (Present.empty() && Sent.Keys.size() == 1)
    return readRow(Node, Sent.Keys[0], Effects);
  if (Present.empty())
    Node.Actions.RowLimit = (Sent.Keys.size() + 1) / 2;
  for (const std::string &Key : Sent.Keys) {
    auto Found = Present.find(Key);
    if (Found == Present.end())
      requeue(Node, Key);
    else
      onRowRead(Node, Key, Found->second, Effects);
  }
}

// A claim in doubt is read at once; the rest is conditional and goes again.
void onUnknown(core::State &Node, const Transaction &Sent,
               core::EffectList &Effects) {
  for (const std::string &Key : Sent.Keys) {
    auto Found = Node.Actions.Claims.find(Key);
    if (Found != Node.Actions.Claims.end() &&
        Found->second.Write == ClaimWrite::Insert)
      readRow(Node, Key, Effects);
    else
      requeue(Node, Key);
  }
}

void onTransaction(core::State &Node, const base::StoreResult &Result,
                   core::EffectList &Effects) {
  Transaction Sent = std::move(*Node.Actions.InFlight);
  Node.Actions.InFlight.reset();
  Node.Actions.RowLimit = TransactionRows;
  Node.Actions.StoreFailing =
      Result.Status != base::StoreStatus::Done &&
      Result.Status != base::StoreStatus::ConditionFailed;
  switch (Result.Status) {
  case base::StoreStatus::Done:
    return onWritten(Node, Sent, Result, Effects);
  case base::StoreStatus::ConditionFailed:
    return onConditionFailed(Node, Sent, Result, Effects);
  case base::StoreStatus::Unknown:
    return onUnknown(Node, Sent, Effects);
  default:
    for (const std::string &Key : Sent.Keys)
      onRowNotWritten(Node, Key, Effects);
  }
}

void onRead(core::State &Node, const std::string &Key,
            const base::StoreResult &Result, core::EffectList &Effects) {
  auto Found = Node.Actions.Claims.find(Key);
  if (Found == Node.Actions.Claims.end())
    return;
  bool Settled = Result.Status == base::StoreStatus::Done ||
                 Result.Status == base::StoreStatus::NotFound;
  if (!Settled && Found->second.Write != ClaimWrite::Insert)
    return requeue(Node, Key);
  std::optional<base::StoreRow> Row;
  if (!Result.Rows.empty())
    Row = Result.Rows[0];
  onRowRead(Node, Key, Row, Effects);
}

void runFreed(core::State &Node, core::EffectList &Effects) {
  for (const base::ServiceName &Service :
       std::exchange(Node.Actions.FreedServices, {}))
    core::runQueued(Node, Service, Effects);
}

} // namespace

void queueWrite(core::State &Node, const std::string &Key, ClaimWrite What) {
  Node.Actions.Claims.at(Key).Write = What;
  if (What == ClaimWrite::Insert)
    Node.Actions.ClaimQueue.push_back(Key);
  else if (What != ClaimWrite::None)
    Node.Actions.DeferredQueue.push_back(Key);
}

void flushWrites(core::State &Node, core::EffectList &Effects) {
  ActionState &State = Node.Actions;
  bool UpkeepDue = State.FlushDeferred || Node.Stopping;
  if (State.InFlight || (State.ClaimQueue.empty() && !UpkeepDue))
    return;
  std::size_t Limit = State.RowLimit == 0 ? TransactionRows : State.RowLimit;
  Transaction Next;
  base::WriteRows Rows;
  takeFrom(Node, State.ClaimQueue, Limit, Next, Rows);
  if (!State.StoreFailing)
    takeFrom(Node, State.DeferredQueue, Limit, Next, Rows);
  State.FlushDeferred = !State.DeferredQueue.empty() && State.FlushDeferred;
  if (Next.Keys.empty())
    return;
  Next.Call = core::nextCall(Node);
  Effects.push_back(
      core::CallStore{Next.Call, std::move(Rows), WriteTimeLimit});
  State.InFlight = std::move(Next);
}

bool onStoreAnswered(core::State &Node, const core::StoreAnswered &Answered,
                     core::EffectList &Effects) {
  ActionState &State = Node.Actions;
  auto Read = State.Reads.find(Answered.Call);
  if (State.InFlight && State.InFlight->Call == Answered.Call) {
    onTransaction(Node, Answered.Result, Effects);
  } else if (Read != State.Reads.end()) {
    std::string Key = std::move(Read->second);
    State.Reads.erase(Read);
    onRead(Node, Key, Answered.Result, Effects);
  } else {
    return onCleanupAnswered(Node, Answered, Effects);
  }
  runFreed(Node, Effects);
  flushWrites(Node, Effects);
  return true;
}

} // namespace currantgauge::actions
