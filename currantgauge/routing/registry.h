// Registration of backend servers: announcement, lease renewal, departure and
// removal.
//
//   if (applyAnnouncement(State, Announced, Now))
//     queueRumour(Membership, State.Servers[Announced.Name].Record);
#ifndef CURRANTGAUGE_ROUTING_REGISTRY_H
#define CURRANTGAUGE_ROUTING_REGISTRY_H

#include "currantgauge/base/ids.h"
#include "currantgauge/base/units.h"
#include "currantgauge/routing/backend_server.h"
#include "currantgauge/routing/state.h"

#include <vector>

namespace currantgauge::routing {

// IgnoreReason is why an announcement doesn't change its server's phase.
enum class IgnoreReason {
  None,
  OlderIncarnation,
  OlderSequence,
  AnnouncedLeaving, // in this incarnation
  AnnouncedGone,    // in this incarnation or a later one
};

// reasonToIgnore() returns why applyAnnouncement() would ignore the phase of an
// announcement, or None.
IgnoreReason reasonToIgnore(const RoutingState &State,
                            const Announcement &Announced, base::TimePoint Now);

// applyAnnouncement() applies a backend server's announcement and makes this
// node its owner. Returns true when the record changed. Announcements of an
// older incarnation, or that a server is ready without a newer sequence number,
// are ignored. A server that announced that it is leaving or gone stays so
// until its next incarnation, even if it was unknown here.
bool applyAnnouncement(RoutingState &State, const Announcement &Announced,
                       base::TimePoint Now);

// retireReplacedServers() marks owned servers gone whose address now belongs to
// the newer announced process, and returns their records. Call it before
// applyAnnouncement().
std::vector<BackendRecord> retireReplacedServers(RoutingState &State,
                                                 const Announcement &Announced);

// isSuperseded() returns whether an owned server that was started later has
// taken over the address of the announcement.
bool isSuperseded(const RoutingState &State, const Announcement &Announced);

// markAbsent() marks an owned server gone until its next announcement. Returns
// false if it was gone already or isn't owned.
bool markAbsent(RoutingState &State, const base::BackendName &Name);

// markDeparted() marks an owned server that is ready as leaving if it has
// departed in its incarnation. Returns true when the record changed.
bool markDeparted(RoutingState &State, const base::BackendName &Name,
                  base::TimePoint Now);

// expireLeases() marks owned servers gone whose lease has expired and returns
// their records.
std::vector<BackendRecord> expireLeases(RoutingState &State,
                                        base::TimePoint Now);

// mergeRecord() applies a record of a server that another node owns. Returns
// true when it is newer than the known record.
bool mergeRecord(RoutingState &State, const BackendRecord &Record,
                 base::TimePoint Now);

// removeServer() forgets a server, in whatever phase. Its evidence and breaker
// stay.
void removeServer(RoutingState &State, const base::BackendName &Name);

// disownServer() registers a server as gone that other nodes attribute to this
// node but that this node doesn't know. Returns its updated record.
BackendRecord disownServer(RoutingState &State, BackendRecord Record);

// removeServersOfOwner() forgets all servers of a node, which must not be this
// one.
void removeServersOfOwner(RoutingState &State, const base::NodeName &Owner);

} // namespace currantgauge::routing

#endif // CURRANTGAUGE_ROUTING_REGISTRY_H
