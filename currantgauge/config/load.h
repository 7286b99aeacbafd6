// Loads a version from the store: its manifest, then the parts that the version
// in force doesn't share.
//
//   base::CallId Load = startLoad(Node, Head, std::nullopt, Effects);
#ifndef CURRANTGAUGE_CONFIG_LOAD_H
#define CURRANTGAUGE_CONFIG_LOAD_H

#include "currantgauge/config/state.h"
#include "currantgauge/core/effect.h"
#include "currantgauge/core/event.h"
#include "currantgauge/core/state.h"

#include <optional>

namespace currantgauge::config {

// startLoad() starts to load a version and returns the load's id. The document
// is sent as the reply to OperatorCall, if set, and otherwise passed to
// onVersionLoaded(). If the load fails, the reply has an error, and
// onVersionLoaded() gets none.
base::CallId startLoad(core::State &Node, const HeadRow &Row,
                       std::optional<base::CallId> OperatorCall,
                       core::EffectList &Effects);

// onLoadAnswered() handles the store's answer to a call of a load. Returns
// false if the answer is to another call.
bool onLoadAnswered(core::State &Node, const core::StoreAnswered &Answer,
                    core::EffectList &Effects);

// makeDocumentReply() returns the reply to an operator's query for a version.
core::OperatorReply makeDocumentReply(const ConfigDocument &Document);

} // namespace currantgauge::config

#endif // CURRANTGAUGE_CONFIG_LOAD_H
