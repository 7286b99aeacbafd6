// Backend servers come, renew, leave and go.
//
//   if (announce(State, Word, Now)) tellPeers(State.Servers[Word.Name].Record);
#ifndef CURRANTGAUGE_ROUTING_REGISTRY_H
#define CURRANTGAUGE_ROUTING_REGISTRY_H

#include "currantgauge/base/ids.h"
#include "currantgauge/base/units.h"
#include "currantgauge/routing/backend_server.h"
#include "currantgauge/routing/state.h"

#include <vector>

namespace currantgauge::routing {

// announce() takes a backend server's word; this node becomes its owner.
// Returns true when its record changed. Words of an older incarnation, or older
// ones of the same, are ignored; one that leaves or is gone stays so until its
// next incarnation.
bool applyAnnouncement(RoutingState &State, const Announcement &Announced,
                       base::TimePoint Now);

// retireReplacedServers() marks owned servers gone that had the address of a
// newer process, and returns their records. Call it before announce().
std::vector<BackendRecord> retireReplacedServers(RoutingState &State,
                                                 const Announcement &Announced);

// isSuperseded() is true when the address of the announcement is known to have
// passed to a process that was started later.
bool isSuperseded(const RoutingState &State, const Announcement &Announced);

// markAbsent() marks an owned server gone until it announces itself again.
// Returns true when it was not gone already.
bool markAbsent(RoutingState &State, const base::BackendName &Name);

// expireLeases() marks owned servers gone whose lease has passed and returns
// their records.
std::vector<BackendRecord> expireLeases(RoutingState &State,
                                        base::TimePoint Now);

// mergeRecord() takes a peer's word of a server that the peer owns. Returns
// true when it was newer than what was known.
bool mergeRecord(RoutingState &State, const BackendRecord &Record,
                 base::TimePoint Now);

// removeServer() drops a server that is gone.
void removeServer(RoutingState &State, const base::BackendName &Name);

// disownServer() takes a server that other nodes count as this node's, which
// this node does not know. Returns its record, gone.
BackendRecord disownServer(RoutingState &State, BackendRecord Record);

// removeServersOfOwner() drops every server of a node that is gone.
void removeServersOfOwner(RoutingState &State, const base::NodeName &Owner);

} // namespace currantgauge::routing

#endif // CURRANTGAUGE_ROUTING_REGISTRY_H
