// Callers' connections: HTTP/1.1 with keep-alive and pipelining. Each request
// is posted as a RequestArrived event, or as ActionIdRequested if it asks for
// an action id; the control thread answers it through its CallerExchange.
// Answers are sent in the order of the requests.
//
//   CallerContext Context{...};
//   startCallerSession(std::move(Socket), Context);
#ifndef CURRANTGAUGE_HTTP_CALLER_SESSION_H
#define CURRANTGAUGE_HTTP_CALLER_SESSION_H

#include "currantgauge/base/ids.h"
#include "currantgauge/base/units.h"
#include "currantgauge/config/model.h"
#include "currantgauge/http/dialect.h"
#include "currantgauge/http/input_memory.h"
#include "currantgauge/runtime/control.h"
#include "currantgauge/runtime/memory_budget.h"

#include <utility>

#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <cstdint>
#include <functional>

namespace currantgauge::http {

// CallerContext is the state shared by all sessions of a node; it outlives
// them.
struct CallerContext {
  std::function<void(runtime::ControlInput)> Post; // to the control thread
  std::uint64_t Origin = 0; // of request ids: the node's incarnation
  std::atomic<std::uint64_t> LastSequence{0};
  std::atomic<bool> Stopping{false}; // answer pending requests, then close
  // Requests that were read and whose answers aren't fully written.
  std::atomic<std::int64_t> Unanswered{0};
  HttpDialect Dialect;
  base::ServiceName Service;    // of this VM, sent to backend servers
  base::ByteCount AnswerBuffer; // limit for each answer
  // Of all bodies of requests and of all answers; null: unlimited.
  runtime::MemoryBudget *BodyMemory = nullptr;
  runtime::MemoryBudget *AnswerMemory = nullptr;
  InputClaims Inputs; // requests that were received only in part
  // DefaultLimits come from the node's settings. The members below are the
  // limits in force: the configuration may change them while sessions read
  // them.
  config::CallerLimits DefaultLimits;
  std::atomic<std::uint64_t> HeaderBytes{0};
  std::atomic<std::uint64_t> BodyBytes{0};
  std::atomic<std::int64_t> IdleMicros{0}; // between requests, and per write
  std::atomic<std::int64_t> ReadMicros{0}; // to receive one request
};

// setCallerLimits() applies limits; those that are zero take their value from
// DefaultLimits.
void setCallerLimits(CallerContext &Context,
                     const config::CallerLimits &Limits);

// startCallerSession() starts to serve a connection and returns; the session
// lasts until the connection closes.
void startCallerSession(boost::asio::ip::tcp::socket Socket,
                        CallerContext &Context);

} // namespace currantgauge::http

#endif // CURRANTGAUGE_HTTP_CALLER_SESSION_H
