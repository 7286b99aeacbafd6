// Requests and attempts as the decisions see them: never their bytes. A request
// is a caller's; an attempt is one try of it at the owner of a backend server.
//
//   AttemptFacts Facts{.Attempt = newAttempt(State), .Kind =
//   KindName{"commit"}};
#ifndef CURRANTGAUGE_CORE_REQUEST_H
#define CURRANTGAUGE_CORE_REQUEST_H

#include "currantgauge/base/ids.h"
#include "currantgauge/base/units.h"
#include "currantgauge/base/verdict.h"

#include <cstdint>
#include <string>

namespace currantgauge::core {

// RequestFacts is what the entry knows of a caller's request.
struct RequestFacts {
  base::RequestId Request;
  std::string CallerAttempt; // the caller's own id, for logs; empty: none given
  std::string Host;          // in lower case, without a port
  std::string Method;
  std::string Path;
  base::WorkspaceName Workspace; // empty: none named
  base::IdempotencyKey Key;      // empty: none given
  base::ActionToken Action;      // empty: none given
  base::Duration TimeLeft;       // zero: the caller set no deadline
  base::ByteCount BodyBytes;
  base::BodyHash Body;
};

// AttemptFacts is what travels from the entry to the owner.
struct AttemptFacts {
  base::AttemptId Attempt;
  base::RequestId Request;
  base::NodeName Entry;
  base::ServiceName Service;
  base::KindName Kind;
  base::RankName Rank;
  base::WorkspaceName Workspace;
  base::BackendName Preferred;
  base::IdempotencyKey Key;
  base::ActionToken Action;
  base::Fingerprint Fingerprint;
  base::BodyHash Body;
  base::ByteCount BodyBytes;
  base::Duration TimeLeft;
  base::Duration Waited; // since the request arrived at its entry
  double Worth = 1;
  bool Idempotent = true;
  // 1 until an attempt of the request has reached a backend server.
  std::uint32_t Number = 1;
  bool Permitted = false; // bears the one permission of its action id
  // The entry knows of another server with room: it wants the attempt back
  // where the wait would cost the aim.
  bool ReturnOnLongWait = false;
};

// Pressure is what an owner tells an entry of a rank's queue, in each answer to
// that rank.
struct Pressure {
  base::NodeName Owner;
  base::ServiceName Service;
  std::uint32_t RefusedOrder = UINT32_MAX; // the rank's order
  double RefusedShare = 0;                 // of the rank's work
  base::Duration QueueDelay;
  // Running and waiting attempts of the service, by its open slots; below 0:
  // not told.
  double Busy = -1;
};

// ExchangeOutcome is what a traffic thread saw of one exchange.
struct ExchangeOutcome {
  base::Reason Reason = base::Reason::None;
  bool AnyByteSent = false;    // to the backend server
  bool AnswerComplete = false; // every announced byte arrived
  bool NewConnection = true;
  std::uint32_t Status = 0;  // HTTP status, 0 when none arrived
  base::Duration RetryAfter; // zero: none given
  base::ByteCount AnswerBytes;
  bool SuspectedCrash = false; // reset or refusal that hints at a crash
  bool ConfirmedNotRun =
      false; // the server's answer says that it did not run it
};

// AttemptOutcome is how an attempt ended, as the entry learns it.
struct AttemptOutcome {
  base::Verdict Verdict = base::Verdict::MayHaveRun;
  base::Reason Reason = base::Reason::None;
  std::uint32_t Status = 0; // of the backend server's answer, 0: none
  base::Duration RetryAfter;
  base::BackendName Server;
  base::ByteCount AnswerBytes; // of the body
  Pressure Load;
  base::NodeName
      ReferredNode;        // owner that holds the action's answer; else empty
  bool Permitted = false;  // the entry now holds the action id's permission
  bool ServerDied = false; // the backend server's process died meanwhile
  // The request is quarantined for it: no evidence against the server.
  bool RequestAtFault = false;
  double Suspicion = 0; // owner's evidence against Server, 0 to 1
  base::Duration Held;  // from the attempt's arrival at its owner to its end
};

} // namespace currantgauge::core

#endif // CURRANTGAUGE_CORE_REQUEST_H
