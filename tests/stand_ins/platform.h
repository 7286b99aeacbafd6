// A stand-in for the platform: table rows, transactions and objects over HTTP,
// with faults that a test can turn on.
//
//   PlatformState Platform;
//   PlatformResponse Reply = handlePlatformRequest(Platform, Request, Now);
#ifndef CURRANTGAUGE_TESTS_STAND_INS_PLATFORM_H
#define CURRANTGAUGE_TESTS_STAND_INS_PLATFORM_H

#include "currantgauge/base/memory_store.h"
#include "tests/stand_ins/tables.h"

#include <boost/beast/http.hpp>

#include <cstdint>
#include <string>

namespace currantgauge::stand_ins {

using HttpRequest =
    boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse =
    boost::beast::http::response<boost::beast::http::string_body>;

// PlatformFaults is replaced by PUT /control, where a missing field turns its
// fault off, "forget": true drops the change history and "restore_ms": N puts
// the table store back to a copy N milliseconds old. GET /control returns the
// faults and the counters. PUT /control/config writes the operator's document
// to the table store.
struct PlatformFaults {
  std::string Outage;            // "", "refuse" (503) or "silent" (no response)
  std::uint32_t DelayMillis = 0; // before each response
  std::uint32_t LoseAnswers =
      0;                      // number of next writes to apply but not answer
  double LoseShare = 0;       // fraction of writes to apply but not answer
  double WritesPerSecond = 0; // 429 above it; 0: no limit
  double ReadsPerSecond = 0;  // likewise for reads
};

// RateCount counts the operations of the current second.
struct RateCount {
  std::int64_t Second = 0;
  double Count = 0;
};

// PlatformState is the state of the stand-in.
struct PlatformState {
  bool UsesTableProtocol = false; // use Tables instead of Store
  base::MemoryStore Store;
  TableStore Tables;
  PlatformFaults Faults;
  RateCount ReadRate;
  RateCount WriteRate;
  std::uint64_t Reads = 0;
  std::uint64_t Writes = 0;
  std::uint64_t WrittenRows = 0;
  std::uint64_t RateLimited = 0; // calls answered with 429
  std::uint64_t LostAnswers = 0;
  std::uint64_t Draws = 0; // values taken from the LoseShare sequence
};

// ResponseAction is what to do with a response.
enum class ResponseAction {
  Send,
  Close,         // close the connection instead of responding
  Ignore,        // never respond
  WaitForChange, // respond when the feed has a change
};

// PlatformResponse is a response and what to do with it.
struct PlatformResponse {
  HttpResponse Response;
  ResponseAction Action = ResponseAction::Send;
};

// handlePlatformRequest() executes one request.
PlatformResponse handlePlatformRequest(PlatformState &Platform,
                                       const HttpRequest &Request,
                                       TimePoint Now);

// resumeFeedRequest() executes a feed request again that waits for a change.
// Era is that of the store when the request arrived: a restore closes its
// connection.
PlatformResponse resumeFeedRequest(PlatformState &Platform,
                                   const HttpRequest &Request,
                                   std::uint64_t Era, TimePoint Now);

// isControl() returns whether a request is a control request, to which no fault
// applies.
bool isControl(const HttpRequest &Request);

} // namespace currantgauge::stand_ins

#endif // CURRANTGAUGE_TESTS_STAND_INS_PLATFORM_H
