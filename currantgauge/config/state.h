// Configuration state of a node: the version in force, and the push, catch-up,
// change feed and garbage collection in progress.
//
//   if (!State.Current) refuse(Reason::NoConfiguration);
#ifndef CURRANTGAUGE_CONFIG_STATE_H
#define CURRANTGAUGE_CONFIG_STATE_H

#include "currantgauge/base/ids.h"
#include "currantgauge/base/store.h"
#include "currantgauge/base/units.h"
#include "currantgauge/config/delta.h"
#include "currantgauge/config/head_row.h"
#include "currantgauge/config/model.h"
#include "currantgauge/config/parts.h"
#include "currantgauge/config/stored_manifest.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace currantgauge::config {

// PushRequest is an operator's request to replace version BaseVersion by a new
// document, given as Text or as Parts.
struct PushRequest {
  base::CallId OperatorCall; // receives the reply
  std::string Text;
  base::ConfigVersion BaseVersion;
  base::PushId Push;
  std::string Author;
  PartSetPtr Parts; // if set, used instead of Text
};

// PushPhase is the step that a push waits for.
enum class PushPhase {
  Parsing,
  ReadingHead,
  ReadingManifest, // of the base version
  Registering,     // writing the push's registration row
  Storing,         // writing the manifest and the parts
  UpdatingHead,    // compare-and-set of the head row
  ReadingHistory,  // to learn whether an earlier attempt was accepted
  CatchingUp,      // to report what the conflicting push changed
};

// PendingPush is a push in progress. A node runs one at a time.
struct PendingPush {
  PushRequest Request;
  PushPhase Phase = PushPhase::Parsing;
  base::CallId Call; // the parse or store call of the current step
  base::TimePoint Deadline;
  bool RetryDue = false;        // the step failed; repeat it in the next round
  bool MayBeAccepted = false;   // the result of a compare-and-set was lost
  bool ConditionFailed = false; // the condition of the compare-and-set failed
  PartSetPtr Parts;
  ConfigurationPtr Config;
  HeadRow Head;     // the newest, from the store or, if that lags, gossip
  HeadRow NextHead; // the head row that the push writes
  StoredManifest Stored;
  bool ManifestStored = false;         // of this push; the parts follow it
  std::deque<base::PutObject> ToStore; // the manifest first
  std::map<base::CallId, base::PutObject> WritesInFlight;
};

// VersionLoad is a read of a version's parts from the store, for an operator or
// for catching up.
struct VersionLoad {
  HeadRow Row;
  std::optional<base::CallId> OperatorCall; // none: the load is for catch-up
  std::map<std::string, ConfigPartPtr> Loaded;
  std::deque<std::pair<std::string, StoredPart>> ToRead;
  std::map<base::CallId, std::pair<std::string, StoredPart>> ReadsInFlight;
};

// CatchUpPhase is the step that a lagging node waits for.
enum class CatchUpPhase { Idle, Fetching, ReadingHead, Loading, Parsing };

// CatchUpState is the progress towards a newer version.
struct CatchUpState {
  CatchUpPhase Phase = CatchUpPhase::Idle;
  base::CallId Call; // of the phase: fetch, store call, load or parse
  base::TimePoint PhaseStartedAt;
  ConfigDocument Target; // being parsed
};

// Retention bounds the versions that the store keeps: always the newest
// MinVersions, never more than MaxVersions, and between the two those younger
// than MaxAge.
struct Retention {
  std::uint64_t MinVersions = 100;
  std::uint64_t MaxVersions = 2000;
  base::Duration MaxAge = base::minutes(30 * 24 * 60); // 30 days
  // Mean time between two collections, by whichever nodes of the fleet.
  base::Duration Interval = base::seconds(10);
};

// CollectPhase is the step that a collection waits for.
enum class CollectPhase {
  Idle,
  ReadingHead,
  Scanning,                  // the registration rows of the oldest pushes
  ReadingOldestKept,         // the history row of the oldest kept version
  ReadingOldestKeptManifest, // the manifest of that version
  RemovingHistory,           // the history rows of the expired versions
  ReadingManifest,           // this and the next two for each expired push
  RemovingObject,
  RemovingRegistration,
};

// CollectionState is a garbage collection: it removes expired pushes from the
// store, oldest first.
struct CollectionState {
  CollectPhase Phase = CollectPhase::Idle;
  base::CallId Call; // the store call of the phase
  base::TimePoint PhaseStartedAt;
  std::uint32_t Writes = 0; // to the store, in this round
  bool Paused = false;      // out of writes until the next round
  base::ConfigVersion Head;
  std::deque<HeadRow> Expired;
  std::deque<HeadRow> Candidates;    // for the oldest kept version
  std::set<std::string> KeptObjects; // needed by the oldest kept version
  std::deque<std::string> ToRemove;  // objects of the first of Expired
};

// StoreQuery is an operator's query that waits for rows of the store.
struct StoreQuery {
  base::CallId OperatorCall;
  bool IsHistory = false; // false: the query is for one version
};

// FeedPhase is the call that the change feed waits for.
enum class FeedPhase { Idle, Reading, Watching };

// FeedState follows the row of the store's change feed that announces the
// configuration.
struct FeedState {
  FeedPhase Phase = FeedPhase::Idle;
  base::CallId Call;
  base::StoreEra CallEra;     // the known era when Call was made
  std::uint64_t Revision = 0; // of the store, from the answer before Call
  bool HasRevision = false;   // false: read the row before watching it
  // Reads that followed lost history or a restore, without a successful watch
  // in between.
  std::uint32_t Rereads = 0;
  std::uint32_t Failures = 0; // consecutive
  bool Reachable = true;      // the last call was answered
  base::CallId ParseCall;     // 0 if nothing is being parsed
  std::string PendingRow;     // the newest that arrived while parsing another
};

// ConfigState is the version in force at this node and the operations in
// progress.
struct ConfigState {
  ConfigDocument Document;
  ConfigurationPtr Current;        // null until the first version is in force
  base::ConfigVersion NewestKnown; // the highest accepted version known
  base::ConfigVersion Unreadable;  // accepted, but this node can't parse it
  CatchUpState CatchUp;
  FeedState Feed;
  std::uint32_t FailedCatchUps = 0;            // consecutive failed catch-ups
  base::TimePoint NextPoll;                    // of the store's head row
  base::TimePoint ReadyDeadline = base::Never; // ready then, even if lagging
  config::Retention Retention;
  CollectionState Collection;
  base::TimePoint NextCollection;
  HeadRow StoredRow;     // the last version pushed through this node
  StoredManifest Stored; // of that version
  std::optional<PendingPush> Push;
  std::deque<PushRequest> QueuedPushes;
  std::map<base::CallId, VersionLoad> Loads;       // by load id
  std::map<base::CallId, base::CallId> LoadCalls;  // store call to load id
  std::map<base::CallId, StoreQuery> StoreQueries; // by store call
  // The accepted versions of an embedded node, newest first.
  std::deque<ConfigDocument> EmbeddedHistory;
};

} // namespace currantgauge::config

#endif // CURRANTGAUGE_CONFIG_STATE_H
