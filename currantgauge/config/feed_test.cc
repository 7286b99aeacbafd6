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

// A row is its version in one digit and the document.
AnnouncedConfig readRow(const std::string &Row) {
  AnnouncedConfig Read;
  Read.Version = base::ConfigVersion(static_cast<std::uint64_t>(Row[0] - '0'));
  Read.Text = Row.substr(1);
  if (Read.Text.empty())
    Read.Error = "the row is empty";
  return Read;
}

struct Follower {
  core::State Node;
  core::EffectList Effects;
  base::TimePoint Now{1000000};
};

template <typename Wanted> const Wanted *findLast(const Follower &Case) {
  const Wanted *Found = nullptr;
  for (const core::Effect &Item : Case.Effects)
    if (const auto *One = std::get_if<Wanted>(&Item))
      Found = One;
  return Found;
}

template <typename Operation>
const core::CallStore *findCall(const Follower &Case) {
  const core::CallStore *Found = nullptr;
  for (const core::Effect &Item : Case.Effects)
    if (const auto *One = std::get_if<core::CallStore>(&Item))
      if (std::holds_alternative<Operation>(One->Operation))
        Found = One;
  return Found;
}

void happen(Follower &Case, core::EventBody Body) {
  Case.Effects.clear();
  core::reduce(Case.Node, core::Event{Case.Now, {}, std::move(Body)},
               Case.Effects);
}

Follower start() {
  core::NodeIdentity Self;
  Self.Name = base::NodeName("a");
  Self.Incarnation = base::Incarnation(1);
  Self.Feed = {"op", "config"};
  Follower Case{core::makeState(Self, 7), {}, {}};
  Case.Now = base::TimePoint{1000000};
  happen(Case, core::Started{});
  return Case;
}

void answer(Follower &Case, base::StoreStatus Status, std::uint64_t Revision,
            const std::string &Row = "") {
  core::StoreAnswered Answer;
  Answer.Call = Case.Node.Config.Feed.Call;
  Answer.Result.Status = Status;
  Answer.Result.Revision = Revision;
  if (!Row.empty())
    Answer.Result.Rows.push_back(base::StoreRow{"config", Row, "1"});
  happen(Case, Answer);
}

void parseLast(Follower &Case) {
  const core::ParseConfig *Parse = findLast<core::ParseConfig>(Case);
  REQUIRE(Parse);
  AssembledConfig Done = assembleAnnounced(Parse->Request, readRow);
  happen(Case, core::ConfigParsed{Parse->Call, Done.Config, Done.Parts,
                                  Done.Error, Done.Version});
}

} // namespace

TEST_CASE("the announced row is read, put in force, and watched") {
  Follower Case = start();
  REQUIRE(findCall<base::ReadRow>(Case));
  answer(Case, base::StoreStatus::Done, 9, std::string("4") + Document);
  const core::CallStore *Watch = findCall<base::WatchRows>(Case);
  REQUIRE(Watch);
  CHECK(std::get<base::WatchRows>(Watch->Operation).Revision == 9);
  parseLast(Case);
  CHECK(Case.Node.Config.Document.Version == base::ConfigVersion(4));
  CHECK(Case.Node.Ready);
}

TEST_CASE("an older version that arrives later does not come into force") {
  Follower Case = start();
  answer(Case, base::StoreStatus::Done, 9, std::string("6") + Document);
  parseLast(Case);
  answer(Case, base::StoreStatus::Done, 10, std::string("5") + Document);
  parseLast(Case);
  CHECK(Case.Node.Config.Document.Version == base::ConfigVersion(6));
}

TEST_CASE("after its history was lost the row is read again") {
  Follower Case = start();
  answer(Case, base::StoreStatus::Done, 9, std::string("4") + Document);
  answer(Case, base::StoreStatus::HistoryLost, 0);
  CHECK(findCall<base::ReadRow>(Case));
}

TEST_CASE("a store that does not answer is asked again, and logged once") {
  Follower Case = start();
  int Lost = 0;
  for (int Try = 0; Try < 5; ++Try) {
    answer(Case, base::StoreStatus::Unavailable, 0);
    for (const core::Effect &Item : Case.Effects)
      if (const auto *Line = std::get_if<core::LogLine>(&Item))
        Lost += Line->Event == "store_lost" ? 1 : 0;
    Case.Now = Case.Now + base::seconds(2);
    happen(Case, core::TimerFired{});
    REQUIRE(findCall<base::ReadRow>(Case));
  }
  CHECK(Lost == 1);
  answer(Case, base::StoreStatus::Done, 9, std::string("4") + Document);
  CHECK(findLast<core::LogLine>(Case)->Event == "store_regained");
}

TEST_CASE("of versions that arrive while one is parsed the newest is next") {
  Follower Case = start();
  answer(Case, base::StoreStatus::Done, 9, std::string("4") + Document);
  core::ParseConfig First = *findLast<core::ParseConfig>(Case);
  answer(Case, base::StoreStatus::Done, 10, std::string("5") + Document);
  CHECK_FALSE(findLast<core::ParseConfig>(Case));
  answer(Case, base::StoreStatus::Done, 11, std::string("6") + Document);
  AssembledConfig Done = assembleAnnounced(First.Request, readRow);
  happen(Case, core::ConfigParsed{First.Call, Done.Config, Done.Parts,
                                  Done.Error, Done.Version});
  parseLast(Case);
  CHECK(Case.Node.Config.Document.Version == base::ConfigVersion(6));
}

TEST_CASE("an unreadable version leaves the one in force and is logged") {
  Follower Case = start();
  answer(Case, base::StoreStatus::Done, 9, std::string("4") + Document);
  parseLast(Case);
  answer(Case, base::StoreStatus::Done, 10, "5");
  parseLast(Case);
  CHECK(Case.Node.Config.Document.Version == base::ConfigVersion(4));
  CHECK(findLast<core::LogLine>(Case)->Event == "config_unreadable");
}

} // namespace currantgauge::config
