#include "currantgauge/membership/gossip.h"

#include "currantgauge/membership/anti_entropy.h"
#include "currantgauge/membership/detector.h"
#include "currantgauge/membership/digest.h"
#include "currantgauge/membership/member.h"
#include "currantgauge/membership/roster.h"
#include "currantgauge/membership/rumours.h"
#include "currantgauge/membership/seeds.h"
#include "currantgauge/membership/send.h"
#include "currantgauge/membership/servers.h"
#include "currantgauge/routing/state.h"

#include <algorithm>
#include <utility>

namespace currantgauge::membership {
namespace {

// Peers of each region that a stopping node notifies directly; they spread it
// as a rumour.
constexpr std::size_t LeaveNoticePeers = 8;

// After a pause of this node, discards its probes and extends its suspicions by
// the length of the pause: peers may have answered meanwhile.
void compensateForPause(core::State &Node) {
  MembershipState &State = Node.Membership;
  base::Duration Delay = Node.Now - (State.LastRound + GossipInterval);
  if (State.Round == 0 || Delay < GossipInterval)
    return;
  State.Probes.clear();
  for (auto &[Name, Deadline] : State.Suspects)
    Deadline = Deadline + Delay;
}

// Queues the configuration version in force at this node as a rumour when it
// changes and once more later. The interval between rumours grows with the size
// of the fleet.
void queueVersionRumour(core::State &Node) {
  MembershipState &State = Node.Membership;
  if (Node.Now < State.NextVersionRumour)
    return;
  bool Changed = State.Self.Version != State.AnnouncedVersion;
  if (!Changed && !State.RepeatVersionRumour)
    return;
  queueRumour(State, State.Self, RumourPriority::Deferred);
  State.AnnouncedVersion = State.Self.Version;
  State.RepeatVersionRumour = Changed;
  State.NextVersionRumour =
      Node.Now + std::max(rateLimitedUpdateInterval(State), GossipInterval);
}

// Queues rate-limited updates as rumours, as many as are due.
void releaseRateLimitedUpdates(core::State &Node) {
  MembershipState &State = Node.Membership;
  // Capacity that was not used before the last round is lost.
  State.NextRateLimitedUpdate =
      std::max(State.NextRateLimitedUpdate, Node.Now - GossipInterval);
  while (!State.RateLimitedUpdates.empty() &&
         State.NextRateLimitedUpdate <= Node.Now) {
    base::BackendName Name = *State.RateLimitedUpdates.begin();
    State.RateLimitedUpdates.erase(State.RateLimitedUpdates.begin());
    State.NextRateLimitedUpdate =
        State.NextRateLimitedUpdate + rateLimitedUpdateInterval(State);
    auto It = Node.Routing.Servers.find(Name);
    if (It != Node.Routing.Servers.end() &&
        It->second.Record.Owner == State.Self.Name)
      queueRumour(State, It->second.Record, RumourPriority::Deferred);
  }
}

void noteSender(core::State &Node, const PeerMessage &Message,
                core::EffectList &Effects) {
  MembershipState &State = Node.Membership;
  if (Message.Version > State.NewestVersion) {
    State.NewestVersion = Message.Version;
    State.NewestVersionNode = Message.From;
    State.Rumours.FlushPending = true;
  }
  auto It = State.Members.find(Message.From);
  if (It != State.Members.end())
    It->second.LastMessageAt = Node.Now;
  else if (Message.Kind != MessageKind::Sync)
    startSync(Node, Message.From, Message.FromAddress, Effects);
}

// Records that a comparison repairs are mostly known to the rest of the fleet
// and don't become rumours. The sender's own record, which comes along with
// hashes, does.
void mergeRecords(core::State &Node, const PeerMessage &Message,
                  core::EffectList &Effects) {
  bool IsRepair =
      Message.Kind == MessageKind::Sync && Message.BucketHashes.empty();
  RumourPriority Priority =
      IsRepair ? RumourPriority::None : RumourPriority::Urgent;
  for (const MemberRecord &Record : Message.Members)
    mergeMember(Node, Record, Priority, Effects);
  for (const routing::BackendRecord &Record : Message.Backends)
    mergeBackend(Node, Record, Priority);
  for (const QuarantineRecord &Record : Message.Quarantine)
    mergeQuarantine(Node, Record, Priority);
}

void dispatchByKind(core::State &Node, const PeerMessage &Message,
                    core::EffectList &Effects) {
  switch (Message.Kind) {
  case MessageKind::Ping:
    return onPing(Node, Message, Effects);
  case MessageKind::Ack:
    return onAck(Node, Message, Effects);
  case MessageKind::PingRequest:
    return onPingRequest(Node, Message, Effects);
  case MessageKind::Sync:
    return onSync(Node, Message, Effects);
  case MessageKind::Rumours:
  case MessageKind::Permits:
    return;
  }
}

} // namespace

void startRound(core::State &Node, core::EffectList &Effects) {
  MembershipState &State = Node.Membership;
  if (State.Round == 0) {
    queueRumour(State, State.Self);
    State.OrphansDeadline = Node.Now + routing::LeaseTime;
  }
  compensateForPause(Node);
  State.LastRound = Node.Now;
  ++State.Round;
  endSuspicions(Node, Effects);
  forgetMembers(Node, Effects);
  forgetExpiredServers(Node);
  announceOrphansGone(Node);
  queueVersionRumour(Node);
  releaseRateLimitedUpdates(Node);
  discoverMembers(Node, Effects);
  probeRound(Node, Effects);
  syncRound(Node, Effects);
}

void onMessage(core::State &Node, const PeerMessage &Message,
               core::EffectList &Effects) {
  if (Message.From.empty() || Message.From == Node.Membership.Self.Name)
    return;
  mergeRecords(Node, Message, Effects);
  noteSender(Node, Message, Effects);
  dispatchByKind(Node, Message, Effects);
}

void announceLeaving(core::State &Node, core::EffectList &Effects) {
  MembershipState &State = Node.Membership;
  if (State.Self.Phase == MemberPhase::Left)
    return;
  State.Self.Phase = MemberPhase::Left;
  updateDigest(State, State.Self);
  for (const auto &[Region, RegionRoster] : State.Rosters)
    for (const base::NodeName &Peer :
         pickPeers(State, Region, LeaveNoticePeers, Node.Random)) {
      PeerMessage Message = newMessage(State, MessageKind::Rumours);
      Message.Members.push_back(State.Self);
      addRumours(Node, Message, 1);
      sendTo(State, Peer, std::move(Message), Effects);
    }
  removeNodeRow(Node, State.Self.Name, Effects);
}

} // namespace currantgauge::membership
