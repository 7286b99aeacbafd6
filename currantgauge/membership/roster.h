// Live members by region, for random selection and the order of probes.
//
//   if (auto Name = pickPeer(State, State.Self.Region, Source)) ping(*Name);
#ifndef CURRANTGAUGE_MEMBERSHIP_ROSTER_H
#define CURRANTGAUGE_MEMBERSHIP_ROSTER_H

#include "currantgauge/base/ids.h"
#include "currantgauge/base/random.h"
#include "currantgauge/membership/state.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace currantgauge::membership {

// addToRoster() adds a member to its region's roster. removeFromRoster()
// removes it from the roster of Region, which may be a region that it has left.
void addToRoster(MembershipState &State, Member &Peer, base::Random &Source);
void removeFromRoster(MembershipState &State, const Member &Peer,
                      const base::RegionName &Region);

// pickPeer() returns a random live member of a region, nothing if there is
// none.
std::optional<base::NodeName> pickPeer(const MembershipState &State,
                                       const base::RegionName &Region,
                                       base::Random &Source);

// pickPeers() returns up to Count different live members of a region.
std::vector<base::NodeName> pickPeers(const MembershipState &State,
                                      const base::RegionName &Region,
                                      std::size_t Count, base::Random &Source);

// pickNearbyPeers() returns up to Count live members of this node's region: one
// of any failure domain, the others of this node's domain as far as possible.
std::vector<base::NodeName> pickNearbyPeers(const MembershipState &State,
                                            std::size_t Count,
                                            base::Random &Source);

// pickRemotePeer() returns one of the few members of another region that this
// node communicates with, so that it keeps few connections between regions.
std::optional<base::NodeName> pickRemotePeer(const MembershipState &State,
                                             const base::RegionName &Region,
                                             base::Random &Source);

// pickRemoteRegion() returns a random region other than this node's.
std::optional<base::RegionName> pickRemoteRegion(const MembershipState &State,
                                                 base::Random &Source);

// pickNextProbeTarget() returns the member of a region to probe next: each
// member once in a shuffled order, which is then shuffled again.
std::optional<base::NodeName>
pickNextProbeTarget(MembershipState &State, const base::RegionName &Region,
                    base::Random &Source);

// findRingSuccessor() returns the member that follows this node on the hash
// ring of its region, skipping suspected ones. As every node probes its
// successor, some node probes every member that isn't suspected in each round.
std::optional<base::NodeName> findRingSuccessor(const MembershipState &State);

// countRegionPeers() counts the other live members of this node's region.
std::size_t countRegionPeers(const MembershipState &State);

} // namespace currantgauge::membership

#endif // CURRANTGAUGE_MEMBERSHIP_ROSTER_H
