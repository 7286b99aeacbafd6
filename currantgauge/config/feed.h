// The configuration as the store's change feed announces it: one row, read once
// and then watched. Versions only rise, whichever way they arrive.
//
//   startFeed(Node, Effects);
//   if (onFeedAnswered(Node, Answer, Effects)) return;
#ifndef CURRANTGAUGE_CONFIG_FEED_H
#define CURRANTGAUGE_CONFIG_FEED_H

#include "currantgauge/core/effect.h"
#include "currantgauge/core/event.h"
#include "currantgauge/core/state.h"

namespace currantgauge::config {

// startFeed() reads the announced row. No effect on a node without a feed.
void startFeed(core::State &Node, core::EffectList &Effects);

// onFeedDue() asks again after a failure, or when an answer is overdue.
void onFeedDue(core::State &Node, core::EffectList &Effects);

// onFeedAnswered() takes an answer of the store. Returns false when it is to
// another call.
bool onFeedAnswered(core::State &Node, const core::StoreAnswered &Answer,
                    core::EffectList &Effects);

// onFeedParsed() takes a version that was parsed. Returns false when it is not
// one of the feed.
bool onFeedParsed(core::State &Node, const core::ConfigParsed &Parsed,
                  core::EffectList &Effects);

} // namespace currantgauge::config

#endif // CURRANTGAUGE_CONFIG_FEED_H
