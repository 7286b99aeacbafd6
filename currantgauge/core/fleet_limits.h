// Permits of requests under the fleet-wide rate limit of their workspace, as
// part of the reducer. The decisions are in admission/fleet_limit.h.
//
//   if (awaitPermit(Node, Request, Effects)) return;
#ifndef CURRANTGAUGE_CORE_FLEET_LIMITS_H
#define CURRANTGAUGE_CORE_FLEET_LIMITS_H

#include "currantgauge/base/ids.h"
#include "currantgauge/core/effect.h"
#include "currantgauge/core/event.h"
#include "currantgauge/core/operator.h"
#include "currantgauge/core/state.h"

namespace currantgauge::core {

// updateFleetRoster() updates the candidates for homes from the members.
void updateFleetRoster(State &Node, EffectList &Effects);

// awaitPermit() returns true if a request needs a permit. It is then continued
// or refused when the answer comes, which may be at once.
bool awaitPermit(State &Node, EntryRequest &Request, EffectList &Effects);

// cancelPermitWait() ends the wait of a request that ended for another reason.
void cancelPermitWait(State &Node, const EntryRequest &Request);

void onPermitMessage(State &Node, const membership::PeerMessage &Message,
                     EffectList &Effects);
void onPermitSendFailed(State &Node, const PeerSendFailed &Failure,
                        EffectList &Effects);
void onPermitResend(State &Node, const PermitResend &Due, EffectList &Effects);
void onPermitTimeout(State &Node, const PermitTimeout &Due,
                     EffectList &Effects);

// makeFleetLimitTable() lists the workspaces of which this node is the home and
// which have recently used permits, for the status.
OperatorTable makeFleetLimitTable(const State &Node);

} // namespace currantgauge::core

#endif // CURRANTGAUGE_CORE_FLEET_LIMITS_H
