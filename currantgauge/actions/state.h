// Non-idempotent actions: claims, action ids, kept answers and quarantine.
//
//   if (State.Quarantine.contains(Print)) refuse(Reason::Quarantined);
#ifndef CURRANTGAUGE_ACTIONS_STATE_H
#define CURRANTGAUGE_ACTIONS_STATE_H

#include "currantgauge/base/ids.h"
#include "currantgauge/membership/message.h"

#include <map>

namespace currantgauge::actions {

// ActionState is what a node knows of actions.
struct ActionState {
  std::map<base::Fingerprint, membership::QuarantineRecord> Quarantine;
};

} // namespace currantgauge::actions

#endif // CURRANTGAUGE_ACTIONS_STATE_H
