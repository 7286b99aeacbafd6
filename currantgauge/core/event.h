// The input events of a node's reducer. Each event carries its time, since the
// reducer never reads a clock.
//
//   Event Arrival{Now, Wall, RequestArrived{Facts}};
//   reduce(State, Arrival, Effects);
#ifndef CURRANTGAUGE_CORE_EVENT_H
#define CURRANTGAUGE_CORE_EVENT_H

#include "currantgauge/base/ids.h"
#include "currantgauge/base/store.h"
#include "currantgauge/base/units.h"
#include "currantgauge/base/verdict.h"
#include "currantgauge/config/delta.h"
#include "currantgauge/config/model.h"
#include "currantgauge/config/parts.h"
#include "currantgauge/core/operator.h"
#include "currantgauge/core/request.h"
#include "currantgauge/membership/message.h"
#include "currantgauge/routing/backend_server.h"

#include <string>
#include <variant>
#include <vector>

namespace currantgauge::core {

// Started is the first event of a node.
struct Started {};
// StopRequested starts a graceful shutdown.
struct StopRequested {};
// TimerFired: the time of a WakeAt effect has been reached. It may come when no
// timer is due.
struct TimerFired {};

// RequestArrived: this node, the entry, received a caller's request with body.
struct RequestArrived {
  RequestFacts Facts;
};
// ConnectionEnd says why a caller's connection ended before a request on it was
// answered in full.
enum class ConnectionEnd {
  CallerClosed,
  CallerReset,
  IdleTimeout, // closed by this node
  WriteFailed,
  WriteTimeout,   // the caller took too long to accept the answer
  AnswerCutShort, // the rest of an answer in progress did not come
};
// CallerGone: the connection of a request ended before its answer was written.
struct CallerGone {
  base::RequestId Request;
  ConnectionEnd End = ConnectionEnd::CallerClosed;
  base::Duration SinceRead; // since the request was read in full
};
// InputRefused: invalid input was rejected before it became a request.
struct InputRefused {
  base::Reason Reason = base::Reason::BadRequest;
};
// AnswerBufferFull: the entry's buffer for the answer of an attempt is full.
struct AnswerBufferFull {
  base::AttemptId Attempt;
  std::uint32_t Status = 0; // HTTP status of the answer
};
// AttemptEnded: the entry received the outcome of an attempt.
struct AttemptEnded {
  base::AttemptId Attempt;
  AttemptOutcome Outcome;
};

// ActionIdRequested: a caller requested an action id from this node.
struct ActionIdRequested {
  base::RequestId Request;
};

// AttemptArrived: an entry sent an attempt to this node as the owner.
struct AttemptArrived {
  AttemptFacts Facts;
};
// AttemptCancelled: the entry cancelled an attempt.
struct AttemptCancelled {
  base::AttemptId Attempt;
};
// ExchangeEnded: the HTTP exchange with a backend server ended.
struct ExchangeEnded {
  base::AttemptId Attempt;
  ExchangeOutcome Outcome;
};
// BackendAnnounced: a backend server registered or renewed its lease.
struct BackendAnnounced {
  routing::Announcement Announcement;
};

// PeerMessageArrived: a message from another node was received.
struct PeerMessageArrived {
  membership::PeerMessage Message;
};
// PeerSendFailed: a message could not be delivered to another node.
struct PeerSendFailed {
  base::NodeName Recipient;
  base::NetAddress Address;
};

// StoreAnswered: a call to the platform's store completed or timed out.
struct StoreAnswered {
  base::CallId Call;
  base::StoreResult Result;
};

// ConfigParsed: a configuration document was parsed. Error is empty if it is
// valid.
struct ConfigParsed {
  base::CallId Call;
  config::ConfigurationPtr Config;
  config::PartSetPtr Parts;
  std::string Error;
  base::ConfigVersion Version; // set only for a document of the feed
};
// ConfigFetched: a FetchConfig completed. Found is false if the peer has no
// configuration or the call failed; otherwise Delta is the result of
// config::deltaSince() on that peer.
struct ConfigFetched {
  base::CallId Call;
  bool Found = false;
  config::ConfigDelta Delta;
};

// OperatorCommandReceived: an operator sent a command to this node.
struct OperatorCommandReceived {
  base::CallId Call; // assigned by the operator listener
  OperatorCommand Command;
};

using EventBody =
    std::variant<Started, StopRequested, TimerFired, RequestArrived, CallerGone,
                 InputRefused, AnswerBufferFull, AttemptEnded, AttemptArrived,
                 AttemptCancelled, ExchangeEnded, BackendAnnounced,
                 PeerMessageArrived, PeerSendFailed, StoreAnswered,
                 ConfigParsed, ConfigFetched, OperatorCommandReceived,
                 ActionIdRequested>;

// Event is an event body with the time at which it happened.
struct Event {
  base::TimePoint Now;
  base::UnixTime WallTime;
  EventBody Body;
};

} // namespace currantgauge::core

#endif // CURRANTGAUGE_CORE_EVENT_H
