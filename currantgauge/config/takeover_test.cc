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

constexpr std::uint64_t RequestsBefore = 12; // in flight at the change
constexpr std::uint64_t RequestsAfter = 4;
constexpr std::uint32_t Slots = 3;

const std::string FirstVersion =
    "ranks:\n  normal: {deadline: 20s, order: 1}\n"
    "services:\n  cutlist: {floor: 60%}\n"
    "kinds:\n  read: {rank: normal, service: cutlist}\n"
    "routes:\n  lists: {kind: read, prefix: /lists}\n"
    "workspaces:\n  depot: {limit: 100/s}\n";

// What the request's way depends on is changed or gone. Queue limits are left
// alone: an attempt that is on its way is judged by its owner's version, which
// may be another one than its entry's.
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

// OneNode is a node as entry and owner; what its effects lead to waits in
// Pending and happens in random order.
struct OneNode {
  core::State State;
  base::Random Source;
  std::vector<core::EventBody> Pending;
  std::map<base::RequestId, int> Delivered;
  std::map<base::RequestId, int> Refused;
  std::int64_t Micros = 1000;

  void carryOut(const core::StartAttempt &Start) {
    this->Pending.push_back(core::AttemptArrived{Start.Facts});
  }
  void carryOut(const core::SendToBackend &Sent) {
    core::ExchangeEnded Ended;
    Ended.Attempt = Sent.Attempt;
    Ended.Outcome.AnyByteSent = true;
    Ended.Outcome.AnswerComplete = true;
    Ended.Outcome.Status = 200;
    this->Pending.push_back(Ended);
  }
  void carryOut(const core::EndAttempt &End) {
    this->Pending.push_back(core::AttemptEnded{End.Attempt, End.Outcome});
  }
  void carryOut(const core::ParseConfig &Asked) {
    AssembledConfig Done = assembleConfig(Asked.Request);
    this->Pending.push_back(
        core::ConfigParsed{Asked.Call, Done.Config, Done.Parts, Done.Error});
  }
  void carryOut(const core::DeliverAnswer &Answer) {
    ++this->Delivered[Answer.Request];
  }
  void carryOut(const core::RefuseRequest &Answer) {
    ++this->Refused[Answer.Request];
  }
  template <typename Other> void carryOut(const Other &) {}

  void happen(core::EventBody Body) {
    core::EffectList Effects;
    core::reduce(
        this->State,
        core::Event{base::TimePoint{++this->Micros}, {}, std::move(Body)},
        Effects);
    for (const core::Effect &Each : Effects)
      std::visit([this](const auto &What) { this->carryOut(What); }, Each);
  }
  void step() {
    std::size_t Index = base::uniformBelow(this->Source, this->Pending.size());
    core::EventBody Next = std::move(this->Pending[Index]);
    this->Pending.erase(this->Pending.begin() +
                        static_cast<std::ptrdiff_t>(Index));
    this->happen(std::move(Next));
  }
};

core::EventBody push(const std::string &Text, std::uint64_t Base) {
  core::ConfigPushCommand Push;
  Push.Text = Text;
  Push.BaseVersion = base::ConfigVersion(Base);
  Push.Push = base::PushId("p" + std::to_string(Base));
  Push.Author = "ana";
  return core::OperatorCommandReceived{base::CallId((1u << 20) + Base), Push};
}

core::EventBody arrival(std::uint64_t Sequence) {
  core::RequestArrived Arrival;
  Arrival.Facts.Request = base::RequestId{1, Sequence};
  Arrival.Facts.Method = "GET";
  Arrival.Facts.Path = "/lists/7";
  Arrival.Facts.Workspace = base::WorkspaceName("depot");
  return Arrival;
}

OneNode startNode(std::uint64_t Seed) {
  core::NodeIdentity Self;
  Self.Name = base::NodeName("a");
  Self.Incarnation = base::Incarnation(1);
  Self.Embedded = true;
  OneNode Node;
  Node.Source.seed(Seed);
  Node.State = core::makeState(Self, Seed);
  core::BackendAnnounced Word;
  Word.Announcement.Name = base::BackendName("cutlist-1");
  Word.Announcement.Service = base::ServiceName("cutlist");
  Word.Announcement.Address = base::NetAddress("127.0.0.1:1");
  Word.Announcement.Incarnation = base::Incarnation(1);
  Word.Announcement.Slots = Slots;
  Node.happen(Word);
  Node.happen(push(FirstVersion, 0));
  while (!Node.Pending.empty())
    Node.step();
  REQUIRE(Node.State.Config.Document.Version.Value == 1);
  return Node;
}

} // namespace

TEST_CASE("property: a new version drops no request in flight") {
  for (std::uint64_t Seed = 1; Seed <= 200; ++Seed) {
    CAPTURE(Seed);
    OneNode Node = startNode(Seed);
    for (std::uint64_t Sequence = 1; Sequence <= RequestsBefore; ++Sequence) {
      Node.happen(arrival(Sequence));
      while (!Node.Pending.empty() && base::uniformBelow(Node.Source, 2) == 0)
        Node.step();
    }
    Node.happen(push(NextVersions[Seed % NextVersions.size()], 1));
    while (!Node.Pending.empty())
      Node.step();
    CHECK(Node.State.Config.Document.Version.Value == 2);
    for (std::uint64_t Sequence = 1; Sequence <= RequestsBefore; ++Sequence) {
      CAPTURE(Sequence);
      CHECK(Node.Delivered[base::RequestId{1, Sequence}] == 1);
      CHECK(Node.Refused[base::RequestId{1, Sequence}] == 0);
    }
    CHECK(Node.State.Entry.Requests.empty());
    CHECK(Node.State.Owner.Attempts.empty());
  }
}

TEST_CASE("the first request after a version is judged by it") {
  OneNode Node = startNode(7);
  Node.happen(push(NextVersions[0], 1));
  Node.happen(arrival(1)); // while the version is parsed
  while (Node.State.Config.Document.Version.Value == 1)
    Node.step();
  for (std::uint64_t Sequence = 2; Sequence <= 1 + RequestsAfter; ++Sequence)
    Node.happen(arrival(Sequence));
  while (!Node.Pending.empty())
    Node.step();
  CHECK(Node.Delivered[base::RequestId{1, 1}] == 1);
  for (std::uint64_t Sequence = 2; Sequence <= 1 + RequestsAfter; ++Sequence)
    CHECK(Node.Refused[base::RequestId{1, Sequence}] == 1);
}

} // namespace currantgauge::config
