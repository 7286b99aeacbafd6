#include "currantgauge/config/push_store.h"

#include "currantgauge/config/spread.h"
#include "currantgauge/config/stored_manifest.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <utility>

namespace currantgauge::config {
namespace {

constexpr std::size_t WritesAtOnce = 8;

// objectsToStore() returns the objects that bear the push's own name, the
// manifest first.
std::deque<base::PutObject> objectsToStore(const PendingPush &Push) {
  std::string Own = originOf(Push.Next.Version, Push.Next.Push);
  std::deque<base::PutObject> Objects = {
      {manifestObject(Push.Next), formatStored(Push.Stored)}};
  for (const auto &[Name, Stored] : Push.Stored)
    if (Stored.Origin == Own)
      Objects.push_back(base::PutObject{partObject(Stored.Origin, Stored.Hash),
                                        Push.Parts->Parts.at(Name)->Text});
  return Objects;
}

// The same compare-and-set may be sent again: its tag matches at most once.
void moveHead(core::State &Node, core::EffectList &Effects) {
  const PendingPush &Push = *Node.Config.Push;
  bool IsFirst = Push.Head.ETag.empty();
  std::string Value = formatHeadRow(Push.Next);
  base::WriteRows Write;
  Write.Rows.push_back(base::RowWrite{ConfigTable, HeadKey, Value,
                                      IsFirst ? base::WriteCondition::IfAbsent
                                              : base::WriteCondition::IfMatch,
                                      Push.Head.ETag});
  Write.Rows.push_back(base::RowWrite{ConfigTable,
                                      historyKey(Push.Next.Version), Value,
                                      base::WriteCondition::IfAbsent, ""});
  Write.Rows.push_back(
      base::RowWrite{ConfigTable, objectsKey(Push.Next), Value});
  askStore(Node, PushPhase::Moving, std::move(Write), Effects);
}

void storeNext(core::State &Node, core::EffectList &Effects) {
  PendingPush &Push = *Node.Config.Push;
  Push.RetryDue = false;
  std::size_t AtOnce = Push.ManifestStored ? WritesAtOnce : 1;
  while (Push.Storing.size() < AtOnce && !Push.ToStore.empty()) {
    base::PutObject Write = std::move(Push.ToStore.front());
    Push.ToStore.pop_front();
    base::CallId Call = callStore(Node, Write, Effects);
    Push.Storing.emplace(Call, std::move(Write));
  }
  if (Push.Storing.empty())
    moveHead(Node, Effects);
}

// The row comes first: whatever becomes of the push, its objects are found. It
// is written once more with the head row, so that an accepted version has it
// for certain and a lost answer need not be settled here.
void registerObjects(core::State &Node, core::EffectList &Effects) {
  const HeadRow &Next = Node.Config.Push->Next;
  askStore(Node, PushPhase::Registering,
           base::WriteRows{{base::RowWrite{ConfigTable, objectsKey(Next),
                                           formatHeadRow(Next)}}},
           Effects);
}

void startStoring(core::State &Node, const StoredManifest &Base,
                  core::EffectList &Effects) {
  PendingPush &Push = *Node.Config.Push;
  Push.Next = nextRow(Node);
  std::string Origin = originOf(Push.Next.Version, Push.Next.Push);
  Push.Stored = storeAfter(Base, *Push.Parts, Origin);
  Push.Next.Stored = hashContent(formatStored(Push.Stored));
  Push.ToStore = objectsToStore(Push);
  registerObjects(Node, Effects);
}

} // namespace

HeadRow nextRow(const core::State &Node) {
  const PendingPush &Push = *Node.Config.Push;
  base::ConfigVersion Version(Push.Asked.Base.Value + 1);
  return HeadRow{Version,
                 Push.Asked.Push,
                 Push.Asked.Author,
                 Node.WallTime,
                 hashManifest(*Push.Parts),
                 "",
                 {}};
}

void askStore(core::State &Node, PushPhase Phase,
              base::StoreOperation Operation, core::EffectList &Effects) {
  Node.Config.Push->Phase = Phase;
  Node.Config.Push->RetryDue = false;
  Node.Config.Push->Call = callStore(Node, std::move(Operation), Effects);
}

// A head row that is not the version in force may come from an old copy of the
// store, whose objects may be gone: everything is written anew.
void readManifest(core::State &Node, core::EffectList &Effects) {
  const PendingPush &Push = *Node.Config.Push;
  const ConfigState &Held = Node.Config;
  if (Push.Head.Version.Value == 0 ||
      Push.Head.Version != Held.Document.Version)
    return startStoring(Node, {}, Effects);
  if (manifestObject(Held.StoredRow) == manifestObject(Push.Head))
    return startStoring(Node, Held.Stored, Effects);
  askStore(Node, PushPhase::ReadingManifest,
           base::GetObject{manifestObject(Push.Head)}, Effects);
}

// Without the manifest everything is written anew.
void onManifestAnswered(core::State &Node, const base::StoreResult &Result,
                        core::EffectList &Effects) {
  PendingPush &Push = *Node.Config.Push;
  std::optional<StoredManifest> Stored;
  if (Result.Status == base::StoreStatus::Done)
    Stored = readStored(Push.Head, Result.Bytes);
  else if (Result.Status != base::StoreStatus::NotFound) {
    Push.RetryDue = true;
    return;
  }
  startStoring(Node, Stored.value_or(StoredManifest()), Effects);
}

void onRegistered(core::State &Node, const base::StoreResult &Result,
                  core::EffectList &Effects) {
  PendingPush &Push = *Node.Config.Push;
  if (Result.Status != base::StoreStatus::Done &&
      Result.Status != base::StoreStatus::Unknown) {
    Push.RetryDue = true;
    return;
  }
  Push.Phase = PushPhase::Storing;
  storeNext(Node, Effects);
}

void onStored(core::State &Node, const core::StoreAnswered &Answer,
              core::EffectList &Effects) {
  PendingPush &Push = *Node.Config.Push;
  auto Found = Push.Storing.find(Answer.Call);
  if (Answer.Result.Status != base::StoreStatus::Done) {
    Push.ToStore.push_front(std::move(Found->second));
    Push.RetryDue = true;
  } else {
    Push.ManifestStored = true;
  }
  Push.Storing.erase(Found);
  if (!Push.RetryDue)
    storeNext(Node, Effects);
}

void resumeStoring(core::State &Node, core::EffectList &Effects) {
  switch (Node.Config.Push->Phase) {
  case PushPhase::ReadingManifest:
    return readManifest(Node, Effects);
  case PushPhase::Registering:
    return registerObjects(Node, Effects);
  case PushPhase::Storing:
    return storeNext(Node, Effects);
  case PushPhase::Moving:
    return moveHead(Node, Effects);
  default:
    return;
  }
}

} // namespace currantgauge::config
