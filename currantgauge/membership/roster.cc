#include "currantgauge/membership/roster.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <utility>

namespace currantgauge::membership {
namespace {

// Random draws per requested peer before peers of other failure domains are
// accepted.
constexpr std::size_t DrawsPerPeer = 4;
// Peers of each other region that a node communicates with. Three keep the
// regions connected if two of them fail.
constexpr std::size_t RemotePeersPerRegion = 3;

const Roster *findRoster(const MembershipState &State,
                         const base::RegionName &Region) {
  auto It = State.Rosters.find(Region);
  return It == State.Rosters.end() ? nullptr : &It->second;
}

std::uint64_t ringPosition(const base::NodeName &Name) {
  return XXH64(Name.Value.data(), Name.Value.size(), 0);
}

void swapEntries(MembershipState &State, Roster &List, std::size_t A,
                 std::size_t B) {
  std::swap(List.Names[A], List.Names[B]);
  State.Members.at(List.Names[A]).RosterIndex = A;
  State.Members.at(List.Names[B]).RosterIndex = B;
}

void shuffle(MembershipState &State, Roster &List, base::Random &Source) {
  for (std::size_t Remaining = List.Names.size(); Remaining > 1; --Remaining)
    swapEntries(State, List, Remaining - 1,
                base::uniformBelow(Source, Remaining));
}

} // namespace

// Inserts the member at a random position, so that it isn't always probed last.
void addToRoster(MembershipState &State, Member &Peer, base::Random &Source) {
  Roster &List = State.Rosters[Peer.Record.Region];
  Peer.RosterIndex = List.Names.size();
  List.Names.push_back(Peer.Record.Name);
  swapEntries(State, List, Peer.RosterIndex,
              base::uniformBelow(Source, List.Names.size()));
  List.Ring[ringPosition(Peer.Record.Name)] = Peer.Record.Name;
  ++State.LiveMembers;
}

void removeFromRoster(MembershipState &State, const Member &Peer,
                      const base::RegionName &Region) {
  Roster &List = State.Rosters.at(Region);
  swapEntries(State, List, Peer.RosterIndex, List.Names.size() - 1);
  List.Names.pop_back();
  List.Ring.erase(ringPosition(Peer.Record.Name));
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
  std::vector<std::size_t> PickedIndexes;
  while (Picked.size() < Count) {
    std::size_t Index = base::uniformBelow(Source, Size);
    if (std::find(PickedIndexes.begin(), PickedIndexes.end(), Index) !=
        PickedIndexes.end())
      continue;
    PickedIndexes.push_back(Index);
    Picked.push_back(List->Names[Index]);
  }
  return Picked;
}

// Traffic between failure domains costs money, so peers of this node's domain
// are preferred. The first peer may be in any domain, so that rumours leave the
// domain.
std::vector<base::NodeName> pickNearbyPeers(const MembershipState &State,
                                            std::size_t Count,
                                            base::Random &Source) {
  const Roster *List = findRoster(State, State.Self.Region);
  if (!List || List->Names.size() <= Count)
    return List ? List->Names : std::vector<base::NodeName>();
  std::vector<base::NodeName> Picked;
  for (std::size_t Draw = 0; Picked.size() < Count; ++Draw) {
    const base::NodeName &Name =
        List->Names[base::uniformBelow(Source, List->Names.size())];
    bool SameDomain = State.Members.at(Name).Record.Domain == State.Self.Domain;
    bool Accepted =
        SameDomain || Picked.empty() || Draw >= DrawsPerPeer * Count;
    if (Accepted &&
        std::find(Picked.begin(), Picked.end(), Name) == Picked.end())
      Picked.push_back(Name);
  }
  return Picked;
}

// Picks among the members that follow this node's hash on the ring of the other
// region, so that the nodes of this region together cover the other one.
std::optional<base::NodeName> pickRemotePeer(const MembershipState &State,
                                             const base::RegionName &Region,
                                             base::Random &Source) {
  const Roster *List = findRoster(State, Region);
  if (!List)
    return std::nullopt;
  auto Next = List->Ring.upper_bound(ringPosition(State.Self.Name));
  std::size_t Steps = base::uniformBelow(
      Source, std::min(RemotePeersPerRegion, List->Ring.size()));
  for (std::size_t Step = 0;; ++Step, ++Next) {
    if (Next == List->Ring.end())
      Next = List->Ring.begin();
    if (Step == Steps)
      return Next->second;
  }
}

std::optional<base::RegionName> pickRemoteRegion(const MembershipState &State,
                                                 base::Random &Source) {
  std::vector<base::RegionName> RemoteRegions;
  for (const auto &[Region, List] : State.Rosters)
    if (Region != State.Self.Region)
      RemoteRegions.push_back(Region);
  if (RemoteRegions.empty())
    return std::nullopt;
  return RemoteRegions[base::uniformBelow(Source, RemoteRegions.size())];
}

std::optional<base::NodeName>
pickNextProbeTarget(MembershipState &State, const base::RegionName &Region,
                    base::Random &Source) {
  auto It = State.Rosters.find(Region);
  if (It == State.Rosters.end())
    return std::nullopt;
  Roster &List = It->second;
  if (List.NextProbe >= List.Names.size()) {
    List.NextProbe = 0;
    shuffle(State, List, Source);
  }
  return List.Names[List.NextProbe++];
}

// Skips suspected members, so that the members after them are still probed.
std::optional<base::NodeName> findRingSuccessor(const MembershipState &State) {
  const Roster *List = findRoster(State, State.Self.Region);
  if (!List)
    return std::nullopt;
  auto Next = List->Ring.upper_bound(ringPosition(State.Self.Name));
  for (std::size_t Step = 0; Step < List->Ring.size(); ++Step, ++Next) {
    if (Next == List->Ring.end())
      Next = List->Ring.begin();
    if (!State.Suspects.contains(Next->second))
      return Next->second;
  }
  return std::nullopt;
}

std::size_t countRegionPeers(const MembershipState &State) {
  const Roster *List = findRoster(State, State.Self.Region);
  return List ? List->Names.size() : 0;
}

} // namespace currantgauge::membership
