// The whole state of a node: plain structs, changed by reduce() alone.
//
//   State Node = makeState(Identity, Seed);
#ifndef CURRANTGAUGE_CORE_STATE_H
#define CURRANTGAUGE_CORE_STATE_H

#include "currantgauge/actions/state.h"
#include "currantgauge/admission/queued_attempt.h"
#include "currantgauge/admission/retry.h"
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

// FeedSource is the row of the store that announces the configuration.
struct FeedSource {
  std::string Table; // empty: operators push the configuration
  std::string Key;
};

// NodeIdentity is what a node's settings say of it.
struct NodeIdentity {
  base::NodeName Name;
  base::RegionName Region;
  base::DomainName Domain;
  base::NetAddress PeerAddress;
  base::Incarnation Incarnation; // rises with every start
  // Of attempt ids, drawn at random: nodes that start in the same millisecond
  // have the same Life. Zero: Life counts.
  std::uint64_t Origin = 0;
  std::vector<base::NetAddress> Seeds;
  bool Embedded = false;    // no platform: everything stays in memory
  std::string ActionSecret; // signs action ids; empty: none are issued
  FeedSource Feed;
  base::ServiceName Service; // of the backend server beside; empty: not told
  base::NetAddress BackendAddress; // that server's address; empty: not told
  base::Duration BackendLease;     // zero: routing::LeaseTime
  base::Duration ActionMaxIdle;    // of connections for actions; zero: new ones
  admission::FleetRetryBound Retry;
  base::Duration StopLimit;  // of a graceful shutdown; zero: none
  base::Duration StopLinger; // callers are still served after a stop request
  bool AcceptsKeys = true;   // idempotency keys and action ids of callers
};

// EntryRequest is a caller's request in flight at its entry.
struct EntryRequest {
  RequestFacts Facts;
  config::KindSettings Kind;
  base::TimePoint Arrived;
  base::TimePoint Deadline;
  base::AttemptId CurrentAttempt; // Sequence 0: none is running
  std::uint32_t Attempts = 0;
  std::uint32_t Sends = 0;           // attempts that reached a backend server
  std::uint32_t LongWaitReturns = 0; // by owners whose wait was too long
  std::vector<base::BackendName> Tried;
  base::BackendName CurrentServer;
  base::Fingerprint Fingerprint;
  bool Permitted = false;          // holds the permission of its action id
  std::uint32_t ServerCrashes = 0; // of servers while they ran it
  std::uint32_t Referrals = 0;     // to nodes that know more of its action
  bool Committed = false;          // bytes of an answer went to the caller
  bool MayHaveRun = false;         // some attempt may have run
  bool CurrentNotRun = false;      // by this node as its owner: it did not run
  base::Reason LastReason = base::Reason::None;
  std::vector<AttemptTrace> Trace; // for explain
};

// EntryState is the entry's side of a node.
struct EntryState {
  std::map<base::RequestId, EntryRequest> Requests;
  std::map<base::AttemptId, base::RequestId> RequestByAttempt;
  std::uint64_t LastAttemptSequence = 0;
  RecentRequests Recent;
};

// OwnerState is the owner's side of a node.
struct OwnerState {
  std::map<base::AttemptId, admission::QueuedAttemptPtr> Attempts;
};

// StoreStats is what a node's calls of the platform's service came to.
struct StoreStats {
  base::TimePoint LastAnswer = base::Never;
  std::uint64_t Calls = 0;
  std::uint64_t Unavailable = 0;    // or not reached
  std::uint64_t UnknownOutcome = 0; // may have been applied
  std::uint64_t ConsecutiveFailures = 0;
  std::string LastRowError; // the last error of a row that was logged
};

// State is a node.
struct State {
  NodeIdentity Self;
  base::Random Random;
  base::TimePoint Now;
  base::UnixTime Wall;
  bool Stopping = false;
  base::TimePoint StopRequestedAt; // of Stopping
  bool Ready = false;
  std::uint64_t LastCallId = 0; // of CallId
  TimerQueue Timers;
  config::ConfigState Config;
  routing::RoutingState Routing;
  admission::AdmissionState Admission;
  actions::ActionState Actions;
  membership::MembershipState Membership;
  EntryState Entry;
  OwnerState Owner;
  StoreStats Store;
};

// makeState() returns a node that has seen no event yet.
State makeState(const NodeIdentity &Self, std::uint64_t Seed);

// nextCallId() returns a fresh id for an effect that expects an answer.
inline base::CallId nextCallId(State &Node) {
  return base::CallId(++Node.LastCallId);
}

} // namespace currantgauge::core

#endif // CURRANTGAUGE_CORE_STATE_H
