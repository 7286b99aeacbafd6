// SWIM failure detector: pings members every round. A member that does not
// answer is pinged through other nodes and then suspected, which it can refute.
//
//   probeRound(Node, Effects); // once per round
#ifndef CURRANTGAUGE_MEMBERSHIP_DETECTOR_H
#define CURRANTGAUGE_MEMBERSHIP_DETECTOR_H

#include "currantgauge/core/effect.h"
#include "currantgauge/core/event.h"
#include "currantgauge/core/state.h"
#include "currantgauge/core/timer.h"
#include "currantgauge/membership/message.h"

namespace currantgauge::membership {

// probeRound() probes the next member in probe order (sometimes a member of
// another region instead), this node's successor on the ring, one member whose
// direct path has failed and, in some rounds, a member that is recorded as
// dead.
void probeRound(core::State &Node, core::EffectList &Effects);

// onProbeTimeout() starts the indirect probe after a direct one, and suspects
// the member after an indirect one. It drops the probe if the timer fired so
// late that this node must have been paused.
void onProbeTimeout(core::State &Node, const core::ProbeTimeout &Timeout,
                    core::EffectList &Effects);

// onSendFailed() starts the indirect probe of a member at once if a message to
// it could not be sent while it is being probed directly.
void onSendFailed(core::State &Node, const core::PeerSendFailed &Failure,
                  core::EffectList &Effects);

void onPing(core::State &Node, const PeerMessage &Message,
            core::EffectList &Effects);
void onPingRequest(core::State &Node, const PeerMessage &Message,
                   core::EffectList &Effects);
void onAck(core::State &Node, const PeerMessage &Message,
           core::EffectList &Effects);

} // namespace currantgauge::membership

#endif // CURRANTGAUGE_MEMBERSHIP_DETECTOR_H
