#include "currantgauge/config/feed.h"

#include "currantgauge/core/reduce.h"

#include <doctest/doctest.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

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
                     std::uint64_t Revision, const std::string &Row = "",
                     std::uint64_t Era = 0) {
  core::StoreAnswered Answer;
  Answer.Call = Fixture.Node.Config.Feed.Call;
  Answer.Result.Status = Status;
  Answer.Result.Revision = Revision;
  Answer.Result.Era = base::StoreEra(Era);
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

// Answers a store call of another component.
void answerOtherCall(FeedFixture &Fixture, std::uint64_t Era) {
  core::StoreAnswered Answer;
  Answer.Call = core::nextCallId(Fixture.Node);
  Answer.Result.Status = base::StoreStatus::Done;
  Answer.Result.Era = base::StoreEra(Era);
  reduceEvent(Fixture, Answer);
}

// Returns a fixture that watches Revision in era 1 with version 4 in force.
FeedFixture makeWatchingFixture(std::uint64_t Revision) {
  FeedFixture Fixture = makeStartedFixture();
  answerStoreCall(Fixture, base::StoreStatus::Done, Revision,
                  std::string("4") + Document, 1);
  parseLast(Fixture);
  return Fixture;
}

// Returns the revision that the last effects watch, 0 if they watch none.
std::uint64_t watchedRevision(const FeedFixture &Fixture) {
  const core::CallStore *Watch = findLastCall<base::WatchRows>(Fixture);
  return Watch ? std::get<base::WatchRows>(Watch->Operation).Revision : 0;
}

void runFor(FeedFixture &Fixture, base::Duration Time) {
  Fixture.Now = Fixture.Now + Time;
  reduceEvent(Fixture, core::TimerFired{});
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

TEST_CASE("after a restore the store is watched from its own revision") {
  FeedFixture Fixture = makeWatchingFixture(90);
  answerStoreCall(Fixture, base::StoreStatus::HistoryLost, 0, "", 2);
  REQUIRE(findLastCall<base::ReadRow>(Fixture));
  answerStoreCall(Fixture, base::StoreStatus::Done, 40,
                  std::string("4") + Document, 2);
  CHECK(watchedRevision(Fixture) == 40);
}

TEST_CASE("a read after lost history sets the revision without an era") {
  FeedFixture Fixture = makeStartedFixture();
  answerStoreCall(Fixture, base::StoreStatus::Done, 90,
                  std::string("4") + Document);
  answerStoreCall(Fixture, base::StoreStatus::HistoryLost, 0);
  answerStoreCall(Fixture, base::StoreStatus::Done, 40,
                  std::string("4") + Document);
  CHECK(watchedRevision(Fixture) == 40);
}

TEST_CASE("a restore that another call reveals replaces the pending watch") {
  FeedFixture Fixture = makeWatchingFixture(90);
  answerOtherCall(Fixture, 2);
  REQUIRE(findLastCall<base::ReadRow>(Fixture));
  answerStoreCall(Fixture, base::StoreStatus::Done, 95,
                  std::string("5") + Document, 2);
  CHECK(watchedRevision(Fixture) == 95);
  parseLast(Fixture);
  CHECK(Fixture.Node.Config.Document.Version == base::ConfigVersion(5));
}

TEST_CASE("a watch that outlived a restore is followed by a read") {
  FeedFixture Fixture = makeWatchingFixture(90);
  answerStoreCall(Fixture, base::StoreStatus::Done, 92, "", 2);
  CHECK(findLastCall<base::ReadRow>(Fixture));
  CHECK_FALSE(findLastCall<base::WatchRows>(Fixture));
}

TEST_CASE("an answer from before a restore sets no revision") {
  FeedFixture Fixture = makeWatchingFixture(90);
  answerOtherCall(Fixture, 3);
  answerStoreCall(Fixture, base::StoreStatus::Done, 91, "", 2);
  CHECK(watchedRevision(Fixture) == 0);
  runFor(Fixture, base::seconds(2));
  answerStoreCall(Fixture, base::StoreStatus::Done, 40,
                  std::string("4") + Document, 3);
  CHECK(watchedRevision(Fixture) == 40);
}

TEST_CASE("a second restore during the recovery from the first is read") {
  FeedFixture Fixture = makeWatchingFixture(90);
  answerStoreCall(Fixture, base::StoreStatus::HistoryLost, 0, "", 2);
  answerStoreCall(Fixture, base::StoreStatus::Done, 40,
                  std::string("4") + Document, 3);
  CHECK(watchedRevision(Fixture) == 40);
  answerStoreCall(Fixture, base::StoreStatus::HistoryLost, 0, "", 4);
  REQUIRE(findLastCall<base::ReadRow>(Fixture));
  answerStoreCall(Fixture, base::StoreStatus::Done, 35,
                  std::string("4") + Document, 4);
  CHECK(watchedRevision(Fixture) == 35);
}

TEST_CASE("a node that was cut off during a restore reads the row again") {
  FeedFixture Fixture = makeWatchingFixture(90);
  for (int Try = 0; Try < 3; ++Try) {
    answerStoreCall(Fixture, base::StoreStatus::Unavailable, 0);
    runFor(Fixture, base::seconds(2));
  }
  answerStoreCall(Fixture, base::StoreStatus::Done, 95, "", 2);
  REQUIRE(findLastCall<base::ReadRow>(Fixture));
  answerStoreCall(Fixture, base::StoreStatus::Done, 96,
                  std::string("6") + Document, 2);
  CHECK(watchedRevision(Fixture) == 96);
  parseLast(Fixture);
  CHECK(Fixture.Node.Config.Document.Version == base::ConfigVersion(6));
}

TEST_CASE("history that is lost again and again is read with a delay") {
  FeedFixture Fixture = makeWatchingFixture(90);
  base::TimePoint End = Fixture.Now + base::seconds(10);
  int Reads = 0;
  while (Fixture.Now < End && Reads < 1000) {
    answerStoreCall(Fixture, base::StoreStatus::HistoryLost, 0);
    for (int Step = 0; Step < 200 && !findLastCall<base::ReadRow>(Fixture);
         ++Step)
      runFor(Fixture, base::milliseconds(10));
    REQUIRE(findLastCall<base::ReadRow>(Fixture));
    ++Reads;
    answerStoreCall(Fixture, base::StoreStatus::Done, 40,
                    std::string("4") + Document);
  }
  CHECK(Reads >= 5);
  CHECK(Reads <= 30);
}

TEST_CASE("a node that starts with a restored version takes the newer one of "
          "its peers") {
  FeedFixture Fixture = makeStartedFixture();
  answerStoreCall(Fixture, base::StoreStatus::Done, 40,
                  std::string("4") + Document, 2);
  parseLast(Fixture);
  membership::PeerMessage Message;
  Message.From = base::NodeName("b");
  Message.FromAddress = base::NetAddress("10.0.0.2:8081");
  Message.Kind = membership::MessageKind::Ack;
  Message.Version = base::ConfigVersion(6);
  membership::MemberRecord Peer;
  Peer.Name = Message.From;
  Peer.PeerAddress = Message.FromAddress;
  Peer.Version = Message.Version;
  Message.Members = {Peer};
  reduceEvent(Fixture, core::PeerMessageArrived{Message});
  const core::FetchConfig *Fetch = findLast<core::FetchConfig>(Fixture);
  REQUIRE(Fetch);
  CHECK(Fetch->Source == base::NodeName("b"));
  CHECK(Fetch->KnownVersion == base::ConfigVersion(4));
}

TEST_CASE("a node that knows of a newer version is not ready with a restored "
          "one") {
  FeedFixture Fixture = makeStartedFixture();
  Fixture.Node.Config.NewestKnown = base::ConfigVersion(6);
  answerStoreCall(Fixture, base::StoreStatus::Done, 40,
                  std::string("4") + Document, 2);
  parseLast(Fixture);
  CHECK_FALSE(Fixture.Node.Ready);
}

TEST_CASE("a version that is written again after a restore changes nothing") {
  FeedFixture Fixture = makeWatchingFixture(90);
  answerStoreCall(Fixture, base::StoreStatus::HistoryLost, 0, "", 2);
  answerStoreCall(Fixture, base::StoreStatus::Done, 40,
                  std::string("3") + Document, 2);
  parseLast(Fixture);
  CHECK(Fixture.Node.Config.Document.Version == base::ConfigVersion(4));
  answerStoreCall(Fixture, base::StoreStatus::Done, 41,
                  std::string("4") + Document, 2);
  parseLast(Fixture);
  CHECK_FALSE(findLast<core::ServeConfig>(Fixture));
  CHECK(Fixture.Node.Config.Document.Version == base::ConfigVersion(4));
}

// Nodes that start later read the other content, so that the fleet disagrees
// until the next version.
TEST_CASE("a version number that is used again with other content keeps the "
          "content in force") {
  FeedFixture Fixture = makeWatchingFixture(90);
  std::string Other = std::string(Document) + "  lists: {prefix: /lists, "
                                              "kind: read}\n";
  answerStoreCall(Fixture, base::StoreStatus::HistoryLost, 0, "", 2);
  answerStoreCall(Fixture, base::StoreStatus::Done, 40, "4" + Other, 2);
  parseLast(Fixture);
  CHECK(Fixture.Node.Config.Current->Routes.size() == 1);
  answerStoreCall(Fixture, base::StoreStatus::Done, 41, "5" + Other, 2);
  parseLast(Fixture);
  CHECK(Fixture.Node.Config.Current->Routes.size() == 2);
}

TEST_CASE("a node with a feed and without keys makes no conditional writes") {
  FeedFixture Fixture = makeStartedFixture();
  Fixture.Node.Self.AcceptsKeys = false;
  std::size_t Writes = 0;
  std::vector<base::CallId> Pending;
  for (int Second = 0; Second < 1800; ++Second) {
    runFor(Fixture, base::seconds(1));
    Pending.clear();
    for (const core::Effect &Effect : Fixture.Effects)
      if (const auto *StoreCall = std::get_if<core::CallStore>(&Effect)) {
        Pending.push_back(StoreCall->Call);
        if (const auto *Write =
                std::get_if<base::WriteRows>(&StoreCall->Operation)) {
          ++Writes;
          for (const base::RowWrite &Row : Write->Rows)
            CHECK(Row.Condition == base::WriteCondition::Always);
        }
      }
    for (base::CallId Call : Pending) {
      core::StoreAnswered Answer;
      Answer.Call = Call;
      Answer.Result.Status = base::StoreStatus::Done;
      Answer.Result.Revision = 9;
      Answer.Result.Era = base::StoreEra(1U + Second / 100);
      reduceEvent(Fixture, Answer);
    }
  }
  CHECK(Writes > 0);
}

} // namespace currantgauge::config
