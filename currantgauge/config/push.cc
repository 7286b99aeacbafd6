#include "currantgauge/config/push.h"

#include "currantgauge/config/distribution.h"
#include "currantgauge/config/push_reply.h"
#include "currantgauge/config/push_store.h"

#include <algorithm>
#include <cstddef>
#include <string>
#include <utility>
#include <vector>

namespace currantgauge::config {
namespace {

constexpr base::Duration PushTimeout = base::seconds(10);
constexpr std::size_t MaxQueuedPushes = 16;
constexpr std::size_t MaxEmbeddedVersions = 100; // kept by an embedded node

void startPush(core::State &Node, PushRequest Request,
               core::EffectList &Effects) {
  PendingPush &Push = Node.Config.Push.emplace();
  Push.Request = std::move(Request);
  Push.Call = core::nextCallId(Node);
  Push.Deadline = Node.Now + PushTimeout;
  Effects.push_back(core::ParseConfig{
      Push.Call,
      AssembleRequest{Push.Request.Text, Push.Request.Parts,
                      Node.Config.Document.Parts, Node.Config.Current,
                      Push.Request.Parts != nullptr}});
}

void finishPush(core::State &Node, core::OperatorReply Reply,
                core::EffectList &Effects) {
  Effects.push_back(core::LogLine{
      Reply.Error.empty() ? core::LogLevel::Info : core::LogLevel::Warn,
      Reply.Error.empty() ? "config_push_accepted" : "config_push_refused",
      {{"push", Node.Config.Push->Request.Push.Value},
       {"author", Node.Config.Push->Request.Author},
       {"error", Reply.Error}}});
  Effects.push_back(core::AnswerOperator{Node.Config.Push->Request.OperatorCall,
                                         std::move(Reply)});
  Node.Config.Push.reset();
  if (Node.Config.QueuedPushes.empty())
    return;
  PushRequest Next = std::move(Node.Config.QueuedPushes.front());
  Node.Config.QueuedPushes.pop_front();
  startPush(Node, std::move(Next), Effects);
}

ConfigDocument makeDocument(const HeadRow &Row, const PartSetPtr &Parts) {
  return ConfigDocument{Row.Version, Row.Push, Row.Author, Row.AcceptedAt,
                        Parts};
}

// Finishes the push before it installs the version, because installVersion()
// calls onVersionInForce(), which may end the pending push.
void acceptPush(core::State &Node, core::EffectList &Effects) {
  PendingPush Push = *Node.Config.Push;
  if (!Push.Stored.empty()) {
    Node.Config.StoredRow = Push.NextHead;
    Node.Config.Stored = std::move(Push.Stored);
  }
  finishPush(Node, makeAcceptedReply(Push.NextHead), Effects);
  installVersion(Node, makeDocument(Push.NextHead, Push.Parts), Push.Config,
                 Effects);
}

// finishRepeatedPush() ends a push that was already accepted as Row in an
// earlier attempt. If the content differs, the operator's client reused the id
// by mistake.
void finishRepeatedPush(core::State &Node, const HeadRow &Row,
                        core::EffectList &Effects) {
  PendingPush &Push = *Node.Config.Push;
  if (Row.StoredManifestHash != Push.NextHead.StoredManifestHash)
    Push.Stored.clear();
  Push.NextHead = Row;
  if (Row.ManifestHash == hashManifest(*Push.Parts))
    return acceptPush(Node, Effects);
  finishPush(Node,
             makeErrorReply("not accepted: version " +
                            std::to_string(Row.Version.Value) +
                            " has the same push id but different content"),
             Effects);
}

void refuseStale(core::State &Node, core::EffectList &Effects) {
  finishPush(Node, makeStaleReply(Node), Effects);
}

// Refuses a push whose base version isn't the newest. First catches up with the
// newest version, if this node lags, so that the reply can show what differs.
// If the store lags, the newest version may be known from gossip only.
void refuseOrCatchUp(core::State &Node, core::EffectList &Effects) {
  PendingPush &Push = *Node.Config.Push;
  ConfigState &State = Node.Config;
  State.NewestKnown = std::max(State.NewestKnown, Push.Head.Version);
  if (Push.Request.BaseVersion > State.NewestKnown)
    return finishPush(
        Node,
        makeErrorReply("not accepted: this push changes version " +
                       std::to_string(Push.Request.BaseVersion.Value) +
                       ", but the newest version known here is " +
                       std::to_string(State.NewestKnown.Value)),
        Effects);
  if (State.NewestKnown <= State.Document.Version)
    return refuseStale(Node, Effects);
  if (State.NewestKnown > Push.Head.Version)
    Push.Head = HeadRow{State.NewestKnown, {}, "another operator", {}, {}, ""};
  Push.Phase = PushPhase::CatchingUp;
  if (State.CatchUp.Phase == CatchUpPhase::Idle &&
      !Push.Head.ManifestHash.empty())
    catchUpFromStore(Node, Push.Head, Effects);
}

void readHead(core::State &Node, core::EffectList &Effects) {
  callStoreForPush(Node, PushPhase::ReadingHead,
                   base::ReadRow{ConfigTable, HeadKey}, Effects);
}

// Reads whether this push was accepted already: every accepted push has a
// history row, even if later pushes followed it.
void readHistory(core::State &Node, core::EffectList &Effects) {
  base::ConfigVersion Version{Node.Config.Push->Request.BaseVersion.Value + 1};
  if (Node.Config.Push->NextHead.Version.Value != 0)
    Version = Node.Config.Push->NextHead.Version;
  callStoreForPush(Node, PushPhase::ReadingHistory,
                   base::ReadRow{ConfigTable, getHistoryKey(Version)}, Effects);
}

// Continues a push only if its base is the highest version known from any
// source, so that versions don't go back when the store loses its newest rows.
void onHeadRead(core::State &Node, const HeadRow &Head,
                core::EffectList &Effects) {
  PendingPush &Push = *Node.Config.Push;
  Push.Head = Head;
  if (Head.Push == Push.Request.Push && Head.Version.Value != 0)
    return finishRepeatedPush(Node, Head, Effects);
  base::ConfigVersion Newest = std::max(
      {Head.Version, Node.Config.NewestKnown, Node.Config.Document.Version});
  if (Push.Request.BaseVersion == Newest && Push.NextHead.Version.Value == 0)
    return readBaseManifest(Node, Effects);
  if (Push.Request.BaseVersion < Head.Version &&
      Push.NextHead.Version.Value == 0)
    return readHistory(Node, Effects);
  refuseOrCatchUp(Node, Effects);
}

void onHeadAnswered(core::State &Node, const base::StoreResult &Result,
                    core::EffectList &Effects) {
  if (Result.Status == base::StoreStatus::NotFound)
    return onHeadRead(Node, HeadRow(), Effects);
  if (Result.Status != base::StoreStatus::Done || Result.Rows.empty()) {
    Node.Config.Push->RetryDue = true;
    return;
  }
  std::optional<HeadRow> Head = parseHeadRow(Result.Rows.front());
  if (Head)
    return onHeadRead(Node, *Head, Effects);
  finishPush(Node, makeErrorReply("the store's head row is malformed"),
             Effects);
}

// isHistoryGone() returns true if the history row of the version that the push
// would have become may have expired.
bool isHistoryGone(const core::State &Node) {
  const PendingPush &Push = *Node.Config.Push;
  return Push.Request.BaseVersion.Value + 1 +
             Node.Config.Retention.MinVersions <=
         Push.Head.Version.Value;
}

void onHistoryAnswered(core::State &Node, const base::StoreResult &Result,
                       core::EffectList &Effects) {
  PendingPush &Push = *Node.Config.Push;
  std::optional<HeadRow> Row;
  if (Result.Status == base::StoreStatus::Done && !Result.Rows.empty())
    Row = parseHeadRow(Result.Rows.front());
  if (!Row && Result.Status != base::StoreStatus::NotFound) {
    Push.RetryDue = true;
    return;
  }
  if (Row && Row->Push == Push.Request.Push)
    return finishRepeatedPush(Node, *Row, Effects);
  if (!Row && isHistoryGone(Node))
    return finishPush(
        Node,
        makeErrorReply("unknown: the history no longer goes back to "
                       "version " +
                       std::to_string(Push.Request.BaseVersion.Value + 1)),
        Effects);
  if (Push.NextHead.Version.Value == 0)
    return refuseOrCatchUp(Node, Effects);
  // No push has become this version: the compare-and-set is still in flight or
  // was lost. Repeat it.
  if (!Row && !Push.ConditionFailed) {
    Push.Phase = PushPhase::UpdatingHead;
    Push.RetryDue = true;
    return;
  }
  // This push can't become that version any more. The head row says which push
  // was accepted instead.
  Push.MayBeAccepted = false;
  readHead(Node, Effects);
}

void onHeadUpdated(core::State &Node, const base::StoreResult &Result,
                   core::EffectList &Effects) {
  PendingPush &Push = *Node.Config.Push;
  switch (Result.Status) {
  case base::StoreStatus::Done:
    return acceptPush(Node, Effects);
  case base::StoreStatus::ConditionFailed:
    Push.ConditionFailed = true;
    return readHistory(Node, Effects);
  case base::StoreStatus::Unknown:
    Push.MayBeAccepted = true;
    return readHistory(Node, Effects);
  case base::StoreStatus::NotFound:
  case base::StoreStatus::Unavailable:
    Push.RetryDue = true;
    return;
  }
}

// Accepts or refuses a push at an embedded node, which keeps its versions in
// memory.
void acceptEmbedded(core::State &Node, core::EffectList &Effects) {
  PendingPush &Push = *Node.Config.Push;
  const ConfigDocument &InForce = Node.Config.Document;
  if (Push.Request.BaseVersion > InForce.Version)
    return refuseOrCatchUp(Node, Effects);
  if (Push.Request.BaseVersion != InForce.Version) {
    Push.Head.Version = InForce.Version;
    return refuseStale(Node, Effects);
  }
  Push.NextHead = makeNextHead(Node);
  Node.Config.EmbeddedHistory.push_front(
      makeDocument(Push.NextHead, Push.Parts));
  if (Node.Config.EmbeddedHistory.size() > MaxEmbeddedVersions)
    Node.Config.EmbeddedHistory.pop_back();
  acceptPush(Node, Effects);
}

// applyPushedChanges() returns the parts of a document pushed as changes, null
// if their base is not the version in force here or the result has the wrong
// hash.
PartSetPtr applyPushedChanges(const ConfigDocument &InForce,
                              const core::ConfigPushCommand &Query) {
  ConfigDelta Delta;
  Delta.Since = Query.BaseVersion;
  Delta.ManifestHash = Query.ManifestHash;
  Delta.Removed = Query.RemovedParts;
  for (const core::PushedPart &Part : Query.ChangedParts)
    Delta.Changed.push_back(makePart(Part.Name, Part.Text));
  auto Document = applyDelta(InForce, Delta);
  return Document ? Document->Parts : nullptr;
}

} // namespace

void onPushRequested(core::State &Node, base::CallId OperatorCall,
                     const core::ConfigPushCommand &Query,
                     core::EffectList &Effects) {
  const ConfigDocument &InForce = Node.Config.Document;
  bool IsDelta = !Query.ManifestHash.empty();
  PushRequest Request{OperatorCall, Query.Text,   Query.BaseVersion,
                      Query.Push,   Query.Author, nullptr};
  if (IsDelta && Query.Push != InForce.Push)
    Request.Parts = applyPushedChanges(InForce, Query);
  if (Query.Push.empty() || Query.Author.empty()) {
    Effects.push_back(core::AnswerOperator{
        OperatorCall, makeErrorReply("a push needs an id and an author")});
  } else if (Query.Push == InForce.Push) {
    HeadRow Row{InForce.Version,    InForce.Push, InForce.Author,
                InForce.AcceptedAt, {},           ""};
    Effects.push_back(
        core::AnswerOperator{OperatorCall, makeAcceptedReply(Row)});
  } else if (IsDelta && !Request.Parts) {
    core::OperatorReply Reply = makeErrorReply(core::FullPushRequiredError);
    Effects.push_back(core::AnswerOperator{OperatorCall, std::move(Reply)});
  } else if (!Node.Config.Push) {
    startPush(Node, std::move(Request), Effects);
  } else if (Node.Config.QueuedPushes.size() < MaxQueuedPushes) {
    Node.Config.QueuedPushes.push_back(std::move(Request));
  } else {
    Effects.push_back(core::AnswerOperator{
        OperatorCall,
        makeErrorReply(
            "not accepted: too many pushes are queued at this node")});
  }
}

bool onPushParsed(core::State &Node, const core::ConfigParsed &Parsed,
                  core::EffectList &Effects) {
  std::optional<PendingPush> &Push = Node.Config.Push;
  if (!Push || Push->Phase != PushPhase::Parsing || Push->Call != Parsed.Call)
    return false;
  if (!Parsed.Config || !Parsed.Parts) {
    finishPush(Node, makeErrorReply("not accepted:\n" + Parsed.Error), Effects);
    return true;
  }
  Push->Config = Parsed.Config;
  Push->Parts = Parsed.Parts;
  if (Node.Self.Embedded)
    acceptEmbedded(Node, Effects);
  else
    readHead(Node, Effects);
  return true;
}

bool onPushAnswered(core::State &Node, const core::StoreAnswered &Answer,
                    core::EffectList &Effects) {
  std::optional<PendingPush> &Push = Node.Config.Push;
  if (!Push)
    return false;
  if (Push->WritesInFlight.contains(Answer.Call)) {
    onObjectStored(Node, Answer, Effects);
    return true;
  }
  if (Push->Call != Answer.Call)
    return false;
  if (Push->Phase == PushPhase::ReadingHead)
    onHeadAnswered(Node, Answer.Result, Effects);
  else if (Push->Phase == PushPhase::ReadingManifest)
    onBaseManifestRead(Node, Answer.Result, Effects);
  else if (Push->Phase == PushPhase::Registering)
    onObjectsRegistered(Node, Answer.Result, Effects);
  else if (Push->Phase == PushPhase::ReadingHistory)
    onHistoryAnswered(Node, Answer.Result, Effects);
  else if (Push->Phase == PushPhase::UpdatingHead)
    onHeadUpdated(Node, Answer.Result, Effects);
  return true;
}

void onVersionInForce(core::State &Node, core::EffectList &Effects) {
  const std::optional<PendingPush> &Push = Node.Config.Push;
  if (Push && Push->Phase == PushPhase::CatchingUp &&
      Push->Head.Version <= Node.Config.Document.Version)
    refuseStale(Node, Effects);
}

void resumePush(core::State &Node, core::EffectList &Effects) {
  if (!Node.Config.Push)
    return;
  PendingPush &Push = *Node.Config.Push;
  bool IsLate = Node.Now >= Push.Deadline;
  if (IsLate && Push.Phase == PushPhase::CatchingUp)
    return refuseStale(Node, Effects);
  if (IsLate && Push.Phase != PushPhase::Parsing)
    return finishPush(
        Node,
        makeErrorReply(
            Push.MayBeAccepted
                ? "unknown: the store's answer was lost; push with the "
                  "same id again, or see config history"
                : "not accepted: the store does not answer"),
        Effects);
  if (!Push.RetryDue)
    return;
  switch (Push.Phase) {
  case PushPhase::ReadingHead:
    return readHead(Node, Effects);
  case PushPhase::ReadingManifest:
  case PushPhase::Registering:
  case PushPhase::Storing:
  case PushPhase::UpdatingHead:
    return resumeStoring(Node, Effects);
  case PushPhase::ReadingHistory:
    return readHistory(Node, Effects);
  case PushPhase::Parsing:
  case PushPhase::CatchingUp:
    return;
  }
}

} // namespace currantgauge::config
