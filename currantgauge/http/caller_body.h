// Reads the bodies of callers' requests within the memory for all of them.
//
//   Parser.body_limit(getBodyLimit(Context));
//   Error = co_await readBody(Stream, Input, Parser, Context.BodyMemory, Hold);
#ifndef CURRANTGAUGE_HTTP_CALLER_BODY_H
#define CURRANTGAUGE_HTTP_CALLER_BODY_H

#include "currantgauge/http/caller_session.h"
#include "currantgauge/runtime/memory_budget.h"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstdint>

namespace currantgauge::http {

using RequestParser =
    boost::beast::http::request_parser<boost::beast::http::string_body>;

// getBodyLimit() returns the size in bytes above which a body is refused.
std::uint64_t getBodyLimit(const CallerContext &Context);

// readBody() reads the rest of a request and holds the memory of its body; a
// null Memory is unlimited. Returns no error on success, no_memory if the body
// has no room, and otherwise the error of the read or of the parser.
boost::asio::awaitable<boost::system::error_code>
readBody(boost::beast::tcp_stream &Stream, boost::beast::flat_buffer &Input,
         RequestParser &Parser, runtime::MemoryBudget *Memory,
         runtime::MemoryHold &Hold);

} // namespace currantgauge::http

#endif // CURRANTGAUGE_HTTP_CALLER_BODY_H
