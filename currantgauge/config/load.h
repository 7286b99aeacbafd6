// Reading a version's parts from the store: its manifest, then the parts that
// this node does not hold.
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

// startLoad() begins to read a version and returns the load's id. Operator is
// answered with the document; without one it is for catching up.
base::CallId startLoad(core::State &Node, const HeadRow &Row,
                       std::optional<base::CallId> OperatorCall,
                       core::EffectList &Effects);

// onLoadAnswered() takes an answer of the store. Returns false when it is to
// another call.
bool onLoadAnswered(core::State &Node, const core::StoreAnswered &Answer,
                    core::EffectList &Effects);

// makeDocumentReply() returns the answer to an operator who asked for a
// version.
core::OperatorReply makeDocumentReply(const ConfigDocument &Document);

} // namespace currantgauge::config

#endif // CURRANTGAUGE_CONFIG_LOAD_H
