#include "currantgauge/config/collect.h"

#include "currantgauge/config/spread.h"
#include "currantgauge/config/stored_manifest.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <utility>

// Why no kept version loses an object, whatever is lost, late or concurrent:
//
// - An object bears the name of the one push that writes it, and a name that
//   was removed is never needed again. A removal that arrives late is harmless.
// - A push keeps objects of the version that it changes, or writes its own, and
//   is accepted only while that version is the head. So the versions that need
//   an object follow one another without a gap: one that an expired version
//   needs and the oldest kept one does not is needed by none after it.
// - Pushes expire in the order of their versions, and the head never does.
// - Any step may be repeated, also by two nodes at once: the row that registers
//   a push goes last.
namespace currantgauge::config {
namespace {

constexpr std::uint32_t ScannedPushes = 100;
constexpr std::uint32_t PushesAtOnce = 16;  // of one collection
constexpr std::uint32_t WritesInRound = 20; // of one node
constexpr base::Duration FirstDelay = base::minutes(1);
constexpr base::Duration FirstSpread = base::minutes(10);
constexpr base::Duration AnswerLimit = base::seconds(8);

base::Duration randomBelow(core::State &Node, base::Duration Limit) {
  return base::Duration{static_cast<std::int64_t>(base::uniformBelow(
      Node.Random, static_cast<std::uint64_t>(Limit.Micros) + 1))};
}

bool isWrite(CollectPhase Phase) {
  return Phase == CollectPhase::RemovingHistory ||
         Phase == CollectPhase::RemovingObject ||
         Phase == CollectPhase::RemovingRow;
}

base::RowWrite removalOf(const std::string &Key) {
  return base::RowWrite{ConfigTable, Key, "", base::WriteCondition::Always,
                        "",          true};
}

// All of them go before the first object: what one of them needs, an older one
// may need too.
base::WriteRows removeHistory(const Collection &Work) {
  std::set<std::string> Keys;
  for (const HeadRow &Row : Work.Expired)
    Keys.insert(historyKey(Row.Version));
  base::WriteRows Removal;
  for (const std::string &Key : Keys)
    Removal.Rows.push_back(removalOf(Key));
  return Removal;
}

base::StoreOperation operationOf(const Collection &Work) {
  switch (Work.Phase) {
  case CollectPhase::Idle:
  case CollectPhase::ReadingHead:
    return base::ReadRow{ConfigTable, HeadKey};
  case CollectPhase::Scanning:
    return base::ScanRows{ConfigTable, ObjectsPrefix, ScannedPushes};
  case CollectPhase::ReadingKept:
    return base::ReadRow{ConfigTable,
                         historyKey(Work.Candidates.front().Version)};
  case CollectPhase::ReadingKeptManifest:
    return base::GetObject{manifestObject(Work.Candidates.front())};
  case CollectPhase::RemovingHistory:
    return removeHistory(Work);
  case CollectPhase::ReadingManifest:
    return base::GetObject{manifestObject(Work.Expired.front())};
  case CollectPhase::RemovingObject:
    return base::DeleteObject{Work.ToRemove.front()};
  case CollectPhase::RemovingRow:
    return base::WriteRows{{removalOf(objectsKey(Work.Expired.front()))}};
  }
  return base::ReadRow{ConfigTable, HeadKey};
}

// One call at a time, and a limit of writes in a round: collecting must not
// take the store's writes away from claims.
void proceed(core::State &Node, CollectPhase Phase, core::EffectList &Effects) {
  Collection &Work = Node.Config.Collecting;
  Work.Phase = Phase;
  Work.Since = Node.Now;
  Work.Paused = isWrite(Phase) && Work.Writes >= WritesInRound;
  Work.Call = base::CallId();
  if (Work.Paused)
    return;
  Work.Writes += isWrite(Phase) ? 1 : 0;
  Work.Call = callStore(Node, operationOf(Work), Effects);
}

void endCollection(core::State &Node) { Node.Config.Collecting = Collection(); }

std::optional<HeadRow> rowOf(const base::StoreResult &Result) {
  if (Result.Status != base::StoreStatus::Done || Result.Rows.empty())
    return std::nullopt;
  return parseHeadRow(Result.Rows.front());
}

void onHeadRead(core::State &Node, const base::StoreResult &Result,
                core::EffectList &Effects) {
  std::optional<HeadRow> Head = rowOf(Result);
  if (!Head)
    return endCollection(Node);
  Node.Config.Collecting.Head = Head->Version;
  proceed(Node, CollectPhase::Scanning, Effects);
}

// The first that has not expired ends the list: pushes expire in order. Rivals
// for one version share its history row, so they expire together.
bool isNextExpired(const core::State &Node, const HeadRow &Push) {
  const Collection &Work = Node.Config.Collecting;
  if (!Work.Candidates.empty())
    return false;
  if (!Work.Expired.empty() && Work.Expired.back().Version == Push.Version)
    return true;
  return Work.Expired.size() < PushesAtOnce &&
         isExpired(Node.Config.Retention, Push, Work.Head, Node.WallTime);
}

void onScanned(core::State &Node, const base::StoreResult &Result,
               core::EffectList &Effects) {
  Collection &Work = Node.Config.Collecting;
  for (const base::StoreRow &Row : Result.Rows) {
    std::optional<HeadRow> Push = parseHeadRow(Row);
    if (!Row.Key.starts_with(ObjectsPrefix) || !Push)
      break;
    (isNextExpired(Node, *Push) ? Work.Expired : Work.Candidates)
        .push_back(*Push);
  }
  if (Work.Expired.empty() || Work.Candidates.empty())
    return endCollection(Node);
  proceed(Node, CollectPhase::ReadingKept, Effects);
}

// A candidate that another push of the same version beat is passed over. One
// whose history row is gone was expired in a collection that did not end.
void onKeptRead(core::State &Node, const base::StoreResult &Result,
                core::EffectList &Effects) {
  Collection &Work = Node.Config.Collecting;
  const HeadRow &Candidate = Work.Candidates.front();
  std::optional<HeadRow> Accepted = rowOf(Result);
  if (Accepted && manifestObject(*Accepted) == manifestObject(Candidate))
    return proceed(Node, CollectPhase::ReadingKeptManifest, Effects);
  if (!Accepted) {
    if (Result.Status != base::StoreStatus::NotFound ||
        !isExpired(Node.Config.Retention, Candidate, Work.Head, Node.WallTime))
      return endCollection(Node);
    Work.Expired.push_back(Candidate);
  }
  Work.Candidates.pop_front();
  if (Work.Candidates.empty())
    return endCollection(Node);
  proceed(Node, CollectPhase::ReadingKept, Effects);
}

// Rivals for the kept version wait until it expires: they share its history
// row.
void onKeptManifest(core::State &Node, const base::StoreResult &Result,
                    core::EffectList &Effects) {
  Collection &Work = Node.Config.Collecting;
  std::optional<StoredManifest> Stored;
  if (Result.Status == base::StoreStatus::Done)
    Stored = readStored(Work.Candidates.front(), Result.Bytes);
  if (!Stored)
    return endCollection(Node);
  Work.Kept = objectsOf(Work.Candidates.front(), *Stored);
  proceed(Node, CollectPhase::RemovingHistory, Effects);
}

void removeNextObject(core::State &Node, core::EffectList &Effects) {
  proceed(Node,
          Node.Config.Collecting.ToRemove.empty()
              ? CollectPhase::RemovingRow
              : CollectPhase::RemovingObject,
          Effects);
}

// The manifest is the first object that a push stores and the last one that is
// removed: it says where the others are.
void onManifestRead(core::State &Node, const base::StoreResult &Result,
                    core::EffectList &Effects) {
  Collection &Work = Node.Config.Collecting;
  const HeadRow &Expired = Work.Expired.front();
  std::optional<StoredManifest> Stored;
  if (Result.Status == base::StoreStatus::Done)
    Stored = readStored(Expired, Result.Bytes);
  else if (Result.Status != base::StoreStatus::NotFound)
    return endCollection(Node);
  std::string Last = manifestObject(Expired);
  for (const std::string &Name :
       objectsOf(Expired, Stored.value_or(StoredManifest())))
    if (Name != Last && !Work.Kept.contains(Name))
      Work.ToRemove.push_back(Name);
  Work.ToRemove.push_back(std::move(Last));
  removeNextObject(Node, Effects);
}

void onPushRemoved(core::State &Node, core::EffectList &Effects) {
  Collection &Work = Node.Config.Collecting;
  Work.Expired.pop_front();
  if (Work.Expired.empty())
    return endCollection(Node);
  proceed(Node, CollectPhase::ReadingManifest, Effects);
}

void onRemoved(core::State &Node, core::EffectList &Effects) {
  Collection &Work = Node.Config.Collecting;
  if (Work.Phase == CollectPhase::RemovingHistory)
    return proceed(Node, CollectPhase::ReadingManifest, Effects);
  if (Work.Phase == CollectPhase::RemovingRow)
    return onPushRemoved(Node, Effects);
  Work.ToRemove.pop_front();
  removeNextObject(Node, Effects);
}

} // namespace

void scheduleFirstCollection(core::State &Node) {
  Node.Config.NextCollection =
      Node.Now + FirstDelay + randomBelow(Node, FirstSpread);
}

// A step that failed ends the collection; the next one finds the same work.
void onCollectRound(core::State &Node, core::EffectList &Effects) {
  ConfigState &Held = Node.Config;
  Collection &Work = Held.Collecting;
  Work.Writes = 0;
  if (Work.Paused)
    return proceed(Node, Work.Phase, Effects);
  if (Work.Phase != CollectPhase::Idle && Node.Now - Work.Since > AnswerLimit)
    endCollection(Node);
  if (!hasHeadRow(Node) || Work.Phase != CollectPhase::Idle ||
      Node.Now < Held.NextCollection)
    return;
  auto Nodes = static_cast<std::int64_t>(Node.Membership.Members.size() + 1);
  base::Duration Mean = Held.Retention.Interval * Nodes;
  Held.NextCollection = Node.Now + Mean / 2 + randomBelow(Node, Mean);
  proceed(Node, CollectPhase::ReadingHead, Effects);
}

bool onCollectAnswered(core::State &Node, const core::StoreAnswered &Answer,
                       core::EffectList &Effects) {
  Collection &Work = Node.Config.Collecting;
  if (Work.Phase == CollectPhase::Idle || Work.Call != Answer.Call)
    return false;
  const base::StoreResult &Result = Answer.Result;
  if (isWrite(Work.Phase) && Result.Status != base::StoreStatus::Done)
    endCollection(Node);
  else if (isWrite(Work.Phase))
    onRemoved(Node, Effects);
  else if (Work.Phase == CollectPhase::ReadingHead)
    onHeadRead(Node, Result, Effects);
  else if (Work.Phase == CollectPhase::Scanning)
    onScanned(Node, Result, Effects);
  else if (Work.Phase == CollectPhase::ReadingKept)
    onKeptRead(Node, Result, Effects);
  else if (Work.Phase == CollectPhase::ReadingKeptManifest)
    onKeptManifest(Node, Result, Effects);
  else
    onManifestRead(Node, Result, Effects);
  return true;
}

bool isExpired(const Retention &Limits, const HeadRow &Row,
               base::ConfigVersion Head, base::UnixTime Now) {
  if (Row.Version >= Head)
    return false;
  std::uint64_t Behind = Head.Value - Row.Version.Value;
  bool IsOld = Now.Millis - Row.When.Millis >= Limits.MaxAge.Micros / 1000;
  return Behind >= Limits.MaxVersions ||
         (Behind >= Limits.MinVersions && IsOld);
}

} // namespace currantgauge::config
