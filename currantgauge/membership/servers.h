// Backend servers as other nodes tell of them: whose word counts, and what
// becomes of them when their owner goes.
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

// mergeBackend() takes word of a backend server. Returns true when it was
// news; it is passed on then, as How says.
bool mergeBackend(core::State &Node, const routing::BackendRecord &Record,
                  RumourPriority Priority = RumourPriority::Urgent);

// mergeQuarantine() takes word of a quarantine into a table. Of two open ones
// the crashed servers are joined; one that was cleared ends those that are not
// later than it, so clearing sets Since. Returns true when the table changed.
bool mergeQuarantine(std::map<base::Fingerprint, QuarantineRecord> &Table,
                     const QuarantineRecord &Record);

// mergeQuarantine() on a node also passes the news on.
bool mergeQuarantine(core::State &Node, const QuarantineRecord &Record,
                     RumourPriority Priority = RumourPriority::Urgent);

// updateServerDigests() takes the servers of a node into the digest or out of
// it, as the node lives or not.
void updateServerDigests(core::State &Node, const base::NodeName &Owner);

// forgetServers() drops the servers of a node.
void forgetServers(core::State &Node, const base::NodeName &Owner);

// announceOrphansGone() tells the fleet that servers are gone which it takes
// for this node's, from before its start.
void announceOrphansGone(core::State &Node);

// forgetExpiredServers() drops servers whose owner no node has named in
// time, and servers that have been gone for long.
void forgetExpiredServers(core::State &Node);

} // namespace currantgauge::membership

#endif // CURRANTGAUGE_MEMBERSHIP_SERVERS_H
