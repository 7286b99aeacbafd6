// The steps of a push that write to the store: the row that registers its
// objects, the objects, then the head row.
//
//   readBaseManifest(Node, Effects); // the first step
#ifndef CURRANTGAUGE_CONFIG_PUSH_STORE_H
#define CURRANTGAUGE_CONFIG_PUSH_STORE_H

#include "currantgauge/config/state.h"
#include "currantgauge/core/effect.h"
#include "currantgauge/core/event.h"
#include "currantgauge/core/state.h"

namespace currantgauge::config {

// makeNextHead() returns the version that the pending push would become.
HeadRow makeNextHead(const core::State &Node);

// callStoreForPush() sends the pending push's next call.
void callStoreForPush(core::State &Node, PushPhase Phase,
                      base::StoreOperation Operation,
                      core::EffectList &Effects);

// readBaseManifest() starts with the objects of the version that the push
// changes.
void readBaseManifest(core::State &Node, core::EffectList &Effects);

// onBaseManifestRead(), onObjectsRegistered() and onObjectStored() take the
// answers to each step and go on with the next.
void onBaseManifestRead(core::State &Node, const base::StoreResult &Result,
                        core::EffectList &Effects);
void onObjectsRegistered(core::State &Node, const base::StoreResult &Result,
                         core::EffectList &Effects);
void onObjectStored(core::State &Node, const core::StoreAnswered &Answer,
                    core::EffectList &Effects);

// resumeStoring() repeats the step that failed.
void resumeStoring(core::State &Node, core::EffectList &Effects);

} // namespace currantgauge::config

#endif // CURRANTGAUGE_CONFIG_PUSH_STORE_H
