// The client of the platform's service: carries out store operations over HTTP
// on an io_context, with time limits, kept-alive connections, retries of reads
// and a limit on rate.
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

// StoreLimits bounds one node's use of the service.
struct StoreLimits {
  double ReadsPerSecond = 500;
  double WritesPerSecond = 200;
  double MinPerSecond = 1; // however often the service says "too many"
  base::Duration Burst = base::milliseconds(100);
  std::size_t MaxIdleConnections = 4;
  base::Duration MaxIdleTime = base::seconds(20);
  base::Duration InitialBackoff = base::milliseconds(20);
};

// CallRate spaces calls out. PerSecond halves when the service says "too many"
// and recovers with each answer, so that a fleet shares what there is.
struct CallRate {
  double PerSecond = 0;
  double MaxPerSecond = 0;
  std::chrono::steady_clock::time_point NextStart;
};

// IdleConnection waits for the next call.
struct IdleConnection {
  std::unique_ptr<boost::beast::tcp_stream> Stream;
  std::chrono::steady_clock::time_point IdleSince;
};

// StoreClient is a node's way to the service. It outlives its io_context's
// last run.
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
      Strand; // made by the first call
};

// callStore() carries out an operation and calls OnResult on a thread of Io
// within TimeLimit. A read is repeated after a failure. A write is repeated
// only when the service asked for fewer calls: Unavailable says that it was
// never applied, Unknown that it may have been.
// Calls come from one thread.
void callStore(StoreClient &Client, boost::asio::io_context &Io,
               const base::StoreOperation &Operation, base::Duration Timeout,
               std::function<void(base::StoreResult)> OnResult);

} // namespace currantgauge::store

#endif // CURRANTGAUGE_STORE_STORE_CLIENT_H
