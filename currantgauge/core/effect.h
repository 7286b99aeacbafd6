// Everything a node does, as data: the reducer returns effects, the runtime
// carries them out.
//
//   Effects.push_back(StartAttempt{Facts, Owner, OwnerAddress});
#ifndef CURRANTGAUGE_CORE_EFFECT_H
#define CURRANTGAUGE_CORE_EFFECT_H

#include "currantgauge/base/ids.h"
#include "currantgauge/base/store.h"
#include "currantgauge/base/units.h"
#include "currantgauge/base/verdict.h"
#include "currantgauge/config/assemble.h"
#include "currantgauge/config/delta.h"
#include "currantgauge/config/model.h"
#include "currantgauge/core/operator.h"
#include "currantgauge/core/request.h"
#include "currantgauge/membership/message.h"

#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace currantgauge::core {

// WakeAt asks for a TimerFired at that time; the latest one counts.
struct WakeAt {
  base::TimePoint Time;
};

// StartAttempt sends an attempt to its owner, which may be this node.
struct StartAttempt {
  AttemptFacts Facts;
  base::NodeName Owner;
  base::NetAddress OwnerAddress;
};
// CancelAttempt tells the owner that the entry no longer wants it.
struct CancelAttempt {
  base::AttemptId Attempt;
};
// DeliverAnswer passes an attempt's answer, buffered and later bytes, on to
// the caller.
struct DeliverAnswer {
  base::RequestId Request;
  base::AttemptId Attempt;
  base::BackendName Server;
  base::Verdict Verdict = base::Verdict::Ran;
};
// RefuseRequest answers the caller without a backend server's answer.
struct RefuseRequest {
  base::RequestId Request;
  base::Verdict Verdict = base::Verdict::NotRun;
  base::Reason Reason = base::Reason::None;
  base::Duration RetryAfter; // zero: none
};

// AnswerActionId answers an ActionIdRequested: 201 with the id, or the refusal
// Why.
struct AnswerActionId {
  base::RequestId Request;
  base::ActionToken Action; // empty: refused
  base::Duration ValidFor;
  base::Reason Reason = base::Reason::None;
};

// SendToBackend starts the exchange with a backend server.
struct SendToBackend {
  base::AttemptId Attempt;
  base::BackendName Server;
  base::NetAddress Address;
  base::Duration TimeLeft;
  bool NewConnection = false; // do not use a pooled one
  base::Duration MaxIdle;     // of a pooled one; zero: any
};
// SetCallerLimits puts limits on what callers may send in force.
struct SetCallerLimits {
  config::CallerLimits Limits;
};
// CancelExchange ends the exchange and closes its connection.
struct CancelExchange {
  base::AttemptId Attempt;
  base::Reason Reason = base::Reason::CallerGone;
};
// EndAttempt tells the entry how the attempt ended.
struct EndAttempt {
  base::AttemptId Attempt;
  AttemptOutcome Outcome;
};
// KeepAnswer keeps the answer of an ended attempt for later asks.
struct KeepAnswer {
  base::AttemptId Attempt;
};
// DropAnswer drops a kept answer.
struct DropAnswer {
  base::AttemptId Attempt;
};
// ReplayAnswer gives the kept answer of From to Attempt; EndAttempt follows.
struct ReplayAnswer {
  base::AttemptId Attempt;
  base::AttemptId OriginalAttempt;
};

// SendPeerMessage hands a message to another node, without an answer.
struct SendPeerMessage {
  base::NodeName Recipient;
  base::NetAddress Address;
  membership::PeerMessage Message;
};

// CallStore asks the platform's service; StoreAnswered follows.
struct CallStore {
  base::CallId Call;
  base::StoreOperation Operation;
  base::Duration Timeout;
};

// ParseConfig asks for a document to be parsed; ConfigParsed follows.
struct ParseConfig {
  base::CallId Call;
  config::AssembleRequest Request; // for config::assembleConfig()
};
// FetchConfig asks a peer for what changed since version Have, 0 for all of
// it; ConfigFetched follows.
struct FetchConfig {
  base::CallId Call;
  base::NodeName Source;
  base::NetAddress Address;
  base::ConfigVersion KnownVersion;
};
// ServeConfig makes a document available to peers that fetch it, by
// config::serveDocument().
struct ServeConfig {
  config::ConfigDocument Document;
};

// AnswerOperator answers an OperatorCommandReceived.
struct AnswerOperator {
  base::CallId Call;
  OperatorReply Reply;
};

// Metric names a counter or histogram of the node.
enum class Metric {
  Requests,       // labels: kind, verdict
  Refusals,       // labels: reason, rank
  Retries,        // labels: reason, service
  RequestSeconds, // histogram; labels: rank, service
  PartSeconds,    // histogram; labels: part (queue, server, hop), rank
  Ejections,      // labels: service, server
  PeerMessages,   // labels: kind, direction
  StoreCalls,     // labels: operation, status
  LinkBytes,      // labels: region, direction
  QueueLength,    // gauge; labels: service, rank
  ConfigInForce,  // gauge: the version in force
  LogLines,       // labels: outcome (written, left_out, dropped)
};

// Measure adds Amount to a counter, observes it in a histogram or sets a gauge.
struct Measure {
  Metric Name = Metric::Requests;
  std::string LabelA;
  std::string LabelB;
  double Amount = 1;
};

// LogLevel is the severity of a log line.
enum class LogLevel { Debug, Info, Warn, Error };

// LogTopic is what a line is about. Lines about requests grow with the load
// and leave part of the volume to those about the node.
enum class LogTopic { Node, Request };

// LogLine writes one JSON line.
struct LogLine {
  LogLevel Level = LogLevel::Info;
  std::string Event;
  std::vector<std::pair<std::string, std::string>> Fields;
  LogTopic Topic = LogTopic::Node;
};

// SetReady says whether this node takes callers' work.
struct SetReady {
  bool Ready = false;
};

// StopProcess ends the process: nothing is in flight any more.
struct StopProcess {
  int ExitCode = 0;
};

using Effect =
    std::variant<WakeAt, StartAttempt, CancelAttempt, DeliverAnswer,
                 RefuseRequest, SendToBackend, CancelExchange, EndAttempt,
                 KeepAnswer, DropAnswer, ReplayAnswer, SendPeerMessage,
                 CallStore, ParseConfig, FetchConfig, ServeConfig,
                 AnswerOperator, Measure, LogLine, SetReady, StopProcess,
                 AnswerActionId, SetCallerLimits>;

using EffectList = std::vector<Effect>;

} // namespace currantgauge::core

#endif // CURRANTGAUGE_CORE_EFFECT_H
