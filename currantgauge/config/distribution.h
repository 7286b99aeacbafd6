// Distribution of configuration versions: installs a version at a node. Brings
// a lagging node up to date (a catch-up) from its peers or from the store.
//
//   noteVersion(Node, Message, Effects);
#ifndef CURRANTGAUGE_CONFIG_DISTRIBUTION_H
#define CURRANTGAUGE_CONFIG_DISTRIBUTION_H

#include "currantgauge/base/ids.h"
#include "currantgauge/config/state.h"
#include "currantgauge/core/effect.h"
#include "currantgauge/core/event.h"
#include "currantgauge/core/state.h"
#include "currantgauge/membership/message.h"

namespace currantgauge::config {

// StoreCallTimeout is the timeout of the calls that callStore() makes.
constexpr base::Duration StoreCallTimeout = base::seconds(2);

// RoundInterval is the time between two calls of onConfigRound().
constexpr base::Duration RoundInterval = base::milliseconds(1000);

// hasHeadRow() returns true if operators push the configuration and the store
// keeps its versions, and false at an embedded node or one with a change feed.
bool hasHeadRow(const core::State &Node);

// callStore() starts a store call and returns its id.
base::CallId callStore(core::State &Node, base::StoreOperation Operation,
                       core::EffectList &Effects);

// scheduleFirstRound() sets the timer of the first round. Call it once, when
// the node starts.
void scheduleFirstRound(core::State &Node);

// installVersion() puts a version in force if it is newer than the present one
// and Config is not null. Returns true if it did.
bool installVersion(core::State &Node, const ConfigDocument &Document,
                    const ConfigurationPtr &Config, core::EffectList &Effects);

// noteVersion() records the highest accepted version that a peer knows. If it
// is newer than the one in force, starts to fetch it, preferably from that
// peer, unless a catch-up is in progress or this node can't parse that version.
void noteVersion(core::State &Node, const membership::PeerMessage &Message,
                 core::EffectList &Effects);

// onConfigFetched() handles a peer's reply to FetchConfig.
void onConfigFetched(core::State &Node, const core::ConfigFetched &Fetched,
                     core::EffectList &Effects);

// onCatchUpParsed() handles the parsed document of a catch-up. Returns false if
// Parsed is the result of another call.
bool onCatchUpParsed(core::State &Node, const core::ConfigParsed &Parsed,
                     core::EffectList &Effects);

// onCatchUpHeadRead() handles the head row read by a catch-up. Returns false if
// the answer is to another call.
bool onCatchUpHeadRead(core::State &Node, const core::StoreAnswered &Answer,
                       core::EffectList &Effects);

// onVersionLoaded() handles a version that a catch-up loaded from the store,
// none if the load failed.
void onVersionLoaded(core::State &Node,
                     const std::optional<ConfigDocument> &Document,
                     core::EffectList &Effects);

// catchUpFromStore() starts a catch-up that loads the version Head from the
// store.
void catchUpFromStore(core::State &Node, const HeadRow &Head,
                      core::EffectList &Effects);

// onConfigRound() does the periodic work: it retries failed steps of catch-ups
// and pushes, checks for newer versions, runs the garbage collection and makes
// a starting node ready.
void onConfigRound(core::State &Node, core::EffectList &Effects);

} // namespace currantgauge::config

#endif // CURRANTGAUGE_CONFIG_DISTRIBUTION_H
