// Action ids: issued by a node, taken once, by the word of the incarnation
// that issued them.
//
//   issueActionId(Node, ActionIdAsked{Request}, Effects);
//   IdAnswer Taken = askForId(Node, Token, Body, Entry, Request);
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

} // namespace currantgauge::actions

#endif // CURRANTGAUGE_ACTIONS_ACTION_IDS_H
