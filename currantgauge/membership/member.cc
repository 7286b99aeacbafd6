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

// A dead node outlasts a partition of regions in memory, so that its backend
// servers are back as soon as it answers.
constexpr base::Duration DeadKept = base::minutes(120);
constexpr base::Duration LeftKept = base::minutes(10);
base::Duration timeKept(MemberPhase Phase) {
  return Phase == MemberPhase::Left ? LeftKept : DeadKept;
}

// In rounds, times the decimal logarithm of the fleet's size: a refutation
// travels that far.
constexpr double SuspicionFactor = 4;

// Life decides, then the phase that takes more to deny.
bool isNews(const MemberRecord &Known, const MemberRecord &Record) {
  if (Record.Incarnation != Known.Incarnation)
    return Record.Incarnation > Known.Incarnation;
  return Record.Phase > Known.Phase || Record.Version > Known.Version;
}

MemberRecord joined(const MemberRecord &Known, const MemberRecord &Record) {
  MemberRecord Result = Record;
  if (Record.Incarnation == Known.Incarnation) {
    Result.Phase = std::max(Record.Phase, Known.Phase);
    Result.Version = std::max(Record.Version, Known.Version);
  }
  return Result;
}

base::Duration suspicionTime(const MembershipState &State) {
  double Size = static_cast<double>(State.LiveMembers) + 1;
  return base::scaled(GossipInterval,
                      SuspicionFactor * std::max(1.0, std::log10(Size)));
}

// Word that this node is not alive, or of a later life than its own, is
// answered by a life above it.
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

void logPhase(const MemberRecord &Record, core::EffectList &Effects) {
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

// Everything that hangs on a member's phase follows it here.
void followPhase(core::State &Node, Member &Who, bool WasLive) {
  MembershipState &State = Node.Membership;
  const base::NodeName &Name = Who.Record.Name;
  bool Live = isLive(Who.Record.Phase);
  State.Suspects.erase(Name);
  if (Who.Record.Phase == MemberPhase::Suspect)
    State.Suspects.emplace(Name, Node.Now + suspicionTime(State));
  if (!Live) {
    State.FailedPaths.erase(Name);
    Who.PathFailed = false;
    State.Tombstones.emplace(Node.Now + timeKept(Who.Record.Phase), Name);
  }
  if (Who.Record.Phase == MemberPhase::Left)
    forgetServers(Node, Name);
  else if (Live != WasLive)
    updateServerDigests(Node, Name);
}

void take(core::State &Node, Member &Who, MemberRecord Record,
          RumourPriority How, core::EffectList &Effects) {
  MembershipState &State = Node.Membership;
  MemberRecord Before = std::exchange(Who.Record, std::move(Record));
  bool Known = !Before.Name.empty();
  bool WasLive = Known && isLive(Before.Phase);
  bool Live = isLive(Who.Record.Phase);
  bool Moved = Before.Region != Who.Record.Region;
  if (WasLive && (Moved || !Live))
    removeFromRoster(State, Who, Before.Region);
  if (Live && (Moved || !WasLive))
    addToRoster(State, Who, Node.Source);
  bool PhaseChanged = !Known || Before.Phase != Who.Record.Phase;
  if (PhaseChanged) {
    Who.PhaseSince = Node.Now;
    followPhase(Node, Who, WasLive);
    updateRoutingPath(Node, Who.Record.Name);
    logPhase(Who.Record, Effects);
  }
  bool VersionOnly =
      !PhaseChanged && Before.Incarnation == Who.Record.Incarnation;
  queueRumour(State, Who.Record, VersionOnly ? RumourPriority::Deferred : How);
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
  auto Found = State.Members.find(Name);
  return Found == State.Members.end() ? nullptr : &Found->second;
}

bool isLiveNode(const MembershipState &State, const base::NodeName &Name) {
  if (Name == State.Self.Name)
    return true;
  const Member *Who = findMember(State, Name);
  return Who && isLive(Who->Record.Phase);
}

bool isReachable(const MembershipState &State, const base::NodeName &Name) {
  if (Name == State.Self.Name)
    return true;
  const Member *Who = findMember(State, Name);
  return Who && Who->Record.Phase == MemberPhase::Alive && !Who->PathFailed;
}

void updateRoutingPath(core::State &Node, const base::NodeName &Name) {
  bool Known = findMember(Node.Membership, Name) != nullptr;
  bool Unreachable = Known && !isReachable(Node.Membership, Name);
  if (routing::isUnreachable(Node.Routing.Paths, Name) == Unreachable)
    return;
  routing::setUnreachable(Node.Routing.Paths, Name, Unreachable);
  for (auto &[Service, Set] : Node.Routing.Sets)
    Set.Stale = true;
}

base::NetAddress addressOf(const MembershipState &State,
                           const base::NodeName &Name) {
  const Member *Who = findMember(State, Name);
  return Who ? Who->Record.PeerAddress : base::NetAddress();
}

bool mergeMember(core::State &Node, const MemberRecord &Record,
                 RumourPriority How, core::EffectList &Effects) {
  MembershipState &State = Node.Membership;
  if (Record.Name == State.Self.Name)
    return refute(State, Record);
  auto Found = State.Members.find(Record.Name);
  if (Found == State.Members.end()) {
    // An obituary of a stranger would only keep it in memory.
    if (Record.Name.empty() || !isLive(Record.Phase))
      return false;
    take(Node, State.Members[Record.Name], Record, How, Effects);
    State.UnknownOwners.erase(Record.Name);
    return true;
  }
  if (!isNews(Found->second.Record, Record)) {
    if (!isNews(Record, Found->second.Record))
      noteDuplicate(State, keyOf(Record));
    return false;
  }
  // A change of a known member may be a refutation that must overtake a
  // suspicion, however it came here.
  take(Node, Found->second, joined(Found->second.Record, Record),
       RumourPriority::Persistent, Effects);
  return true;
}

void suspectMember(core::State &Node, const base::NodeName &Name,
                   core::EffectList &Effects) {
  const Member *Who = findMember(Node.Membership, Name);
  if (!Who || Who->Record.Phase != MemberPhase::Alive)
    return;
  MemberRecord Record = Who->Record;
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
    const Member *Who = findMember(State, Name);
    if (!Who || isLive(Who->Record.Phase) ||
        Node.Now < Who->PhaseSince + timeKept(Who->Record.Phase))
      continue;
    forgetServers(Node, Name);
    State.Members.erase(Name);
    updateRoutingPath(Node, Name);
    removeNodeRow(Node, Name, Effects);
  }
}

} // namespace currantgauge::membership
