// Callers' connections: HTTP/1.1 with keep-alive and pipelining. Each request
// becomes a RequestArrived event; what happens to it comes back by its
// CallerExchange. Answers leave in the order of the requests.
//
//   CallerContext Context{...};
//   startCallerSession(std::move(Socket), Context);
#ifndef CURRANTGAUGE_HTTP_CALLER_SESSION_H
#define CURRANTGAUGE_HTTP_CALLER_SESSION_H

#include "currantgauge/base/ids.h"
#include "currantgauge/base/units.h"
#include "currantgauge/config/model.h"
#include "currantgauge/http/dialect.h"
#include "currantgauge/runtime/control.h"

#include <utility>

#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <cstdint>
#include <functional>

namespace currantgauge::http {

// CallerContext is what all sessions of a node share; it outlives them.
struct CallerContext {
  std::function<void(runtime::ControlInput)> Post;
  std::uint64_t Origin = 0; // of request ids: the node's incarnation
  std::atomic<std::uint64_t> LastRequest{0};
  std::atomic<bool> Stopping{false}; // close connections between requests
  HttpDialect Dialect;
  base::ServiceName Service; // of the VM, named to backend servers
  base::ByteCount AnswerBuffer;
  // What the settings say, and what is in force: the configuration may change
  // it while sessions read it.
  config::CallerLimits DefaultLimits;
  std::atomic<std::uint64_t> HeaderBytes{0};
  std::atomic<std::uint64_t> BodyBytes{0};
  std::atomic<std::int64_t> IdleMicros{0}; // between requests, of slow readers
  std::atomic<std::int64_t> ReadMicros{0}; // to read one request
};

// setCallerLimits() puts limits in force; those that are zero stay as the
// settings have them.
void setCallerLimits(CallerContext &Context,
                     const config::CallerLimits &Limits);

// startCallerSession() serves a connection until it closes.
void startCallerSession(boost::asio::ip::tcp::socket Socket,
                        CallerContext &Context);

} // namespace currantgauge::http

#endif // CURRANTGAUGE_HTTP_CALLER_SESSION_H
