// Pooled HTTP/1.1 connections to backend servers, of one io_context thread.
//
//   auto Connection = takeIdleConnection(Pool, Address, MaxIdle, AttemptId);
//   returnToPool(Pool, Address, std::move(Connection));
#ifndef CURRANTGAUGE_HTTP_BACKEND_POOL_H
#define CURRANTGAUGE_HTTP_BACKEND_POOL_H

#include "currantgauge/base/ids.h"
#include "currantgauge/base/units.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <chrono>
#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <unordered_set>
#include <vector>

namespace currantgauge::http {

// MaxInputBytes bounds the bytes that are read ahead of the parser. The parser
// itself has no limit for the framing of chunks and for trailers.
constexpr std::size_t MaxInputBytes = 128 * 1024;

// BackendConnection is one connection to a backend server.
struct BackendConnection {
  boost::beast::tcp_stream Stream;
  boost::beast::flat_buffer Input{MaxInputBytes};
  std::chrono::steady_clock::time_point CreatedAt;
  std::chrono::steady_clock::time_point IdleSince;
  // The server's keep-alive timeout minus a margin, see idleLimitOf().
  std::chrono::milliseconds IdleLimit{0};
  // Ids of the attempts that the server refused, or answered too late, on this
  // connection.
  std::unordered_set<std::string> RefusedAttempts;
  bool Reusable = true; // false: a refusal that comes next can't be attributed

  explicit BackendConnection(boost::asio::io_context &Io) : Stream(Io) {}
};

// BackendPool holds the idle connections of one io_context thread, the most
// recently used ones last.
struct BackendPool {
  std::map<base::NetAddress, std::vector<std::unique_ptr<BackendConnection>>>
      Idle;
};

// takeIdleConnection() returns a connection that is still open and on which
// AttemptId was not refused, or null. MaxIdle zero: the connection's own limit.
std::unique_ptr<BackendConnection>
takeIdleConnection(BackendPool &Pool, const base::NetAddress &Address,
                   base::Duration MaxIdle, const std::string &AttemptId);

// returnToPool() keeps a connection for later exchanges, or closes it if it
// can't be reused or the pool is full.
void returnToPool(BackendPool &Pool, const base::NetAddress &Address,
                  std::unique_ptr<BackendConnection> Connection);

} // namespace currantgauge::http

#endif // CURRANTGAUGE_HTTP_BACKEND_POOL_H
