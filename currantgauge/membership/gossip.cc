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

// Peers that a stopping node tells itself; they pass it on.
constexpr std::size_t LeavingPeers = 8;

// A paused node must not blame others for its own silence.
void forgivePause(core::State &Node) {
  MembershipState &State = Node.Membership;
  base::Duration Late = Node.Now - (State.LastRound + GossipInterval);
  if (State.Round == 0 || Late < GossipInterval)
    return;
  State.Probes.clear();
  for (auto &[Name, Deadline] : State.Suspects)
    Deadline = Deadline + Late;
}

// The version in force here goes to the others when it changes and once more
// later, but not more often than the fleet's size allows.
void tellVersion(core::State &Node) {
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

void tellSlowNews(core::State &Node) {
  MembershipState &State = Node.Membership;
  // What was not used in the last round does not add up.
  State.NextRateLimitedUpdate =
      std::max(State.NextRateLimitedUpdate, Node.Now - GossipInterval);
  while (!State.RateLimitedUpdates.empty() &&
         State.NextRateLimitedUpdate <= Node.Now) {
    base::BackendName Name = *State.RateLimitedUpdates.begin();
    State.RateLimitedUpdates.erase(State.RateLimitedUpdates.begin());
    State.NextRateLimitedUpdate =
        State.NextRateLimitedUpdate + rateLimitedUpdateInterval(State);
    auto Found = Node.Routing.Servers.find(Name);
    if (Found != Node.Routing.Servers.end() &&
        Found->second.Record.Owner == State.Self.Name)
      queueRumour(State, Found->second.Record, RumourPriority::Deferred);
  }
}

void noteSender(core::State &Node, const PeerMessage &Message,
                core::EffectList &Effects) {
  MembershipState &State = Node.Membership;
  if (Message.Version > State.AcceptedVersion) {
    State.AcceptedVersion = Message.Version;
    State.AcceptedVersionNode = Message.From;
    State.Rumours.FlushPending = true;
  }
  auto Found = State.Members.find(Message.From);
  if (Found != State.Members.end())
    Found->second.LastMessageAt = Node.Now;
  else if (Message.Kind != MessageKind::Sync)
    startSync(Node, Message.From, Message.FromAddress, Effects);
}

// What a comparison adds is mostly old news to the fleet, but for the sender's
// own record that comes with the hashes.
void mergeRecords(core::State &Node, const PeerMessage &Message,
                  core::EffectList &Effects) {
  bool OldNews =
      Message.Kind == MessageKind::Sync && Message.BucketHashes.empty();
  RumourPriority How = OldNews ? RumourPriority::None : RumourPriority::Urgent;
  for (const MemberRecord &Record : Message.Members)
    mergeMember(Node, Record, How, Effects);
  for (const routing::BackendRecord &Record : Message.Backends)
    mergeBackend(Node, Record, How);
  for (const QuarantineRecord &Record : Message.Quarantine)
    mergeQuarantine(Node, Record, How);
}

void answerByKind(core::State &Node, const PeerMessage &Message,
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
  forgivePause(Node);
  State.LastRound = Node.Now;
  ++State.Round;
  endSuspicions(Node, Effects);
  forgetMembers(Node, Effects);
  forgetExpiredServers(Node);
  announceOrphansGone(Node);
  tellVersion(Node);
  tellSlowNews(Node);
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
  answerByKind(Node, Message, Effects);
}

void announceLeaving(core::State &Node, core::EffectList &Effects) {
  MembershipState &State = Node.Membership;
  if (State.Self.Phase == MemberPhase::Left)
    return;
  State.Self.Phase = MemberPhase::Left;
  updateDigest(State, State.Self);
  for (const auto &[Region, List] : State.Rosters)
    for (const base::NodeName &Peer :
         pickPeers(State, Region, LeavingPeers, Node.Source)) {
      PeerMessage Message = newMessage(State, MessageKind::Rumours);
      Message.Members.push_back(State.Self);
      addRumours(Node, Message, 1);
      sendTo(State, Peer, std::move(Message), Effects);
    }
  removeNodeRow(Node, State.Self.Name, Effects);
}

} // namespace currantgauge::membership
