// The complete state of a node, as plain structs that only reduce() modifies.
//
//   State Node = makeState(Identity, Seed);
#ifndef CURRANTGAUGE_CORE_STATE_H
#define CURRANTGAUGE_CORE_STATE_H

#include "currantgauge/actions/state.h"
#include "currantgauge/admission/fleet_limit.h"
#include "currantgauge/admission/fleet_retry.h"
#include "currantgauge/admission/queued_attempt.h"
#include "currantgauge/admission/state.h"
#include "currantgauge/base/ids.h"
#include "currantgauge/base/random.h"
#include "currantgauge/base/units.h"
#include "currantgauge/config/state.h"
#include "currantgauge/core/explain.h"
#include "currantgauge/core/request.h"
#include "currantgauge/core/timer.h"
#include "currantgauge/membership/state.h"
#include "currantgauge/routing/state.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace currantgauge::core {

// FeedSource identifies the store row that announces the configuration.
struct FeedSource {
  std::string Table; // empty: operators push the configuration
  std::string Key;
};

// PolicySwitches select policies that suit some loads only.
struct PolicySwitches {
  bool UnevenServers = false;  // servers differ in speed and fail in spells
  bool ShortageByCost = false; // refusals and order by their cost to callers
};

// NodeIdentity holds what a node knows about itself from its settings.
struct NodeIdentity {
  base::NodeName Name;
  base::RegionName Region;
  base::DomainName Domain;
  base::NetAddress PeerAddress;
  base::Incarnation Incarnation; // increases with every start
  // Random origin of attempt ids. Incarnation isn't unique in the fleet: nodes
  // that start in the same millisecond share it. Zero: Incarnation is used.
  std::uint64_t Origin = 0;
  std::vector<base::NetAddress> Seeds;
  bool Embedded = false;    // no platform; all data is kept in memory
  std::string ActionSecret; // key that signs action ids; empty: none are issued
  FeedSource Feed;
  // Service of the backend server on the same VM; empty: not configured.
  base::ServiceName Service;
  base::NetAddress BackendAddress; // of that server; empty: not configured
  base::Duration BackendLease;     // zero: use routing::LeaseTime
  // Maximum idle time of pooled connections that actions may use; zero: actions
  // always use new connections.
  base::Duration ActionMaxIdle;
  admission::FleetRetryBound RetryBound;
  base::Duration StopLimit; // maximum time of a graceful shutdown; zero: none
  // Requests are still accepted for this long after StopRequested.
  base::Duration StopLinger;
  bool AcceptsKeys = true; // honors callers' idempotency keys and action ids
  bool FirstStart = false; // of the whole fleet; no node has run before
  PolicySwitches Policy;
};

// EntryAttempt is an attempt of a request that is in flight.
struct EntryAttempt {
  base::AttemptId Id; // Sequence 0: not in flight
  base::BackendName Server;
  bool NotRun = false; // this node, as the owner, ended it as not run
};

// EntryRequest is the state of a caller's request in flight at its entry.
struct EntryRequest {
  RequestFacts Facts;
  config::KindSettings Kind;
  base::TimePoint ArrivedAt;
  base::TimePoint Deadline;
  EntryAttempt Current;
  // A trial that continues after its timeout, beside the next attempts. The
  // first complete answer is delivered. Sends includes it.
  EntryAttempt SlowTrial;
  bool RetryScheduled = false;
  std::uint32_t Attempts = 0;        // without referrals and LongWait returns
  std::uint32_t Sends = 0;           // attempts that reached a backend server
  std::uint32_t LongWaitReturns = 0; // attempts returned with LongWait
  std::vector<base::BackendName> Tried;
  base::Fingerprint Fingerprint;
  bool Permitted = false;          // holds the permission of its action id
  std::uint32_t ServerCrashes = 0; // attempts during which the server crashed
  std::uint32_t Referrals = 0; // attempts sent to nodes that know the action
  bool Committed = false;      // the caller has received part of an answer
  bool MayHaveRun = false;     // some attempt may have run
  base::Reason LastReason = base::Reason::None;
  std::vector<AttemptTrace> Trace; // for the explain command
  bool AwaitsPermit = false; // under the fleet-wide limit of its workspace
};

// EntryState is the state of a node in its role as entry.
struct EntryState {
  std::map<base::RequestId, EntryRequest> Requests;
  std::map<base::AttemptId, base::RequestId> RequestByAttempt;
  std::uint64_t LastAttemptSequence = 0;
  RecentRequests Recent;
};

// OwnerState holds the attempts that a node handles as owner, until they end.
struct OwnerState {
  std::map<base::AttemptId, admission::QueuedAttemptPtr> Attempts;
};

// StoreStats counts the results of a node's calls to the platform's store.
struct StoreStats {
  base::TimePoint LastAnswerTime = base::Never; // Never: no answer yet
  std::uint64_t Calls = 0;
  std::uint64_t Unavailable = 0;    // refused, or the store was unreachable
  std::uint64_t UnknownOutcome = 0; // may have been applied
  std::uint64_t ConsecutiveFailures = 0;
  std::string LastRowError;   // last logged error about a malformed row
  base::StoreEra Era;         // the highest reported
  std::uint64_t Restores = 0; // of the store, as far as this node has seen
};

// State is the complete state of a node.
struct State {
  NodeIdentity Self;
  base::Random Random;
  base::TimePoint Now;
  base::UnixTime WallTime;
  base::TimePoint StartedAt;
  bool Stopping = false;
  base::TimePoint StopRequestedAt; // meaningful if Stopping
  bool Ready = false;
  std::uint64_t LastCallId = 0;
  TimerQueue Timers;
  config::ConfigState Config;
  routing::RoutingState Routing;
  admission::AdmissionState Admission;
  actions::ActionState Actions;
  membership::MembershipState Membership;
  EntryState Entry;
  OwnerState Owner;
  StoreStats Store;
  admission::FleetLimitState FleetLimits;
};

// makeState() returns the state of a node before its first event.
State makeState(const NodeIdentity &Self, std::uint64_t Seed);

// nextCallId() returns a new id for an effect whose reply is an event.
inline base::CallId nextCallId(State &Node) {
  return base::CallId(++Node.LastCallId);
}

} // namespace currantgauge::core

#endif // CURRANTGAUGE_CORE_STATE_H
