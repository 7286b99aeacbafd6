// Non-idempotent actions: claims, action ids, kept answers and quarantine.
//
//   const Claim &Of = State.Claims.at(claimKey(Facts));
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

// ClaimPhase is how far this node is with an action.
enum class ClaimPhase {
  Claiming,  // its row is to be written, or is being written
  Settling,  // the write's answer was lost: its row is being read
  Running,   // the action is this node's and its exchange runs
  Finished,  // the exchange ended, and the action ran or may have run
  Releasing, // it did not run: its row is to be removed
  Idle,      // nothing of this node ran; a late write may still make a row
};

// ClaimWrite is the next write that a claim's row needs.
enum class ClaimWrite { None, Insert, MarkDone, Remove };

// Claim is an action as its owner knows it. An action by key has a row in the
// platform's table; one by id has none.
struct Claim {
  ClaimPhase Phase = ClaimPhase::Claiming;
  ClaimWrite Write = ClaimWrite::None;
  bool InFlight = false; // Write is part of the running transaction
  bool HasRow = true;    // by key
  base::AttemptId Attempt;
  base::AttemptId Next; // waits until the row of Attempt is released
  base::BodyHash Body;
  std::string ETag;                         // of the row, empty: none is known
  std::set<base::AttemptId> NotRunAttempts; // that a row may still name
  bool InDoubt = false; // a write of this node may still be applied
  base::Verdict Verdict = base::Verdict::MayHaveRun; // once Finished
  base::Reason Reason = base::Reason::None;
  bool AnswerKept = false;
  base::ByteCount AnswerBytes;
  std::uint32_t Status = 0;
  base::BackendName Server;
};

// IdRecord is an action id that was taken, as its issuer and the entries that
// held its permission know it.
struct IdRecord {
  base::BodyHash Body;
  base::NodeName Holder;  // node that knows more
  bool Placed = false;    // an attempt with the permission went to Holder
  base::RequestId UsedBy; // of this entry, while it uses the permission
};

// Retained is a finished claim in the order of its end.
struct RetainedClaim {
  base::TimePoint Since;
  std::string Key;
  base::AttemptId Attempt;
};

// Transaction is the one write of claims in flight.
struct Transaction {
  base::CallId Call;
  std::vector<std::string> Keys;
};

// CrashHint is an exchange that broke as if the server's process had died.
struct CrashHint {
  base::Fingerprint Fingerprint;
  base::ServiceName Service;
  base::KindName Kind;
  base::BackendName Server;
  base::Incarnation Incarnation; // of the server
  base::TimePoint Since;
};

// ActionState is what a node knows of actions.
struct ActionState {
  std::map<std::string, Claim> Claims;   // by row key, or by id
  std::deque<std::string> ClaimQueue;    // rows that an attempt waits for
  std::deque<std::string> DeferredQueue; // done marks and removals
  bool FlushDeferred = false; // else they wait for a transaction of claims
  std::optional<Transaction> InFlight;
  std::size_t RowLimit = 0; // of the next transaction; 0: the usual one
  std::map<base::CallId, std::string> Reads; // settling reads, by claim
  std::set<base::ServiceName>
      FreedServices;                    // slots freed by the running answer
  std::optional<base::CallId> ScanCall; // of the clean-up
  std::optional<base::CallId> RemovalCall;
  base::TimePoint NextScanAt;
  bool StoreFailing = false; // the last write failed: upkeep waits a round
  std::deque<RetainedClaim> RetainedClaims;
  base::ByteCount KeptAnswerBytes;

  std::uint64_t LastId = 0; // of the ids issued
  std::map<base::ActionToken, IdRecord> Ids;
  std::multimap<base::TimePoint, base::ActionToken> IdsByExpiry;

  // Requests that were running when a server died: suspected after one,
  // quarantined after two, or cleared. Nodes tell each other of them.
  std::map<base::Fingerprint, membership::QuarantineRecord> Quarantine;
  std::vector<CrashHint> CrashHints; // until its server's word tells
};

} // namespace currantgauge::actions

#endif // CURRANTGAUGE_ACTIONS_STATE_H
