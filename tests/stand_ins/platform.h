// The platform's stand-in: table rows, transactions and objects over HTTP,
// with faults that a test switches on.
//
//   Platform Service;
//   HttpResponse Answer = handlePlatformRequest(Service, Request, Now);
#ifndef CURRANTGAUGE_TESTS_STAND_INS_PLATFORM_H
#define CURRANTGAUGE_TESTS_STAND_INS_PLATFORM_H

#include "currantgauge/base/memory_store.h"
#include "tests/stand_ins/tables.h"

#include <boost/beast/http.hpp>

#include <chrono>
#include <cstdint>
#include <string>

namespace currantgauge::stand_ins {

using HttpRequest =
    boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse =
    boost::beast::http::response<boost::beast::http::string_body>;

// PlatformFaults is set by PUT /control and read by GET /control. PUT
// /control/config writes the operator's document.
struct PlatformFaults {
  std::string Outage;            // "", "refuse" (503) or "silent" (no answer)
  std::uint32_t DelayMillis = 0; // before each answer
  std::uint32_t LoseAnswers = 0; // of the next writes, after they are applied
  double LoseShare = 0;          // share of writes whose answer is lost
  double WritesPerSecond = 0;    // above: 429; zero: no limit
  double ReadsPerSecond = 0;
};

// RateCount counts the operations of the running second.
struct RateCount {
  std::int64_t Second = 0;
  double Count = 0;
};

// Platform is the service's state.
struct PlatformState {
  bool UsesTableProtocol = false; // the machines' protocol, and Tables in place
                                  // of Store
  base::MemoryStore Store;
  TableStore Tables;
  PlatformFaults Faults;
  RateCount ReadRate;
  RateCount WriteRate;
  std::uint64_t Reads = 0;
  std::uint64_t Writes = 0;
  std::uint64_t WrittenRows = 0; // written
  std::uint64_t RateLimited = 0;
  std::uint64_t LostAnswers = 0;
  std::uint64_t Draws = 0; // of LoseShare
};

// ResponseAction says what becomes of an answer.
enum class ResponseAction {
  Send,
  Close,
  Ignore,
  WaitForChange, // of a feed: there is none yet
};

// PlatformResponse is an answer and its fate.
struct PlatformResponse {
  HttpResponse Response;
  ResponseAction Action = ResponseAction::Send;
};

// handlePlatformRequest() applies one request.
PlatformResponse
handlePlatformRequest(PlatformState &Platform, const HttpRequest &Request,
                      std::chrono::steady_clock::time_point Now);

// isControl() is true for requests that the faults leave alone.
bool isControl(const HttpRequest &Request);

} // namespace currantgauge::stand_ins

#endif // CURRANTGAUGE_TESTS_STAND_INS_PLATFORM_H
