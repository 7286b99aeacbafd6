// Cleanup of the claims table: each node periodically reads a page of rows at a
// random position and removes those past their retention.
//
//   startCleanup(Node, Effects);
#ifndef CURRANTGAUGE_ACTIONS_ROW_CLEANUP_H
#define CURRANTGAUGE_ACTIONS_ROW_CLEANUP_H

#include "currantgauge/base/units.h"
#include "currantgauge/core/effect.h"
#include "currantgauge/core/event.h"
#include "currantgauge/core/state.h"

namespace currantgauge::actions {

// RowRetention is how long a key's row is kept at least.
constexpr base::Duration RowRetention = base::minutes(24 * 60);

// startCleanup() starts the next scan if it is due.
void startCleanup(core::State &Node, core::EffectList &Effects);

// onCleanupAnswered() handles the result of a scan or removal. Returns false if
// the call is not part of the cleanup.
bool onCleanupAnswered(core::State &Node, const core::StoreAnswered &Answered,
                       core::EffectList &Effects);

} // namespace currantgauge::actions

#endif // CURRANTGAUGE_ACTIONS_ROW_CLEANUP_H
