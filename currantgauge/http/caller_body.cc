#include "currantgauge/http/caller_body.h"

#include "currantgauge/http/await.h"

#include <boost/asio/error.hpp>
#include <boost/beast/http/read.hpp>

#include <algorithm>
#include <cstddef>
#include <string>

namespace currantgauge::http {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using ErrorCode = boost::system::error_code;

// Bytes of a body for which memory is held ahead of a read. A read of the
// parser takes at most 64 KiB.
constexpr std::size_t BodyStepBytes = 128 * 1024;

// Grows the buffer of a body without a length, so that the parser doesn't:
// while it grows, both the old and the new buffer are held.
bool growBuffer(std::string &Body, runtime::MemoryBudget &Memory,
                runtime::MemoryHold &Hold) {
  if (Body.capacity() - Body.size() >= BodyStepBytes)
    return true;
  std::size_t Before = Body.capacity();
  std::size_t After = Before + std::max(2 * BodyStepBytes, Before / 2);
  if (!runtime::tryHold(Hold, Memory, base::ByteCount{Before + After}))
    return false;
  Body.reserve(After);
  return runtime::tryHold(Hold, Memory, base::ByteCount{After});
}

// Holds the memory for the next read of a body. Returns false if there is none.
bool holdBody(RequestParser &Parser, runtime::MemoryBudget &Memory,
              runtime::MemoryHold &Hold) {
  std::string &Body = Parser.get().body();
  auto Length = Parser.content_length();
  if (!Length)
    return growBuffer(Body, Memory, Hold);
  return runtime::tryHold(Hold, Memory,
                          base::ByteCount{std::min<std::uint64_t>(
                              *Length, Body.size() + BodyStepBytes)});
}

} // namespace

// A body that the memory never suffices for is too large.
std::uint64_t getBodyLimit(const CallerContext &Context) {
  std::uint64_t Limit = Context.BodyBytes;
  return Context.BodyMemory ? std::min(Limit, Context.BodyMemory->Limit.Bytes)
                            : Limit;
}

// A length for which there is no memory now is refused before it is read.
asio::awaitable<ErrorCode> readBody(beast::tcp_stream &Stream,
                                    beast::flat_buffer &Input,
                                    RequestParser &Parser,
                                    runtime::MemoryBudget *Memory,
                                    runtime::MemoryHold &Hold) {
  ErrorCode Error;
  auto Length = Parser.content_length();
  if (Length && Memory &&
      !runtime::hasMemory(*Memory, base::ByteCount{*Length}))
    co_return asio::error::no_memory;
  while (!Error && !Parser.is_done()) {
    if (Memory && !holdBody(Parser, *Memory, Hold))
      co_return asio::error::no_memory;
    co_await beast::http::async_read_some(Stream, Input, Parser,
                                          redirectError(Error));
  }
  co_return Error;
}

} // namespace currantgauge::http
