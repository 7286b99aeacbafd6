// Dissemination of changed records by gossip. A node sends each change a
// bounded number of times, in messages of bounded size and rate.
//
//   queueRumour(State, Record);          // after any change of a record
//   flushRumours(Node, Effects);         // called by reduce() after each event
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

// MessageBudgetBytes is the maximum size of all messages but those of
// anti-entropy.
constexpr std::size_t MessageBudgetBytes = 1400;

// RateLimitedUpdatesPerSecond bounds queueRateLimitedUpdate() for all nodes
// together; a higher rate would use up the message budget of a large fleet.
constexpr std::int64_t RateLimitedUpdatesPerSecond = 40;

// rateLimitedUpdateInterval() returns the time between two such updates of one
// node.
base::Duration rateLimitedUpdateInterval(const MembershipState &State);

// RumourPriority says how a change is disseminated, from most to least urgent:
// at once and always the full number of times; at once; piggybacked on messages
// that have room; not at all, since other nodes know it already.
enum class RumourPriority { Persistent, Urgent, Deferred, None };

// queueRumour() updates the digest for a record's new content and queues the
// record for dissemination. Call it after every change of a record, made here
// or received; lease renewals need no call. A backend server whose owner isn't
// live is not disseminated.
void queueRumour(MembershipState &State, const MemberRecord &Record,
                 RumourPriority Priority = RumourPriority::Urgent);
void queueRumour(MembershipState &State, const routing::BackendRecord &Record,
                 RumourPriority Priority = RumourPriority::Urgent);
void queueRumour(MembershipState &State, const QuarantineRecord &Record,
                 RumourPriority Priority = RumourPriority::Urgent);

// queueRateLimitedUpdate() queues a frequent, deferrable change of a server
// that this node owns, such as its usual response times. All nodes together
// queue at most about RateLimitedUpdatesPerSecond of them as rumours.
void queueRateLimitedUpdate(MembershipState &State,
                            const base::BackendName &Server);

// noteDuplicate() counts a rumour as sent once more because a peer that already
// knew it has sent it. Persistent rumours are not counted.
void noteDuplicate(MembershipState &State, const RecordKey &Key);

// retransmitLimit() returns how often a node sends a rumour of a record kind.
std::uint32_t retransmitLimit(const MembershipState &State, RecordKind Kind);

// addRumours() adds pending rumours, in send order, that fit into the rest of
// the message's MessageBudgetBytes, and counts each as sent Copies times.
void addRumours(core::State &Node, PeerMessage &Message, std::uint32_t Copies);

// addRecord() adds the current content of a record if it fits Budget, and its
// size to Size. Returns false if it doesn't fit; a record that no longer exists
// counts as added.
bool addRecord(const core::State &Node, const RecordKey &Key,
               PeerMessage &Message, std::size_t &Size, std::size_t Budget);

// flushRumours() queues what routing has changed of servers of this node. It
// then sends urgent rumours or a new configuration version at once, or sets a
// RumourFlush timer if the rate limit is reached.
void flushRumours(core::State &Node, core::EffectList &Effects);

// onRumourFlush() handles a RumourFlush timer; flushRumours() follows the
// event.
void onRumourFlush(core::State &Node);

} // namespace currantgauge::membership

#endif // CURRANTGAUGE_MEMBERSHIP_RUMOURS_H
