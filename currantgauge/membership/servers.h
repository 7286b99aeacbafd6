// Merging of backend server and quarantine records from other nodes, and
// removal of servers whose owner is gone.
//
//   mergeBackend(Node, Record, Effects);
#ifndef CURRANTGAUGE_MEMBERSHIP_SERVERS_H
#define CURRANTGAUGE_MEMBERSHIP_SERVERS_H

#include "currantgauge/base/ids.h"
#include "currantgauge/core/effect.h"
#include "currantgauge/core/state.h"
#include "currantgauge/membership/message.h"
#include "currantgauge/membership/rumours.h"
#include "currantgauge/routing/backend_server.h"

#include <map>

namespace currantgauge::membership {

// mergeBackend() merges a backend server's record. Returns true if it caused a
// change, which is then queued as a rumour: a new server with Priority, a
// known one as Deferred if the change can wait, else with Priority but at least
// as Deferred. Records of owners that are dead or have left are ignored; those
// that name this node as owner are kept as orphans if the server is unknown,
// and a leave in them is honored.
bool mergeBackend(core::State &Node, const routing::BackendRecord &Record,
                  RumourPriority Priority = RumourPriority::Urgent);

// mergeQuarantine() merges a quarantine record into a table. Two records that
// are both open or both cleared combine their crashed servers. A cleared record
// ends open ones whose Since is not later than its own, so a clearing that must
// also end records of other nodes raises Since; an open record with a later
// Since replaces a cleared one. Returns true if the table changed.
bool mergeQuarantine(std::map<base::Fingerprint, QuarantineRecord> &Table,
                     const QuarantineRecord &Record);

// mergeQuarantine() on a node also queues a change as a rumour.
bool mergeQuarantine(core::State &Node, const QuarantineRecord &Record,
                     RumourPriority Priority = RumourPriority::Urgent);

// updateServerDigests() adds the servers of a node to the digest if the node is
// live, and removes them otherwise.
void updateServerDigests(core::State &Node, const base::NodeName &Owner);

// forgetServers() removes the servers of a node from routing and the digest.
void forgetServers(core::State &Node, const base::NodeName &Owner);

// announceOrphansGone() announces as gone the servers that other nodes
// attribute to an earlier process of this node and that haven't announced
// themselves to this one by OrphansDeadline.
void announceOrphansGone(core::State &Node);

// forgetExpiredServers() removes servers whose owner has not become known in
// time, and servers whose retention time after their end has passed.
void forgetExpiredServers(core::State &Node);

} // namespace currantgauge::membership

#endif // CURRANTGAUGE_MEMBERSHIP_SERVERS_H
