// A node at run time: its state, its threads, and the handles that effects
// need. The maps belong to the control thread.
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

// EntryHandle is a caller's request in flight here.
struct EntryHandle {
  CallerExchangePtr Caller;
  RequestMessagePtr Message;
};

// KeptAnswer is an answer kept for later asks.
using KeptAnswer = std::shared_ptr<const std::vector<AnswerPart>>;

// OwnerHandle is an attempt that this node owns.
struct OwnerHandle {
  RequestMessagePtr Message;
  AnswerPipePtr Pipe;
  base::RequestId Request;
  http::BackendExchangePtr Exchange;
  KeptAnswer Repeat; // goes out before the end; null: the backend's answer
};

// Node is one process.
struct Node {
  config::NodeSettings Settings;
  Adapter Spoken; // fixed once the node serves
  core::State State;
  TrafficThreads Traffic;
  std::vector<std::unique_ptr<http::BackendPool>> Pools; // one a thread
  ControlThread Control;
  http::CallerContext Callers;
  std::unique_ptr<peer::PeerServer> PeerServer;
  peer::PeerClient Peers;
  std::optional<store::StoreClient> Store; // none: embedded
  base::MemoryStore Embedded;
  telemetry::Metrics Metrics;
  telemetry::LogWriter Logs;
  Journal Log;

  // Of the control thread alone.
  std::deque<ControlInput> Follow; // inputs that effects of this turn made
  core::EffectList Effects;        // of the event at hand; keeps its memory
  std::unordered_map<base::RequestId, EntryHandle> Entries;
  std::unordered_map<base::AttemptId, AnswerPipePtr> EntryPipes;
  std::unordered_map<base::AttemptId, OwnerHandle> Owned;
  std::map<base::AttemptId, KeptAnswer> Kept;
  std::map<base::CallId, std::function<void(const core::OperatorReply &)>>
      Replies;
  std::uint64_t LastReply = 0;

  // Of the first traffic thread alone.
  std::unique_ptr<boost::asio::steady_timer> WakeTimer;

  // Read by other threads.
  std::atomic<bool> Ready{false};
  std::mutex ServedConfigMutex;
  config::ConfigServer ServedConfig;  // to peers
  std::set<std::string> RefusedWords; // errors of announcements, logged once
  std::function<void(int)> OnStop;
};

// post() hands an input to the control thread; any thread may call it.
void post(Node &Self, ControlInput Input);

// handleInput() reduces one input and carries out its effects; it runs on the
// control thread.
void handleInput(Node &Self, ControlInput &Input);

} // namespace currantgauge::runtime

#endif // CURRANTGAUGE_RUNTIME_NODE_H
