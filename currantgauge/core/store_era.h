// Detects that the platform's store was restored from an older copy. Revisions
// and ETags of the store are comparable only within one era.
//
//   if (noteStoreEra(Node, Answer, Effects)) ...
#ifndef CURRANTGAUGE_CORE_STORE_ERA_H
#define CURRANTGAUGE_CORE_STORE_ERA_H

#include "currantgauge/base/store.h"
#include "currantgauge/core/effect.h"
#include "currantgauge/core/event.h"
#include "currantgauge/core/state.h"

namespace currantgauge::core {

// noteStoreEra() records the highest era that the store has reported. Returns
// true if the answer shows for the first time that the store was restored, and
// logs and counts that. Call it before noteStoreAnswer().
bool noteStoreEra(State &Node, const StoreAnswered &Answer,
                  EffectList &Effects);

// isOfOlderEra() returns whether a result arrived late, from before the latest
// restore. A result of unknown era is taken to be of the latest one.
bool isOfOlderEra(const StoreStats &Stats, const base::StoreResult &Result);

} // namespace currantgauge::core

#endif // CURRANTGAUGE_CORE_STORE_ERA_H
