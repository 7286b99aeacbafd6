// Callers' connections: HTTP/1.1 with keep-alive. Each request becomes a
// RequestArrived event; what happens to it comes back by its CallerExchange.
//
//   CallerContext Context{...};
//   startCallerSession(std::move(Socket), Context);
#ifndef CURRANTGAUGE_HTTP_CALLER_SESSION_H
#define CURRANTGAUGE_HTTP_CALLER_SESSION_H

#include "currantgauge/base/units.h"
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
  base::ByteCount HeaderLimit;
  base::ByteCount BodyLimit;
  base::ByteCount AnswerBuffer;
  base::Duration Idle; // longest wait for a request or for a slow reader
  base::Duration Read; // longest time to read one request
};

// startCallerSession() serves a connection until it closes.
void startCallerSession(boost::asio::ip::tcp::socket Socket,
                        CallerContext &Context);

} // namespace currantgauge::http

#endif // CURRANTGAUGE_HTTP_CALLER_SESSION_H
