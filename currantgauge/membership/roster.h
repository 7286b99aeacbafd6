// Live members by region, for random choices and rounds of probes.
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

// enlist() puts a member into its region's roster, strike() takes it out of
// that of a region.
void addToRoster(MembershipState &State, Member &Peer, base::Random &Source);
void removeFromRoster(MembershipState &State, const Member &Peer,
                      const base::RegionName &Region);

// pickPeer() returns a random live member of a region, none when it has none.
std::optional<base::NodeName> pickPeer(const MembershipState &State,
                                       const base::RegionName &Region,
                                       base::Random &Source);

// pickPeers() returns up to Count different live members of a region.
std::vector<base::NodeName> pickPeers(const MembershipState &State,
                                      const base::RegionName &Region,
                                      std::size_t Count, base::Random &Source);

// pickNearbyPeers() returns up to Count different live members of this region,
// most of them of this failure domain.
std::vector<base::NodeName> pickNearbyPeers(const MembershipState &State,
                                            std::size_t Count,
                                            base::Random &Source);

// pickRemotePeer() returns one of the few members of another region that this
// node talks to, so that it keeps few connections over the link.
std::optional<base::NodeName> pickRemotePeer(const MembershipState &State,
                                             const base::RegionName &Region,
                                             base::Random &Source);

// pickRemoteRegion() returns a random region other than this node's.
std::optional<base::RegionName> pickRemoteRegion(const MembershipState &State,
                                                 base::Random &Source);

// pickNextProbeTarget() returns the member of a region to probe next: each once
// in a shuffled order, then in a new one.
std::optional<base::NodeName>
pickNextProbeTarget(MembershipState &State, const base::RegionName &Region,
                    base::Random &Source);

// findRingSuccessor() returns the live member that follows this node on the
// ring of its region. Each is followed by one, so that each is watched by one
// at any time.
std::optional<base::NodeName> findRingSuccessor(const MembershipState &State);

// countRegionPeers() returns the number of other live members of this region.
std::size_t countRegionPeers(const MembershipState &State);

} // namespace currantgauge::membership

#endif // CURRANTGAUGE_MEMBERSHIP_ROSTER_H
