// Answers operators' queries about the configuration, and dispatches parsed
// documents and the store's answers within the folder config.
//
//   onHistoryRequested(Node, OperatorCall, Effects);
#ifndef CURRANTGAUGE_CONFIG_QUERIES_H
#define CURRANTGAUGE_CONFIG_QUERIES_H

#include "currantgauge/core/effect.h"
#include "currantgauge/core/event.h"
#include "currantgauge/core/state.h"

namespace currantgauge::config {

// onConfigRequested() answers with a version's document; version 0 stands for
// the one in force.
void onConfigRequested(core::State &Node, base::CallId OperatorCall,
                       const core::ConfigShowCommand &Query,
                       core::EffectList &Effects);

// onHistoryRequested() answers with the newest accepted versions, newest first,
// as many as an embedded node keeps or one reply shows.
void onHistoryRequested(core::State &Node, base::CallId OperatorCall,
                        core::EffectList &Effects);

// makeLacksReply() compares the queried hashes with the version in force here:
// hashes of parts if Query names their groups, otherwise hashes of groups.
// Table "lacks" names those that this version doesn't have, table "extra" those
// that it has in addition.
core::OperatorReply makeLacksReply(const core::State &Node,
                                   const core::MissingPartsCommand &Query);

// onConfigParsed() passes a parsed document to the push or catch-up that waits
// for it.
void onConfigParsed(core::State &Node, const core::ConfigParsed &Parsed,
                    core::EffectList &Effects);

// onStoreAnswered() handles the store's answer to a call of this folder.
// Returns false if the call wasn't made by a push, load, collection, catch-up
// or operator's query.
bool onStoreAnswered(core::State &Node, const core::StoreAnswered &Answer,
                     core::EffectList &Effects);

// makeVersionTable() returns, for each failure domain, the number of alive or
// suspect nodes, how many of them have at least the version in force here, and
// their lowest version.
core::OperatorTable makeVersionTable(const core::State &Node);

} // namespace currantgauge::config

#endif // CURRANTGAUGE_CONFIG_QUERIES_H
