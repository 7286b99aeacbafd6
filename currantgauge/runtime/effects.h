// Carries effects out: each is handed to a traffic thread, a peer, the platform
// or the telemetry. Nothing is decided here.
//
//   for (core::Effect &Each : Effects) carryOut(Self, Each);
#ifndef CURRANTGAUGE_RUNTIME_EFFECTS_H
#define CURRANTGAUGE_RUNTIME_EFFECTS_H

#include "currantgauge/base/ids.h"
#include "currantgauge/core/effect.h"
#include "currantgauge/runtime/node.h"

namespace currantgauge::runtime {

// carryOut() runs on the control thread and does not block.
void carryOut(Node &Self, core::Effect &What);

// forgetEntry() drops the handles of a caller's request.
void forgetEntry(Node &Self, base::RequestId Request);

} // namespace currantgauge::runtime

#endif // CURRANTGAUGE_RUNTIME_EFFECTS_H
