#include "currantgauge/config/push.h"

#include "currantgauge/config/push_reply.h"
#include "currantgauge/config/push_store.h"
#include "currantgauge/config/spread.h"

#include <algorithm>
#include <cstddef>
#include <string>
#include <utility>
#include <vector>

namespace currantgauge::config {
namespace {

constexpr base::Duration PushLimit = base::seconds(10);
constexpr std::size_t WaitingPushes = 16;
constexpr std::size_t RememberedVersions = 100; // embedded

void startPush(core::State &Node, PushRequest Asked,
               core::EffectList &Effects) {
  PendingPush &Push = Node.Config.Push.emplace();
  Push.Asked = std::move(Asked);
  Push.Call = core::nextCallId(Node);
  Push.Deadline = Node.Now + PushLimit;
  Effects.push_back(core::ParseConfig{
      Push.Call,
      AssembleRequest{Push.Asked.Text, Push.Asked.Parts,
                      Node.Config.Document.Parts, Node.Config.Current,
                      Push.Asked.Parts != nullptr}});
}

void finishPush(core::State &Node, core::OperatorReply Reply,
                core::EffectList &Effects) {
  Effects.push_back(core::LogLine{
      Reply.Error.empty() ? core::LogLevel::Info : core::LogLevel::Warn,
      Reply.Error.empty() ? "config_push_accepted" : "config_push_refused",
      {{"push", Node.Config.Push->Asked.Push.Value},
       {"author", Node.Config.Push->Asked.Author},
       {"error", Reply.Error}}});
  Effects.push_back(
      core::AnswerOperator{Node.Config.Push->Asked.Operator, std::move(Reply)});
  Node.Config.Push.reset();
  if (Node.Config.Waiting.empty())
    return;
  PushRequest Next = std::move(Node.Config.Waiting.front());
  Node.Config.Waiting.pop_front();
  startPush(Node, std::move(Next), Effects);
}

ConfigDocument documentOf(const HeadRow &Row, const PartSetPtr &Parts) {
  return ConfigDocument{Row.Version, Row.Push, Row.Author, Row.When, Parts};
}

// The push is finished first: putting the version in force may answer it.
void acceptPush(core::State &Node, core::EffectList &Effects) {
  PendingPush Push = *Node.Config.Push;
  if (!Push.Stored.empty()) {
    Node.Config.StoredRow = Push.Next;
    Node.Config.Stored = std::move(Push.Stored);
  }
  finishPush(Node, acceptedReply(Push.Next), Effects);
  installVersion(Node, documentOf(Push.Next, Push.Parts), Push.Config, Effects);
}

// acceptEarlier() ends a push whose earlier try was accepted as Row. An id that
// stands for another content is a mistake of the operator's client.
void acceptEarlier(core::State &Node, const HeadRow &Row,
                   core::EffectList &Effects) {
  PendingPush &Push = *Node.Config.Push;
  if (Row.Stored != Push.Next.Stored)
    Push.Stored.clear();
  Push.Next = Row;
  if (Row.Manifest == hashManifest(*Push.Parts))
    return acceptPush(Node, Effects);
  finishPush(Node,
             failure("not accepted: version " +
                     std::to_string(Row.Version.Value) +
                     " has this push id and another content"),
             Effects);
}

void refuseStale(core::State &Node, core::EffectList &Effects) {
  finishPush(Node, staleReply(Node), Effects);
}

// The newest version may be known from gossip alone, when the store lags.
void refuseOrCatchUp(core::State &Node, core::EffectList &Effects) {
  PendingPush &Push = *Node.Config.Push;
  ConfigState &Held = Node.Config;
  Held.Heard = std::max(Held.Heard, Push.Head.Version);
  if (Push.Asked.Base > Held.Heard)
    return finishPush(Node,
                      failure("not accepted: this push changes version " +
                              std::to_string(Push.Asked.Base.Value) +
                              ", and the newest one known here is " +
                              std::to_string(Held.Heard.Value)),
                      Effects);
  if (Held.Heard <= Held.Document.Version)
    return refuseStale(Node, Effects);
  if (Held.Heard > Push.Head.Version)
    Push.Head = HeadRow{Held.Heard, {}, "another operator", {}, {}, ""};
  Push.Phase = PushPhase::CatchingUp;
  if (Held.Lag.Phase == CatchUpPhase::Idle && !Push.Head.Manifest.empty())
    catchUpFromStore(Node, Push.Head, Effects);
}

void readHead(core::State &Node, core::EffectList &Effects) {
  askStore(Node, PushPhase::ReadingHead, base::ReadRow{ConfigTable, HeadKey},
           Effects);
}

// A push that was accepted has a row in the history, whoever came after it.
void readHistory(core::State &Node, core::EffectList &Effects) {
  base::ConfigVersion Version{Node.Config.Push->Asked.Base.Value + 1};
  if (Node.Config.Push->Next.Version.Value != 0)
    Version = Node.Config.Push->Next.Version;
  askStore(Node, PushPhase::ReadingHistory,
           base::ReadRow{ConfigTable, historyKey(Version)}, Effects);
}

// The version after the highest one known of anywhere: a store that lost its
// newest rows does not make versions fall.
void onHead(core::State &Node, const HeadRow &Head, core::EffectList &Effects) {
  PendingPush &Push = *Node.Config.Push;
  Push.Head = Head;
  if (Head.Push == Push.Asked.Push && Head.Version.Value != 0)
    return acceptEarlier(Node, Head, Effects);
  base::ConfigVersion Top =
      std::max({Head.Version, Node.Config.Heard, Node.Config.Document.Version});
  if (Push.Asked.Base == Top && Push.Next.Version.Value == 0)
    return readManifest(Node, Effects);
  if (Push.Asked.Base < Head.Version && Push.Next.Version.Value == 0)
    return readHistory(Node, Effects);
  refuseOrCatchUp(Node, Effects);
}

void onHeadAnswered(core::State &Node, const base::StoreResult &Result,
                    core::EffectList &Effects) {
  if (Result.Status == base::StoreStatus::NotFound)
    return onHead(Node, HeadRow(), Effects);
  if (Result.Status != base::StoreStatus::Done || Result.Rows.empty()) {
    Node.Config.Push->RetryDue = true;
    return;
  }
  std::optional<HeadRow> Head = parseHeadRow(Result.Rows.front());
  if (Head)
    return onHead(Node, *Head, Effects);
  finishPush(Node, failure("the store's head row is malformed"), Effects);
}

// isHistoryGone() says whether the version that the push would have become may
// have been one, long ago.
bool isHistoryGone(const core::State &Node) {
  const PendingPush &Push = *Node.Config.Push;
  return Push.Asked.Base.Value + 1 + Node.Config.Retention.MinVersions <=
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
  if (Row && Row->Push == Push.Asked.Push)
    return acceptEarlier(Node, *Row, Effects);
  if (!Row && isHistoryGone(Node))
    return finishPush(Node,
                      failure("unknown: the history no longer goes back to "
                              "version " +
                              std::to_string(Push.Asked.Base.Value + 1)),
                      Effects);
  if (Push.Next.Version.Value == 0)
    return refuseOrCatchUp(Node, Effects);
  // No row yet and nobody else's: the write is still out, or never arrived.
  if (!Row && !Push.Lost) {
    Push.Phase = PushPhase::Moving;
    Push.RetryDue = true;
    return;
  }
  // Ours will never stand there: the head row says who came first.
  Push.MayHaveMoved = false;
  readHead(Node, Effects);
}

void onMoved(core::State &Node, const base::StoreResult &Result,
             core::EffectList &Effects) {
  PendingPush &Push = *Node.Config.Push;
  switch (Result.Status) {
  case base::StoreStatus::Done:
    return acceptPush(Node, Effects);
  case base::StoreStatus::ConditionFailed:
    Push.Lost = true;
    return readHistory(Node, Effects);
  case base::StoreStatus::Unknown:
    Push.MayHaveMoved = true;
    return readHistory(Node, Effects);
  case base::StoreStatus::NotFound:
  case base::StoreStatus::Unavailable:
    Push.RetryDue = true;
    return;
  }
}

void acceptInMemory(core::State &Node, core::EffectList &Effects) {
  PendingPush &Push = *Node.Config.Push;
  const ConfigDocument &Present = Node.Config.Document;
  if (Push.Asked.Base > Present.Version)
    return refuseOrCatchUp(Node, Effects);
  if (Push.Asked.Base != Present.Version) {
    Push.Head.Version = Present.Version;
    return refuseStale(Node, Effects);
  }
  Push.Next = nextRow(Node);
  Node.Config.Memory.push_front(documentOf(Push.Next, Push.Parts));
  if (Node.Config.Memory.size() > RememberedVersions)
    Node.Config.Memory.pop_back();
  acceptPush(Node, Effects);
}

// partsOf() returns the pushed document's parts; null when this node does not
// have the version that the changes are of, or their result is another one.
PartSetPtr partsOf(const ConfigDocument &Present,
                   const core::ConfigPushCommand &Asked) {
  ConfigDelta Delta;
  Delta.Since = Asked.BaseVersion;
  Delta.Whole = Asked.DocumentHash;
  Delta.Removed = Asked.RemovedParts;
  for (const core::PushedPart &Part : Asked.ChangedParts)
    Delta.Changed.push_back(makePart(Part.Name, Part.Text));
  auto Document = applyDelta(Present, Delta);
  return Document ? Document->Parts : nullptr;
}

} // namespace

void onPushAsked(core::State &Node, base::CallId Operator,
                 const core::ConfigPushCommand &Asked,
                 core::EffectList &Effects) {
  const ConfigDocument &Present = Node.Config.Document;
  bool IsDelta = !Asked.DocumentHash.empty();
  PushRequest Request{Operator,   Asked.Text,   Asked.BaseVersion,
                      Asked.Push, Asked.Author, nullptr};
  if (IsDelta && Asked.Push != Present.Push)
    Request.Parts = partsOf(Present, Asked);
  if (Asked.Push.empty() || Asked.Author.empty()) {
    Effects.push_back(core::AnswerOperator{
        Operator, failure("a push needs an id and an author")});
  } else if (Asked.Push == Present.Push) {
    HeadRow Row{Present.Version, Present.Push, Present.Author,
                Present.When,    {},           ""};
    Effects.push_back(core::AnswerOperator{Operator, acceptedReply(Row)});
  } else if (IsDelta && !Request.Parts) {
    core::OperatorReply Reply = failure(core::FullPushRequiredError);
    Effects.push_back(core::AnswerOperator{Operator, std::move(Reply)});
  } else if (!Node.Config.Push) {
    startPush(Node, std::move(Request), Effects);
  } else if (Node.Config.Waiting.size() < WaitingPushes) {
    Node.Config.Waiting.push_back(std::move(Request));
  } else {
    Effects.push_back(core::AnswerOperator{
        Operator, failure("not accepted: too many pushes wait at this node")});
  }
}

bool onPushParsed(core::State &Node, const core::ConfigParsed &Parsed,
                  core::EffectList &Effects) {
  std::optional<PendingPush> &Push = Node.Config.Push;
  if (!Push || Push->Phase != PushPhase::Parsing || Push->Call != Parsed.Call)
    return false;
  if (!Parsed.Config || !Parsed.Parts) {
    finishPush(Node, failure("not accepted:\n" + Parsed.Error), Effects);
    return true;
  }
  Push->Config = Parsed.Config;
  Push->Parts = Parsed.Parts;
  if (Node.Self.Embedded)
    acceptInMemory(Node, Effects);
  else
    readHead(Node, Effects);
  return true;
}

bool onPushAnswered(core::State &Node, const core::StoreAnswered &Answer,
                    core::EffectList &Effects) {
  std::optional<PendingPush> &Push = Node.Config.Push;
  if (!Push)
    return false;
  if (Push->Storing.contains(Answer.Call)) {
    onStored(Node, Answer, Effects);
    return true;
  }
  if (Push->Call != Answer.Call)
    return false;
  if (Push->Phase == PushPhase::ReadingHead)
    onHeadAnswered(Node, Answer.Result, Effects);
  else if (Push->Phase == PushPhase::ReadingManifest)
    onManifestAnswered(Node, Answer.Result, Effects);
  else if (Push->Phase == PushPhase::Registering)
    onRegistered(Node, Answer.Result, Effects);
  else if (Push->Phase == PushPhase::ReadingHistory)
    onHistoryAnswered(Node, Answer.Result, Effects);
  else if (Push->Phase == PushPhase::Moving)
    onMoved(Node, Answer.Result, Effects);
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
        failure(Push.MayHaveMoved
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
  case PushPhase::Moving:
    return resumeStoring(Node, Effects);
  case PushPhase::ReadingHistory:
    return readHistory(Node, Effects);
  case PushPhase::Parsing:
  case PushPhase::CatchingUp:
    return;
  }
}

} // namespace currantgauge::config
