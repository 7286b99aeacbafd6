// What is passed on from node to node: changed records, a bounded number of
// times each, in messages of bounded size and a bounded rate.
//
//   queueRumour(State, Record);          // after any change of a record
//   flushRumours(Node, Effects);         // reduce() calls it after each event
#ifndef CURRANTGAUGE_MEMBERSHIP_RUMOURS_H
#define CURRANTGAUGE_MEMBERSHIP_RUMOURS_H

#include "currantgauge/base/ids.h"
#include "currantgauge/base/units.h"
#include "currantgauge/core/effect.h"
#include "currantgauge/core/state.h"
#include "currantgauge/membership/message.h"
#include "currantgauge/membership/state.h"
#include "currantgauge/routing/backend_server.h"

#include <cstddef>
#include <cstdint>

namespace currantgauge::membership {

// MessageBudgetBytes bounds every message but those of anti-entropy, in bytes.
constexpr std::size_t MessageBudgetBytes = 1400;

// RateLimitedUpdatesPerSecond bounds what all nodes together tell of changes
// that may wait; more would fill the budget of a large fleet.
constexpr std::int64_t RateLimitedUpdatesPerSecond = 40;

// rateLimitedUpdateInterval() returns the time between two such news of one
// node.
base::Duration rateLimitedUpdateInterval(const MembershipState &State);

// Spread says how a change travels: at once and the full number of times, at
// once, with the next messages that have room, or not at all because the others
// know it already.
enum class RumourPriority { Persistent, Urgent, Deferred, None };

// queueRumour() takes a record's new content into the digest and tells other
// nodes of it. Call it after every change of a record that this node owns; it
// needs no call for renewals.
void queueRumour(MembershipState &State, const MemberRecord &Record,
                 RumourPriority Priority = RumourPriority::Urgent);
void queueRumour(MembershipState &State, const routing::BackendRecord &Record,
                 RumourPriority Priority = RumourPriority::Urgent);
void queueRumour(MembershipState &State, const QuarantineRecord &Record,
                 RumourPriority Priority = RumourPriority::Urgent);

// queueRateLimitedUpdate() is for changes of an own server that may wait and
// come often, such as its usual times. All nodes together send
// RateLimitedUpdatesPerSecond of them.
void queueRateLimitedUpdate(MembershipState &State,
                            const base::BackendName &Server);

// noteDuplicate() counts a rumour as passed on once more, since its sender
// knows it as well. Firm ones are left alone.
void noteDuplicate(MembershipState &State, const RecordKey &Key);

// retransmitLimit() returns how often a node passes on a rumour of a kind.
std::uint32_t retransmitLimit(const MembershipState &State, RecordKind Kind);

// addRumours() adds the rumours that fit into what the message leaves of
// MessageBudgetBytes, and counts them as sent Copies times.
void addRumours(core::State &Node, PeerMessage &Message, std::uint32_t Copies);

// addRecord() adds the present content of a record when it fits the budget.
// Returns false when it does not; a record that is gone counts as added.
bool addRecord(const core::State &Node, const RecordKey &Key,
               PeerMessage &Message, std::size_t &Size, std::size_t Budget);

// flushRumours() sends urgent rumours at once, or sets a timer for them.
void flushRumours(core::State &Node, core::EffectList &Effects);

// onRumourFlush() handles that timer.
void onRumourFlush(core::State &Node);

} // namespace currantgauge::membership

#endif // CURRANTGAUGE_MEMBERSHIP_RUMOURS_H
