// Everything that happens to a node, as data. An event carries its time; the
// reducer reads no clock.
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
// TimerFired says that a timer of the last WakeAt effect may be due.
struct TimerFired {};

// RequestArrived: a caller's request is here, its body read.
struct RequestArrived {
  RequestFacts Facts;
};
// CallerGone: the caller closed its connection before its answer.
struct CallerGone {
  base::RequestId Request;
};
// InputRefused: a connection sent what is no request.
struct InputRefused {
  base::Reason Reason = base::Reason::BadRequest;
};
// AnswerBufferFull: the entry's buffer for an attempt's answer is full.
struct AnswerBufferFull {
  base::AttemptId Attempt;
  std::uint32_t Status = 0;
};
// AttemptEnded: the entry learnt how an attempt ended.
struct AttemptEnded {
  base::AttemptId Attempt;
  AttemptOutcome Outcome;
};

// ActionIdRequested: a caller wants an action id of this node.
struct ActionIdRequested {
  base::RequestId Request;
};

// AttemptArrived: an entry asks this owner to run an attempt.
struct AttemptArrived {
  AttemptFacts Facts;
};
// AttemptCancelled: the entry no longer wants the attempt.
struct AttemptCancelled {
  base::AttemptId Attempt;
};
// ExchangeEnded: the exchange with the backend server ended.
struct ExchangeEnded {
  base::AttemptId Attempt;
  ExchangeOutcome Outcome;
};
// BackendAnnounced: a backend server announced itself or renewed.
struct BackendAnnounced {
  routing::Announcement Announcement;
};

// PeerMessageArrived: another node told this one something.
struct PeerMessageArrived {
  membership::PeerMessage Message;
};
// PeerSendFailed: a message could not be handed to another node.
struct PeerSendFailed {
  base::NodeName Recipient;
  base::NetAddress Address;
};

// StoreAnswered: the platform's service answered, or its time limit passed.
struct StoreAnswered {
  base::CallId Call;
  base::StoreResult Result;
};

// ConfigParsed: a document was parsed; Error is empty when it is valid.
struct ConfigParsed {
  base::CallId Call;
  config::ConfigurationPtr Config;
  config::PartSetPtr Parts;
  std::string Error;
  base::ConfigVersion Version; // of an announced document alone
};
// ConfigFetched: a peer answered a FetchConfig; Found is false when it has
// none, Delta is what config::deltaSince() returned there.
struct ConfigFetched {
  base::CallId Call;
  bool Found = false;
  config::ConfigDelta Delta;
};

// OperatorCommandReceived: an operator's query.
struct OperatorCommandReceived {
  base::CallId Call; // of the operators' listener
  OperatorCommand Command;
};

using EventBody =
    std::variant<Started, StopRequested, TimerFired, RequestArrived, CallerGone,
                 InputRefused, AnswerBufferFull, AttemptEnded, AttemptArrived,
                 AttemptCancelled, ExchangeEnded, BackendAnnounced,
                 PeerMessageArrived, PeerSendFailed, StoreAnswered,
                 ConfigParsed, ConfigFetched, OperatorCommandReceived,
                 ActionIdRequested>;

// Event is what happened and when.
struct Event {
  base::TimePoint Now;
  base::UnixTime Wall;
  EventBody Body;
};

} // namespace currantgauge::core

#endif // CURRANTGAUGE_CORE_EVENT_H
