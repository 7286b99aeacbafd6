// Garbage collection in the store: removes the rows and manifests of expired
// pushes, accepted or refused, and those of their parts that no kept version
// needs.
//
//   onCollectRound(Node, Effects); // every RoundInterval
#ifndef CURRANTGAUGE_CONFIG_COLLECT_H
#define CURRANTGAUGE_CONFIG_COLLECT_H

#include "currantgauge/config/state.h"
#include "currantgauge/core/effect.h"
#include "currantgauge/core/event.h"
#include "currantgauge/core/state.h"

namespace currantgauge::config {

// scheduleFirstCollection() sets the time of the first collection at random, so
// that nodes that started together don't collect together.
void scheduleFirstCollection(core::State &Node);

// onCollectRound() starts a collection that is due, resumes one that paused at
// the limit of writes per round and ends one whose store call is overdue.
void onCollectRound(core::State &Node, core::EffectList &Effects);

// onCollectAnswered() handles the store's answer to a call of a collection.
// Returns false if the answer is to another call.
bool onCollectAnswered(core::State &Node, const core::StoreAnswered &Answer,
                       core::EffectList &Effects);

// isExpired() returns true if the store no longer needs to keep the push that
// Row records, given that Head is the newest version.
bool isExpired(const Retention &Retention, const HeadRow &Row,
               base::ConfigVersion Head, base::UnixTime Now);

} // namespace currantgauge::config

#endif // CURRANTGAUGE_CONFIG_COLLECT_H
