// Anti-entropy: repairs differences between nodes that rumours left behind. One
// node sends a hash over all of its records. If the peer's hash differs, it
// replies with a hash per bucket. The two nodes then exchange the records that
// differ in some of the differing buckets, in messages of bounded size.
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

// SyncBudgetBytes is the maximum size of an anti-entropy message with records.
constexpr std::size_t SyncBudgetBytes = 48 * 1024;

// SyncInterval is the time between two comparisons started by a node, without
// jitter.
constexpr base::Duration SyncInterval = base::seconds(10);

// syncRound() starts a comparison with a random peer when one is due.
void syncRound(core::State &Node, core::EffectList &Effects);

// startSync() starts a comparison with the node at Address. Peer is empty if
// its name is unknown.
void startSync(core::State &Node, const base::NodeName &Peer,
               const base::NetAddress &Address, core::EffectList &Effects);

// onSync() replies to a comparison message, whichever node started the
// comparison. The caller has merged the message's records.
void onSync(core::State &Node, const PeerMessage &Message,
            core::EffectList &Effects);

} // namespace currantgauge::membership

#endif // CURRANTGAUGE_MEMBERSHIP_ANTI_ENTROPY_H
