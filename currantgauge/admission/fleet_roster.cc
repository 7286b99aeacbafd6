#include "currantgauge/admission/fleet_roster.h"

#include <algorithm>
#include <string>
#include <utility>

namespace currantgauge::admission {
namespace {

// An update visits all members, so that large fleets update less often; far
// more often than SettleTime in either case.
constexpr base::Duration UpdateInterval = base::milliseconds(100);
constexpr base::Duration UpdateIntervalPerMember = base::microseconds(250);
constexpr base::Duration MaxUpdateInterval = base::seconds(1);
// Members that have been gone for longer can't have issued permits in a window
// that still counts.
constexpr base::Duration FormerMemory = base::seconds(60);
// A node that starts discovers the members in this time.
constexpr base::Duration DiscoveryTime = base::seconds(30);

// FNV-1a; the same at every node.
std::uint64_t hashName(const std::string &Text) {
  std::uint64_t Hash = 0xcbf29ce484222325ULL;
  for (char Letter : Text)
    Hash = (Hash ^ static_cast<unsigned char>(Letter)) * 0x100000001b3ULL;
  return Hash;
}

// The finalizer of SplitMix64.
std::uint64_t mix(std::uint64_t Value) {
  Value = (Value ^ (Value >> 30)) * 0xbf58476d1ce4e5b9ULL;
  Value = (Value ^ (Value >> 27)) * 0x94d049bb133111ebULL;
  return Value ^ (Value >> 31);
}

bool namesMatch(const std::vector<RosterMember> &Members,
                const std::vector<MemberView> &Views) {
  return std::equal(Members.begin(), Members.end(), Views.begin(), Views.end(),
                    [](const RosterMember &Member, const MemberView &View) {
                      return Member.Name == *View.Name;
                    });
}

// Both lists are ordered by name.
std::vector<RosterMember> mergeMembers(std::vector<RosterMember> Known,
                                       const std::vector<MemberView> &Views,
                                       base::TimePoint Now) {
  std::vector<RosterMember> Merged;
  Merged.reserve(Views.size());
  auto Next = Known.begin();
  for (const MemberView &View : Views) {
    while (Next != Known.end() && Next->Name < *View.Name)
      ++Next;
    if (Next != Known.end() && Next->Name == *View.Name)
      Merged.push_back(std::move(*Next++));
    else
      Merged.push_back({*View.Name, hashName(View.Name->Value), View.Alive,
                        View.Alive ? Now : View.PhaseSince});
  }
  return Merged;
}

void updateMembers(FleetRoster &Roster, const std::vector<MemberView> &Views,
                   base::TimePoint Now) {
  if (!namesMatch(Roster.Members, Views))
    Roster.Members = mergeMembers(std::move(Roster.Members), Views, Now);
  Roster.AliveCount = 1;
  for (std::size_t I = 0; I < Views.size(); ++I) {
    RosterMember &Member = Roster.Members[I];
    if (Member.Alive != Views[I].Alive)
      Member.Since = Now;
    Member.Alive = Views[I].Alive;
    Member.HeardAt = Views[I].HeardAt;
    Roster.AliveCount += Member.Alive ? 1 : 0;
  }
}

void updateMemory(FleetRoster &Roster, base::TimePoint Now) {
  if (Now - Roster.MemoryStartedAt >= RosterMemory) {
    Roster.MostAliveBefore = Roster.MostAlive;
    Roster.MostAlive = 1;
    Roster.MemoryStartedAt = Now;
  }
  Roster.MostAlive = std::max(Roster.MostAlive, Roster.AliveCount);
}

bool seesMajority(const FleetRoster &Roster) {
  return 2 * Roster.AliveCount >
         std::max(Roster.MostAlive, Roster.MostAliveBefore);
}

// After a cut this tells sooner than the failure detector on which side most
// nodes are.
bool reachesMost(const FleetRoster &Roster, base::TimePoint Now) {
  std::size_t Heard = 1; // with this node
  std::size_t Failed = 0;
  for (const RosterMember &Member : Roster.Members)
    if (Member.FailedAt > Member.HeardAt)
      Failed += Now - Member.FailedAt < ContactTimeout ? 1 : 0;
    else
      Heard += Now - Member.HeardAt < ContactTimeout ? 1 : 0;
  return Heard > Failed;
}

// A node that starts during a partition knows the other side as dead only, so
// that at first all known members count towards the majority.
void expectKnownMembers(FleetRoster &Roster,
                        const std::vector<MemberView> &Views,
                        base::TimePoint Now) {
  if (Now - Roster.StartedAt >= RosterMemory)
    return;
  std::size_t Expected = 1; // this node
  for (const MemberView &View : Views)
    Expected += View.HasLeft ? 0 : 1;
  Roster.MostAliveBefore = std::max(Roster.MostAliveBefore, Expected);
}

// A node that has met no other one yet may be cut off, unless none is expected.
bool hasContact(const FleetRoster &Roster, base::TimePoint Now) {
  if (Roster.AliveCount > 1)
    return Now - Roster.LastContactAt < ContactTimeout &&
           reachesMost(Roster, Now);
  return !Roster.Members.empty() || !Roster.HasSeeds ||
         Now - Roster.StartedAt >= RosterMemory;
}

// A node that still discovers many members sees homes that others don't.
bool isDiscovering(FleetRoster &Roster, base::TimePoint Now) {
  std::size_t Size = Roster.Members.size() + 1;
  if (Now - Roster.StartedAt >= DiscoveryTime ||
      4 * Size <= 5 * Roster.SettledSize)
    return false;
  Roster.SettledSize = Size;
  return true;
}

// The next home issues permits SettleTime after it learned of the departure.
bool hasLeft(const FleetRoster &Roster, base::TimePoint Now) {
  return Roster.LeavingSince != base::TimePoint{} &&
         Now >= Roster.LeavingSince + SettleTime;
}

} // namespace

FleetRoster makeRoster(const base::NodeName &Self, bool FirstStart,
                       bool HasSeeds) {
  FleetRoster Roster;
  Roster.Self = Self;
  Roster.SelfHash = hashName(Self.Value);
  Roster.FirstStart = FirstStart;
  Roster.HasSeeds = HasSeeds;
  return Roster;
}

bool updateIsDue(const FleetRoster &Roster, base::TimePoint Now) {
  auto Size = static_cast<std::int64_t>(Roster.Members.size());
  base::Duration Interval = std::clamp(UpdateIntervalPerMember * Size,
                                       UpdateInterval, MaxUpdateInterval);
  return Roster.UpdatedAt == base::TimePoint{} ||
         Now - Roster.UpdatedAt >= Interval;
}

void updateRoster(FleetRoster &Roster, const std::vector<MemberView> &Views,
                  base::TimePoint Now) {
  if (Roster.UpdatedAt == base::TimePoint{}) {
    Roster.StartedAt = Now;
    Roster.MemoryStartedAt = Now;
  }
  Roster.UpdatedAt = Now;
  updateMembers(Roster, Views, Now);
  updateMemory(Roster, Now);
  expectKnownMembers(Roster, Views, Now);
  base::TimePoint LastContactAt;
  for (const RosterMember &Member : Roster.Members)
    LastContactAt = std::max(LastContactAt, Member.HeardAt);
  // The pause may have ended between two updates.
  bool Paused = LastContactAt - Roster.LastContactAt >= ContactTimeout;
  Roster.LastContactAt = std::max(Roster.LastContactAt, LastContactAt);
  bool WasInTouch = Roster.InTouch && !Paused;
  Roster.WasInterrupted |= Roster.InTouch && Paused;
  Roster.InTouch = seesMajority(Roster) && hasContact(Roster, Now);
  Roster.WasInterrupted |= WasInTouch && !Roster.InTouch;
  if (isDiscovering(Roster, Now) || (Roster.InTouch && !WasInTouch))
    Roster.InTouchSince = Now;
}

void noteUnreachable(FleetRoster &Roster, const base::NodeName &Name,
                     base::TimePoint Now) {
  auto It = std::lower_bound(
      Roster.Members.begin(), Roster.Members.end(), Name,
      [](const RosterMember &Member, const base::NodeName &Sought) {
        return Member.Name < Sought;
      });
  if (It != Roster.Members.end() && It->Name == Name)
    It->FailedAt = Now;
}

void noteLeaving(FleetRoster &Roster, base::TimePoint Now) {
  if (Roster.LeavingSince == base::TimePoint{})
    Roster.LeavingSince = Now;
}

HomeChoice chooseHome(const FleetRoster &Roster,
                      const base::WorkspaceName &Workspace) {
  std::uint64_t Key = hashName(Workspace.Value);
  std::uint64_t SelfScore = mix(Key ^ Roster.SelfHash);
  std::pair<std::uint64_t, const base::NodeName *> Best{SelfScore,
                                                        &Roster.Self};
  std::pair<std::uint64_t, const base::NodeName *> Second{0, nullptr};
  for (const RosterMember &Member : Roster.Members) {
    std::uint64_t Score = mix(Key ^ Member.Hash);
    if (!Member.Alive || Score <= Second.first)
      continue;
    Second = {Score, &Member.Name};
    if (Second.first > Best.first)
      std::swap(Best, Second);
  }
  HomeChoice Choice{*Best.second,
                    Second.second ? *Second.second : base::NodeName()};
  Choice.IsSelf = Best.second == &Roster.Self;
  if (!Choice.IsSelf)
    return Choice;
  Choice.Since = Roster.InTouchSince;
  for (const RosterMember &Member : Roster.Members)
    if (!Member.Alive && Roster.UpdatedAt - Member.Since < FormerMemory &&
        mix(Key ^ Member.Hash) > SelfScore) {
      Choice.Former = Member.Name;
      Choice.Since = std::max(Choice.Since, Member.Since);
    }
  // A node that has heard from no other one may be cut off from the first home.
  bool HasMetOthers = Roster.LastContactAt != base::TimePoint{};
  Choice.IsFirst = Roster.FirstStart && !Roster.WasInterrupted &&
                   Choice.Former.empty() && (isAlone(Roster) || HasMetOthers);
  return Choice;
}

bool isAlone(const FleetRoster &Roster) {
  return Roster.Members.empty() && !Roster.HasSeeds;
}

base::TimePoint earliestPermitTime(const FleetRoster &Roster,
                                   const HomeChoice &Choice,
                                   base::TimePoint Now) {
  if (isAlone(Roster))
    return Now;
  if (hasLeft(Roster, Now))
    return base::Never;
  bool InTouch = Roster.InTouch && hasContact(Roster, Now);
  return (InTouch ? Choice.Since : Now) + SettleTime;
}

bool canIssuePermits(const FleetRoster &Roster, const HomeChoice &Choice,
                     base::TimePoint Now) {
  if (isAlone(Roster))
    return true;
  return Choice.IsSelf && earliestPermitTime(Roster, Choice, Now) <= Now;
}

} // namespace currantgauge::admission
