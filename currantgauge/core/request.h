// Requests and attempts as the reducer sees them, without their bodies. A
// request comes from a caller and is handled by its entry node. An attempt is
// one try to run it, made by the node that owns the chosen backend server.
//
//   AttemptFacts Facts{.Attempt = Request.Current.Id,
//                      .Kind = base::KindName{"commit"}};
#ifndef CURRANTGAUGE_CORE_REQUEST_H
#define CURRANTGAUGE_CORE_REQUEST_H

#include "currantgauge/base/ids.h"
#include "currantgauge/base/units.h"
#include "currantgauge/base/verdict.h"

#include <cstdint>
#include <string>

namespace currantgauge::core {

// RequestFacts describes a caller's request at its entry.
struct RequestFacts {
  base::RequestId Request;
  std::string CallerAttempt; // attempt id set by the caller, for logs only
  std::string Host;          // lower case, without the port
  std::string Method;
  std::string Path;
  base::WorkspaceName Workspace;       // empty: not given
  base::IdempotencyKey IdempotencyKey; // empty: not given
  base::ActionToken Action;            // empty: not given
  base::Duration TimeLeft; // until the caller's deadline; zero: none set
  base::ByteCount BodyBytes;
  base::BodyHash BodyHash;
  base::KeyHash Key; // of the key that identifies the caller; empty: not given
};

// AttemptFacts describes an attempt; the entry sends it to the owner.
struct AttemptFacts {
  base::AttemptId Attempt;
  base::RequestId Request;
  base::NodeName Entry;
  base::ServiceName Service;
  base::KindName Kind;
  base::RankName Rank;
  base::WorkspaceName Workspace;
  base::BackendName PreferredServer;
  base::IdempotencyKey IdempotencyKey;
  base::ActionToken Action;
  base::Fingerprint Fingerprint;
  base::BodyHash BodyHash;
  base::ByteCount BodyBytes;
  base::Duration TimeLeft; // until the attempt's deadline
  base::Duration Waited;   // since the request arrived at its entry
  double Worth = 1;        // relative value of the request, set for its kind
  bool Idempotent = true;
  // 1 plus the earlier attempts of the request that reached a backend server.
  std::uint32_t Number = 1;
  bool Permitted = false; // holds the single permission to run its action id
  // The entry knows another server with free slots: the owner should refuse
  // with LongWait if queueing would make the request miss its latency target
  // (aim), and with BackendSuspect if the request is not idempotent and its
  // server's last exchange failed.
  bool ReturnOnLongWait = false;
};

// Pressure is the load of an owner for a rank of a service, which it reports in
// the outcome of each attempt of that rank.
struct Pressure {
  base::NodeName Owner;
  base::ServiceName Service;
  std::uint32_t RankOrder = UINT32_MAX; // RankSettings::Order; default: none
  // Fraction, 0 to 1, of the rank's attempts that entries should refuse rather
  // than send to this owner.
  double RefusedShare = 0;
  base::Duration QueueDelay; // queued work of the rank per open slot
  // Running and queued attempts of the service divided by its open slots;
  // negative: not reported.
  double Busy = -1;
};

// ExchangeOutcome is the result of one HTTP exchange with a backend server, as
// a traffic thread observed it.
struct ExchangeOutcome {
  base::Reason Reason = base::Reason::None;
  bool AnyByteSent = false; // to the backend server
  // The answer ended as its framing announced or, if the adapter's HttpDialect
  // permits it, with the end of the connection.
  bool AnswerComplete = false;
  bool NewConnection = true;
  std::uint32_t Status = 0;  // HTTP status; 0: none received
  base::Duration RetryAfter; // zero: not given
  base::ByteCount AnswerBytes;
  // The connection was reset or refused in a way that suggests a crash.
  bool SuspectedCrash = false;
  // The server's answer states that it did not run the request.
  bool ConfirmedNotRun = false;
};

// AttemptOutcome is the result of an attempt, as reported to the entry.
struct AttemptOutcome {
  base::Verdict Verdict = base::Verdict::MayHaveRun;
  base::Reason Reason = base::Reason::None;
  std::uint32_t Status = 0; // HTTP status of the backend server; 0: none
  base::Duration RetryAfter;
  base::BackendName Server;
  base::ByteCount AnswerBytes; // size of the body
  Pressure Load;
  // A node that knows more about the action, such as the owner that stores its
  // answer; empty: none.
  base::NodeName ReferredNode;
  bool Permitted = false; // grants the entry the permission of the action id
  // The attempt ended as if the backend server's process had crashed.
  bool ServerCrashed = false;
  // The request is quarantined because of this failure, which therefore doesn't
  // count against the server's health.
  bool RequestAtFault = false;
  double Suspicion = 0; // owner's suspicion that Server is unhealthy, 0 to 1
  base::Duration Held;  // time that the attempt spent at its owner
};

} // namespace currantgauge::core

#endif // CURRANTGAUGE_CORE_REQUEST_H
