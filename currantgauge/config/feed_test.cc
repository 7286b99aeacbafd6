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

// Reads an announced row of these tests: the version, as one digit, and then
// the document.
AnnouncedConfig readRow(const std::string &Row) {
  AnnouncedConfig Read;
  Read.Version = base::ConfigVersion(static_cast<std::uint64_t>(Row[0] - '0'));
  Read.Text = Row.substr(1);
  if (Read.Text.empty())
    Read.Error = "the row is empty";
  return Read;
}

struct FeedFixture {
  core::State Node;
  core::EffectList Effects;
  base::TimePoint Now{1000000};
};

template <typename EffectType>
const EffectType *findLast(const FeedFixture &Fixture) {
  const EffectType *Last = nullptr;
  for (const core::Effect &Effect : Fixture.Effects)
    if (const auto *Match = std::get_if<EffectType>(&Effect))
      Last = Match;
  return Last;
}

template <typename Operation>
const core::CallStore *findLastCall(const FeedFixture &Fixture) {
  const core::CallStore *Last = nullptr;
  for (const core::Effect &Effect : Fixture.Effects)
    if (const auto *StoreCall = std::get_if<core::CallStore>(&Effect))
      if (std::holds_alternative<Operation>(StoreCall->Operation))
        Last = StoreCall;
  return Last;
}

void reduceEvent(FeedFixture &Fixture, core::EventBody Body) {
  Fixture.Effects.clear();
  core::reduce(Fixture.Node, core::Event{Fixture.Now, {}, std::move(Body)},
               Fixture.Effects);
}

FeedFixture makeStartedFixture() {
  core::NodeIdentity Self;
  Self.Name = base::NodeName("a");
  Self.Incarnation = base::Incarnation(1);
  Self.Feed = {"op", "config"};
  FeedFixture Fixture{core::makeState(Self, 7), {}, {}};
  Fixture.Now = base::TimePoint{1000000};
  reduceEvent(Fixture, core::Started{});
  return Fixture;
}

// Answers the feed's pending store call, with the announced row if one is
// given.
void answerStoreCall(FeedFixture &Fixture, base::StoreStatus Status,
                     std::uint64_t Revision, const std::string &Row = "") {
  core::StoreAnswered Answer;
  Answer.Call = Fixture.Node.Config.Feed.Call;
  Answer.Result.Status = Status;
  Answer.Result.Revision = Revision;
  if (!Row.empty())
    Answer.Result.Rows.push_back(base::StoreRow{"config", Row, "1"});
  reduceEvent(Fixture, Answer);
}

// Executes the last parse effect and reduces its result.
void parseLast(FeedFixture &Fixture) {
  const core::ParseConfig *Parse = findLast<core::ParseConfig>(Fixture);
  REQUIRE(Parse);
  AssembledConfig Result = assembleAnnounced(Parse->Request, readRow);
  reduceEvent(Fixture,
              core::ConfigParsed{Parse->Call, Result.Config, Result.Parts,
                                 Result.Error, Result.Version});
}

} // namespace

TEST_CASE("the announced row is read, put in force, and watched") {
  FeedFixture Fixture = makeStartedFixture();
  REQUIRE(findLastCall<base::ReadRow>(Fixture));
  answerStoreCall(Fixture, base::StoreStatus::Done, 9,
                  std::string("4") + Document);
  const core::CallStore *Watch = findLastCall<base::WatchRows>(Fixture);
  REQUIRE(Watch);
  CHECK(std::get<base::WatchRows>(Watch->Operation).Revision == 9);
  parseLast(Fixture);
  CHECK(Fixture.Node.Config.Document.Version == base::ConfigVersion(4));
  CHECK(Fixture.Node.Ready);
}

TEST_CASE("an older version that arrives later is not installed") {
  FeedFixture Fixture = makeStartedFixture();
  answerStoreCall(Fixture, base::StoreStatus::Done, 9,
                  std::string("6") + Document);
  parseLast(Fixture);
  answerStoreCall(Fixture, base::StoreStatus::Done, 10,
                  std::string("5") + Document);
  parseLast(Fixture);
  CHECK(Fixture.Node.Config.Document.Version == base::ConfigVersion(6));
}

TEST_CASE("the row is read again after the store lost its history") {
  FeedFixture Fixture = makeStartedFixture();
  answerStoreCall(Fixture, base::StoreStatus::Done, 9,
                  std::string("4") + Document);
  answerStoreCall(Fixture, base::StoreStatus::HistoryLost, 0);
  CHECK(findLastCall<base::ReadRow>(Fixture));
}

TEST_CASE("calls to an unavailable store are retried, and logged once") {
  FeedFixture Fixture = makeStartedFixture();
  int LoggedLosses = 0;
  for (int Try = 0; Try < 5; ++Try) {
    answerStoreCall(Fixture, base::StoreStatus::Unavailable, 0);
    for (const core::Effect &Effect : Fixture.Effects)
      if (const auto *Line = std::get_if<core::LogLine>(&Effect))
        LoggedLosses += Line->Event == "store_lost" ? 1 : 0;
    Fixture.Now = Fixture.Now + base::seconds(2);
    reduceEvent(Fixture, core::TimerFired{});
    REQUIRE(findLastCall<base::ReadRow>(Fixture));
  }
  CHECK(LoggedLosses == 1);
  answerStoreCall(Fixture, base::StoreStatus::Done, 9,
                  std::string("4") + Document);
  CHECK(findLast<core::LogLine>(Fixture)->Event == "store_regained");
}

TEST_CASE("of the versions that arrive during a parse the newest is next") {
  FeedFixture Fixture = makeStartedFixture();
  answerStoreCall(Fixture, base::StoreStatus::Done, 9,
                  std::string("4") + Document);
  core::ParseConfig First = *findLast<core::ParseConfig>(Fixture);
  answerStoreCall(Fixture, base::StoreStatus::Done, 10,
                  std::string("5") + Document);
  CHECK_FALSE(findLast<core::ParseConfig>(Fixture));
  answerStoreCall(Fixture, base::StoreStatus::Done, 11,
                  std::string("6") + Document);
  AssembledConfig Result = assembleAnnounced(First.Request, readRow);
  reduceEvent(Fixture,
              core::ConfigParsed{First.Call, Result.Config, Result.Parts,
                                 Result.Error, Result.Version});
  parseLast(Fixture);
  CHECK(Fixture.Node.Config.Document.Version == base::ConfigVersion(6));
}

TEST_CASE("an unreadable version is logged and not installed") {
  FeedFixture Fixture = makeStartedFixture();
  answerStoreCall(Fixture, base::StoreStatus::Done, 9,
                  std::string("4") + Document);
  parseLast(Fixture);
  answerStoreCall(Fixture, base::StoreStatus::Done, 10, "5");
  parseLast(Fixture);
  CHECK(Fixture.Node.Config.Document.Version == base::ConfigVersion(4));
  CHECK(findLast<core::LogLine>(Fixture)->Event == "config_unreadable");
}

} // namespace currantgauge::config
