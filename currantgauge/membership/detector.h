// Finds nodes that answer nobody: a ping a round, then the same ping through
// other nodes, then suspicion, which the node may refute.
//
//   probeRound(Node, Effects); // once a round
#ifndef CURRANTGAUGE_MEMBERSHIP_DETECTOR_H
#define CURRANTGAUGE_MEMBERSHIP_DETECTOR_H

#include "currantgauge/core/effect.h"
#include "currantgauge/core/event.h"
#include "currantgauge/core/state.h"
#include "currantgauge/core/timer.h"
#include "currantgauge/membership/message.h"

namespace currantgauge::membership {

// probeRound() pings the next member of the ring and the next in turn, and now
// and then one of another region, one whose path failed and one that is thought
// dead.
void probeRound(core::State &Node, core::EffectList &Effects);

// onProbeTimeout() asks other nodes for help, or suspects the member.
void onProbeTimeout(core::State &Node, const core::ProbeTimeout &Timeout,
                    core::EffectList &Effects);

// onSendFailed() ends the wait of a direct probe that could not be sent.
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
