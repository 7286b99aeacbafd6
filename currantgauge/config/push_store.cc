#include "currantgauge/config/push_store.h"

#include "currantgauge/config/distribution.h"
#include "currantgauge/config/stored_manifest.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <utility>

namespace currantgauge::config {
namespace {

constexpr std::size_t MaxWritesInFlight = 8; // of a push's objects

// listOwnObjects() returns the objects that the push itself writes, the
// manifest first.
std::deque<base::PutObject> listOwnObjects(const PendingPush &Push) {
  std::string Origin = getOriginName(Push.NextHead.Version, Push.NextHead.Push);
  std::deque<base::PutObject> Objects = {{getManifestObjectName(Push.NextHead),
                                          formatStoredManifest(Push.Stored)}};
  for (const auto &[Name, Stored] : Push.Stored)
    if (Stored.Origin == Origin)
      Objects.push_back(
          base::PutObject{getPartObjectName(Stored.Origin, Stored.Hash),
                          Push.Parts->Parts.at(Name)->Text});
  return Objects;
}

// Writes the head row by compare-and-set, together with the history row and the
// registration row. This may be repeated, because the ETag matches at most
// once.
void updateHead(core::State &Node, core::EffectList &Effects) {
  const PendingPush &Push = *Node.Config.Push;
  bool IsFirst = Push.Head.ETag.empty();
  std::string Value = formatHeadRow(Push.NextHead);
  base::WriteRows Write;
  Write.Rows.push_back(base::RowWrite{ConfigTable, HeadKey, Value,
                                      IsFirst ? base::WriteCondition::IfAbsent
                                              : base::WriteCondition::IfMatch,
                                      Push.Head.ETag});
  Write.Rows.push_back(
      base::RowWrite{ConfigTable, getHistoryKey(Push.NextHead.Version), Value,
                     base::WriteCondition::IfAbsent, ""});
  Write.Rows.push_back(
      base::RowWrite{ConfigTable, getRegistrationKey(Push.NextHead), Value});
  callStoreForPush(Node, PushPhase::UpdatingHead, std::move(Write), Effects);
}

// Writes the next objects, the manifest alone and first. When all are written,
// updates the head row.
void storeNextObjects(core::State &Node, core::EffectList &Effects) {
  PendingPush &Push = *Node.Config.Push;
  Push.RetryDue = false;
  std::size_t MaxWrites = Push.ManifestStored ? MaxWritesInFlight : 1;
  while (Push.WritesInFlight.size() < MaxWrites && !Push.ToStore.empty()) {
    base::PutObject Write = std::move(Push.ToStore.front());
    Push.ToStore.pop_front();
    base::CallId Call = callStore(Node, Write, Effects);
    Push.WritesInFlight.emplace(Call, std::move(Write));
  }
  if (Push.WritesInFlight.empty())
    updateHead(Node, Effects);
}

// The registration row is written before the objects, so that collections find
// them even if the push fails. It is written again with the head row: then
// every accepted version has one, and a lost answer to this first write needs
// no retry.
void registerObjects(core::State &Node, core::EffectList &Effects) {
  const HeadRow &Next = Node.Config.Push->NextHead;
  callStoreForPush(
      Node, PushPhase::Registering,
      base::WriteRows{{base::RowWrite{ConfigTable, getRegistrationKey(Next),
                                      formatHeadRow(Next)}}},
      Effects);
}

void startStoring(core::State &Node, const StoredManifest &BaseManifest,
                  core::EffectList &Effects) {
  PendingPush &Push = *Node.Config.Push;
  Push.NextHead = makeNextHead(Node);
  std::string Origin = getOriginName(Push.NextHead.Version, Push.NextHead.Push);
  Push.Stored = makeStoredManifest(BaseManifest, *Push.Parts, Origin);
  Push.NextHead.StoredManifestHash =
      hashContent(formatStoredManifest(Push.Stored));
  Push.ToStore = listOwnObjects(Push);
  registerObjects(Node, Effects);
}

} // namespace

HeadRow makeNextHead(const core::State &Node) {
  const PendingPush &Push = *Node.Config.Push;
  base::ConfigVersion Version(Push.Request.BaseVersion.Value + 1);
  return HeadRow{Version,
                 Push.Request.Push,
                 Push.Request.Author,
                 Node.WallTime,
                 hashManifest(*Push.Parts),
                 "",
                 {}};
}

void callStoreForPush(core::State &Node, PushPhase Phase,
                      base::StoreOperation Operation,
                      core::EffectList &Effects) {
  Node.Config.Push->Phase = Phase;
  Node.Config.Push->RetryDue = false;
  Node.Config.Push->Call = callStore(Node, std::move(Operation), Effects);
}

// If the head row is not the version in force, the store may have been restored
// from an old copy and lack objects. Then the push writes all objects itself.
void readBaseManifest(core::State &Node, core::EffectList &Effects) {
  const PendingPush &Push = *Node.Config.Push;
  const ConfigState &State = Node.Config;
  if (Push.Head.Version.Value == 0 ||
      Push.Head.Version != State.Document.Version)
    return startStoring(Node, {}, Effects);
  if (getManifestObjectName(State.StoredRow) ==
      getManifestObjectName(Push.Head))
    return startStoring(Node, State.Stored, Effects);
  callStoreForPush(Node, PushPhase::ReadingManifest,
                   base::GetObject{getManifestObjectName(Push.Head)}, Effects);
}

// If the store has no valid manifest of the base version, the push writes all
// objects itself.
void onBaseManifestRead(core::State &Node, const base::StoreResult &Result,
                        core::EffectList &Effects) {
  PendingPush &Push = *Node.Config.Push;
  std::optional<StoredManifest> Stored;
  if (Result.Status == base::StoreStatus::Done)
    Stored = readStoredManifest(Push.Head, Result.Bytes);
  else if (Result.Status != base::StoreStatus::NotFound) {
    Push.RetryDue = true;
    return;
  }
  startStoring(Node, Stored.value_or(StoredManifest()), Effects);
}

void onObjectsRegistered(core::State &Node, const base::StoreResult &Result,
                         core::EffectList &Effects) {
  PendingPush &Push = *Node.Config.Push;
  if (Result.Status != base::StoreStatus::Done &&
      Result.Status != base::StoreStatus::Unknown) {
    Push.RetryDue = true;
    return;
  }
  Push.Phase = PushPhase::Storing;
  storeNextObjects(Node, Effects);
}

void onObjectStored(core::State &Node, const core::StoreAnswered &Answer,
                    core::EffectList &Effects) {
  PendingPush &Push = *Node.Config.Push;
  auto It = Push.WritesInFlight.find(Answer.Call);
  if (Answer.Result.Status != base::StoreStatus::Done) {
    Push.ToStore.push_front(std::move(It->second));
    Push.RetryDue = true;
  } else {
    Push.ManifestStored = true;
  }
  Push.WritesInFlight.erase(It);
  if (!Push.RetryDue)
    storeNextObjects(Node, Effects);
}

void resumeStoring(core::State &Node, core::EffectList &Effects) {
  switch (Node.Config.Push->Phase) {
  case PushPhase::ReadingManifest:
    return readBaseManifest(Node, Effects);
  case PushPhase::Registering:
    return registerObjects(Node, Effects);
  case PushPhase::Storing:
    return storeNextObjects(Node, Effects);
  case PushPhase::UpdatingHead:
    return updateHead(Node, Effects);
  default:
    return;
  }
}

} // namespace currantgauge::config
