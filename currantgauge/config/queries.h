// What operators ask about the configuration.
//
//   onConfigRequested(Node, Asked.Call, core::AskConfigHistory{}, Effects);
#ifndef CURRANTGAUGE_CONFIG_QUERIES_H
#define CURRANTGAUGE_CONFIG_QUERIES_H

#include "currantgauge/core/effect.h"
#include "currantgauge/core/event.h"
#include "currantgauge/core/state.h"

namespace currantgauge::config {

// onConfigRequested() answers with a version's document.
void onConfigRequested(core::State &Node, base::CallId OperatorCall,
                       const core::AskConfig &Query, core::EffectList &Effects);

// onHistoryRequested() answers with the accepted versions, newest first.
void onHistoryRequested(core::State &Node, base::CallId OperatorCall,
                        core::EffectList &Effects);

// makeLacksReply() names the asked parts or groups that the version in force
// here has not, table "lacks", and its own that were not asked for, table
// "extra".
core::OperatorReply makeLacksReply(const core::State &Node,
                                   const core::AskConfigLacks &Query);

// onConfigParsed() takes a parsed document to whatever waits for it.
void onConfigParsed(core::State &Node, const core::ConfigParsed &Parsed,
                    core::EffectList &Effects);

// onStoreAnswered() takes an answer to a call of this component. Returns false
// when the call was not its own.
bool onStoreAnswered(core::State &Node, const core::StoreAnswered &Answer,
                     core::EffectList &Effects);

// makeVersionTable() returns, for each failure domain, how many nodes have the
// version in force here and the lowest version among them.
core::OperatorTable makeVersionTable(const core::State &Node);

} // namespace currantgauge::config

#endif // CURRANTGAUGE_CONFIG_QUERIES_H
