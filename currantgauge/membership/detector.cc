#include "currantgauge/membership/detector.h"

#include "currantgauge/membership/member.h"
#include "currantgauge/membership/roster.h"
#include "currantgauge/membership/rumours.h"
#include "currantgauge/membership/send.h"

#include <algorithm>
#include <iterator>
#include <optional>
#include <utility>
#include <vector>

namespace currantgauge::membership {
namespace {

constexpr base::Duration DirectTimeout = base::milliseconds(400);
constexpr base::Duration IndirectTimeout = base::milliseconds(600);
constexpr base::Duration RelayKept = base::seconds(2);
// A timer that is this late means that this node was paused, not its peer.
constexpr base::Duration LateLimit = base::milliseconds(300);
constexpr std::size_t Helpers = 3;
// One round in so many goes to another region.
constexpr std::uint64_t FarRounds = 4;
// One round in so many also tries a dead member, so that a partition heals.
constexpr std::uint64_t DeadRounds = 5;

void ping(core::State &Node, const base::NodeName &Target,
          const base::NetAddress &Address, std::uint64_t Sequence,
          core::EffectList &Effects) {
  PeerMessage Message = newMessage(Node.Membership, MessageKind::Ping);
  Message.Sequence = Sequence;
  Message.Target = Target;
  addRefutableRecord(Node.Membership, Target, Message);
  addRumours(Node, Message, 1);
  Effects.push_back(core::SendPeerMessage{Target, Address, std::move(Message)});
}

void awaitAnswer(core::State &Node, std::uint64_t Sequence, Probe &Waiting,
                 base::Duration Limit) {
  Waiting.Deadline = Node.Now + Limit;
  setTimer(Node.Timers, Waiting.Deadline, core::ProbeTimeout{Sequence});
}

void startProbe(core::State &Node, const base::NodeName &Target,
                core::EffectList &Effects) {
  MembershipState &State = Node.Membership;
  std::uint64_t Sequence = ++State.LastSequence;
  Probe &Started = State.Probes[Sequence];
  Started.Target = Target;
  awaitAnswer(Node, Sequence, Started, DirectTimeout);
  ping(Node, Target, addressOf(State, Target), Sequence, Effects);
}

std::optional<base::NodeName> regularTarget(core::State &Node) {
  MembershipState &State = Node.Membership;
  bool Near = countRegionPeers(State) > 0;
  if (!Near || base::uniformBelow(Node.Source, FarRounds) == 0)
    if (auto Region = pickRemoteRegion(State, Node.Source))
      return pickRemotePeer(State, *Region, Node.Source);
  return pickNextProbeTarget(State, State.Self.Region, Node.Source);
}

// The ring bounds the time until somebody pings a member; the turns let any two
// nodes meet, which rumours need.
void watchNextOnRing(core::State &Node,
                     const std::optional<base::NodeName> &Done,
                     core::EffectList &Effects) {
  auto Next = findRingSuccessor(Node.Membership);
  if (Next && Next != Done)
    startProbe(Node, *Next, Effects);
}

void probeBadPath(core::State &Node, core::EffectList &Effects) {
  const auto &Bad = Node.Membership.FailedPaths;
  if (Bad.empty())
    return;
  auto Which = std::next(
      Bad.begin(),
      static_cast<std::ptrdiff_t>(base::uniformBelow(Node.Source, Bad.size())));
  startProbe(Node, *Which, Effects);
}

// No probe waits for a dead member's answer: its message refutes its death.
void tryDeadMember(core::State &Node, core::EffectList &Effects) {
  const MembershipState &State = Node.Membership;
  if (State.Tombstones.empty() || State.Round % DeadRounds != 0)
    return;
  auto Which = std::next(State.Tombstones.begin(),
                         static_cast<std::ptrdiff_t>(base::uniformBelow(
                             Node.Source, State.Tombstones.size())));
  const Member *Who = findMember(State, Which->second);
  if (Who && Who->Record.Phase == MemberPhase::Dead)
    ping(Node, Who->Record.Name, Who->Record.PeerAddress, 0, Effects);
}

void askHelpers(core::State &Node, std::uint64_t Sequence, Probe &Waiting,
                core::EffectList &Effects) {
  MembershipState &State = Node.Membership;
  Waiting.Indirect = true;
  std::vector<base::NodeName> Picked =
      pickPeers(State, State.Self.Region, Helpers + 1, Node.Source);
  std::erase(Picked, Waiting.Target);
  Picked.resize(std::min(Picked.size(), Helpers));
  for (const base::NodeName &Helper : Picked) {
    PeerMessage Message = newMessage(State, MessageKind::PingRequest);
    Message.Sequence = Sequence;
    Message.Target = Waiting.Target;
    Message.TargetAddress = addressOf(State, Waiting.Target);
    sendTo(State, Helper, std::move(Message), Effects);
  }
  awaitAnswer(Node, Sequence, Waiting, IndirectTimeout);
}

void setPath(core::State &Node, const base::NodeName &Name, bool Failed,
             core::EffectList &Effects) {
  MembershipState &State = Node.Membership;
  auto Found = State.Members.find(Name);
  if (Found == State.Members.end() || Found->second.PathFailed == Failed)
    return;
  Found->second.PathFailed = Failed;
  if (Failed)
    State.FailedPaths.insert(Name);
  else
    State.FailedPaths.erase(Name);
  updateRoutingPath(Node, Name);
  Effects.push_back(
      core::LogLine{Failed ? core::LogLevel::Warn : core::LogLevel::Info,
                    Failed ? "path_failed" : "path_restored",
                    {{"member", Name.Value}}});
}

} // namespace

void probeRound(core::State &Node, core::EffectList &Effects) {
  MembershipState &State = Node.Membership;
  std::erase_if(State.Relays, [&](const auto &Item) {
    return Item.second.ExpiresAt <= Node.Now;
  });
  auto Target = regularTarget(Node);
  if (Target)
    startProbe(Node, *Target, Effects);
  watchNextOnRing(Node, Target, Effects);
  probeBadPath(Node, Effects);
  tryDeadMember(Node, Effects);
}

void onProbeTimeout(core::State &Node, const core::ProbeTimeout &Due,
                    core::EffectList &Effects) {
  auto &Probes = Node.Membership.Probes;
  auto Found = Probes.find(Due.Sequence);
  if (Found == Probes.end() || Found->second.Deadline > Node.Now)
    return;
  if (Node.Now > Found->second.Deadline + LateLimit) {
    Probes.erase(Found);
    return;
  }
  if (!Found->second.Indirect) {
    askHelpers(Node, Due.Sequence, Found->second, Effects);
    return;
  }
  base::NodeName Target = Found->second.Target;
  Probes.erase(Found);
  suspectMember(Node, Target, Effects);
}

void onSendFailed(core::State &Node, const core::PeerSendFailed &Failed,
                  core::EffectList &Effects) {
  for (auto &[Sequence, Waiting] : Node.Membership.Probes)
    if (Waiting.Target == Failed.To && !Waiting.Indirect)
      askHelpers(Node, Sequence, Waiting, Effects);
}

// A process that took over an address must not answer for the one before it.
void onPing(core::State &Node, const PeerMessage &Message,
            core::EffectList &Effects) {
  const MembershipState &State = Node.Membership;
  if (Message.Target != State.Self.Name)
    return;
  PeerMessage Ack = newMessage(State, MessageKind::Ack);
  Ack.Sequence = Message.Sequence;
  Ack.Target = State.Self.Name;
  addRefutableRecord(State, Message.From, Ack);
  addRumours(Node, Ack, 1);
  reply(Message, std::move(Ack), Effects);
}

void onPingRequest(core::State &Node, const PeerMessage &Message,
                   core::EffectList &Effects) {
  MembershipState &State = Node.Membership;
  std::uint64_t Sequence = ++State.LastSequence;
  State.Relays[Sequence] = Relay{Message.From, Message.FromAddress,
                                 Message.Sequence, Node.Now + RelayKept};
  ping(Node, Message.Target, Message.TargetAddress, Sequence, Effects);
}

void onAck(core::State &Node, const PeerMessage &Message,
           core::EffectList &Effects) {
  MembershipState &State = Node.Membership;
  if (auto Asked = State.Relays.find(Message.Sequence);
      Asked != State.Relays.end()) {
    PeerMessage Ack = newMessage(State, MessageKind::Ack);
    Ack.Sequence = Asked->second.Sequence;
    Ack.Target = Message.Target;
    Effects.push_back(core::SendPeerMessage{Asked->second.Requester,
                                            Asked->second.RequesterAddress,
                                            std::move(Ack)});
    State.Relays.erase(Asked);
    return;
  }
  auto Found = State.Probes.find(Message.Sequence);
  if (Found == State.Probes.end() || Found->second.Target != Message.Target)
    return;
  State.Probes.erase(Found);
  setPath(Node, Message.Target, Message.From != Message.Target, Effects);
}

} // namespace currantgauge::membership
