#include "currantgauge/core/fleet_limits.h"

#include "currantgauge/core/entry.h"
#include "currantgauge/core/status.h"
#include "currantgauge/core/two_nodes_test.h"

#include <doctest/doctest.h>

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <variant>

namespace currantgauge::core {
namespace {

constexpr base::Duration Timeout = base::seconds(6);

// makeLimitedNode() returns node a of a fleet with one limited workspace. Node
// b is a member if HasPeer is set.
State makeLimitedNode(const base::WorkspaceName &Workspace, bool HasPeer,
                      base::Duration Deadline = Timeout,
                      base::Duration Aim = {}) {
  State Node = makeTwoNodeFleet("north");
  auto *Config = new config::Configuration(*Node.Config.Current);
  Config->Kinds[TestKind].Deadline = Deadline;
  Config->Kinds[TestKind].Aim = Aim;
  config::indexRoutes(*Config);
  config::WorkspaceSettings &Settings = Config->Workspaces[Workspace];
  Settings.Name = Workspace;
  Settings.FleetLimit = base::PerSecond{2};
  Node.Config.Current = config::ConfigurationPtr(Config);
  if (!HasPeer)
    return Node;
  membership::Member &Peer = Node.Membership.Members[PeerNode];
  Peer.Record.Name = PeerNode;
  Peer.Record.PeerAddress = base::NetAddress("127.0.0.1:2");
  Peer.LastMessageAt = Now;
  return Node;
}

// findWorkspace() returns a workspace whose home is that node.
base::WorkspaceName findWorkspace(const base::NodeName &Home) {
  State Node = makeLimitedNode(base::WorkspaceName("any"), true);
  Node.Now = Now;
  EffectList Effects;
  updateFleetRoster(Node, Effects);
  for (int I = 0;; ++I) {
    base::WorkspaceName Name("workspace-" + std::to_string(I));
    if (admission::chooseHome(Node.FleetLimits.Roster, Name).Home == Home)
      return Name;
  }
}

RequestArrived makeLimitedRequest(std::uint64_t Sequence,
                                  const base::WorkspaceName &Workspace) {
  RequestArrived Arrival = makeRequest(Sequence);
  Arrival.Facts.Workspace = Workspace;
  return Arrival;
}

const SendPeerMessage *findPermits(const EffectList &Effects) {
  for (const Effect &Item : Effects)
    if (const auto *Sent = std::get_if<SendPeerMessage>(&Item))
      if (Sent->Message.Kind == membership::MessageKind::Permits)
        return Sent;
  return nullptr;
}

PeerMessageArrived makePermitMessage() {
  PeerMessageArrived Arrived;
  Arrived.Message.Kind = membership::MessageKind::Permits;
  Arrived.Message.From = PeerNode;
  Arrived.Message.FromAddress = base::NetAddress("127.0.0.1:2");
  return Arrived;
}

// WaitingRequest is a request at node a that waits for a permit of node b.
struct WaitingRequest {
  base::WorkspaceName Workspace = findWorkspace(PeerNode);
  State Node = makeLimitedNode(this->Workspace, true);
  admission::PermitAsk Ask;

  WaitingRequest() {
    EffectList Effects;
    reduce(this->Node, Event{Now, {}, makeLimitedRequest(1, this->Workspace)},
           Effects);
    CHECK_FALSE(find<StartAttempt>(Effects));
    const SendPeerMessage *Sent = findPermits(Effects);
    REQUIRE(Sent);
    CHECK(Sent->Recipient == PeerNode);
    this->Ask = Sent->Message.PermitAsks.at(0);
    CHECK(this->Ask.Workspace == this->Workspace);
    CHECK(this->Ask.Count == 1);
  }
};

EffectList answer(WaitingRequest &Waiting, std::uint32_t Granted,
                  base::Duration RetryAfter = {}) {
  PeerMessageArrived Arrived = makePermitMessage();
  Arrived.Message.PermitAnswers.push_back(
      {Waiting.Ask.Id, Granted, RetryAfter, {}});
  EffectList Effects;
  reduce(Waiting.Node, Event{Now + base::milliseconds(20), {}, Arrived},
         Effects);
  return Effects;
}

} // namespace

TEST_CASE("a request waits for its permit and then starts") {
  WaitingRequest Waiting;
  EffectList Effects = answer(Waiting, 1);
  CHECK(find<StartAttempt>(Effects));
  CHECK_FALSE(find<StartAttempt>(answer(Waiting, 1)));
}

TEST_CASE("a request over the fleet limit is refused as not run") {
  WaitingRequest Waiting;
  EffectList Effects = answer(Waiting, 0, base::milliseconds(1500));
  CHECK_FALSE(find<StartAttempt>(Effects));
  const RefuseRequest *Refused = find<RefuseRequest>(Effects);
  REQUIRE(Refused);
  CHECK(Refused->Verdict == base::Verdict::NotRun);
  CHECK(Refused->Reason == base::Reason::FleetLimit);
  CHECK(Refused->RetryAfter == base::milliseconds(1500));
  CHECK(Waiting.Node.Entry.Requests.empty());
}

TEST_CASE("an ask without an answer is repeated with the same id") {
  WaitingRequest Waiting;
  EffectList Effects;
  reduce(Waiting.Node, Event{Now + base::milliseconds(200), {}, TimerFired{}},
         Effects);
  const SendPeerMessage *Sent = findPermits(Effects);
  if (!Sent) {
    // The second send goes to the member after the home, here node a itself.
    Effects.clear();
    reduce(Waiting.Node, Event{Now + base::milliseconds(600), {}, TimerFired{}},
           Effects);
    Sent = findPermits(Effects);
  }
  REQUIRE(Sent);
  CHECK(Sent->Message.PermitAsks.at(0).Id == Waiting.Ask.Id);
}

TEST_CASE("a request that gets no answer is refused before its deadline") {
  WaitingRequest Waiting;
  EffectList Effects;
  reduce(Waiting.Node, Event{Now + Timeout / 3, {}, TimerFired{}}, Effects);
  const RefuseRequest *Refused = find<RefuseRequest>(Effects);
  REQUIRE(Refused);
  CHECK(Refused->Verdict == base::Verdict::NotRun);
  CHECK(Refused->Reason == base::Reason::PeerUnavailable);
  CHECK_FALSE(find<StartAttempt>(answer(Waiting, 1)));
  CHECK(Waiting.Node.FleetLimits.Asks.empty());
  CHECK(Waiting.Node.FleetLimits.Workspaces.empty());
}

TEST_CASE("a request whose caller left while it waited doesn't start") {
  WaitingRequest Waiting;
  EffectList Effects;
  reduce(Waiting.Node,
         Event{Now, {}, CallerGone{base::RequestId{1, 1}, {}, {}}}, Effects);
  CHECK(Waiting.Node.Entry.Requests.empty());
  CHECK_FALSE(find<StartAttempt>(answer(Waiting, 1)));
}

TEST_CASE("a request that waits for a permit when the node stops is not run") {
  WaitingRequest Waiting;
  EffectList Effects;
  refuseUnansweredRequests(Waiting.Node, Effects);
  const RefuseRequest *Refused = find<RefuseRequest>(Effects);
  REQUIRE(Refused);
  CHECK(Refused->Verdict == base::Verdict::NotRun);
  CHECK(Refused->Reason == base::Reason::NodeStopping);
  CHECK_FALSE(find<StartAttempt>(answer(Waiting, 1)));
}

TEST_CASE("a retry takes no second permit") {
  WaitingRequest Waiting;
  EffectList Effects = answer(Waiting, 1);
  const StartAttempt *Start = find<StartAttempt>(Effects);
  REQUIRE(Start);
  AttemptEnded Ended;
  Ended.Attempt = Start->Facts.Attempt;
  Ended.Outcome.Verdict = base::Verdict::NotRun;
  Ended.Outcome.Reason = base::Reason::LongWait;
  EffectList Retried;
  reduce(Waiting.Node, Event{Now + base::milliseconds(30), {}, Ended}, Retried);
  CHECK(find<StartAttempt>(Retried));
  CHECK_FALSE(findPermits(Retried));
}

TEST_CASE("a node without others enforces the fleet limit itself") {
  base::WorkspaceName Workspace("orchard");
  State Node = makeLimitedNode(Workspace, false);
  Node.FleetLimits.Roster =
      admission::makeRoster(LocalNode, /*FirstStart=*/true, /*HasSeeds=*/false);
  std::size_t Started = 0;
  std::size_t Refused = 0;
  for (std::uint64_t I = 1; I <= 5; ++I) {
    EffectList Effects;
    reduce(Node, Event{Now, {}, makeLimitedRequest(I, Workspace)}, Effects);
    Started += find<StartAttempt>(Effects) ? 1 : 0;
    if (const RefuseRequest *Refusal = find<RefuseRequest>(Effects))
      Refused += Refusal->Reason == base::Reason::FleetLimit ? 1 : 0;
  }
  CHECK(Started == 2);
  CHECK(Refused == 3);
}

TEST_CASE("a node that has met no other one yet refuses at once") {
  base::WorkspaceName Workspace("orchard");
  State Node = makeLimitedNode(Workspace, false);
  for (std::uint64_t I = 1; I <= 21; ++I) {
    EffectList Effects;
    base::TimePoint At =
        Now + base::milliseconds(100) * static_cast<std::int64_t>(I - 1);
    reduce(Node, Event{At, {}, makeLimitedRequest(I, Workspace)}, Effects);
    CHECK_FALSE(find<StartAttempt>(Effects));
    const RefuseRequest *Refused = find<RefuseRequest>(Effects);
    REQUIRE(Refused);
    CHECK(Refused->Verdict == base::Verdict::NotRun);
    CHECK(Refused->Reason == base::Reason::PeerUnavailable);
    CHECK(Refused->RetryAfter >= admission::SettleTime);
    CHECK(Node.Entry.Requests.empty());
    CHECK(Node.FleetLimits.Asks.empty());
  }
}

TEST_CASE("a request waits for a home that settles in time") {
  base::WorkspaceName Workspace = findWorkspace(LocalNode);
  State Node = makeLimitedNode(Workspace, true, Timeout * 2);
  EffectList Effects;
  reduce(Node, Event{Now, {}, makeLimitedRequest(1, Workspace)}, Effects);
  CHECK_FALSE(find<RefuseRequest>(Effects));
  for (int Tenths = 1; Tenths < 40; ++Tenths) {
    base::TimePoint At = Now + base::milliseconds(100 * Tenths);
    reduce(Node, Event{At, {}, makePermitMessage()}, Effects);
    reduce(Node, Event{At, {}, TimerFired{}}, Effects);
    if (At < Now + admission::SettleTime)
      CHECK_FALSE(find<StartAttempt>(Effects));
  }
  CHECK(find<StartAttempt>(Effects));
  CHECK_FALSE(find<RefuseRequest>(Effects));
}

TEST_CASE("the wait for a permit is bounded by the aim") {
  struct Case {
    base::Duration Deadline;
    base::Duration Aim;
    base::Duration Wait;
  };
  base::WorkspaceName Workspace = findWorkspace(PeerNode);
  for (const Case &Bound :
       {Case{Timeout, base::seconds(8), base::seconds(1)},
        Case{Timeout, base::seconds(1), base::milliseconds(500)},
        Case{base::milliseconds(900), base::seconds(1),
             base::milliseconds(300)},
        Case{Timeout, {}, base::seconds(2)}}) {
    CAPTURE(Bound.Aim.Micros);
    State Node = makeLimitedNode(Workspace, true, Bound.Deadline, Bound.Aim);
    EffectList Effects;
    reduce(Node, Event{Now, {}, makeLimitedRequest(1, Workspace)}, Effects);
    reduce(Node,
           Event{Now + Bound.Wait - base::milliseconds(1), {}, TimerFired{}},
           Effects);
    CHECK_FALSE(find<RefuseRequest>(Effects));
    reduce(Node, Event{Now + Bound.Wait, {}, TimerFired{}}, Effects);
    const RefuseRequest *Refused = find<RefuseRequest>(Effects);
    REQUIRE(Refused);
    CHECK(Refused->Reason == base::Reason::PeerUnavailable);
  }
}

TEST_CASE("requests that got no permit in time return one by one") {
  constexpr std::uint64_t Count = 20;
  base::WorkspaceName Workspace = findWorkspace(PeerNode);
  State Node = makeLimitedNode(Workspace, true);
  EffectList Effects;
  for (std::uint64_t I = 1; I <= Count; ++I)
    reduce(Node, Event{Now, {}, makeLimitedRequest(I, Workspace)}, Effects);
  reduce(Node, Event{Now + Timeout / 3, {}, TimerFired{}}, Effects);
  std::set<base::Duration> Returns;
  for (const Effect &Item : Effects)
    if (const auto *Refused = std::get_if<RefuseRequest>(&Item))
      Returns.insert(Refused->RetryAfter);
  CHECK(Returns.size() == Count);
  CHECK(*Returns.begin() >= base::seconds(1));
  CHECK(*Returns.rbegin() < base::seconds(2));
}

TEST_CASE("a fleet without fleet limits keeps no roster") {
  State Node = makeTwoNodeFleet("north");
  Node.Now = Now;
  EffectList Effects;
  updateFleetRoster(Node, Effects);
  CHECK(Node.FleetLimits.Roster.UpdatedAt == base::TimePoint{});
  base::WorkspaceName Workspace("orchard");
  Node.Config.Current = makeLimitedNode(Workspace, true).Config.Current;
  ++Node.Config.Document.Version.Value;
  updateFleetRoster(Node, Effects);
  CHECK(Node.FleetLimits.Roster.UpdatedAt == Now);
}

TEST_CASE("a workspace without a fleet limit needs no permit") {
  State Node = makeLimitedNode(base::WorkspaceName("orchard"), true);
  EffectList Effects;
  reduce(Node, Event{Now, {}, makeLimitedRequest(1, base::WorkspaceName("x"))},
         Effects);
  CHECK(find<StartAttempt>(Effects));
  CHECK_FALSE(findPermits(Effects));
}

TEST_CASE("a home answers asks once it is settled") {
  base::WorkspaceName Workspace = findWorkspace(LocalNode);
  State Node = makeLimitedNode(Workspace, true);
  PeerMessageArrived Arrived = makePermitMessage();
  Arrived.Message.PermitAsks.push_back({{9, 1}, Workspace, 3, {}, {}, 0});
  EffectList Effects;
  reduce(Node, Event{Now, {}, Arrived}, Effects);
  CHECK_FALSE(findPermits(Effects));
  for (int Step = 1; Step <= 3; ++Step) {
    Effects.clear();
    ++Arrived.Message.PermitAsks[0].Id.Sequence;
    reduce(Node, Event{Now + base::seconds(Step), {}, Arrived}, Effects);
  }
  const SendPeerMessage *Sent = findPermits(Effects);
  REQUIRE(Sent);
  CHECK(Sent->Address == base::NetAddress("127.0.0.1:2"));
  CHECK(Sent->Message.PermitAnswers.at(0).Granted == 2);
  OperatorReply Reply = makeStatusReply(Node);
  for (const OperatorTable &Table : Reply.Tables)
    if (Table.Title == "fleet limits") {
      CHECK(Table.Rows.at(0).at(0) == Workspace.Value);
      CHECK(Table.Rows.at(0).at(2) == "0");
    }
}

} // namespace currantgauge::core
