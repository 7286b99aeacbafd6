// Repairs what rumours missed. One node sends a hash over everything; where it
// differs, the other answers with a hash a bucket, then both exchange what
// differs in some of the buckets, in messages of bounded size.
//
//   startSync(Node, Peer, Address, Effects);
#ifndef CURRANTGAUGE_MEMBERSHIP_ANTI_ENTROPY_H
#define CURRANTGAUGE_MEMBERSHIP_ANTI_ENTROPY_H

#include "currantgauge/base/ids.h"
#include "currantgauge/base/units.h"
#include "currantgauge/core/effect.h"
#include "currantgauge/core/state.h"
#include "currantgauge/membership/message.h"

#include <cstddef>

namespace currantgauge::membership {

// SyncBudgetBytes bounds a message of anti-entropy, in bytes.
constexpr std::size_t SyncBudgetBytes = 48 * 1024;

// SyncInterval is the time between two comparisons that a node starts.
constexpr base::Duration SyncInterval = base::seconds(10);

// syncRound() starts a comparison with a random peer when one is due.
void syncRound(core::State &Node, core::EffectList &Effects);

// startSync() starts one with a node, To is empty when only its address is
// known.
void startSync(core::State &Node, const base::NodeName &Peer,
               const base::NetAddress &Address, core::EffectList &Effects);

// onSync() answers a message of another node's comparison or of one of ours.
void onSync(core::State &Node, const PeerMessage &Message,
            core::EffectList &Effects);

} // namespace currantgauge::membership

#endif // CURRANTGAUGE_MEMBERSHIP_ANTI_ENTROPY_H
