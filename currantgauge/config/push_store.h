// The steps of a push that write to the store: the row that registers its
// objects, the objects, and finally the head row.
//
//   readBaseManifest(Node, Effects); // the first step
#ifndef CURRANTGAUGE_CONFIG_PUSH_STORE_H
#define CURRANTGAUGE_CONFIG_PUSH_STORE_H

#include "currantgauge/config/state.h"
#include "currantgauge/core/effect.h"
#include "currantgauge/core/event.h"
#include "currantgauge/core/state.h"

namespace currantgauge::config {

// makeNextHead() returns the head row that the pending push is to write,
// without StoredManifestHash.
HeadRow makeNextHead(const core::State &Node);

// callStoreForPush() calls the store for the pending push's next phase.
void callStoreForPush(core::State &Node, PushPhase Phase,
                      base::StoreOperation Operation,
                      core::EffectList &Effects);

// readBaseManifest() reads which objects the store has of the push's base
// version; the push's own objects are written next.
void readBaseManifest(core::State &Node, core::EffectList &Effects);

// onBaseManifestRead(), onObjectsRegistered() and onObjectStored() handle
// the answers to the steps and start the next one.
void onBaseManifestRead(core::State &Node, const base::StoreResult &Result,
                        core::EffectList &Effects);
void onObjectsRegistered(core::State &Node, const base::StoreResult &Result,
                         core::EffectList &Effects);
void onObjectStored(core::State &Node, const core::StoreAnswered &Answer,
                    core::EffectList &Effects);

// resumeStoring() repeats the pending push's failed step.
void resumeStoring(core::State &Node, core::EffectList &Effects);

} // namespace currantgauge::config

#endif // CURRANTGAUGE_CONFIG_PUSH_STORE_H
