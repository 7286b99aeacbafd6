// Follows the configuration that the store's change feed announces in one row:
// reads the row, then watches it, and reads it again if the store lost its
// history or was restored from a copy. Versions never decrease, whichever way
// they arrive.
//
//   startFeed(Node, Effects);
//   if (onFeedAnswered(Node, Answer, Effects)) return;
#ifndef CURRANTGAUGE_CONFIG_FEED_H
#define CURRANTGAUGE_CONFIG_FEED_H

#include "currantgauge/core/effect.h"
#include "currantgauge/core/event.h"
#include "currantgauge/core/state.h"

namespace currantgauge::config {

// startFeed() starts to read the row that announces the configuration. It has
// no effect on a node without a feed.
void startFeed(core::State &Node, core::EffectList &Effects);

// onFeedDue() makes the next call when a retry delay is over.
void onFeedDue(core::State &Node, core::EffectList &Effects);

// onFeedAnswered() handles the store's answer to a call of the feed. Returns
// false if the answer is to another call.
bool onFeedAnswered(core::State &Node, const core::StoreAnswered &Answer,
                    core::EffectList &Effects);

// onStoreRestored() reads the row again if the pending watch was started before
// the restore. Call it after the answer that revealed the restore was handled.
void onStoreRestored(core::State &Node, core::EffectList &Effects);

// onFeedParsed() handles a parsed version of the feed. Returns false if the
// version is not from the feed.
bool onFeedParsed(core::State &Node, const core::ConfigParsed &Parsed,
                  core::EffectList &Effects);

} // namespace currantgauge::config

#endif // CURRANTGAUGE_CONFIG_FEED_H
