#include "currantgauge/config/feed.h"

#include "currantgauge/core/reduce.h"

#include <doctest/doctest.h>

#include <string>
#include <variant>

namespace currantgauge::config {
namespace {

const char *const Document = "services:\n  cutlist: {}\nranks:\n  normal: "
                             "{order: 1, deadline: 1s}\nkinds:\n  read: "
                             "{service: cutlist, rank: normal}\nroutes:\n  "
                             "all: {prefix: /, kind: read}\n";

// A row consists of the version, one digit, and the document.
AnnouncedConfig readRow(const std::string &Row) {
  AnnouncedConfig Read;
  Read.Version = base::ConfigVersion(static_cast<std::uint64_t>(Row[0] - '0'));
  Read.Text = Row.substr(1);
  if (Read.Text.empty())
    Read.Error = "the row is empty";
  return Read;
}

struct FeedNode {
  core::State Node;
  core::EffectList Effects;
  base::TimePoint Now{1000000};
};

template <typename EffectType>
const EffectType *findLast(const FeedNode &Case) {
  const EffectType *Last = nullptr;
  for (const core::Effect &Item : Case.Effects)
    if (const auto *Match = std::get_if<EffectType>(&Item))
      Last = Match;
  return Last;
}

template <typename Operation>
const core::CallStore *findCall(const FeedNode &Case) {
  const core::CallStore *Last = nullptr;
  for (const core::Effect &Item : Case.Effects)
    if (const auto *StoreCall = std::get_if<core::CallStore>(&Item))
      if (std::holds_alternative<Operation>(StoreCall->Operation))
        Last = StoreCall;
  return Last;
}

void reduceEvent(FeedNode &Case, core::EventBody Body) {
  Case.Effects.clear();
  core::reduce(Case.Node, core::Event{Case.Now, {}, std::move(Body)},
               Case.Effects);
}

FeedNode startFeedNode() {
  core::NodeIdentity Self;
  Self.Name = base::NodeName("a");
  Self.Life = base::Incarnation(1);
  Self.Feed = {"op", "config"};
  FeedNode Case{core::makeState(Self, 7), {}, {}};
  Case.Now = base::TimePoint{1000000};
  reduceEvent(Case, core::Started{});
  return Case;
}

void answerStoreCall(FeedNode &Case, base::StoreStatus Status,
                     std::uint64_t Revision, const std::string &Row = "") {
  core::StoreAnswered Answer;
  Answer.Call = Case.Node.Config.Feed.Call;
  Answer.Result.Status = Status;
  Answer.Result.Revision = Revision;
  if (!Row.empty())
    Answer.Result.Rows.push_back(base::StoreRow{"config", Row, "1"});
  reduceEvent(Case, Answer);
}

void parseLast(FeedNode &Case) {
  const core::ParseConfig *Parse = findLast<core::ParseConfig>(Case);
  REQUIRE(Parse);
  AssembledConfig Result = assembleAnnounced(Parse->Request, readRow);
  reduceEvent(Case, core::ConfigParsed{Parse->Call, Result.Config, Result.Parts,
                                       Result.Error, Result.Version});
}

} // namespace

TEST_CASE("the announced row is read, put in force, and watched") {
  FeedNode Case = startFeedNode();
  REQUIRE(findCall<base::ReadRow>(Case));
  answerStoreCall(Case, base::StoreStatus::Done, 9,
                  std::string("4") + Document);
  const core::CallStore *Watch = findCall<base::WatchRows>(Case);
  REQUIRE(Watch);
  CHECK(std::get<base::WatchRows>(Watch->Operation).Revision == 9);
  parseLast(Case);
  CHECK(Case.Node.Config.Document.Version == base::ConfigVersion(4));
  CHECK(Case.Node.Ready);
}

TEST_CASE("an older version that arrives later is not installed") {
  FeedNode Case = startFeedNode();
  answerStoreCall(Case, base::StoreStatus::Done, 9,
                  std::string("6") + Document);
  parseLast(Case);
  answerStoreCall(Case, base::StoreStatus::Done, 10,
                  std::string("5") + Document);
  parseLast(Case);
  CHECK(Case.Node.Config.Document.Version == base::ConfigVersion(6));
}

TEST_CASE("the row is read again after the store lost its history") {
  FeedNode Case = startFeedNode();
  answerStoreCall(Case, base::StoreStatus::Done, 9,
                  std::string("4") + Document);
  answerStoreCall(Case, base::StoreStatus::HistoryLost, 0);
  CHECK(findCall<base::ReadRow>(Case));
}

TEST_CASE("calls to an unavailable store are retried, and logged once") {
  FeedNode Case = startFeedNode();
  int LoggedLosses = 0;
  for (int Try = 0; Try < 5; ++Try) {
    answerStoreCall(Case, base::StoreStatus::Unavailable, 0);
    for (const core::Effect &Item : Case.Effects)
      if (const auto *Line = std::get_if<core::LogLine>(&Item))
        LoggedLosses += Line->What == "store_lost" ? 1 : 0;
    Case.Now = Case.Now + base::seconds(2);
    reduceEvent(Case, core::TimerFired{});
    REQUIRE(findCall<base::ReadRow>(Case));
  }
  CHECK(LoggedLosses == 1);
  answerStoreCall(Case, base::StoreStatus::Done, 9,
                  std::string("4") + Document);
  CHECK(findLast<core::LogLine>(Case)->What == "store_regained");
}

TEST_CASE("of the versions that arrive during a parse the newest is next") {
  FeedNode Case = startFeedNode();
  answerStoreCall(Case, base::StoreStatus::Done, 9,
                  std::string("4") + Document);
  core::ParseConfig First = *findLast<core::ParseConfig>(Case);
  answerStoreCall(Case, base::StoreStatus::Done, 10,
                  std::string("5") + Document);
  CHECK_FALSE(findLast<core::ParseConfig>(Case));
  answerStoreCall(Case, base::StoreStatus::Done, 11,
                  std::string("6") + Document);
  AssembledConfig Result = assembleAnnounced(First.Request, readRow);
  reduceEvent(Case, core::ConfigParsed{First.Call, Result.Config, Result.Parts,
                                       Result.Error, Result.Version});
  parseLast(Case);
  CHECK(Case.Node.Config.Document.Version == base::ConfigVersion(6));
}

TEST_CASE("an unreadable version is logged and not installed") {
  FeedNode Case = startFeedNode();
  answerStoreCall(Case, base::StoreStatus::Done, 9,
                  std::string("4") + Document);
  parseLast(Case);
  answerStoreCall(Case, base::StoreStatus::Done, 10, "5");
  parseLast(Case);
  CHECK(Case.Node.Config.Document.Version == base::ConfigVersion(4));
  CHECK(findLast<core::LogLine>(Case)->What == "config_unreadable");
}

} // namespace currantgauge::config
