#include "currantgauge/config/feed.h"

#include "currantgauge/config/spread.h"

#include <algorithm>
#include <string>
#include <utility>

namespace currantgauge::config {
namespace {

// The service answers a watch without news after this long. Long waits cost few
// calls; a connection that went silent is noticed no later than by this.
constexpr base::Duration WatchWait = base::seconds(10);
constexpr base::Duration WatchAllowance = base::milliseconds(1500);
// A node at its start has nothing else to serve by.
constexpr base::Duration ReadLimit = base::milliseconds(1500);
constexpr base::Duration FirstPause = base::milliseconds(200);
constexpr base::Duration LongestPause = base::seconds(1);

void ask(core::State &Node, FeedPhase Phase, base::StoreOperation Operation,
         base::Duration Limit, core::EffectList &Effects) {
  FeedState &Feed = Node.Config.Feed;
  Feed.Phase = Phase;
  Feed.Call = core::nextCallId(Node);
  Effects.push_back(core::CallStore{Feed.Call, std::move(Operation), Limit});
}

void askNext(core::State &Node, core::EffectList &Effects) {
  FeedState &Feed = Node.Config.Feed;
  if (!Feed.Positioned)
    return ask(Node, FeedPhase::Reading,
               base::ReadRow{Node.Self.Feed.Table, Node.Self.Feed.Key},
               ReadLimit, Effects);
  ask(Node, FeedPhase::Watching,
      base::WatchRows{Node.Self.Feed.Table, Feed.Revision,
                      static_cast<std::uint32_t>(base::toMillis(WatchWait))},
      WatchWait + WatchAllowance, Effects);
}

void parse(core::State &Node, std::string Row, core::EffectList &Effects) {
  FeedState &Feed = Node.Config.Feed;
  if (Feed.Parsing.Value != 0) {
    Feed.Newer = std::move(Row);
    return;
  }
  Feed.Parsing = core::nextCallId(Node);
  AssembleRequest Request;
  Request.BaseParts = Node.Config.Document.Parts;
  Request.Base = Node.Config.Current;
  Request.Announced = std::move(Row);
  Effects.push_back(core::ParseConfig{Feed.Parsing, std::move(Request)});
}

void noteReachable(core::State &Node, bool Reachable,
                   core::EffectList &Effects) {
  FeedState &Feed = Node.Config.Feed;
  Feed.Failures = Reachable ? 0 : Feed.Failures + 1;
  if (Feed.Reachable == Reachable)
    return;
  Feed.Reachable = Reachable;
  Effects.push_back(core::LogLine{
      Reachable ? core::LogLevel::Info : core::LogLevel::Warn,
      Reachable ? "store_regained" : "store_lost",
      {{"use", "configuration_feed"},
       {"in_force", std::to_string(Node.Config.Document.Version.Value)}}});
}

void pauseThenAsk(core::State &Node) {
  FeedState &Feed = Node.Config.Feed;
  Feed.Phase = FeedPhase::Idle;
  std::uint32_t Doublings = std::min<std::uint32_t>(Feed.Failures, 4);
  base::Duration Pause =
      std::min(FirstPause * (std::int64_t{1} << Doublings), LongestPause);
  // Nodes that lost the store together do not come back together.
  base::Duration Spread = base::scale(Pause, base::uniformUnit(Node.Random));
  core::setTimer(Node.Timers, Node.Now + Pause / 2 + Spread / 2,
                 core::FeedDue{});
}

} // namespace

void startFeed(core::State &Node, core::EffectList &Effects) {
  if (Node.Self.Feed.Table.empty())
    return;
  askNext(Node, Effects);
}

void onFeedDue(core::State &Node, core::EffectList &Effects) {
  if (Node.Config.Feed.Phase == FeedPhase::Idle)
    askNext(Node, Effects);
}

bool onFeedAnswered(core::State &Node, const core::StoreAnswered &Answer,
                    core::EffectList &Effects) {
  FeedState &Feed = Node.Config.Feed;
  if (Feed.Phase == FeedPhase::Idle || Feed.Call != Answer.Call)
    return false;
  const base::StoreResult &Result = Answer.Result;
  bool Read = Feed.Phase == FeedPhase::Reading;
  bool Answered = Result.Status == base::StoreStatus::Done ||
                  Result.Status == base::StoreStatus::NotFound ||
                  Result.Status == base::StoreStatus::HistoryLost;
  noteReachable(Node, Answered, Effects);
  if (Result.Status == base::StoreStatus::HistoryLost) {
    Feed.Positioned = false;
    askNext(Node, Effects);
    return true;
  }
  if (!Answered) {
    pauseThenAsk(Node);
    return true;
  }
  Feed.Positioned = Result.Revision != 0;
  Feed.Revision = std::max(Feed.Revision, Result.Revision);
  for (const base::StoreRow &Row : Result.Rows)
    if (Row.Key == Node.Self.Feed.Key && !Row.Removed)
      parse(Node, Row.Value, Effects);
  // A store that holds no row yet is asked again after a pause, by a watch.
  if (Read && !Feed.Positioned)
    pauseThenAsk(Node);
  else
    askNext(Node, Effects);
  return true;
}

bool onFeedParsed(core::State &Node, const core::ConfigParsed &Parsed,
                  core::EffectList &Effects) {
  FeedState &Feed = Node.Config.Feed;
  if (Feed.Parsing.Value == 0 || Feed.Parsing != Parsed.Call)
    return false;
  Feed.Parsing = base::CallId();
  if (Parsed.Config) {
    ConfigDocument Document;
    Document.Version = Parsed.Version;
    Document.Author = "feed";
    Document.When = Node.WallTime;
    Document.Parts = Parsed.Parts;
    installVersion(Node, Document, Parsed.Config, Effects);
  } else {
    Node.Config.Broken = std::max(Node.Config.Broken, Parsed.Version);
    Effects.push_back(
        core::LogLine{core::LogLevel::Error,
                      "config_unreadable",
                      {{"version", std::to_string(Parsed.Version.Value)},
                       {"error", Parsed.Error}}});
  }
  if (!Feed.Newer.empty())
    parse(Node, std::exchange(Feed.Newer, std::string()), Effects);
  return true;
}

} // namespace currantgauge::config
