// A running node: its state, its threads and the handles that its effects use.
//
//   Node Self(Settings);
//   post(Self, ControlInput{.Body = core::Started{}});
#ifndef CURRANTGAUGE_RUNTIME_NODE_H
#define CURRANTGAUGE_RUNTIME_NODE_H

#include "currantgauge/base/ids.h"
#include "currantgauge/base/memory_store.h"
#include "currantgauge/config/delta.h"
#include "currantgauge/config/node_settings.h"
#include "currantgauge/core/state.h"
#include "currantgauge/http/backend_client.h"
#include "currantgauge/http/caller_session.h"
#include "currantgauge/peer/client.h"
#include "currantgauge/peer/server.h"
#include "currantgauge/runtime/adapter.h"
#include "currantgauge/runtime/control.h"
#include "currantgauge/runtime/journal.h"
#include "currantgauge/runtime/memory_budget.h"
#include "currantgauge/runtime/traffic.h"
#include "currantgauge/store/store_client.h"
#include "currantgauge/telemetry/log.h"
#include "currantgauge/telemetry/metrics.h"

#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace currantgauge::runtime {

// EntryHandle holds the handles of a request in flight that a caller sent to
// this node, its entry.
struct EntryHandle {
  CallerExchangePtr Caller;
  RequestMessagePtr Message;
};

// KeptAnswer is a recorded answer that can be replayed to later requests.
using KeptAnswer = std::shared_ptr<const std::vector<AnswerPart>>;

// OwnerHandle holds the handles of an attempt in flight at a backend server
// that this node owns, or queued for one.
struct OwnerHandle {
  RequestMessagePtr Message;
  AnswerPipePtr Pipe;
  base::RequestId Request;
  http::BackendExchangePtr Exchange;
  KeptAnswer ReplayedAnswer; // null: the answer comes from the backend server
};

// Node is the process-wide state of a node.
struct Node {
  config::NodeSettings Settings;
  Adapter Protocols; // constant while the node runs
  core::State State;
  TrafficThreads Traffic;
  // Connections to backend servers; one pool per traffic thread.
  std::vector<std::unique_ptr<http::BackendPool>> Pools;
  ControlThread Control;
  MemoryBudget BodyMemory;   // of requests
  MemoryBudget AnswerMemory; // of answers on their way to callers
  http::CallerContext Callers;
  std::unique_ptr<peer::PeerServer> PeerServer;
  peer::PeerClient Peers;
  std::optional<store::StoreClient> Store; // none: uses Embedded instead
  base::MemoryStore Embedded;
  telemetry::Metrics Metrics;
  telemetry::LogWriter Logs;
  Journal EventJournal;

  // Accessed by the control thread only.
  std::deque<ControlInput> PendingInputs; // created by executing effects
  // Effects of the current event. A member, so that its memory is reused.
  core::EffectList Effects;
  std::unordered_map<base::RequestId, EntryHandle> Entries;
  std::unordered_map<base::AttemptId, AnswerPipePtr> EntryPipes;
  std::unordered_map<base::AttemptId, OwnerHandle> OwnedAttempts;
  std::map<base::AttemptId, KeptAnswer> KeptAnswers;
  std::map<base::CallId, std::function<void(const core::OperatorReply &)>>
      OperatorReplies;
  std::uint64_t LastOperatorCall = 0;

  // Accessed by the first traffic thread only.
  std::unique_ptr<boost::asio::steady_timer> WakeTimer;

  // Accessed by several threads, except LoggedAnnouncementErrors.
  std::atomic<bool> Ready{false};
  std::mutex ServedConfigMutex;
  config::ConfigServer ServedConfig; // for peers; guarded by ServedConfigMutex
  std::set<std::string> LoggedAnnouncementErrors; // last traffic thread only
  std::function<void(int)> OnStop;
};

// post() enqueues an input for the control thread. It is thread-safe.
void post(Node &Self, ControlInput Input);

// handleInput() reduces an input and executes its effects, then does the same
// for the inputs that this creates. It must be called on the control thread.
void handleInput(Node &Self, ControlInput &Input);

} // namespace currantgauge::runtime

#endif // CURRANTGAUGE_RUNTIME_NODE_H
