#include "currantgauge/config/collect.h"
#include "currantgauge/config/stored_manifest.h"
#include "currantgauge/config/test_fleet.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace currantgauge::config {
namespace {

// Short enough for versions to expire many times in a test of a minute or two.
constexpr Retention ShortRetention{4, 8, base::seconds(20), base::seconds(1)};

std::vector<HeadRow> listRows(const TestFleet &Fleet,
                              const std::string &Prefix) {
  std::vector<HeadRow> Rows;
  auto Table = Fleet.Store.Memory.Tables.find(ConfigTable);
  if (Table == Fleet.Store.Memory.Tables.end())
    return Rows;
  for (const auto &[Key, Row] : Table->second)
    if (Key.starts_with(Prefix))
      Rows.push_back(parseHeadRow({Key, Row.Value, ""}).value());
  return Rows;
}

// checkNeededObjects() fails if an object that the head row or a history row
// refers to is missing. Returns the names of these objects.
std::set<std::string> checkNeededObjects(const TestFleet &Fleet) {
  const auto &Objects = Fleet.Store.Memory.Objects;
  std::set<std::string> NeededObjects;
  std::vector<HeadRow> Rows = listRows(Fleet, HistoryPrefix);
  for (const HeadRow &Head : listRows(Fleet, HeadKey))
    Rows.push_back(Head);
  for (const HeadRow &Row : Rows) {
    CAPTURE(Row.Version.Value);
    auto Bytes = Objects.find(getManifestObjectName(Row));
    REQUIRE(Bytes != Objects.end());
    std::optional<StoredManifest> Stored =
        readStoredManifest(Row, Bytes->second);
    REQUIRE(Stored);
    for (const std::string &Name : listObjectNames(Row, *Stored)) {
      CAPTURE(Name);
      REQUIRE(Objects.contains(Name));
      NeededObjects.insert(Name);
    }
  }
  return NeededObjects;
}

// listRegisteredObjects() returns the objects of all pushes that have a
// registration row.
std::set<std::string> listRegisteredObjects(const TestFleet &Fleet) {
  std::set<std::string> Names;
  for (const HeadRow &Row : listRows(Fleet, RegistrationPrefix)) {
    auto Bytes = Fleet.Store.Memory.Objects.find(getManifestObjectName(Row));
    if (Bytes != Fleet.Store.Memory.Objects.end())
      Names.merge(
          listObjectNames(Row, readStoredManifest(Row, Bytes->second).value()));
  }
  return Names;
}

// Restarts all nodes with the given retention.
void setRetention(TestFleet &Fleet, const Retention &Retention) {
  Fleet.Retention = Retention;
  for (std::size_t Index = 0; Index < Fleet.Nodes.size(); ++Index)
    startNode(Fleet, Index);
}

// Makes the next collection of each node due now, rather than minutes after the
// node's start.
void startCollections(TestFleet &Fleet) {
  for (TestNode &Node : Fleet.Nodes)
    Node.State.Config.NextCollection =
        std::min(Node.State.Config.NextCollection, Fleet.Now);
}

// Runs the fleet, with collections due every 50 ms, and checks after each step
// that no needed object is missing.
void runWithCollections(TestFleet &Fleet, std::int64_t Millis) {
  for (; Millis > 0; Millis -= 50) {
    startCollections(Fleet);
    runFor(Fleet, base::milliseconds(50));
    checkNeededObjects(Fleet);
  }
}

// Pushes a sample document at a random node. Draws from few prefixes, so that
// content whose objects were removed is pushed again.
void pushSample(TestFleet &Fleet, std::uint64_t Step) {
  std::size_t Node = base::uniformBelow(Fleet.Source, Fleet.Nodes.size());
  std::string Prefix =
      "m" + std::to_string(base::uniformBelow(Fleet.Source, 3));
  push(Fleet, Node, sampleDocument(Prefix, Step % 5),
       Fleet.Nodes[Node].State.Config.Document.Version.Value,
       "p" + std::to_string(Step));
}

} // namespace

TEST_CASE("the store keeps a bounded number of versions and nothing else") {
  TestFleet Fleet(3, 1);
  setRetention(Fleet, ShortRetention);
  for (std::uint64_t Step = 0; Step < 40; ++Step) {
    pushSample(Fleet, Step);
    runWithCollections(Fleet, 1500);
  }
  CHECK(readHeadVersion(Fleet).Value >= 35);
  runWithCollections(Fleet, 40000);
  CHECK(listRows(Fleet, HistoryPrefix).size() == ShortRetention.MinVersions);
  std::set<std::string> NeededObjects = checkNeededObjects(Fleet);
  CHECK(Fleet.Store.Memory.Objects.size() == NeededObjects.size());
}

TEST_CASE("property: no kept version loses an object, and no other object "
          "remains unless a delayed write restored it") {
  for (std::uint64_t Seed = 1; Seed <= 30; ++Seed) {
    CAPTURE(Seed);
    TestFleet Fleet(4, Seed);
    setRetention(Fleet, ShortRetention);
    Fleet.Store.LostRowAnswers = 0.1 * static_cast<double>(Seed % 4);
    Fleet.Store.LostObjectAnswers = Fleet.Store.LostRowAnswers;
    Fleet.Store.LateWrites = 0.05 * static_cast<double>(Seed % 3);
    for (std::uint64_t Step = 0; Step < 60; ++Step) {
      Fleet.Store.Down = base::uniformBelow(Fleet.Source, 8) == 0;
      if (base::uniformBelow(Fleet.Source, 6) == 0)
        startNode(Fleet, base::uniformBelow(Fleet.Source, 4));
      pushSample(Fleet, 2 * Step);
      if (Step % 2 == 0)
        pushSample(Fleet, 2 * Step + 1);
      runWithCollections(Fleet,
                         static_cast<std::int64_t>(
                             200 + base::uniformBelow(Fleet.Source, 3000)));
    }
    bool HadLateWrites = Fleet.Store.LateWrites > 0;
    Fleet.Store.Down = false;
    Fleet.Store.LostRowAnswers = 0;
    Fleet.Store.LostObjectAnswers = 0;
    Fleet.Store.LateWrites = 0;
    CHECK(readHeadVersion(Fleet).Value >= 10);
    runWithCollections(Fleet, 80000);
    std::vector<HeadRow> History = listRows(Fleet, HistoryPrefix);
    REQUIRE(History.size() == ShortRetention.MinVersions);
    for (const HeadRow &Row : listRows(Fleet, RegistrationPrefix))
      CHECK(Row.Version >= History.back().Version);
    std::set<std::string> Registered = listRegisteredObjects(Fleet);
    for (const auto &[Name, Bytes] : Fleet.Store.Memory.Objects)
      CHECK((HadLateWrites || Registered.contains(Name)));
  }
}

// Versions 1 and 9 have the same content. Objects of version 1 that nothing
// needs any more are erased as a delayed removal would. Guards against version
// 9 depending on such an object.
TEST_CASE("a delayed removal leaves the same content pushed again intact") {
  TestFleet Fleet(2, 5);
  setRetention(Fleet, ShortRetention);
  std::string FirstDocument = sampleDocument("same");
  push(Fleet, 0, FirstDocument, 0, "p0");
  runFor(Fleet, base::seconds(3));
  std::map<std::string, std::string> FirstObjects = Fleet.Store.Memory.Objects;
  for (std::uint64_t Step = 1; Step < 8; ++Step) {
    push(Fleet, 0, sampleDocument("m" + std::to_string(Step)), Step,
         "p" + std::to_string(Step));
    runFor(Fleet, base::seconds(3));
  }
  push(Fleet, 1, FirstDocument, 8, "p8"); // same content as version 1
  runFor(Fleet, base::seconds(3));
  REQUIRE(readHeadVersion(Fleet).Value == 9);
  for (const auto &[Name, Bytes] : FirstObjects)
    if (Name.find("/1-") != std::string::npos &&
        !checkNeededObjects(Fleet).contains(Name))
      Fleet.Store.Memory.Objects.erase(Name);
  runWithCollections(Fleet, 40000);
  startNode(Fleet, 1);
  runFor(Fleet, base::seconds(5));
  CHECK(isInForceEverywhere(Fleet, base::ConfigVersion(9)));
}

TEST_CASE("a collection stays within its limit of writes per round") {
  TestFleet Fleet(1, 6);
  setRetention(Fleet, Retention{1, 1, base::seconds(1), base::seconds(1)});
  push(Fleet, 0, sampleDocument("a", 2000), 0, "p0");
  runFor(Fleet, base::seconds(8));
  std::string SmallDocument = "ranks:\n  normal: {deadline: 2s, order: 0}\n";
  push(Fleet, 0, SmallDocument, 1, "p1");
  runFor(Fleet, base::seconds(3));
  push(Fleet, 0, SmallDocument + "  low: {deadline: 2s, order: 1}\n", 2, "p2");
  runFor(Fleet, base::seconds(3));
  REQUIRE(readHeadVersion(Fleet).Value == 3);
  std::size_t Objects = Fleet.Store.Memory.Objects.size();
  REQUIRE(Objects > 900);
  startCollections(Fleet);
  for (int Second = 0; Second < 90; ++Second) {
    std::uint64_t Writes = Fleet.Store.Writes;
    runFor(Fleet, base::seconds(1));
    // Two rounds, each with its own limit of 20, may fall in one second.
    CHECK(Fleet.Store.Writes - Writes <= 40);
  }
  CHECK(Fleet.Store.Memory.Objects.size() < 20);
}

TEST_CASE("a repeated push whose version left the history ends as unknown") {
  TestFleet Fleet(2, 7);
  setRetention(Fleet, ShortRetention);
  for (std::uint64_t Step = 0; Step < 14; ++Step) {
    push(Fleet, 0, sampleDocument("m" + std::to_string(Step)), Step,
         "p" + std::to_string(Step));
    runWithCollections(Fleet, 3000);
  }
  runWithCollections(Fleet, 30000);
  base::CallId Repeated = push(Fleet, 1, sampleDocument("m0"), 0, "p0");
  runFor(Fleet, base::seconds(3));
  REQUIRE(findReply(Fleet, Repeated));
  CHECK(findReply(Fleet, Repeated)->Error.starts_with("unknown"));
}

} // namespace currantgauge::config
