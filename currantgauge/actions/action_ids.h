// Action ids: issued by a node and taken once, by the word of the incarnation
// that issued them. Whoever asks first gets the id's one permission; the node
// that has it, unused, may pass it on.
//
//   onActionIdAsked(Node, ActionIdAsked{Request}, Effects);
//   AttemptOutcome Answer = queryPermission(Node, Facts);
#ifndef CURRANTGAUGE_ACTIONS_ACTION_IDS_H
#define CURRANTGAUGE_ACTIONS_ACTION_IDS_H

#include "currantgauge/base/ids.h"
#include "currantgauge/core/effect.h"
#include "currantgauge/core/event.h"
#include "currantgauge/core/state.h"

namespace currantgauge::actions {

// onActionIdAsked() answers with a fresh id.
void onActionIdAsked(core::State &Node, const core::ActionIdAsked &Asked,
                     core::EffectList &Effects);

// answerPermissionQuery() answers another node's ask for an id: Permitted,
// Elsewhere (a node that knows more), or why the action can't run.
core::AttemptOutcome answerPermissionQuery(core::State &Node,
                                           const core::AttemptFacts &Facts);

// queryPermission() does the same for a request of this entry.
core::AttemptOutcome queryPermission(core::State &Node,
                                     const core::RequestFacts &Facts);

// notePermitted() notes that another node passed an id's permission on to a
// request of this entry.
void notePermitted(core::State &Node, const core::RequestFacts &Facts);

// notePlaced() notes that an attempt with the permission went to an owner.
void notePlaced(core::State &Node, const core::RequestFacts &Facts,
                const base::NodeName &Owner);

// noteNotRun() notes that it did not run there.
void noteNotRun(core::State &Node, const core::RequestFacts &Facts);

// noteRequestEnded() notes that a request no longer uses its permission.
void noteRequestEnded(core::State &Node, const core::RequestFacts &Facts);

// eraseExpiredIds() drops records of ids that have expired.
void eraseExpiredIds(core::State &Node);

} // namespace currantgauge::actions

#endif // CURRANTGAUGE_ACTIONS_ACTION_IDS_H
