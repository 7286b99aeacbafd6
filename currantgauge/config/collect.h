// Removing from the store what no kept version needs: the history rows,
// manifests and parts of pushes that expired, those that were refused included.
//
//   onCollectRound(Node, Effects); // every RoundInterval
#ifndef CURRANTGAUGE_CONFIG_COLLECT_H
#define CURRANTGAUGE_CONFIG_COLLECT_H

#include "currantgauge/config/state.h"
#include "currantgauge/core/effect.h"
#include "currantgauge/core/event.h"
#include "currantgauge/core/state.h"

namespace currantgauge::config {

// scheduleFirstCollection() spreads the nodes that started together.
void scheduleFirstCollection(core::State &Node);

// onCollectRound() starts a collection when it is due, and resumes one that
// has paused for its write limit.
void onCollectRound(core::State &Node, core::EffectList &Effects);

// onCollectAnswered() takes an answer of the store. Returns false when it is
// to another call.
bool onCollectAnswered(core::State &Node, const core::StoreAnswered &Answer,
                       core::EffectList &Effects);

// isExpired() says whether the store need not keep a push any longer, when the
// newest version is Head.
bool isExpired(const Retention &Retention, const HeadRow &Row,
               base::ConfigVersion Head, base::UnixTime Now);

} // namespace currantgauge::config

#endif // CURRANTGAUGE_CONFIG_COLLECT_H
