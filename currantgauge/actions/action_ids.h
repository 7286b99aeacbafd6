// Issue and use of action ids, with which a request runs at most once. Only the
// process that issued an id decides on its first use. The first query gets the
// id's one permission; the node that holds it unused may pass it on.
//
//   onActionIdRequested(Node, ActionIdRequested{Request}, Effects);
//   AttemptOutcome Answer = queryPermission(Node, Facts);
#ifndef CURRANTGAUGE_ACTIONS_ACTION_IDS_H
#define CURRANTGAUGE_ACTIONS_ACTION_IDS_H

#include "currantgauge/base/ids.h"
#include "currantgauge/core/effect.h"
#include "currantgauge/core/event.h"
#include "currantgauge/core/state.h"

namespace currantgauge::actions {

// onActionIdRequested() issues a new id, or refuses if this node has no secret
// to sign it with or is stopping.
void onActionIdRequested(core::State &Node,
                         const core::ActionIdRequested &Requested,
                         core::EffectList &Effects);

// answerPermissionQuery() answers another node's query for an id's permission:
// Permitted, ReferredNode (the node to query instead), or the reason of a
// refusal.
core::AttemptOutcome answerPermissionQuery(core::State &Node,
                                           const core::AttemptFacts &Facts);

// queryPermission() does the same for a request that this node received.
core::AttemptOutcome queryPermission(core::State &Node,
                                     const core::RequestFacts &Facts);

// notePermitted() records that another node passed an id's permission to a
// request of this entry.
void notePermitted(core::State &Node, const core::RequestFacts &Facts);

// notePlaced() records that an attempt with the permission was sent to an
// owner.
void notePlaced(core::State &Node, const core::RequestFacts &Facts,
                const base::NodeName &Owner);

// noteNotRun() records that the attempt did not run at the owner, so that this
// node holds the permission again.
void noteNotRun(core::State &Node, const core::RequestFacts &Facts);

// noteRequestEnded() records that a request no longer uses its permission.
void noteRequestEnded(core::State &Node, const core::RequestFacts &Facts);

// eraseExpiredIds() erases the records of ids that expired some time ago.
void eraseExpiredIds(core::State &Node);

} // namespace currantgauge::actions

#endif // CURRANTGAUGE_ACTIONS_ACTION_IDS_H
