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

// Returns the memory that a body may need during the next read. While the
// string of a body without a length doubles, its old and new buffer exist.
std::uint64_t neededBytes(RequestParser &Parser) {
  const std::string &Body = Parser.get().body();
  std::uint64_t Next = Body.size() + BodyStepBytes;
  if (auto Length = Parser.content_length())
    return std::min(*Length, Next);
  std::uint64_t Capacity = Body.capacity();
  return Next <= Capacity ? Capacity : Capacity + std::max(2 * Capacity, Next);
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
    if (Memory &&
        !runtime::tryHold(Hold, *Memory, base::ByteCount{neededBytes(Parser)}))
      co_return asio::error::no_memory;
    co_await beast::http::async_read_some(Stream, Input, Parser,
                                          redirectError(Error));
  }
  // Releases what was held for growth.
  if (Memory)
    runtime::tryHold(
        Hold, *Memory,
        std::min(Hold.Size, base::ByteCount{Parser.get().body().capacity()}));
  co_return Error;
}

} // namespace currantgauge::http
