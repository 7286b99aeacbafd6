#include "currantgauge/base/random.h"
#include "currantgauge/config/assemble.h"
#include "currantgauge/core/reduce.h"

#include <doctest/doctest.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace currantgauge::config {
namespace {

constexpr std::uint64_t RequestsBeforeChange = 12; // some end before the change
constexpr std::uint64_t RequestsAfterChange = 4;
constexpr std::uint32_t Slots = 3; // of the backend server

const std::string FirstVersion =
    "ranks:\n  normal: {deadline: 20s, order: 1}\n"
    "services:\n  cutlist: {floor: 60%}\n"
    "kinds:\n  read: {rank: normal, service: cutlist}\n"
    "routes:\n  lists: {kind: read, prefix: /lists}\n"
    "workspaces:\n  depot: {limit: 100/s}\n";

// Versions that change or remove the settings that a request in flight depends
// on. None changes queue limits: an attempt in transit is subject to the
// owner's version, which may differ from the entry's.
const std::vector<std::string> NextVersions = {
    "fleet:\n  unlisted_workspaces: refuse\n",
    "ranks:\n  other: {deadline: 1s, order: 0}\n"
    "services:\n  stocktally: {}\n"
    "kinds:\n  look: {rank: other, service: stocktally}\n"
    "routes:\n  lists: {kind: look, prefix: /lists}\n",
    "ranks:\n  normal: {deadline: 1ms, order: 0}\n"
    "services:\n  cutlist: {floor: 10%, hold_off: 1s}\n"
    "kinds:\n  read: {rank: normal, service: cutlist, idempotent: false}\n"
    "routes:\n  lists: {kind: read, prefix: /lists}\n"
    "workspaces:\n  depot: {limit: 1/h}\n"};

// TestProcess is a node that is both entry and owner. The events that its
// effects cause wait in Pending and are reduced in random order.
struct TestProcess {
  core::State State;
  base::Random Source;
  std::vector<core::EventBody> Pending;
  std::map<base::RequestId, int> Delivered;
  std::map<base::RequestId, int> Refused;
  std::int64_t Micros = 1000;

  void execute(const core::StartAttempt &Effect) {
    this->Pending.push_back(core::AttemptArrived{Effect.Facts});
  }
  void execute(const core::SendToBackend &Effect) {
    core::ExchangeEnded Event;
    Event.Attempt = Effect.Attempt;
    Event.Outcome.AnyByteSent = true;
    Event.Outcome.AnswerComplete = true;
    Event.Outcome.Status = 200;
    this->Pending.push_back(Event);
  }
  void execute(const core::EndAttempt &Effect) {
    this->Pending.push_back(core::AttemptEnded{Effect.Attempt, Effect.Outcome});
  }
  void execute(const core::ParseConfig &Effect) {
    AssembledConfig Result = assembleConfig(Effect.Request);
    this->Pending.push_back(core::ConfigParsed{Effect.Call, Result.Config,
                                               Result.Parts, Result.Error});
  }
  void execute(const core::DeliverAnswer &Effect) {
    ++this->Delivered[Effect.Request];
  }
  void execute(const core::RefuseRequest &Effect) {
    ++this->Refused[Effect.Request];
  }
  template <typename Ignored> void execute(const Ignored &) {}

  void reduceEvent(core::EventBody Body) {
    core::EffectList Effects;
    core::reduce(
        this->State,
        core::Event{base::TimePoint{++this->Micros}, {}, std::move(Body)},
        Effects);
    for (const core::Effect &Effect : Effects)
      std::visit(
          [this](const auto &Alternative) { this->execute(Alternative); },
          Effect);
  }
  void reducePendingEvent() {
    std::size_t Index = base::uniformBelow(this->Source, this->Pending.size());
    core::EventBody Next = std::move(this->Pending[Index]);
    this->Pending.erase(this->Pending.begin() +
                        static_cast<std::ptrdiff_t>(Index));
    this->reduceEvent(std::move(Next));
  }
};

core::EventBody makePush(const std::string &Text, std::uint64_t BaseVersion) {
  core::ConfigPushCommand Push;
  Push.Text = Text;
  Push.BaseVersion = base::ConfigVersion(BaseVersion);
  Push.Push = base::PushId("p" + std::to_string(BaseVersion));
  Push.Author = "ana";
  return core::OperatorCommandReceived{base::CallId((1u << 20) + BaseVersion),
                                       Push};
}

core::EventBody makeArrival(std::uint64_t Sequence) {
  core::RequestArrived Arrival;
  Arrival.Facts.Request = base::RequestId{1, Sequence};
  Arrival.Facts.Method = "GET";
  Arrival.Facts.Path = "/lists/7";
  Arrival.Facts.Workspace = base::WorkspaceName("depot");
  return Arrival;
}

TestProcess startNode(std::uint64_t Seed) {
  core::NodeIdentity Self;
  Self.Name = base::NodeName("a");
  Self.Incarnation = base::Incarnation(1);
  Self.Embedded = true;
  TestProcess Node;
  Node.Source.seed(Seed);
  Node.State = core::makeState(Self, Seed);
  core::BackendAnnounced Announcement;
  Announcement.Announcement.Name = base::BackendName("cutlist-1");
  Announcement.Announcement.Service = base::ServiceName("cutlist");
  Announcement.Announcement.Address = base::NetAddress("127.0.0.1:1");
  Announcement.Announcement.Incarnation = base::Incarnation(1);
  Announcement.Announcement.Slots = Slots;
  Node.reduceEvent(Announcement);
  Node.reduceEvent(makePush(FirstVersion, 0));
  while (!Node.Pending.empty())
    Node.reducePendingEvent();
  REQUIRE(Node.State.Config.Document.Version.Value == 1);
  return Node;
}

} // namespace

TEST_CASE("property: a new version drops no request in flight") {
  for (std::uint64_t Seed = 1; Seed <= 200; ++Seed) {
    CAPTURE(Seed);
    TestProcess Node = startNode(Seed);
    for (std::uint64_t Sequence = 1; Sequence <= RequestsBeforeChange;
         ++Sequence) {
      Node.reduceEvent(makeArrival(Sequence));
      while (!Node.Pending.empty() && base::uniformBelow(Node.Source, 2) == 0)
        Node.reducePendingEvent();
    }
    Node.reduceEvent(makePush(NextVersions[Seed % NextVersions.size()], 1));
    while (!Node.Pending.empty())
      Node.reducePendingEvent();
    CHECK(Node.State.Config.Document.Version.Value == 2);
    for (std::uint64_t Sequence = 1; Sequence <= RequestsBeforeChange;
         ++Sequence) {
      CAPTURE(Sequence);
      CHECK(Node.Delivered[base::RequestId{1, Sequence}] == 1);
      CHECK(Node.Refused[base::RequestId{1, Sequence}] == 0);
    }
    CHECK(Node.State.Entry.Requests.empty());
    CHECK(Node.State.Owner.Attempts.empty());
  }
}

TEST_CASE("requests after a version change are subject to the new version") {
  TestProcess Node = startNode(7);
  Node.reduceEvent(makePush(NextVersions[0], 1));
  Node.reduceEvent(makeArrival(1)); // while the version is parsed
  while (Node.State.Config.Document.Version.Value == 1)
    Node.reducePendingEvent();
  for (std::uint64_t Sequence = 2; Sequence <= 1 + RequestsAfterChange;
       ++Sequence)
    Node.reduceEvent(makeArrival(Sequence));
  while (!Node.Pending.empty())
    Node.reducePendingEvent();
  CHECK(Node.Delivered[base::RequestId{1, 1}] == 1);
  for (std::uint64_t Sequence = 2; Sequence <= 1 + RequestsAfterChange;
       ++Sequence)
    CHECK(Node.Refused[base::RequestId{1, Sequence}] == 1);
}

} // namespace currantgauge::config
