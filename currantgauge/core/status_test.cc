#include "currantgauge/core/status.h"

#include "currantgauge/core/reduce.h"

#include <doctest/doctest.h>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace currantgauge::core {
namespace {

const OperatorTable &findTable(const OperatorReply &Reply,
                               const std::string &Title) {
  for (const OperatorTable &Table : Reply.Tables)
    if (Table.Title == Title)
      return Table;
  FAIL("the reply has no table " << Title);
  return Reply.Tables.front();
}

State makeNodeAt(std::int64_t Micros) {
  State Node = makeState(NodeIdentity(), 1);
  Node.Now = base::TimePoint{Micros};
  return Node;
}

void recordStoreStatus(State &Node, base::StoreStatus Status) {
  noteStoreAnswer(Node, StoreAnswered{base::CallId(1), {Status, {}, {}}});
}

std::string findStoreField(const State &Node) {
  for (const auto &[Key, Value] : makeStatusReply(Node).Fields)
    if (Key == "store")
      return Value;
  return "";
}

} // namespace

TEST_CASE("status shows whether the store is reachable and its last answer") {
  State Node = makeNodeAt(1000000);
  CHECK(findStoreField(Node) == "not asked yet");
  recordStoreStatus(Node,
                    base::StoreStatus::NotFound); // counts as reachable
  CHECK(findStoreField(Node) == "reachable");
  Node.Now = base::TimePoint{3000000};
  recordStoreStatus(Node, base::StoreStatus::Unavailable);
  recordStoreStatus(Node, base::StoreStatus::Unknown);
  CHECK(findStoreField(Node) == "out of reach");
  OperatorReply Reply = makeStatusReply(Node);
  CHECK(findTable(Reply, "store").Rows.front() ==
        std::vector<std::string>{"out of reach", "2000ms ago", "3", "1", "1",
                                 "2"});
  recordStoreStatus(Node, base::StoreStatus::Done);
  CHECK(findStoreField(Node) == "reachable");
}

TEST_CASE("a malformed row is counted each time and logged once") {
  State Node = makeNodeAt(1000000);
  StoreAnswered Malformed{base::CallId(1), {base::StoreStatus::Done, {}, {}}};
  Malformed.Result.RowError = "a: value must be base64";
  EffectList Effects;
  for (int Round = 0; Round < 3; ++Round)
    reportRowError(Node, Malformed, Effects);
  int Counted = 0;
  std::vector<std::string> Logged;
  for (const Effect &Item : Effects) {
    if (const auto *Line = std::get_if<LogLine>(&Item))
      Logged.push_back(Line->Fields.at(0).second);
    else if (const auto *Count = std::get_if<Measure>(&Item))
      Counted += Count->LabelValueA == "bad_row" ? 1 : 0;
  }
  CHECK(Counted == 3);
  CHECK(Logged == std::vector<std::string>{"a: value must be base64"});
}

TEST_CASE("status shows each rank's queue and pressure") {
  State Node = makeNodeAt(1000000);
  auto *Config = new config::Configuration;
  Config->Ranks[base::RankName("lookup")].Order = 2;
  Node.Config.Current = config::ConfigurationPtr(Config);
  auto &Queue = Node.Admission.Queues[base::ServiceName("cutlist")];
  Queue.OpenSlots = 4;
  admission::RankQueue &Rank = Queue.ByRank[2];
  Rank.Length = 7;
  Rank.Bytes = base::ByteCount{900};
  Rank.Running = 3;
  Rank.AdmittedShare = 0.25;
  Rank.PressureEndsAt = base::TimePoint{1000001};
  Queue.ByRank[5];
  OperatorReply Reply = makeStatusReply(Node);
  const OperatorTable &Queues = findTable(Reply, "queues");
  REQUIRE(Queues.Rows.size() == 2);
  CHECK(Queues.Rows[0] == std::vector<std::string>{"cutlist", "lookup", "7",
                                                   "900", "3", "4", "yes",
                                                   "25%"});
  CHECK(Queues.Rows[1][1] == "order 5");
}

TEST_CASE("status shows the pressure of other owners until it expires") {
  State Node = makeNodeAt(1000000);
  Pressure Load;
  Load.Owner = base::NodeName("b");
  Load.Service = base::ServiceName("cutlist");
  Load.RankOrder = 1;
  Load.RefusedShare = 0.5;
  Load.QueueDelay = base::milliseconds(120);
  Node.Admission.RankPressures[{Load.Service, Load.Owner, 1}] = {Load,
                                                                 Node.Now};
  OperatorReply Reply = makeStatusReply(Node);
  CHECK(findTable(Reply, "pressure").Rows ==
        std::vector<std::vector<std::string>>{
            {"cutlist", "order 1", "b", "50%", "120ms", "0ms ago"}});
  Node.Now = base::TimePoint{60000000};
  CHECK(findTable(makeStatusReply(Node), "pressure").Rows.empty());
}

} // namespace currantgauge::core
