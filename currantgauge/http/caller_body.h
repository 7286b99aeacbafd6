// Reads callers' requests within the memory for all of them.
//
//   Parser.body_limit(getBodyLimit(Context));
//   bool Held = co_await holdInput(Source, base::ByteCount{Size});
//   Error = co_await readBody(Source, Parser);
#ifndef CURRANTGAUGE_HTTP_CALLER_BODY_H
#define CURRANTGAUGE_HTTP_CALLER_BODY_H

#include "currantgauge/http/caller_session.h"
#include "currantgauge/http/input_memory.h"
#include "currantgauge/runtime/memory_budget.h"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstddef>
#include <cstdint>

namespace currantgauge::http {

using RequestParser =
    boost::beast::http::request_parser<boost::beast::http::string_body>;

// ReadBytes is the size of a request's first read.
constexpr std::size_t ReadBytes = 4096;

// InputSource is the connection of a request that is being received.
struct InputSource {
  boost::beast::tcp_stream &Stream;
  boost::beast::flat_buffer &Input;
  CallerContext &Context;
  runtime::MemoryHold &Hold;
  InputClaim &Claim;
};

// getBodyLimit() returns the size in bytes above which a body is refused.
std::uint64_t getBodyLimit(const CallerContext &Context);

// getInputLimit() returns the number of bytes that the parser may keep back: a
// head, or the framing of a chunked body and its trailers.
std::size_t getInputLimit(const CallerContext &Context);

// hasWholeHead() returns whether the head of the next request was received.
bool hasWholeHead(const boost::beast::flat_buffer &Input);

// holdInput() changes the size of the request's hold. While memory is short it
// waits; returns false if the request has to be refused.
boost::asio::awaitable<bool> holdInput(InputSource Source,
                                       base::ByteCount Size);

// readBody() reads the rest of a request and holds the memory of its body.
// Returns no error on success, no_memory if the body has no room, and otherwise
// the error of the read or of the parser.
boost::asio::awaitable<boost::system::error_code>
readBody(InputSource Source, RequestParser &Parser);

} // namespace currantgauge::http

#endif // CURRANTGAUGE_HTTP_CALLER_BODY_H
