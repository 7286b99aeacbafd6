// How a version comes into force at a node, and how a node that lags learns of
// a newer one: from gossip, from a peer, or from the store.
//
//   noteVersion(Node, Message, Effects);
#ifndef CURRANTGAUGE_CONFIG_SPREAD_H
#define CURRANTGAUGE_CONFIG_SPREAD_H

#include "currantgauge/base/ids.h"
#include "currantgauge/config/state.h"
#include "currantgauge/core/effect.h"
#include "currantgauge/core/event.h"
#include "currantgauge/core/state.h"
#include "currantgauge/membership/message.h"

namespace currantgauge::config {

// StoreCallTimeout bounds each call of the store.
constexpr base::Duration StoreCallTimeout = base::seconds(2);

// RoundInterval is the time between two looks at what is under way.
constexpr base::Duration RoundInterval = base::milliseconds(1000);

// hasHeadRow() is true where operators push the configuration and the store
// keeps its versions.
bool hasHeadRow(const core::State &Node);

// callStore() asks the store and returns the id of its answer.
base::CallId callStore(core::State &Node, base::StoreOperation Operation,
                       core::EffectList &Effects);

// scheduleFirstRound() sets the first round. Call it once, when the node
// starts.
void scheduleFirstRound(core::State &Node);

// installVersion() puts a version in force unless the one held is as new.
// Returns true when it did.
bool installVersion(core::State &Node, const ConfigDocument &Document,
                    const ConfigurationPtr &Config, core::EffectList &Effects);

// noteVersion() takes the highest accepted version that a peer knows of, and
// fetches it when it is newer: from that peer when it has it, else from
// another one.
void noteVersion(core::State &Node, const membership::PeerMessage &Message,
                 core::EffectList &Effects);

// onConfigFetched() takes a peer's answer to FetchConfig.
void onConfigFetched(core::State &Node, const core::ConfigFetched &Fetched,
                     core::EffectList &Effects);

// onCatchUpParsed() takes a newer version that was parsed. Returns false when
// it is not the one that catching up waits for.
bool onCatchUpParsed(core::State &Node, const core::ConfigParsed &Parsed,
                     core::EffectList &Effects);

// onCatchUpHeadRead() takes the head row as read for catching up. Returns false
// when the answer is to another call.
bool onCatchUpHeadRead(core::State &Node, const core::StoreAnswered &Answer,
                       core::EffectList &Effects);

// onVersionLoaded() takes a version as read from the store, none when that
// failed.
void onVersionLoaded(core::State &Node,
                     const std::optional<ConfigDocument> &Document,
                     core::EffectList &Effects);

// catchUpFromStore() reads a version's parts from the store.
void catchUpFromStore(core::State &Node, const HeadRow &Head,
                      core::EffectList &Effects);

// onConfigRound() retries what has failed and looks for newer versions.
void onConfigRound(core::State &Node, core::EffectList &Effects);

} // namespace currantgauge::config

#endif // CURRANTGAUGE_CONFIG_SPREAD_H
