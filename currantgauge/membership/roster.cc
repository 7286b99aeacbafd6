#include "currantgauge/membership/roster.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <utility>

namespace currantgauge::membership {
namespace {

const Roster *findRoster(const MembershipState &State,
                         const base::RegionName &Region) {
  auto Found = State.Rosters.find(Region);
  return Found == State.Rosters.end() ? nullptr : &Found->second;
}

std::uint64_t placeOf(const base::NodeName &Name) {
  return XXH64(Name.Value.data(), Name.Value.size(), 0);
}

void swapPlaces(MembershipState &State, Roster &List, std::size_t A,
                std::size_t B) {
  std::swap(List.Names[A], List.Names[B]);
  State.Members.at(List.Names[A]).Slot = A;
  State.Members.at(List.Names[B]).Slot = B;
}

void shuffle(MembershipState &State, Roster &List, base::Random &Source) {
  for (std::size_t Left = List.Names.size(); Left > 1; --Left)
    swapPlaces(State, List, Left - 1, base::uniformBelow(Source, Left));
}

} // namespace

// A newcomer takes a random place, so that its first probe is not the last of
// the turn.
void enlist(MembershipState &State, Member &Who, base::Random &Source) {
  Roster &List = State.Rosters[Who.Record.Region];
  Who.Slot = List.Names.size();
  List.Names.push_back(Who.Record.Name);
  swapPlaces(State, List, Who.Slot,
             base::uniformBelow(Source, List.Names.size()));
  List.Ring[placeOf(Who.Record.Name)] = Who.Record.Name;
  ++State.LiveMembers;
}

void strike(MembershipState &State, const Member &Who,
            const base::RegionName &Region) {
  Roster &List = State.Rosters.at(Region);
  swapPlaces(State, List, Who.Slot, List.Names.size() - 1);
  List.Names.pop_back();
  List.Ring.erase(placeOf(Who.Record.Name));
  --State.LiveMembers;
  if (List.Names.empty())
    State.Rosters.erase(Region);
}

std::optional<base::NodeName> pickPeer(const MembershipState &State,
                                       const base::RegionName &Region,
                                       base::Random &Source) {
  const Roster *List = findRoster(State, Region);
  if (!List)
    return std::nullopt;
  return List->Names[base::uniformBelow(Source, List->Names.size())];
}

std::vector<base::NodeName> pickPeers(const MembershipState &State,
                                      const base::RegionName &Region,
                                      std::size_t Count, base::Random &Source) {
  const Roster *List = findRoster(State, Region);
  std::vector<base::NodeName> Picked;
  if (!List)
    return Picked;
  std::size_t Size = List->Names.size();
  if (Size <= Count)
    return List->Names;
  std::vector<std::size_t> Taken;
  while (Picked.size() < Count) {
    std::size_t Index = base::uniformBelow(Source, Size);
    if (std::find(Taken.begin(), Taken.end(), Index) != Taken.end())
      continue;
    Taken.push_back(Index);
    Picked.push_back(List->Names[Index]);
  }
  return Picked;
}

std::optional<base::RegionName> pickFarRegion(const MembershipState &State,
                                              base::Random &Source) {
  std::vector<base::RegionName> Far;
  for (const auto &[Region, List] : State.Rosters)
    if (Region != State.Self.Region)
      Far.push_back(Region);
  if (Far.empty())
    return std::nullopt;
  return Far[base::uniformBelow(Source, Far.size())];
}

std::optional<base::NodeName> nextInTurn(MembershipState &State,
                                         const base::RegionName &Region,
                                         base::Random &Source) {
  auto Found = State.Rosters.find(Region);
  if (Found == State.Rosters.end())
    return std::nullopt;
  Roster &List = Found->second;
  if (List.Next >= List.Names.size()) {
    List.Next = 0;
    shuffle(State, List, Source);
  }
  return List.Names[List.Next++];
}

// Suspected members are passed over, so that a watch goes on beyond them.
std::optional<base::NodeName> nextOnRing(const MembershipState &State) {
  const Roster *List = findRoster(State, State.Self.Region);
  if (!List)
    return std::nullopt;
  auto Next = List->Ring.upper_bound(placeOf(State.Self.Name));
  for (std::size_t Step = 0; Step < List->Ring.size(); ++Step, ++Next) {
    if (Next == List->Ring.end())
      Next = List->Ring.begin();
    if (!State.Suspects.contains(Next->second))
      return Next->second;
  }
  return std::nullopt;
}

std::size_t nearCount(const MembershipState &State) {
  const Roster *List = findRoster(State, State.Self.Region);
  return List ? List->Names.size() : 0;
}

} // namespace currantgauge::membership
