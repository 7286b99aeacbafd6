// Executes the reducer's effects by passing each one to a traffic thread, a
// peer, the platform or the telemetry. Makes no decisions of its own.
//
//   for (core::Effect &Effect : Effects) executeEffect(Self, Effect);
#ifndef CURRANTGAUGE_RUNTIME_EFFECTS_H
#define CURRANTGAUGE_RUNTIME_EFFECTS_H

#include "currantgauge/base/ids.h"
#include "currantgauge/core/effect.h"
#include "currantgauge/runtime/node.h"

namespace currantgauge::runtime {

// executeEffect() executes one effect, which it may move from. It must be
// called on the control thread and doesn't block.
void executeEffect(Node &Self, core::Effect &Effect);

// removeEntry() releases the handles in Self.Entries of a caller's request.
void removeEntry(Node &Self, base::RequestId Request);

} // namespace currantgauge::runtime

#endif // CURRANTGAUGE_RUNTIME_EFFECTS_H
