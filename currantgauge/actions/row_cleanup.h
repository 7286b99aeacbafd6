// Old rows of the claims table: each node now and then reads a page at a
// random place and removes what is past its retention.
//
//   startCleanup(Node, Effects);
#ifndef CURRANTGAUGE_ACTIONS_ROW_CLEANUP_H
#define CURRANTGAUGE_ACTIONS_ROW_CLEANUP_H

#include "currantgauge/base/units.h"
#include "currantgauge/core/effect.h"
#include "currantgauge/core/event.h"
#include "currantgauge/core/state.h"

namespace currantgauge::actions {

// RowRetention is how long a key is remembered by its row.
constexpr base::Duration RowRetention = base::minutes(24 * 60);

// startCleanup() reads the next page when it is this node's turn.
void startCleanup(core::State &Node, core::EffectList &Effects);

// onCleanupAnswered() takes the page and removes its old rows. Returns false
// when the call is another's.
bool onCleanupAnswered(core::State &Node, const core::StoreAnswered &Answered,
                       core::EffectList &Effects);

} // namespace currantgauge::actions

#endif // CURRANTGAUGE_ACTIONS_ROW_CLEANUP_H
