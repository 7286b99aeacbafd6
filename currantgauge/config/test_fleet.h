// Simulates a small fleet for tests in one process: virtual time, a lossy
// network and an in-memory store, with all randomness from one seed.
//
//   TestFleet Fleet(/*Nodes=*/5, /*Seed=*/7);
//   push(Fleet, 0, Document, Base, "p-1");
//   runFor(Fleet, base::seconds(5));
#ifndef CURRANTGAUGE_CONFIG_TEST_FLEET_H
#define CURRANTGAUGE_CONFIG_TEST_FLEET_H

#include "currantgauge/base/memory_store.h"
#include "currantgauge/base/random.h"
#include "currantgauge/base/store.h"
#include "currantgauge/config/assemble.h"
#include "currantgauge/config/delta.h"
#include "currantgauge/core/reduce.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace currantgauge::config {

// TestStore is the platform's store in memory, with injected faults.
struct TestStore {
  base::MemoryStore Memory;
  bool Down = false;
  double LostRowAnswers = 0;    // share of row writes applied, answer Unknown
  double LostObjectAnswers = 0; // the same for writes of objects
  double LateWrites = 0;        // share of writes applied later, answer Unknown
  std::uint64_t Writes = 0;     // calls so far, of rows and objects
};

// TestNode is a node's process. A restart replaces it by one without state.
struct TestNode {
  core::State State;
  ConfigServer Server;
  bool Up = true;
  std::uint64_t Incarnation = 1;
  base::ConfigVersion HighestInForce; // since the process started
};

// TestFleet is the nodes, the store, and the events and writes in transit.
struct TestFleet {
  struct ScheduledEvent {
    std::size_t Node;
    std::uint64_t Incarnation;
    core::EventBody Body;
  };
  struct Answer {
    std::size_t Node;
    base::CallId Call;
    core::OperatorReply Reply;
  };

  std::vector<TestNode> Nodes;
  TestStore Store;
  base::Random Source;
  base::TimePoint Now{1000000};
  std::multimap<base::TimePoint, ScheduledEvent> ScheduledEvents;
  std::multimap<base::TimePoint, base::StoreOperation> LateWrites;
  std::vector<Answer> Answers;
  double MessageLoss = 0; // share of lost messages and fetches between nodes
  bool Embedded = false;
  config::Retention Retention;
  std::uint64_t LastOperatorCall = 1u << 20; // above the nodes' call ids
  std::uint64_t FetchedBytes = 0; // text of all parts fetched from peers

  TestFleet(std::size_t Count, std::uint64_t Seed, bool InMemory = false);
};

inline base::NetAddress makeAddress(std::size_t Node) {
  return base::NetAddress("10.0.0." + std::to_string(Node) + ":1");
}

inline std::size_t parseIndex(const base::NetAddress &Address) {
  return std::stoul(Address.Value.substr(7));
}

inline void scheduleEvent(TestFleet &Fleet, std::size_t Node,
                          core::EventBody Body, base::Duration MaxDelay) {
  auto Delay = base::Duration{static_cast<std::int64_t>(base::uniformBelow(
      Fleet.Source, static_cast<std::uint64_t>(MaxDelay.Micros) + 1))};
  Fleet.ScheduledEvents.emplace(
      Fleet.Now + Delay,
      TestFleet::ScheduledEvent{Node, Fleet.Nodes[Node].Incarnation,
                                std::move(Body)});
}

inline bool drawBool(TestFleet &Fleet, double Probability) {
  return base::uniformUnit(Fleet.Source) < Probability;
}

inline bool isWrite(const base::StoreOperation &Operation) {
  return std::holds_alternative<base::WriteRows>(Operation) ||
         std::holds_alternative<base::PutObject>(Operation) ||
         std::holds_alternative<base::DeleteObject>(Operation);
}

inline base::StoreResult callTestStore(TestFleet &Fleet,
                                       const base::StoreOperation &Operation) {
  TestStore &Store = Fleet.Store;
  if (!isWrite(Operation))
    return base::applyOperation(Store.Memory, Operation);
  ++Store.Writes;
  if (drawBool(Fleet, Store.LateWrites)) {
    auto Delay = base::Duration{
        static_cast<std::int64_t>(base::uniformBelow(Fleet.Source, 20000000))};
    Fleet.LateWrites.emplace(Fleet.Now + Delay, Operation);
    return base::StoreResult{base::StoreStatus::Unknown, {}, {}};
  }
  base::StoreResult Result = base::applyOperation(Store.Memory, Operation);
  bool IsRow = std::holds_alternative<base::WriteRows>(Operation);
  if (drawBool(Fleet, IsRow ? Store.LostRowAnswers : Store.LostObjectAnswers))
    Result.Status = base::StoreStatus::Unknown;
  return Result;
}

inline void applyLateWrites(TestFleet &Fleet) {
  while (!Fleet.LateWrites.empty() &&
         Fleet.LateWrites.begin()->first <= Fleet.Now) {
    base::applyOperation(Fleet.Store.Memory, Fleet.LateWrites.begin()->second);
    Fleet.LateWrites.erase(Fleet.LateWrites.begin());
  }
}

struct TestEffects {
  TestFleet &Fleet;
  std::size_t Index;

  void operator()(const core::WakeAt &Effect) const {
    if (Effect.Time != base::Never)
      this->Fleet.ScheduledEvents.emplace(
          Effect.Time,
          TestFleet::ScheduledEvent{this->Index,
                                    this->Fleet.Nodes[this->Index].Incarnation,
                                    core::TimerFired{}});
  }
  void operator()(const core::SendPeerMessage &Effect) const {
    std::size_t Peer = parseIndex(Effect.Address);
    if (this->Fleet.Nodes[Peer].Up &&
        !drawBool(this->Fleet, this->Fleet.MessageLoss))
      scheduleEvent(this->Fleet, Peer, core::PeerMessageArrived{Effect.Message},
                    base::milliseconds(20));
  }
  void operator()(const core::CallStore &Effect) const {
    core::StoreAnswered Answered{Effect.Call, {}};
    if (!this->Fleet.Store.Down)
      Answered.Result = callTestStore(this->Fleet, Effect.Operation);
    scheduleEvent(this->Fleet, this->Index, Answered, base::milliseconds(30));
  }
  void operator()(const core::ParseConfig &Effect) const {
    AssembledConfig Result = assembleConfig(Effect.Request);
    scheduleEvent(this->Fleet, this->Index,
                  core::ConfigParsed{Effect.Call, Result.Config, Result.Parts,
                                     Result.Error},
                  base::milliseconds(5));
  }
  void operator()(const core::FetchConfig &Effect) const {
    const TestNode &Peer = this->Fleet.Nodes[parseIndex(Effect.Address)];
    core::ConfigFetched Fetched{Effect.Call, false, {}};
    if (Peer.Up && !drawBool(this->Fleet, this->Fleet.MessageLoss)) {
      Fetched.Found = Peer.Server.Document.Version.Value != 0;
      Fetched.Delta = deltaSince(Peer.Server, Effect.KnownVersion);
      for (const ConfigPartPtr &Part : Fetched.Delta.Changed)
        this->Fleet.FetchedBytes += Part->Text.size();
    }
    scheduleEvent(this->Fleet, this->Index, Fetched, base::milliseconds(50));
  }
  void operator()(const core::ServeConfig &Effect) const {
    serveDocument(this->Fleet.Nodes[this->Index].Server, Effect.Document);
  }
  void operator()(const core::AnswerOperator &Effect) const {
    this->Fleet.Answers.push_back({this->Index, Effect.Call, Effect.Reply});
  }
  template <typename Ignored> void operator()(const Ignored &) const {}
};

inline void reduceEvent(TestFleet &Fleet, std::size_t Index,
                        core::EventBody Body) {
  TestNode &Node = Fleet.Nodes[Index];
  core::EffectList Effects;
  core::reduce(Node.State,
               core::Event{Fleet.Now, base::UnixTime{Fleet.Now.Micros / 1000},
                           std::move(Body)},
               Effects);
  REQUIRE(Node.State.Config.Document.Version >= Node.HighestInForce);
  Node.HighestInForce = Node.State.Config.Document.Version;
  for (const core::Effect &Effect : Effects)
    std::visit(TestEffects{Fleet, Index}, Effect);
}

// startNode() starts a node's process, without the state of the previous one.
inline void startNode(TestFleet &Fleet, std::size_t Index) {
  TestNode &Node = Fleet.Nodes[Index];
  std::uint64_t Incarnation = Node.Incarnation + 1;
  core::NodeIdentity Self;
  Self.Name = base::NodeName("n" + std::to_string(Index));
  Self.Domain = base::DomainName(Index % 2 == 0 ? "a" : "b");
  Self.PeerAddress = makeAddress(Index);
  Self.Incarnation = base::Incarnation(Incarnation);
  Self.Embedded = Fleet.Embedded;
  Self.Seeds = {makeAddress(0)};
  Node = TestNode{
      core::makeState(Self, Fleet.Source()), {}, true, Incarnation, {}};
  Node.State.Config.Retention = Fleet.Retention;
  reduceEvent(Fleet, Index, core::Started{});
}

inline TestFleet::TestFleet(std::size_t Count, std::uint64_t Seed,
                            bool InMemory)
    : Nodes(Count), Source(Seed), Embedded(InMemory) {
  for (std::size_t Index = 0; Index < Count; ++Index)
    startNode(*this, Index);
}

inline void runFor(TestFleet &Fleet, base::Duration Duration) {
  base::TimePoint End = Fleet.Now + Duration;
  while (!Fleet.ScheduledEvents.empty() &&
         Fleet.ScheduledEvents.begin()->first <= End) {
    TestFleet::ScheduledEvent Event =
        std::move(Fleet.ScheduledEvents.begin()->second);
    Fleet.Now = std::max(Fleet.Now, Fleet.ScheduledEvents.begin()->first);
    Fleet.ScheduledEvents.erase(Fleet.ScheduledEvents.begin());
    applyLateWrites(Fleet);
    if (Fleet.Nodes[Event.Node].Up &&
        Fleet.Nodes[Event.Node].Incarnation == Event.Incarnation)
      reduceEvent(Fleet, Event.Node, std::move(Event.Body));
  }
  Fleet.Now = End;
}

// push() sends a push to a node and returns the id of the operator's call.
inline base::CallId push(TestFleet &Fleet, std::size_t Node,
                         const std::string &Text, std::uint64_t BaseVersion,
                         const std::string &PushId) {
  base::CallId Call(++Fleet.LastOperatorCall);
  core::ConfigPushCommand Query{Text, base::ConfigVersion(BaseVersion),
                                base::PushId(PushId), "operator-" + PushId};
  reduceEvent(Fleet, Node, core::OperatorCommandReceived{Call, Query});
  return Call;
}

inline base::CallId sendQuery(TestFleet &Fleet, std::size_t Node,
                              const core::OperatorCommand &Query) {
  base::CallId Call(++Fleet.LastOperatorCall);
  reduceEvent(Fleet, Node, core::OperatorCommandReceived{Call, Query});
  return Call;
}

// findReply() returns the reply to a call, null if there is none yet.
inline const core::OperatorReply *findReply(const TestFleet &Fleet,
                                            base::CallId Call) {
  for (const TestFleet::Answer &Answer : Fleet.Answers)
    if (Answer.Call == Call)
      return &Answer.Reply;
  return nullptr;
}

inline bool isAccepted(const TestFleet &Fleet, base::CallId Call) {
  const core::OperatorReply *Reply = findReply(Fleet, Call);
  return Reply && Reply->Error.empty();
}

// readHeadVersion() returns the version of the store's head row, 0 if none.
inline base::ConfigVersion readHeadVersion(const TestFleet &Fleet) {
  auto Rows = Fleet.Store.Memory.Tables.find(ConfigTable);
  if (Rows == Fleet.Store.Memory.Tables.end() ||
      !Rows->second.contains(HeadKey))
    return base::ConfigVersion();
  const std::string &Value = Rows->second.at(HeadKey).Value;
  return parseHeadRow({HeadKey, Value, ""})->Version;
}

inline bool isInForceEverywhere(const TestFleet &Fleet,
                                base::ConfigVersion Version) {
  for (const TestNode &Node : Fleet.Nodes)
    if (Node.Up && Node.State.Config.Document.Version != Version)
      return false;
  return true;
}

// sampleDocument() returns a small document that differs by the path prefix of
// its route and by the number of its workspaces.
inline std::string sampleDocument(const std::string &Prefix,
                                  std::size_t Workspaces = 3) {
  std::string Text = "ranks:\n"
                     "  normal: {deadline: 2s, order: 0, share: \"50%\"}\n"
                     "services:\n"
                     "  cutlist: {floor: \"60%\"}\n"
                     "kinds:\n"
                     "  read: {rank: normal, service: cutlist}\n"
                     "routes:\n"
                     "  lists: {kind: read, prefix: /" +
                     Prefix + "}\nworkspaces:\n";
  for (std::size_t Index = 0; Index < Workspaces; ++Index)
    Text += "  w" + std::to_string(Index) + ": {limit: 20/s}\n";
  return Text;
}

} // namespace currantgauge::config

#endif // CURRANTGAUGE_CONFIG_TEST_FLEET_H
