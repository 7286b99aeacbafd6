#include "currantgauge/membership/member.h"

#include "currantgauge/membership/digest.h"
#include "currantgauge/membership/roster.h"
#include "currantgauge/membership/seeds.h"
#include "currantgauge/membership/servers.h"
#include "currantgauge/routing/path.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>
#include <vector>

namespace currantgauge::membership {
namespace {

// The Member of a dead node is kept for longer than a partition between regions
// lasts, so that its backend servers are usable again as soon as it answers.
constexpr base::Duration DeadRetention = base::minutes(120);
constexpr base::Duration LeftRetention = base::minutes(10);
base::Duration retentionTime(MemberPhase Phase) {
  return Phase == MemberPhase::Left ? LeftRetention : DeadRetention;
}

// A suspicion lasts this number of rounds times the decimal logarithm of the
// fleet's size (at least 1), long enough for a refutation to reach all nodes.
constexpr double SuspicionFactor = 4;

// A higher incarnation supersedes a lower one. Within an incarnation, a later
// phase or a higher configuration version is a change.
bool isSupersededBy(const MemberRecord &Known, const MemberRecord &Record) {
  if (Record.Incarnation != Known.Incarnation)
    return Record.Incarnation > Known.Incarnation;
  return Record.Phase > Known.Phase || Record.Version > Known.Version;
}

MemberRecord combineRecords(const MemberRecord &Known,
                            const MemberRecord &Record) {
  MemberRecord Result = Record;
  if (Record.Incarnation == Known.Incarnation) {
    Result.Phase = std::max(Record.Phase, Known.Phase);
    Result.Version = std::max(Record.Version, Known.Version);
  }
  return Result;
}

base::Duration suspicionTimeout(const MembershipState &State) {
  double Size = static_cast<double>(State.LiveMembers) + 1;
  return base::scale(GossipInterval,
                     SuspicionFactor * std::max(1.0, std::log10(Size)));
}

// Raises this node's incarnation above that of a record which says that the
// node is not alive or has a higher incarnation, unless the record is outdated
// or this node is leaving. Returns whether it did.
bool refute(MembershipState &State, const MemberRecord &Record) {
  if (State.Self.Phase == MemberPhase::Left ||
      Record.Incarnation < State.Self.Incarnation)
    return false;
  if (Record.Incarnation == State.Self.Incarnation &&
      Record.Phase == MemberPhase::Alive)
    return false;
  State.Self.Incarnation = base::Incarnation(Record.Incarnation.Value + 1);
  queueRumour(State, State.Self, RumourPriority::Persistent);
  return true;
}

void logPhaseChange(const MemberRecord &Record, core::EffectList &Effects) {
  core::LogLevel Level = Record.Phase == MemberPhase::Alive
                             ? core::LogLevel::Info
                             : core::LogLevel::Warn;
  Effects.push_back(
      core::LogLine{Level,
                    "member",
                    {{"member", Record.Name.Value},
                     {"phase", std::string(phaseName(Record.Phase))},
                     {"region", Record.Region.Value},
                     {"failure_domain", Record.Domain.Value}}});
}

// Updates all state that depends on a member's phase.
void applyPhaseChange(core::State &Node, Member &Peer, bool WasLive) {
  MembershipState &State = Node.Membership;
  const base::NodeName &Name = Peer.Record.Name;
  bool Live = isLive(Peer.Record.Phase);
  State.Suspects.erase(Name);
  if (Peer.Record.Phase == MemberPhase::Suspect)
    State.Suspects.emplace(Name, Node.Now + suspicionTimeout(State));
  if (!Live) {
    State.FailedPaths.erase(Name);
    Peer.PathFailed = false;
    State.Tombstones.emplace(Node.Now + retentionTime(Peer.Record.Phase), Name);
  }
  if (Peer.Record.Phase == MemberPhase::Left)
    forgetServers(Node, Name);
  else if (Live != WasLive)
    updateServerDigests(Node, Name);
}

void updateMember(core::State &Node, Member &Peer, MemberRecord Record,
                  RumourPriority Priority, core::EffectList &Effects) {
  MembershipState &State = Node.Membership;
  MemberRecord Before = std::exchange(Peer.Record, std::move(Record));
  bool IsKnown = !Before.Name.empty();
  bool WasLive = IsKnown && isLive(Before.Phase);
  bool Live = isLive(Peer.Record.Phase);
  bool Moved = Before.Region != Peer.Record.Region;
  if (WasLive && (Moved || !Live))
    removeFromRoster(State, Peer, Before.Region);
  if (Live && (Moved || !WasLive))
    addToRoster(State, Peer, Node.Random);
  bool PhaseChanged = !IsKnown || Before.Phase != Peer.Record.Phase;
  if (PhaseChanged) {
    Peer.PhaseSince = Node.Now;
    applyPhaseChange(Node, Peer, WasLive);
    updateRoutingPath(Node, Peer.Record.Name);
    logPhaseChange(Peer.Record, Effects);
  }
  bool VersionOnly =
      !PhaseChanged && Before.Incarnation == Peer.Record.Incarnation;
  queueRumour(State, Peer.Record,
              VersionOnly ? RumourPriority::Deferred : Priority);
}

} // namespace

std::string_view phaseName(MemberPhase Phase) {
  switch (Phase) {
  case MemberPhase::Alive:
    return "alive";
  case MemberPhase::Suspect:
    return "suspect";
  case MemberPhase::Dead:
    return "dead";
  case MemberPhase::Left:
    return "left";
  }
  return "";
}

const Member *findMember(const MembershipState &State,
                         const base::NodeName &Name) {
  auto It = State.Members.find(Name);
  return It == State.Members.end() ? nullptr : &It->second;
}

bool isLiveNode(const MembershipState &State, const base::NodeName &Name) {
  if (Name == State.Self.Name)
    return true;
  const Member *Peer = findMember(State, Name);
  return Peer && isLive(Peer->Record.Phase);
}

bool isReachable(const MembershipState &State, const base::NodeName &Name) {
  if (Name == State.Self.Name)
    return true;
  const Member *Peer = findMember(State, Name);
  return Peer && Peer->Record.Phase == MemberPhase::Alive && !Peer->PathFailed;
}

void updateRoutingPath(core::State &Node, const base::NodeName &Name) {
  bool IsKnown = findMember(Node.Membership, Name) != nullptr;
  bool Unreachable = IsKnown && !isReachable(Node.Membership, Name);
  if (routing::isUnreachable(Node.Routing.Paths, Name) == Unreachable)
    return;
  routing::setUnreachable(Node.Routing.Paths, Name, Unreachable);
  for (auto &[Service, Set] : Node.Routing.Sets)
    Set.Stale = true;
}

base::NetAddress addressOf(const MembershipState &State,
                           const base::NodeName &Name) {
  const Member *Peer = findMember(State, Name);
  return Peer ? Peer->Record.PeerAddress : base::NetAddress();
}

bool mergeMember(core::State &Node, const MemberRecord &Record,
                 RumourPriority Priority, core::EffectList &Effects) {
  MembershipState &State = Node.Membership;
  if (Record.Name == State.Self.Name)
    return refute(State, Record);
  auto It = State.Members.find(Record.Name);
  if (It == State.Members.end()) {
    // A Member for an unknown node that has ended would only use memory.
    if (Record.Name.empty() || !isLive(Record.Phase))
      return false;
    updateMember(Node, State.Members[Record.Name], Record, Priority, Effects);
    State.UnknownOwners.erase(Record.Name);
    return true;
  }
  if (!isSupersededBy(It->second.Record, Record)) {
    if (!isSupersededBy(Record, It->second.Record))
      noteDuplicate(State, keyOf(Record));
    return false;
  }
  // A change of a known member may be a refutation, which must spread faster
  // than the suspicion, whichever message it came in.
  updateMember(Node, It->second, combineRecords(It->second.Record, Record),
               RumourPriority::Persistent, Effects);
  return true;
}

void suspectMember(core::State &Node, const base::NodeName &Name,
                   core::EffectList &Effects) {
  const Member *Peer = findMember(Node.Membership, Name);
  if (!Peer || Peer->Record.Phase != MemberPhase::Alive)
    return;
  MemberRecord Record = Peer->Record;
  Record.Phase = MemberPhase::Suspect;
  mergeMember(Node, Record, RumourPriority::Urgent, Effects);
}

void endSuspicions(core::State &Node, core::EffectList &Effects) {
  MembershipState &State = Node.Membership;
  std::vector<base::NodeName> Due;
  for (const auto &[Name, Deadline] : State.Suspects)
    if (Deadline <= Node.Now)
      Due.push_back(Name);
  for (const base::NodeName &Name : Due) {
    MemberRecord Record = State.Members.at(Name).Record;
    Record.Phase = MemberPhase::Dead;
    mergeMember(Node, Record, RumourPriority::Urgent, Effects);
  }
}

void forgetMembers(core::State &Node, core::EffectList &Effects) {
  MembershipState &State = Node.Membership;
  while (!State.Tombstones.empty() &&
         State.Tombstones.begin()->first <= Node.Now) {
    base::NodeName Name = State.Tombstones.begin()->second;
    State.Tombstones.erase(State.Tombstones.begin());
    const Member *Peer = findMember(State, Name);
    if (!Peer || isLive(Peer->Record.Phase) ||
        Node.Now < Peer->PhaseSince + retentionTime(Peer->Record.Phase))
      continue;
    forgetServers(Node, Name);
    State.Members.erase(Name);
    updateRoutingPath(Node, Name);
    removeNodeRow(Node, Name, Effects);
  }
}

} // namespace currantgauge::membership
