#include "currantgauge/config/collect.h"

#include "currantgauge/config/distribution.h"
#include "currantgauge/config/stored_manifest.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <utility>

// Why no kept version loses an object, even if store calls are lost, delayed or
// concurrent:
//
// - An object's name contains the one push that writes it, and a removed name
//   is never needed again. So a delayed removal is harmless.
// - A push reuses objects of its base version or writes its own, and is
//   accepted only while the base version is the head. So the versions that need
//   an object are consecutive: an object that an expired version needs and the
//   oldest kept version doesn't is needed by no later version.
// - Pushes expire in the order of their versions, and the head never expires.
// - Every step may be repeated, even by two nodes at once: a push's
//   registration row is removed last, so an unfinished removal is found again.
namespace currantgauge::config {
namespace {

constexpr std::uint32_t MaxScannedPushes = 100; // per collection
constexpr std::uint32_t MaxPushesPerCollection = 16;
constexpr std::uint32_t MaxWritesPerRound = 20; // of each node
// The first collection starts this long after the node, plus a random part of
// the jitter.
constexpr base::Duration FirstCollectionDelay = base::minutes(1);
constexpr base::Duration FirstCollectionJitter = base::minutes(10);
// Ends a collection whose store call has no answer, not even a timeout.
constexpr base::Duration AnswerTimeout = base::seconds(8);

base::Duration drawDuration(core::State &Node, base::Duration Max) {
  return base::Duration{static_cast<std::int64_t>(base::uniformBelow(
      Node.Random, static_cast<std::uint64_t>(Max.Micros) + 1))};
}

bool isWrite(CollectPhase Phase) {
  return Phase == CollectPhase::RemovingHistory ||
         Phase == CollectPhase::RemovingObject ||
         Phase == CollectPhase::RemovingRegistration;
}

base::RowWrite makeRowRemoval(const std::string &Key) {
  return base::RowWrite{ConfigTable, Key, "", base::WriteCondition::Always,
                        "",          true};
}

// Removes the history rows of all expired versions before any object: several
// of them may need the same object.
base::WriteRows makeHistoryRemoval(const CollectionState &Collection) {
  std::set<std::string> Keys;
  for (const HeadRow &Row : Collection.Expired)
    Keys.insert(getHistoryKey(Row.Version));
  base::WriteRows Removal;
  for (const std::string &Key : Keys)
    Removal.Rows.push_back(makeRowRemoval(Key));
  return Removal;
}

base::StoreOperation makeOperation(const CollectionState &Collection) {
  switch (Collection.Phase) {
  case CollectPhase::Idle:
  case CollectPhase::ReadingHead:
    return base::ReadRow{ConfigTable, HeadKey};
  case CollectPhase::Scanning:
    return base::ScanRows{ConfigTable, RegistrationPrefix, MaxScannedPushes};
  case CollectPhase::ReadingOldestKept:
    return base::ReadRow{ConfigTable,
                         getHistoryKey(Collection.Candidates.front().Version)};
  case CollectPhase::ReadingOldestKeptManifest:
    return base::GetObject{
        getManifestObjectName(Collection.Candidates.front())};
  case CollectPhase::RemovingHistory:
    return makeHistoryRemoval(Collection);
  case CollectPhase::ReadingManifest:
    return base::GetObject{getManifestObjectName(Collection.Expired.front())};
  case CollectPhase::RemovingObject:
    return base::DeleteObject{Collection.ToRemove.front()};
  case CollectPhase::RemovingRegistration:
    return base::WriteRows{
        {makeRowRemoval(getRegistrationKey(Collection.Expired.front()))}};
  }
  return base::ReadRow{ConfigTable, HeadKey};
}

// Starts the store call of a phase, or pauses the collection until the next
// round. A collection makes one call at a time and a limited number of writes
// per round, so that most of the store's write capacity is left to the rows
// that claim actions (non-idempotent requests).
void startPhase(core::State &Node, CollectPhase Phase,
                core::EffectList &Effects) {
  CollectionState &Collection = Node.Config.Collection;
  Collection.Phase = Phase;
  Collection.PhaseStartedAt = Node.Now;
  Collection.Paused = isWrite(Phase) && Collection.Writes >= MaxWritesPerRound;
  Collection.Call = base::CallId();
  if (Collection.Paused)
    return;
  Collection.Writes += isWrite(Phase) ? 1 : 0;
  Collection.Call = callStore(Node, makeOperation(Collection), Effects);
}

void endCollection(core::State &Node) {
  Node.Config.Collection = CollectionState();
}

std::optional<HeadRow> parseFirstRow(const base::StoreResult &Result) {
  if (Result.Status != base::StoreStatus::Done || Result.Rows.empty())
    return std::nullopt;
  return parseHeadRow(Result.Rows.front());
}

void onHeadRead(core::State &Node, const base::StoreResult &Result,
                core::EffectList &Effects) {
  std::optional<HeadRow> Head = parseFirstRow(Result);
  if (!Head)
    return endCollection(Node);
  Node.Config.Collection.Head = Head->Version;
  startPhase(Node, CollectPhase::Scanning, Effects);
}

// Returns true if the next scanned push belongs to the expired ones. Pushes
// expire in order, so the first one that hasn't expired ends their list, and so
// does the limit MaxPushesPerCollection. Competing pushes of one version share
// its history row, so they are taken together, even beyond that limit.
bool isNextExpired(const core::State &Node, const HeadRow &Push) {
  const CollectionState &Collection = Node.Config.Collection;
  if (!Collection.Candidates.empty())
    return false;
  if (!Collection.Expired.empty() &&
      Collection.Expired.back().Version == Push.Version)
    return true;
  return Collection.Expired.size() < MaxPushesPerCollection &&
         isExpired(Node.Config.Retention, Push, Collection.Head, Node.WallTime);
}

void onScanned(core::State &Node, const base::StoreResult &Result,
               core::EffectList &Effects) {
  CollectionState &Collection = Node.Config.Collection;
  for (const base::StoreRow &Row : Result.Rows) {
    std::optional<HeadRow> Push = parseHeadRow(Row);
    if (!Row.Key.starts_with(RegistrationPrefix) || !Push)
      break;
    (isNextExpired(Node, *Push) ? Collection.Expired : Collection.Candidates)
        .push_back(*Push);
  }
  if (Collection.Expired.empty() || Collection.Candidates.empty())
    return endCollection(Node);
  startPhase(Node, CollectPhase::ReadingOldestKept, Effects);
}

// Skips a candidate if another push was accepted as the same version. A
// candidate without a history row was either expired by an earlier collection
// that did not finish, or is not accepted yet. In the second case the
// collection ends.
void onOldestKeptRead(core::State &Node, const base::StoreResult &Result,
                      core::EffectList &Effects) {
  CollectionState &Collection = Node.Config.Collection;
  const HeadRow &Candidate = Collection.Candidates.front();
  std::optional<HeadRow> Accepted = parseFirstRow(Result);
  if (Accepted &&
      getManifestObjectName(*Accepted) == getManifestObjectName(Candidate))
    return startPhase(Node, CollectPhase::ReadingOldestKeptManifest, Effects);
  if (!Accepted) {
    if (Result.Status != base::StoreStatus::NotFound ||
        !isExpired(Node.Config.Retention, Candidate, Collection.Head,
                   Node.WallTime))
      return endCollection(Node);
    Collection.Expired.push_back(Candidate);
  }
  Collection.Candidates.pop_front();
  if (Collection.Candidates.empty())
    return endCollection(Node);
  startPhase(Node, CollectPhase::ReadingOldestKept, Effects);
}

// Learns which objects the kept versions may share with the expired ones. The
// refused pushes of the oldest kept version stay until that version expires,
// because they share its history row.
void onOldestKeptManifestRead(core::State &Node,
                              const base::StoreResult &Result,
                              core::EffectList &Effects) {
  CollectionState &Collection = Node.Config.Collection;
  std::optional<StoredManifest> Stored;
  if (Result.Status == base::StoreStatus::Done)
    Stored = readStoredManifest(Collection.Candidates.front(), Result.Bytes);
  if (!Stored)
    return endCollection(Node);
  Collection.KeptObjects =
      listObjectNames(Collection.Candidates.front(), *Stored);
  startPhase(Node, CollectPhase::RemovingHistory, Effects);
}

void removeNextObject(core::State &Node, core::EffectList &Effects) {
  startPhase(Node,
             Node.Config.Collection.ToRemove.empty()
                 ? CollectPhase::RemovingRegistration
                 : CollectPhase::RemovingObject,
             Effects);
}

// Lists the objects of an expired push for removal. The manifest names the
// other objects, so it is stored first and removed last. If it is gone already,
// only its own name is listed.
void onManifestRead(core::State &Node, const base::StoreResult &Result,
                    core::EffectList &Effects) {
  CollectionState &Collection = Node.Config.Collection;
  const HeadRow &Expired = Collection.Expired.front();
  std::optional<StoredManifest> Stored;
  if (Result.Status == base::StoreStatus::Done)
    Stored = readStoredManifest(Expired, Result.Bytes);
  else if (Result.Status != base::StoreStatus::NotFound)
    return endCollection(Node);
  std::string ManifestName = getManifestObjectName(Expired);
  for (const std::string &Name :
       listObjectNames(Expired, Stored.value_or(StoredManifest())))
    if (Name != ManifestName && !Collection.KeptObjects.contains(Name))
      Collection.ToRemove.push_back(Name);
  Collection.ToRemove.push_back(std::move(ManifestName));
  removeNextObject(Node, Effects);
}

void onRegistrationRemoved(core::State &Node, core::EffectList &Effects) {
  CollectionState &Collection = Node.Config.Collection;
  Collection.Expired.pop_front();
  if (Collection.Expired.empty())
    return endCollection(Node);
  startPhase(Node, CollectPhase::ReadingManifest, Effects);
}

void onWriteDone(core::State &Node, core::EffectList &Effects) {
  CollectionState &Collection = Node.Config.Collection;
  if (Collection.Phase == CollectPhase::RemovingHistory)
    return startPhase(Node, CollectPhase::ReadingManifest, Effects);
  if (Collection.Phase == CollectPhase::RemovingRegistration)
    return onRegistrationRemoved(Node, Effects);
  Collection.ToRemove.pop_front();
  removeNextObject(Node, Effects);
}

} // namespace

void scheduleFirstCollection(core::State &Node) {
  Node.Config.NextCollection = Node.Now + FirstCollectionDelay +
                               drawDuration(Node, FirstCollectionJitter);
}

// A failed step ends the collection. The next collection finds the same expired
// pushes.
void onCollectRound(core::State &Node, core::EffectList &Effects) {
  ConfigState &State = Node.Config;
  CollectionState &Collection = State.Collection;
  Collection.Writes = 0;
  if (Collection.Paused)
    return startPhase(Node, Collection.Phase, Effects);
  if (Collection.Phase != CollectPhase::Idle &&
      Node.Now - Collection.PhaseStartedAt > AnswerTimeout)
    endCollection(Node);
  if (!hasHeadRow(Node) || Collection.Phase != CollectPhase::Idle ||
      Node.Now < State.NextCollection)
    return;
  auto NodeCount =
      static_cast<std::int64_t>(Node.Membership.Members.size() + 1);
  base::Duration MeanDelay = State.Retention.Interval * NodeCount;
  State.NextCollection =
      Node.Now + MeanDelay / 2 + drawDuration(Node, MeanDelay);
  startPhase(Node, CollectPhase::ReadingHead, Effects);
}

bool onCollectAnswered(core::State &Node, const core::StoreAnswered &Answer,
                       core::EffectList &Effects) {
  CollectionState &Collection = Node.Config.Collection;
  if (Collection.Phase == CollectPhase::Idle || Collection.Call != Answer.Call)
    return false;
  const base::StoreResult &Result = Answer.Result;
  if (isWrite(Collection.Phase) && Result.Status != base::StoreStatus::Done)
    endCollection(Node);
  else if (isWrite(Collection.Phase))
    onWriteDone(Node, Effects);
  else if (Collection.Phase == CollectPhase::ReadingHead)
    onHeadRead(Node, Result, Effects);
  else if (Collection.Phase == CollectPhase::Scanning)
    onScanned(Node, Result, Effects);
  else if (Collection.Phase == CollectPhase::ReadingOldestKept)
    onOldestKeptRead(Node, Result, Effects);
  else if (Collection.Phase == CollectPhase::ReadingOldestKeptManifest)
    onOldestKeptManifestRead(Node, Result, Effects);
  else
    onManifestRead(Node, Result, Effects);
  return true;
}

bool isExpired(const Retention &Retention, const HeadRow &Row,
               base::ConfigVersion Head, base::UnixTime Now) {
  if (Row.Version >= Head)
    return false;
  std::uint64_t VersionsBehind = Head.Value - Row.Version.Value;
  bool IsOld =
      Now.Millis - Row.AcceptedAt.Millis >= Retention.MaxAge.Micros / 1000;
  return VersionsBehind >= Retention.MaxVersions ||
         (VersionsBehind >= Retention.MinVersions && IsOld);
}

} // namespace currantgauge::config
