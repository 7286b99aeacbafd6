#include "currantgauge/http/caller_body.h"

#include "currantgauge/http/await.h"
#include "currantgauge/runtime/clock.h"

#include <boost/asio/error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/beast/http/read.hpp>

#include <algorithm>
#include <chrono>
#include <string>
#include <string_view>

namespace currantgauge::http {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using ErrorCode = boost::system::error_code;

// Bytes of a body for which memory is held ahead of a read. A read of the
// parser takes at most 64 KiB.
constexpr std::size_t BodyStepBytes = 128 * 1024;
// How often a request that waits for memory looks for it.
constexpr std::chrono::milliseconds MemoryRetryInterval{50};

// Returns the memory that a request may need during the next read. When the
// string of a body without a length grows, its bytes exist twice for a moment.
// Bytes of a large buffer that were never written take no memory.
std::uint64_t neededBytes(RequestParser &Parser, std::size_t InputBytes) {
  const std::string &Body = Parser.get().body();
  std::uint64_t Next = Body.size() + BodyStepBytes;
  if (auto Length = Parser.content_length())
    return std::min(*Length, Next) + InputBytes;
  bool Grows = Next > Body.capacity();
  return Next + InputBytes + (Grows ? Body.size() : 0);
}

std::uint64_t keptBytes(RequestParser &Parser) {
  const std::string &Body = Parser.get().body();
  return Parser.content_length() ? Body.size() : Body.capacity();
}

bool tryHoldInput(const InputSource &Source, base::ByteCount Size) {
  return runtime::tryHold(Source.Hold, *Source.Context.BodyMemory, Size);
}

asio::awaitable<bool> waitForMemory(InputSource Source, base::ByteCount Size) {
  InputClaims &Claims = Source.Context.Inputs;
  asio::steady_timer Timer(co_await asio::this_coro::executor);
  base::TimePoint Begin = runtime::steadyNow();
  base::ByteCount Needed{Size.Bytes - Source.Hold.Size.Bytes};
  bool Held = false;
  beginMemoryWait(Claims, Source.Claim);
  while (!Held && !givesWay(Claims, Source.Claim) &&
         mayWaitForMemory(Claims, *Source.Context.BodyMemory, Needed,
                          runtime::steadyNow() - Begin)) {
    ErrorCode Ignored;
    Timer.expires_after(MemoryRetryInterval);
    co_await Timer.async_wait(redirectError(Ignored));
    Held = tryHoldInput(Source, Size);
  }
  endMemoryWait(Claims, Source.Claim, runtime::steadyNow() - Begin);
  co_return Held;
}

asio::awaitable<ErrorCode> readParts(InputSource Source,
                                     RequestParser &Parser) {
  ErrorCode Error;
  while (!Error && !Parser.is_done()) {
    bool Held = co_await holdInput(
        Source, base::ByteCount{neededBytes(Parser, Source.Input.capacity())});
    if (!Held || givesWay(Source.Context.Inputs, Source.Claim))
      co_return asio::error::no_memory;
    co_await beast::http::async_read_some(Source.Stream, Source.Input, Parser,
                                          redirectError(Error));
    if (!Error)
      noteProgress(Source.Context.Inputs, Source.Claim);
  }
  co_return Error;
}

} // namespace

// A body that the memory never suffices for is too large.
std::uint64_t getBodyLimit(const CallerContext &Context) {
  std::uint64_t Limit = Context.BodyBytes;
  return Context.BodyMemory ? std::min(Limit, Context.BodyMemory->Limit.Bytes)
                            : Limit;
}

std::size_t getInputLimit(const CallerContext &Context) {
  return static_cast<std::size_t>(Context.HeaderBytes) + ReadBytes;
}

bool hasWholeHead(const beast::flat_buffer &Input) {
  auto Bytes = Input.data();
  std::string_view Text(static_cast<const char *>(Bytes.data()), Bytes.size());
  return Text.find("\r\n\r\n") != std::string_view::npos;
}

asio::awaitable<bool> holdInput(InputSource Source, base::ByteCount Size) {
  bool Held = !Source.Context.BodyMemory || tryHoldInput(Source, Size);
  if (!Held)
    Held = co_await waitForMemory(Source, Size);
  if (Held)
    noteHeld(Source.Context.Inputs, Source.Claim, Source.Hold.Size);
  co_return Held;
}

asio::awaitable<ErrorCode> readBody(InputSource Source, RequestParser &Parser) {
  ErrorCode Error = co_await readParts(Source, Parser);
  // Releases what was held for growth.
  if (Source.Context.BodyMemory)
    tryHoldInput(
        Source, std::min(Source.Hold.Size, base::ByteCount{keptBytes(Parser)}));
  co_return Error;
}

} // namespace currantgauge::http
