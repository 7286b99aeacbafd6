#include "currantgauge/core/status.h"

#include "currantgauge/core/reduce.h"

#include <doctest/doctest.h>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace currantgauge::core {
namespace {

const OperatorTable &tableOf(const OperatorReply &Reply,
                             const std::string &Title) {
  for (const OperatorTable &Table : Reply.Tables)
    if (Table.Title == Title)
      return Table;
  FAIL("no table " << Title);
  return Reply.Tables.front();
}

State nodeAt(std::int64_t Micros) {
  State Node = makeState(NodeIdentity(), 1);
  Node.Now = base::TimePoint{Micros};
  return Node;
}

void answer(State &Node, base::StoreStatus Status) {
  noteStoreAnswer(Node, StoreAnswered{base::CallId(1), {Status, {}, {}}});
}

std::string storeField(const State &Node) {
  for (const auto &[Key, Value] : statusOf(Node).Fields)
    if (Key == "store")
      return Value;
  return "";
}

} // namespace

TEST_CASE("status tells whether the store answers, and since when not") {
  State Node = nodeAt(1000000);
  CHECK(storeField(Node) == "not asked yet");
  answer(Node, base::StoreStatus::NotFound); // an answer like any other
  CHECK(storeField(Node) == "reachable");
  Node.Now = base::TimePoint{3000000};
  answer(Node, base::StoreStatus::Unavailable);
  answer(Node, base::StoreStatus::Unknown);
  CHECK(storeField(Node) == "out of reach");
  OperatorReply Reply = statusOf(Node);
  CHECK(tableOf(Reply, "store").Rows.front() ==
        std::vector<std::string>{"out of reach", "2000ms ago", "3", "1", "1",
                                 "2"});
  answer(Node, base::StoreStatus::Done);
  CHECK(storeField(Node) == "reachable");
}

TEST_CASE("a row that names nothing is counted each time and logged once") {
  State Node = nodeAt(1000000);
  StoreAnswered Spoilt{base::CallId(1), {base::StoreStatus::Done, {}, {}}};
  Spoilt.Result.Unreadable = "a: value must be base64";
  EffectList Effects;
  for (int Time = 0; Time < 3; ++Time)
    tellUnreadable(Node, Spoilt, Effects);
  int Counted = 0;
  std::vector<std::string> Logged;
  for (const Effect &Item : Effects) {
    if (const auto *Line = std::get_if<LogLine>(&Item))
      Logged.push_back(Line->Fields.at(0).second);
    else if (const auto *Count = std::get_if<Measure>(&Item))
      Counted += Count->LabelA == "bad_row" ? 1 : 0;
  }
  CHECK(Counted == 3);
  CHECK(Logged == std::vector<std::string>{"a: value must be base64"});
}

TEST_CASE("status shows each rank's queue and pressure") {
  State Node = nodeAt(1000000);
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
  OperatorReply Reply = statusOf(Node);
  const OperatorTable &Queues = tableOf(Reply, "queues");
  REQUIRE(Queues.Rows.size() == 2);
  CHECK(Queues.Rows[0] == std::vector<std::string>{"cutlist", "lookup", "7",
                                                   "900", "3", "4", "yes",
                                                   "25%"});
  CHECK(Queues.Rows[1][1] == "order 5");
}

TEST_CASE("status shows what other owners hold back, while it counts") {
  State Node = nodeAt(1000000);
  Pressure Load;
  Load.Owner = base::NodeName("b");
  Load.Service = base::ServiceName("cutlist");
  Load.RefusedOrder = 1;
  Load.RefusedShare = 0.5;
  Load.QueueDelay = base::milliseconds(120);
  Node.Admission.RankPressures[{Load.Service, Load.Owner, 1}] = {Load,
                                                                 Node.Now};
  OperatorReply Reply = statusOf(Node);
  CHECK(tableOf(Reply, "pressure").Rows ==
        std::vector<std::vector<std::string>>{
            {"cutlist", "order 1", "b", "50%", "120ms", "0ms ago"}});
  Node.Now = base::TimePoint{60000000};
  CHECK(tableOf(statusOf(Node), "pressure").Rows.empty());
}

} // namespace currantgauge::core
