#include "currantgauge/config/test_fleet.h"
#include "currantgauge/config/time_text.h"

#include <doctest/doctest.h>

#include <cstdint>
#include <string>

namespace currantgauge::config {

TEST_CASE("a pushed version is in force at every node") {
  TestFleet Fleet(6, 1);
  base::CallId Call = push(Fleet, 2, sampleDocument("a"), 0, "p1");
  runFor(Fleet, base::seconds(5));
  REQUIRE(isAccepted(Fleet, Call));
  CHECK(isInForceEverywhere(Fleet, base::ConfigVersion(1)));
  CHECK(Fleet.Nodes[0].State.Ready);
}

TEST_CASE("of two concurrent pushes one is accepted and the other is refused "
          "with the author and the changes of the first") {
  for (std::uint64_t Seed = 1; Seed <= 40; ++Seed) {
    CAPTURE(Seed);
    TestFleet Fleet(4, Seed);
    push(Fleet, 0, sampleDocument("a"), 0, "p0");
    runFor(Fleet, base::seconds(3));
    base::CallId FirstCall = push(Fleet, 1, sampleDocument("b"), 1, "p1");
    base::CallId SecondCall = push(Fleet, 2, sampleDocument("c"), 1, "p2");
    runFor(Fleet, base::seconds(15));
    REQUIRE(isAccepted(Fleet, FirstCall) != isAccepted(Fleet, SecondCall));
    bool IsFirstAccepted = isAccepted(Fleet, FirstCall);
    const core::OperatorReply *Refused =
        findReply(Fleet, IsFirstAccepted ? SecondCall : FirstCall);
    REQUIRE(Refused);
    CHECK(
        Refused->Error.find(IsFirstAccepted ? "operator-p1" : "operator-p2") !=
        std::string::npos);
    REQUIRE(Refused->Tables.size() == 1);
    CHECK(Refused->Tables[0].Rows.size() == 1);
    CHECK(isInForceEverywhere(Fleet, base::ConfigVersion(2)));
  }
}

TEST_CASE("a push is accepted once although the store's answers are lost") {
  for (std::uint64_t Seed = 1; Seed <= 40; ++Seed) {
    CAPTURE(Seed);
    TestFleet Fleet(3, Seed);
    Fleet.Store.LostRowAnswers = 0.8;
    base::CallId Call = push(Fleet, 0, sampleDocument("a"), 0, "p1");
    runFor(Fleet, base::seconds(15));
    REQUIRE(isAccepted(Fleet, Call));
    CHECK(readHeadVersion(Fleet).Value == 1);
    base::CallId Repeated = push(Fleet, 1, sampleDocument("a"), 0, "p1");
    runFor(Fleet, base::seconds(15));
    CHECK(isAccepted(Fleet, Repeated));
    CHECK(readHeadVersion(Fleet).Value == 1);
  }
}

TEST_CASE("a repeated push that is no longer the newest is still accepted") {
  TestFleet Fleet(3, 3);
  push(Fleet, 0, sampleDocument("a"), 0, "p1");
  runFor(Fleet, base::seconds(4));
  push(Fleet, 1, sampleDocument("b"), 1, "p2");
  runFor(Fleet, base::seconds(4));
  base::CallId Repeated = push(Fleet, 2, sampleDocument("a"), 0, "p1");
  runFor(Fleet, base::seconds(4));
  CHECK(isAccepted(Fleet, Repeated));
  CHECK(readHeadVersion(Fleet).Value == 2);
}

TEST_CASE("a push while the store is unavailable is not accepted") {
  TestFleet Fleet(2, 4);
  Fleet.Store.Down = true;
  base::CallId Call = push(Fleet, 0, sampleDocument("a"), 0, "p1");
  runFor(Fleet, base::seconds(15));
  REQUIRE(findReply(Fleet, Call));
  CHECK(findReply(Fleet, Call)->Error.starts_with("not accepted"));
}

TEST_CASE("a node that starts without the store catches up from its peers") {
  TestFleet Fleet(5, 5);
  push(Fleet, 0, sampleDocument("a"), 0, "p1");
  runFor(Fleet, base::seconds(5));
  Fleet.Store.Down = true;
  startNode(Fleet, 3);
  CHECK_FALSE(Fleet.Nodes[3].State.Ready);
  runFor(Fleet, base::seconds(5));
  CHECK(isInForceEverywhere(Fleet, base::ConfigVersion(1)));
  CHECK(Fleet.Nodes[3].State.Ready);
}

TEST_CASE("an accepted version is distributed although the node that accepted "
          "it stops before it announces it") {
  TestFleet Fleet(4, 6);
  push(Fleet, 0, sampleDocument("a"), 0, "p1");
  Fleet.MessageLoss = 1;
  runFor(Fleet, base::milliseconds(300));
  REQUIRE(readHeadVersion(Fleet).Value == 1);
  Fleet.Nodes[0].Up = false;
  Fleet.MessageLoss = 0;
  runFor(Fleet, base::seconds(10));
  CHECK(isInForceEverywhere(Fleet, base::ConfigVersion(1)));
}

TEST_CASE("a store restored from an old copy does not decrease the version") {
  TestFleet Fleet(4, 7);
  push(Fleet, 0, sampleDocument("a"), 0, "p1");
  runFor(Fleet, base::seconds(4));
  TestStore OldStore = Fleet.Store;
  push(Fleet, 0, sampleDocument("b"), 1, "p2");
  runFor(Fleet, base::seconds(4));
  Fleet.Store = OldStore;
  startNode(Fleet, 2);
  runFor(Fleet, base::seconds(10));
  CHECK(isInForceEverywhere(Fleet, base::ConfigVersion(2)));
  base::CallId Call = push(Fleet, 1, sampleDocument("c"), 2, "p3");
  runFor(Fleet, base::seconds(5));
  CHECK(isAccepted(Fleet, Call));
  CHECK(isInForceEverywhere(Fleet, base::ConfigVersion(3)));
}

TEST_CASE("property: all nodes end at the highest version after message loss, "
          "store faults and restarts") {
  for (std::uint64_t Seed = 1; Seed <= 60; ++Seed) {
    CAPTURE(Seed);
    TestFleet Fleet(5, Seed);
    Fleet.MessageLoss = 0.1 * static_cast<double>(Seed % 7);
    Fleet.Store.LostRowAnswers = 0.1 * static_cast<double>(Seed % 4);
    std::uint64_t Accepted = 0;
    for (int Step = 0; Step < 12; ++Step) {
      std::size_t Node = base::uniformBelow(Fleet.Source, Fleet.Nodes.size());
      Fleet.Store.Down = base::uniformBelow(Fleet.Source, 4) == 0;
      if (base::uniformBelow(Fleet.Source, 3) == 0)
        startNode(Fleet, Node);
      push(Fleet, Node, sampleDocument("s" + std::to_string(Step)),
           Fleet.Nodes[Node].State.Config.Document.Version.Value,
           "p" + std::to_string(Step));
      runFor(Fleet, base::milliseconds(static_cast<std::int64_t>(
                        base::uniformBelow(Fleet.Source, 4000))));
      CHECK(readHeadVersion(Fleet).Value >= Accepted);
      Accepted = readHeadVersion(Fleet).Value;
    }
    Fleet.Store.Down = false;
    Fleet.MessageLoss = 0;
    runFor(Fleet, base::seconds(40));
    CHECK(isInForceEverywhere(Fleet, readHeadVersion(Fleet)));
  }
}

TEST_CASE("only the changed parts are stored and fetched") {
  TestFleet Fleet(5, 8);
  push(Fleet, 0, sampleDocument("a", 3000), 0, "p1");
  runFor(Fleet, base::seconds(10));
  REQUIRE(isInForceEverywhere(Fleet, base::ConfigVersion(1)));
  Fleet.FetchedBytes = 0;
  std::uint64_t Writes = Fleet.Store.Writes;
  push(Fleet, 0, sampleDocument("b", 3000), 1, "p2");
  runFor(Fleet, base::seconds(10));
  CHECK(isInForceEverywhere(Fleet, base::ConfigVersion(2)));
  CHECK(Fleet.Store.Writes ==
        Writes + 4); // registration row, manifest, part, head row
  CHECK(Fleet.FetchedBytes <= 4 * 100);
}

TEST_CASE("history, earlier versions and rollback") {
  for (bool Embedded : {false, true}) {
    CAPTURE(Embedded);
    TestFleet Fleet(Embedded ? 1 : 3, 9, Embedded);
    push(Fleet, 0, sampleDocument("a"), 0, "p1");
    runFor(Fleet, base::seconds(4));
    push(Fleet, 0, sampleDocument("b"), 1, "p2");
    runFor(Fleet, base::seconds(4));
    base::CallId History = sendQuery(Fleet, 0, core::ConfigHistoryCommand{});
    base::CallId First =
        sendQuery(Fleet, 0, core::ConfigShowCommand{base::ConfigVersion(1)});
    base::CallId Missing =
        sendQuery(Fleet, 0, core::ConfigShowCommand{base::ConfigVersion(9)});
    runFor(Fleet, base::seconds(2));
    REQUIRE(isAccepted(Fleet, History));
    const auto &Rows = findReply(Fleet, History)->Tables[0].Rows;
    REQUIRE(Rows.size() == 2);
    CHECK(Rows[0][0] == "2");
    REQUIRE(isAccepted(Fleet, First));
    CHECK_FALSE(isAccepted(Fleet, Missing));
    std::string Text = joinParts(*findReply(Fleet, First)->Document);
    CHECK(Text == sampleDocument("a"));
    base::CallId Rollback = push(Fleet, 0, Text, 2, "p3");
    runFor(Fleet, base::seconds(4));
    CHECK(isAccepted(Fleet, Rollback));
    CHECK(isInForceEverywhere(Fleet, base::ConfigVersion(3)));
  }
}

TEST_CASE("times are formatted in UTC and clamped to the calendar") {
  CHECK(formatTime({1796383362174}) == "2026-12-04T11:22:42Z");
  CHECK(formatTime({-5}) == "1970-01-01T00:00:00Z");
  CHECK(formatTime({INT64_MAX}) == "9999-12-31T23:59:59Z");
}

TEST_CASE("a push with a misspelt setting is refused with a suggestion") {
  TestFleet Fleet(1, 10, true);
  base::CallId Call = push(Fleet, 0, "services:\n  a: {flor: 60%}\n", 0, "p1");
  runFor(Fleet, base::seconds(1));
  REQUIRE(findReply(Fleet, Call));
  CHECK(findReply(Fleet, Call)->Error.find("did you mean floor?") !=
        std::string::npos);
  CHECK(Fleet.Nodes[0].State.Config.Document.Version.Value == 0);
}

} // namespace currantgauge::config
