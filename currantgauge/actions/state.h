// Non-idempotent actions: claims, action ids, kept responses and quarantine.
//
//   const Claim &ActionClaim = State.Claims.at(claimKey(Facts));
#ifndef CURRANTGAUGE_ACTIONS_STATE_H
#define CURRANTGAUGE_ACTIONS_STATE_H

#include "currantgauge/base/ids.h"
#include "currantgauge/base/units.h"
#include "currantgauge/base/verdict.h"
#include "currantgauge/membership/message.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace currantgauge::actions {

// ClaimPhase is the progress of an action at this node.
enum class ClaimPhase {
  Claiming,  // the row is queued to be written, or being written
  Settling,  // the write's result is unknown: the row is being read
  Running,   // the claim is confirmed and the exchange is running
  Finished,  // the exchange ended and the action ran or may have run
  Releasing, // the action did not run: the row is to be removed
  Idle,      // nothing ran here, but a late write may still create the row
};

// ClaimWrite is the next write to a claim's row.
enum class ClaimWrite { None, Insert, MarkDone, Remove };

// Claim is the state of an action at its owner. Actions by key have a row in
// the platform's table, actions by id have none.
struct Claim {
  ClaimPhase Phase = ClaimPhase::Claiming;
  ClaimWrite Write = ClaimWrite::None;
  bool InFlight = false; // Write is in the current transaction
  bool HasRow = true;    // false for actions by id
  base::AttemptId Attempt;
  base::AttemptId Next; // waits for the release of Attempt's row
  base::BodyHash Body;
  std::string ETag;                         // of the row; empty: none known
  std::set<base::AttemptId> NotRunAttempts; // the row may still name them
  bool InDoubt = false;                     // a lost write may still be applied
  base::Verdict Verdict = base::Verdict::MayHaveRun; // once Finished
  base::Reason Reason = base::Reason::None;
  bool AnswerKept = false;
  base::ByteCount AnswerBytes;
  std::uint32_t Status = 0;
  base::BackendName Server;
};

// IdRecord is an action id in use, as recorded by its issuer and by the entries
// that have held its permission.
struct IdRecord {
  base::BodyHash Body;
  base::NodeName Holder;  // node that holds the permission
  bool Placed = false;    // an attempt with the permission was sent to Holder
  base::RequestId UsedBy; // request of this entry that uses the permission
};

// RetainedClaim is a finished or dropped claim, in order of its end.
struct RetainedClaim {
  base::TimePoint Since; // when it ended
  std::string Key;
  base::AttemptId Attempt;
};

// Transaction is the one transaction of claim rows in flight.
struct Transaction {
  base::CallId Call;
  std::vector<std::string> Keys;
};

// CrashHint is an exchange that broke as if the server's process had crashed.
struct CrashHint {
  base::Fingerprint Fingerprint;
  base::ServiceName Service;
  base::KindName Kind;
  base::BackendName Server;
  base::Incarnation Incarnation; // of the server
  base::TimePoint Since;         // when the exchange broke
};

// ActionState is the state of actions at a node.
struct ActionState {
  std::map<std::string, Claim> Claims;   // by row key or "id/" and id
  std::deque<std::string> ClaimQueue;    // rows that attempts wait for
  std::deque<std::string> DeferredQueue; // done marks and removals
  bool FlushDeferred = false; // send them now, else along with claims
  std::optional<Transaction> InFlight;
  std::size_t RowLimit = 0; // of the next transaction; 0: the default
  std::map<base::CallId, std::string> Reads; // keys of rows being read
  std::set<base::ServiceName> FreedServices; // with slots freed by this event
  std::optional<base::CallId> ScanCall;      // of the row cleanup
  std::optional<base::CallId> RemovalCall;   // of the row cleanup
  base::TimePoint NextScanAt;
  // The last write failed. Until the next ActionRound, deferred writes wait and
  // only one claim at a time tries the store.
  bool StoreFailing = false;
  std::deque<RetainedClaim> RetainedClaims;
  base::ByteCount KeptAnswerBytes;

  std::uint64_t LastId = 0; // sequence of the last id issued
  std::map<base::ActionToken, IdRecord> Ids;
  std::multimap<base::TimePoint, base::ActionToken> IdsByExpiry;

  // Requests that were running when a server crashed: suspected after one
  // server, quarantined after two, or cleared. The records spread among all
  // nodes.
  std::map<base::Fingerprint, membership::QuarantineRecord> Quarantine;
  std::vector<CrashHint> CrashHints; // not yet confirmed or refuted
};

} // namespace currantgauge::actions

#endif // CURRANTGAUGE_ACTIONS_STATE_H
