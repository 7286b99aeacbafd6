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
constexpr base::Duration RelayTimeout = base::seconds(2);
// A timer that fires later than this shows that this node was paused, so that
// the missing ack is no evidence against the peer.
constexpr base::Duration PauseThreshold = base::milliseconds(300);
constexpr std::size_t HelperCount = 3; // nodes per indirect probe
// On average one round in this many probes another region; every round if there
// are no peers in this one.
constexpr std::uint64_t RoundsPerRemoteProbe = 4;
// A fleet of this size probes in shuffled order in one round of this many on
// average: each such probe is of a peer that is mostly far away and needs a new
// connection. Ring probes find dead nodes at any size, and rumours that can't
// wait are sent at once.
constexpr std::size_t LargeFleet = 64;
constexpr std::uint64_t RoundsPerShuffledProbe = 4;
// One round in this many also pings a dead member, so that the fleet reunites
// after a partition.
constexpr std::uint64_t RoundsPerDeadProbe = 5;

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

void setProbeTimeout(core::State &Node, std::uint64_t Sequence, Probe &Pending,
                     base::Duration Timeout) {
  Pending.Deadline = Node.Now + Timeout;
  setTimer(Node.Timers, Pending.Deadline, core::ProbeTimeout{Sequence});
}

void startProbe(core::State &Node, const base::NodeName &Target,
                core::EffectList &Effects) {
  MembershipState &State = Node.Membership;
  std::uint64_t Sequence = ++State.LastSequence;
  Probe &NewProbe = State.Probes[Sequence];
  NewProbe.Target = Target;
  setProbeTimeout(Node, Sequence, NewProbe, DirectTimeout);
  ping(Node, Target, addressOf(State, Target), Sequence, Effects);
}

std::optional<base::NodeName> pickProbeTarget(core::State &Node) {
  MembershipState &State = Node.Membership;
  if (State.LiveMembers >= LargeFleet &&
      base::uniformBelow(Node.Random, RoundsPerShuffledProbe) != 0)
    return std::nullopt;
  bool HasRegionPeers = countRegionPeers(State) > 0;
  if (!HasRegionPeers ||
      base::uniformBelow(Node.Random, RoundsPerRemoteProbe) == 0)
    if (auto Region = pickRemoteRegion(State, Node.Random))
      return pickRemotePeer(State, *Region, Node.Random);
  return pickNextProbeTarget(State, State.Self.Region, Node.Random);
}

// Probing the ring successor bounds the time until some node probes a member.
// The shuffled probe order, in contrast, lets any two nodes exchange messages,
// which the dissemination of rumours needs.
void probeRingSuccessor(core::State &Node,
                        const std::optional<base::NodeName> &AlreadyProbed,
                        core::EffectList &Effects) {
  auto Next = findRingSuccessor(Node.Membership);
  if (Next && Next != AlreadyProbed)
    startProbe(Node, *Next, Effects);
}

void probeFailedPath(core::State &Node, core::EffectList &Effects) {
  const auto &FailedPaths = Node.Membership.FailedPaths;
  if (FailedPaths.empty())
    return;
  auto It = std::next(FailedPaths.begin(),
                      static_cast<std::ptrdiff_t>(
                          base::uniformBelow(Node.Random, FailedPaths.size())));
  startProbe(Node, *It, Effects);
}

// No timeout is set: if the member is alive after all, it refutes its record in
// a message of its own.
void pingDeadMember(core::State &Node, core::EffectList &Effects) {
  const MembershipState &State = Node.Membership;
  if (State.Tombstones.empty() || State.Round % RoundsPerDeadProbe != 0)
    return;
  auto It = std::next(State.Tombstones.begin(),
                      static_cast<std::ptrdiff_t>(base::uniformBelow(
                          Node.Random, State.Tombstones.size())));
  const Member *Peer = findMember(State, It->second);
  if (Peer && Peer->Record.Phase == MemberPhase::Dead)
    ping(Node, Peer->Record.Name, Peer->Record.PeerAddress, 0, Effects);
}

void startIndirectProbe(core::State &Node, std::uint64_t Sequence,
                        Probe &Pending, core::EffectList &Effects) {
  MembershipState &State = Node.Membership;
  Pending.Indirect = true;
  std::vector<base::NodeName> Helpers =
      pickPeers(State, State.Self.Region, HelperCount + 1, Node.Random);
  std::erase(Helpers, Pending.Target);
  Helpers.resize(std::min(Helpers.size(), HelperCount));
  for (const base::NodeName &Helper : Helpers) {
    PeerMessage Message = newMessage(State, MessageKind::PingRequest);
    Message.Sequence = Sequence;
    Message.Target = Pending.Target;
    Message.TargetAddress = addressOf(State, Pending.Target);
    sendTo(State, Helper, std::move(Message), Effects);
  }
  setProbeTimeout(Node, Sequence, Pending, IndirectTimeout);
}

void setPathFailed(core::State &Node, const base::NodeName &Name, bool Failed,
                   core::EffectList &Effects) {
  MembershipState &State = Node.Membership;
  auto It = State.Members.find(Name);
  if (It == State.Members.end() || It->second.PathFailed == Failed)
    return;
  It->second.PathFailed = Failed;
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
  auto Target = pickProbeTarget(Node);
  if (Target)
    startProbe(Node, *Target, Effects);
  probeRingSuccessor(Node, Target, Effects);
  probeFailedPath(Node, Effects);
  pingDeadMember(Node, Effects);
}

void onProbeTimeout(core::State &Node, const core::ProbeTimeout &Timeout,
                    core::EffectList &Effects) {
  auto &Probes = Node.Membership.Probes;
  auto It = Probes.find(Timeout.Sequence);
  if (It == Probes.end() || It->second.Deadline > Node.Now)
    return;
  if (Node.Now > It->second.Deadline + PauseThreshold) {
    Probes.erase(It);
    return;
  }
  if (!It->second.Indirect) {
    startIndirectProbe(Node, Timeout.Sequence, It->second, Effects);
    return;
  }
  base::NodeName Target = It->second.Target;
  Probes.erase(It);
  suspectMember(Node, Target, Effects);
}

void onSendFailed(core::State &Node, const core::PeerSendFailed &Failure,
                  core::EffectList &Effects) {
  for (auto &[Sequence, Pending] : Node.Membership.Probes)
    if (Pending.Target == Failure.Recipient && !Pending.Indirect)
      startIndirectProbe(Node, Sequence, Pending, Effects);
}

// Pings for another name are ignored: a node that has taken over the address of
// another one must not answer for it.
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
                                 Message.Sequence, Node.Now + RelayTimeout};
  ping(Node, Message.Target, Message.TargetAddress, Sequence, Effects);
}

void onAck(core::State &Node, const PeerMessage &Message,
           core::EffectList &Effects) {
  MembershipState &State = Node.Membership;
  if (auto It = State.Relays.find(Message.Sequence); It != State.Relays.end()) {
    PeerMessage Ack = newMessage(State, MessageKind::Ack);
    Ack.Sequence = It->second.Sequence;
    Ack.Target = Message.Target;
    Effects.push_back(core::SendPeerMessage{
        It->second.Requester, It->second.RequesterAddress, std::move(Ack)});
    State.Relays.erase(It);
    return;
  }
  auto It = State.Probes.find(Message.Sequence);
  if (It == State.Probes.end() || It->second.Target != Message.Target)
    return;
  State.Probes.erase(It);
  // An ack that a helper relayed shows that the direct path has failed.
  setPathFailed(Node, Message.Target, Message.From != Message.Target, Effects);
}

} // namespace currantgauge::membership
