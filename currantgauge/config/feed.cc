#include "currantgauge/config/feed.h"

#include "currantgauge/config/distribution.h"
#include "currantgauge/core/store_era.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace currantgauge::config {
namespace {

// The store answers a watch after this time even if nothing changed. A longer
// time costs fewer calls, but a connection that went silent is unnoticed for as
// long. So the time grows with the fleet, whose nodes inform each other:
// somewhere a watch ends every WatchEndInterval.
constexpr base::Duration WatchEndInterval = base::milliseconds(100);
constexpr base::Duration MinWatchTimeout = base::seconds(1);
constexpr base::Duration MaxWatchTimeout = base::seconds(30); // the store's
// Share of the watch that is drawn at random, so that watches that started
// together end apart.
constexpr double RandomWatchShare = 0.25;
// How much longer than the watch the node waits for the store's answer.
constexpr base::Duration WatchTimeoutMargin = base::milliseconds(500);
// Short, because a starting node can't serve before it has read the row.
constexpr base::Duration ReadTimeout = base::milliseconds(1500);
// The delay before a retry doubles with each failure, up to MaxRetryDelay.
constexpr base::Duration BaseRetryDelay = base::milliseconds(200);
constexpr base::Duration MaxRetryDelay = base::seconds(1);

base::Duration drawWatchTimeout(core::State &Node) {
  auto FleetSize = static_cast<std::int64_t>(Node.Membership.LiveMembers + 1);
  base::Duration Longest = std::clamp(WatchEndInterval * FleetSize,
                                      MinWatchTimeout, MaxWatchTimeout);
  return base::scale(Longest,
                     1 - RandomWatchShare * base::uniformUnit(Node.Random));
}

void callFeedStore(core::State &Node, FeedPhase Phase,
                   base::StoreOperation Operation, base::Duration Timeout,
                   core::EffectList &Effects) {
  FeedState &Feed = Node.Config.Feed;
  Feed.Phase = Phase;
  Feed.Call = core::nextCallId(Node);
  Feed.CallEra = Node.Store.Era;
  Effects.push_back(core::CallStore{Feed.Call, std::move(Operation), Timeout});
}

void readOrWatch(core::State &Node, core::EffectList &Effects) {
  FeedState &Feed = Node.Config.Feed;
  if (!Feed.HasRevision)
    return callFeedStore(
        Node, FeedPhase::Reading,
        base::ReadRow{Node.Self.Feed.Table, Node.Self.Feed.Key}, ReadTimeout,
        Effects);
  base::Duration Timeout = drawWatchTimeout(Node);
  callFeedStore(
      Node, FeedPhase::Watching,
      base::WatchRows{Node.Self.Feed.Table, Feed.Revision,
                      static_cast<std::uint32_t>(base::toMillis(Timeout))},
      Timeout + WatchTimeoutMargin, Effects);
}

// Parses one row at a time. Of the rows that arrive meanwhile, the newest is
// parsed next and the others are skipped.
void parseRow(core::State &Node, std::string Row, core::EffectList &Effects) {
  FeedState &Feed = Node.Config.Feed;
  if (Feed.ParseCall.Value != 0) {
    Feed.PendingRow = std::move(Row);
    return;
  }
  Feed.ParseCall = core::nextCallId(Node);
  AssembleRequest Request;
  Request.BaseParts = Node.Config.Document.Parts;
  Request.BaseConfig = Node.Config.Current;
  Request.AnnouncedRow = std::move(Row);
  Effects.push_back(core::ParseConfig{Feed.ParseCall, std::move(Request)});
}

// Counts failures and logs when the store is lost or regained.
void noteReachable(core::State &Node, bool IsReachable,
                   core::EffectList &Effects) {
  FeedState &Feed = Node.Config.Feed;
  Feed.Failures = IsReachable ? 0 : Feed.Failures + 1;
  if (Feed.Reachable == IsReachable)
    return;
  Feed.Reachable = IsReachable;
  Effects.push_back(core::LogLine{
      IsReachable ? core::LogLevel::Info : core::LogLevel::Warn,
      IsReachable ? "store_regained" : "store_lost",
      {{"use", "configuration_feed"},
       {"in_force", std::to_string(Node.Config.Document.Version.Value)}}});
}

void scheduleRetry(core::State &Node, std::uint32_t Failures) {
  Node.Config.Feed.Phase = FeedPhase::Idle;
  std::uint32_t Doublings = std::min<std::uint32_t>(Failures, 4);
  base::Duration MaxDelay =
      std::min(BaseRetryDelay * (std::int64_t{1} << Doublings), MaxRetryDelay);
  // Jitter keeps nodes that lost the store together from retrying together.
  base::Duration Jitter = base::scale(MaxDelay, base::uniformUnit(Node.Random));
  core::setTimer(Node.Timers, Node.Now + MaxDelay / 2 + Jitter / 2,
                 core::FeedDue{});
}

// Discards the revision and reads the row again. The first time this is
// immediate, since changes may have been missed; then it is delayed, so that a
// store that keeps losing its history isn't flooded.
void reread(core::State &Node, core::EffectList &Effects) {
  FeedState &Feed = Node.Config.Feed;
  Feed.HasRevision = false;
  std::uint32_t Previous = Feed.Rereads++;
  if (Previous == 0)
    return readOrWatch(Node, Effects);
  scheduleRetry(Node, Previous);
}

void applyRows(core::State &Node, const std::vector<base::StoreRow> &Rows,
               core::EffectList &Effects) {
  for (const base::StoreRow &Row : Rows)
    if (Row.Key == Node.Self.Feed.Key && !Row.Removed)
      parseRow(Node, Row.Value, Effects);
}

// A revision is comparable only within its era: after a restore, a watch from
// an older one would miss the changes up to that number.
void onReadAnswered(core::State &Node, const base::StoreResult &Result,
                    core::EffectList &Effects) {
  FeedState &Feed = Node.Config.Feed;
  Feed.HasRevision = Result.Revision != 0;
  Feed.Revision = Result.Revision;
  applyRows(Node, Result.Rows, Effects);
  // If the store has no row yet, the next call is made after a delay.
  if (Feed.HasRevision)
    readOrWatch(Node, Effects);
  else
    scheduleRetry(Node, Feed.Failures);
}

void onWatchAnswered(core::State &Node, const base::StoreResult &Result,
                     core::EffectList &Effects) {
  FeedState &Feed = Node.Config.Feed;
  applyRows(Node, Result.Rows, Effects);
  if (Result.Revision == 0 || Feed.CallEra != Node.Store.Era)
    return reread(Node, Effects);
  Feed.Rereads = 0;
  Feed.Revision = Result.Revision;
  readOrWatch(Node, Effects);
}

} // namespace

void startFeed(core::State &Node, core::EffectList &Effects) {
  if (Node.Self.Feed.Table.empty())
    return;
  readOrWatch(Node, Effects);
}

void onFeedDue(core::State &Node, core::EffectList &Effects) {
  if (Node.Config.Feed.Phase == FeedPhase::Idle)
    readOrWatch(Node, Effects);
}

bool onFeedAnswered(core::State &Node, const core::StoreAnswered &Answer,
                    core::EffectList &Effects) {
  FeedState &Feed = Node.Config.Feed;
  if (Feed.Phase == FeedPhase::Idle || Feed.Call != Answer.Call)
    return false;
  const base::StoreResult &Result = Answer.Result;
  bool IsRead = Feed.Phase == FeedPhase::Reading;
  bool IsAnswered = Result.Status == base::StoreStatus::Done ||
                    Result.Status == base::StoreStatus::NotFound ||
                    Result.Status == base::StoreStatus::HistoryLost;
  noteReachable(Node, IsAnswered, Effects);
  if (Feed.CallEra != Node.Store.Era)
    Feed.Rereads = 0;
  // The connection of a watch that isn't answered may have gone silent, while
  // new ones work.
  if (!IsAnswered && !IsRead && Feed.Failures == 1)
    readOrWatch(Node, Effects);
  else if (!IsAnswered)
    scheduleRetry(Node, Feed.Failures);
  else if (Result.Status == base::StoreStatus::HistoryLost ||
           core::isOfOlderEra(Node.Store, Result))
    reread(Node, Effects);
  else if (IsRead)
    onReadAnswered(Node, Result, Effects);
  else
    onWatchAnswered(Node, Result, Effects);
  return true;
}

void onStoreRestored(core::State &Node, core::EffectList &Effects) {
  FeedState &Feed = Node.Config.Feed;
  if (Feed.CallEra == Node.Store.Era)
    return;
  Feed.HasRevision = false;
  Feed.Rereads = 0;
  // If no call is pending, a retry is due that reads the row.
  if (Feed.Phase != FeedPhase::Idle)
    readOrWatch(Node, Effects);
}

bool onFeedParsed(core::State &Node, const core::ConfigParsed &Parsed,
                  core::EffectList &Effects) {
  FeedState &Feed = Node.Config.Feed;
  if (Feed.ParseCall.Value == 0 || Feed.ParseCall != Parsed.Call)
    return false;
  Feed.ParseCall = base::CallId();
  if (Parsed.Config) {
    ConfigDocument Document;
    Document.Version = Parsed.Version;
    Document.Author = "feed";
    Document.AcceptedAt = Node.WallTime;
    Document.Parts = Parsed.Parts;
    installVersion(Node, Document, Parsed.Config, Effects);
  } else {
    Node.Config.Unreadable = std::max(Node.Config.Unreadable, Parsed.Version);
    Effects.push_back(
        core::LogLine{core::LogLevel::Error,
                      "config_unreadable",
                      {{"version", std::to_string(Parsed.Version.Value)},
                       {"error", Parsed.Error}}});
  }
  if (!Feed.PendingRow.empty())
    parseRow(Node, std::exchange(Feed.PendingRow, std::string()), Effects);
  return true;
}

} // namespace currantgauge::config
