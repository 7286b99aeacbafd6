// What a node knows of the fleet's configuration, and what it is doing to
// change it or to catch up.
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

// PushRequest is an operator's document and the version it changes.
struct PushRequest {
  base::CallId OperatorCall; // whom to answer
  std::string Text;
  base::ConfigVersion BaseVersion;
  base::PushId Push;
  std::string Author;
  PartSetPtr Parts; // in place of Text
};

// PushPhase is what a push waits for.
enum class PushPhase {
  Parsing,
  ReadingHead,
  ReadingManifest, // of the version that it changes
  Registering,     // the row that says which objects are about to be written
  Storing,         // of parts and manifest
  UpdatingHead,    // of the head row, by compare-and-set
  ReadingHistory,  // whether an earlier try was accepted
  CatchingUp,      // to say what another operator changed
};

// PendingPush is a push under way; a node runs one at a time.
struct PendingPush {
  PushRequest Request;
  PushPhase Phase = PushPhase::Parsing;
  base::CallId Call; // of the step that is awaited
  base::TimePoint Deadline;
  bool RetryDue = false;        // at the next round
  bool MayBeAccepted = false;   // an answer of the compare-and-set was lost
  bool ConditionFailed = false; // the compare-and-set came too late
  PartSetPtr Parts;
  ConfigurationPtr Config;
  HeadRow Head;     // as read
  HeadRow NextHead; // as this push would make it
  StoredManifest Stored;
  bool ManifestStored = false; // the first of ToStore
  std::deque<base::PutObject> ToStore;
  std::map<base::CallId, base::PutObject> WritesInFlight;
};

// VersionLoad reads a version's parts from the store.
struct VersionLoad {
  HeadRow Row;
  std::optional<base::CallId>
      OperatorCall; // who asked to see it; none: catch-up
  std::map<std::string, ConfigPartPtr> Loaded;
  std::deque<std::pair<std::string, StoredPart>> ToRead;
  std::map<base::CallId, std::pair<std::string, StoredPart>> ReadsInFlight;
};

// CatchUpPhase is what a node that lags waits for.
enum class CatchUpPhase { Idle, Fetching, ReadingHead, Loading, Parsing };

// CatchUp is the way to a newer version.
struct CatchUpState {
  CatchUpPhase Phase = CatchUpPhase::Idle;
  base::CallId Call;
  base::TimePoint PhaseStartedAt;
  ConfigDocument Target; // of Parsing
};

// Retention bounds what the store keeps of earlier versions: those among the
// newest MinVersions, and younger ones up to MaxVersions.
struct Retention {
  std::uint64_t MinVersions = 100;
  std::uint64_t MaxVersions = 2000;
  base::Duration MaxAge = base::minutes(30 * 24 * 60);
  base::Duration Interval = base::seconds(10); // of the fleet's collections
};

// CollectPhase is the step that a collection waits for.
enum class CollectPhase {
  Idle,
  ReadingHead,
  Scanning,            // the rows of the oldest pushes
  ReadingOldestKept,   // the history row of the oldest version that stays
  ReadingKeptManifest, // and its manifest
  RemovingHistory,     // rows of the expired versions
  ReadingManifest,     // then for each expired push
  RemovingObject,
  RemovingRow,
};

// Collection removes pushes that expired from the store, oldest first.
struct CollectionState {
  CollectPhase Phase = CollectPhase::Idle;
  base::CallId Call;
  base::TimePoint PhaseStartedAt;
  std::uint32_t Writes = 0; // in this round
  bool Paused = false;      // until the next round
  base::ConfigVersion Head;
  std::deque<HeadRow> Expired;
  std::deque<HeadRow> Candidates;    // for the oldest that stays
  std::set<std::string> KeptObjects; // objects
  std::deque<std::string> ToRemove;
};

// View is an operator's question that a row of the store answers.
struct StoreQuery {
  base::CallId OperatorCall;
  bool IsHistory = false; // else one version
};

// FeedPhase is what the change feed waits for.
enum class FeedPhase { Idle, Reading, Watching };

// FeedState follows one row of the store that announces the configuration.
struct FeedState {
  FeedPhase Phase = FeedPhase::Idle;
  base::CallId Call;
  std::uint64_t Revision = 0; // of the store, as last told
  bool HasRevision = false;   // Revision holds; else the row must be read
  std::uint32_t Failures = 0; // in a row
  bool Reachable = true;      // the last call was answered
  base::CallId ParseCall;     // Value 0: none
  std::string PendingRow;     // arrived while another one was parsed
};

// ConfigState holds the version in force here and what is under way.
struct ConfigState {
  ConfigDocument Document;
  ConfigurationPtr Current;        // null until the first one is in force
  base::ConfigVersion NewestKnown; // highest accepted version known of
  base::ConfigVersion Unreadable;  // accepted, but this node can't parse it
  CatchUpState CatchUp;
  FeedState Feed;
  std::uint32_t FailedFetches = 0; // in a row, of peers
  base::TimePoint NextPoll;        // of the store's head row
  base::TimePoint ReadyDeadline = base::Never;
  config::Retention Retention;
  CollectionState Collection;
  base::TimePoint NextCollection;
  HeadRow StoredRow; // the version that Stored is of
  StoredManifest Stored;
  std::optional<PendingPush> Push;
  std::deque<PushRequest> QueuedPushes;
  std::map<base::CallId, VersionLoad> Loads;       // by their own id
  std::map<base::CallId, base::CallId> LoadCalls;  // store call to load
  std::map<base::CallId, StoreQuery> StoreQueries; // by store call
  std::deque<ConfigDocument> EmbeddedHistory; // embedded: the accepted versions
};

} // namespace currantgauge::config

#endif // CURRANTGAUGE_CONFIG_STATE_H
