// The client of the platform's store: executes store operations over HTTP on an
// io_context, with timeouts, pooled connections, retries and a rate limit.
//
//   StoreClient Client(base::NetAddress("10.0.0.9:7000"));
//   callStore(Client, Io, Operation, base::milliseconds(500), OnResult);
#ifndef CURRANTGAUGE_STORE_STORE_CLIENT_H
#define CURRANTGAUGE_STORE_STORE_CLIENT_H

#include "currantgauge/base/ids.h"
#include "currantgauge/base/store.h"
#include "currantgauge/base/units.h"
#include "currantgauge/store/encoding.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <vector>

namespace currantgauge::store {

// StoreLimits limits the load of one client on the store's service.
struct StoreLimits {
  double ReadsPerSecond = 500;
  double WritesPerSecond = 200;
  double MinPerSecond = 1; // lower bound of the adaptive rates
  base::Duration Burst = base::milliseconds(100); // unused calls kept, as time
  std::size_t MaxIdleConnections = 4;
  base::Duration MaxIdleTime = base::seconds(20);
  base::Duration InitialBackoff = base::milliseconds(20);
};

// CallRate is an adaptive rate limit. PerSecond is halved by each 429 response,
// down to MinPerSecond, and recovers gradually with all other responses, so
// that the nodes share the service's capacity.
struct CallRate {
  double PerSecond = 0;
  double MaxPerSecond = 0;
  std::chrono::steady_clock::time_point NextStart; // earliest, of the next call
};

// IdleConnection is a pooled connection that no call uses.
struct IdleConnection {
  std::unique_ptr<boost::beast::tcp_stream> Stream;
  std::chrono::steady_clock::time_point IdleSince;
};

// StoreClient holds the rate limits and the connections of one client. It must
// outlive the last run of its io_context.
struct StoreClient {
  explicit StoreClient(base::NetAddress Address, StoreLimits Limits = {},
                       Encoding Codec = nativeEncoding());

  base::NetAddress Address; // IP:port
  StoreLimits Limits;
  Encoding Codec;
  CallRate Reads;
  CallRate Writes;
  std::vector<IdleConnection> Idle;
  std::minstd_rand Jitter;
  std::optional<boost::asio::strand<boost::asio::io_context::executor_type>>
      Strand; // created by the first call
};

// callStore() executes an operation and calls OnResult on a thread of Io within
// Timeout. A read is retried after a failure, except WatchRows. A write is
// retried only if the service refused it with 429: a result of Unavailable
// means that the write was not applied, Unknown that it may have been. Not
// thread-safe.
void callStore(StoreClient &Client, boost::asio::io_context &Io,
               const base::StoreOperation &Operation, base::Duration Timeout,
               std::function<void(base::StoreResult)> OnResult);

} // namespace currantgauge::store

#endif // CURRANTGAUGE_STORE_STORE_CLIENT_H
