// What operators ask about the configuration.
//
//   onConfigAsked(Node, Asked.Call, core::ConfigHistoryCommand{}, Effects);
#ifndef CURRANTGAUGE_CONFIG_QUERIES_H
#define CURRANTGAUGE_CONFIG_QUERIES_H

#include "currantgauge/core/effect.h"
#include "currantgauge/core/event.h"
#include "currantgauge/core/state.h"

namespace currantgauge::config {

// onConfigAsked() answers with a version's document.
void onConfigAsked(core::State &Node, base::CallId Operator,
                   const core::ConfigShowCommand &Asked,
                   core::EffectList &Effects);

// onHistoryAsked() answers with the accepted versions, newest first.
void onHistoryAsked(core::State &Node, base::CallId Operator,
                    core::EffectList &Effects);

// lacksReply() names the asked parts or groups that the version in force here
// has not, table "lacks", and its own that were not asked for, table "extra".
core::OperatorReply lacksReply(const core::State &Node,
                               const core::MissingPartsCommand &Asked);

// onConfigParsed() takes a parsed document to whatever waits for it.
void onConfigParsed(core::State &Node, const core::ConfigParsed &Parsed,
                    core::EffectList &Effects);

// onStoreAnswered() takes an answer to a call of this component. Returns false
// when the call was not its own.
bool onStoreAnswered(core::State &Node, const core::StoreAnswered &Answer,
                     core::EffectList &Effects);

// spreadTable() returns, for each failure domain, how many nodes have the
// version in force here and the lowest version among them.
core::OperatorTable spreadTable(const core::State &Node);

} // namespace currantgauge::config

#endif // CURRANTGAUGE_CONFIG_QUERIES_H
