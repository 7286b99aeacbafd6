// The steps of a push that write to the store: the row that registers its
// objects, the objects, then the head row.
//
//   readManifest(Node, Effects); // the first step
#ifndef CURRANTGAUGE_CONFIG_PUSH_STORE_H
#define CURRANTGAUGE_CONFIG_PUSH_STORE_H

#include "currantgauge/config/state.h"
#include "currantgauge/core/effect.h"
#include "currantgauge/core/event.h"
#include "currantgauge/core/state.h"

namespace currantgauge::config {

// nextRow() returns the version that the pending push would become.
HeadRow nextRow(const core::State &Node);

// askStore() sends the pending push's next call.
void askStore(core::State &Node, PushPhase Phase,
              base::StoreOperation Operation, core::EffectList &Effects);

// readManifest() starts with the objects of the version that the push changes.
void readManifest(core::State &Node, core::EffectList &Effects);

// onManifestAnswered(), onRegistered() and onStored() take the answers to each
// step and go on with the next.
void onManifestAnswered(core::State &Node, const base::StoreResult &Result,
                        core::EffectList &Effects);
void onRegistered(core::State &Node, const base::StoreResult &Result,
                  core::EffectList &Effects);
void onStored(core::State &Node, const core::StoreAnswered &Answer,
              core::EffectList &Effects);

// resumeStoring() repeats the step that failed.
void resumeStoring(core::State &Node, core::EffectList &Effects);

} // namespace currantgauge::config

#endif // CURRANTGAUGE_CONFIG_PUSH_STORE_H
