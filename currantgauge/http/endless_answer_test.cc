// Answers of a backend server that have no end.
#include "currantgauge/http/fake_backend_test.h"

#include <doctest/doctest.h>

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <string>
#include <utility>

namespace currantgauge::http {
namespace {

constexpr std::size_t SentBytes = 4UL * 1024 * 1024;

// Writes Start and then Piece again and again until the exchange ends or
// SentBytes are written. Returns the largest capacity of the input buffer.
std::size_t respondWithoutEnd(BackendFixture &Fixture,
                              const TestExchange &Exchange,
                              const std::string &Start,
                              const std::string &Piece) {
  std::string Text = Start;
  while (Text.size() < SentBytes)
    Text += Piece;
  std::size_t Written = 0, Capacity = 0;
  boost::system::error_code Error;
  Fixture.Connections.at(0).non_blocking(true);
  while (Written < Text.size() && !*Exchange.Result) {
    Written += Fixture.Connections[0].write_some(
        boost::asio::buffer(Text.data() + Written, Text.size() - Written),
        Error);
    if (Error && Error != boost::asio::error::would_block)
      break;
    Fixture.Io.restart();
    Fixture.Io.run_for(std::chrono::milliseconds(1));
    if (Exchange.Handle->Connection)
      Capacity =
          std::max(Capacity, Exchange.Handle->Connection->Input.capacity());
    while (runtime::popPart(*Exchange.Pipe)) {
    }
  }
  Fixture.runUntilIdle();
  return Capacity;
}

// Returns the bytes of the heap that are in use, whatever they are used for.
std::size_t allocatedBytes() {
  return ::mallinfo2().uordblks + ::mallinfo2().hblkhd;
}

const std::string Signed = "HTTP/1.1 200 OK\r\nSigned: x\r\nAttempt: 7\r\n";
const std::string Chunked = Signed + "Transfer-Encoding: chunked\r\n\r\n";

} // namespace

TEST_CASE("an endless head ends the exchange at once") {
  const std::pair<std::string, std::string> Answers[] = {
      {"HTTP/1.1 200 OK\r\nX: ", "a"},
      {"HTTP/1.1 200 OK\r\n", "X: a\r\n"},
      {"HTTP/1.1 200 ", "a"},
      {"", "\x16garbage"},
      {"", "no answer\r\n"}};
  for (const auto &Answer : Answers) {
    CAPTURE(Answer.first);
    BackendFixture Fixture;
    TestExchange Exchange = Fixture.start("7");
    CHECK(respondWithoutEnd(Fixture, Exchange, Answer.first, Answer.second) <=
          MaxInputBytes);
    CHECK(mayHaveRun(Exchange));
  }
}

TEST_CASE("the framing of a chunked body without end ends the exchange") {
  const std::pair<std::string, std::string> Answers[] = {
      {Chunked, "0"},
      {Chunked + "1;", "a"},
      {Chunked + "0\r\nX: ", "a"},
      {Chunked + "0\r\n", "X: a\r\n"}};
  for (const auto &Answer : Answers) {
    CAPTURE(Answer.first);
    BackendFixture Fixture;
    TestExchange Exchange = Fixture.start("7");
    CHECK(respondWithoutEnd(Fixture, Exchange, Answer.first, Answer.second) <=
          MaxInputBytes);
    CHECK(mayHaveRun(Exchange));
  }
}

TEST_CASE("an endless body keeps the input small and ends at the deadline") {
  for (const std::string Framing : {"", "Content-Length: 999999999999\r\n"}) {
    CAPTURE(Framing);
    BackendFixture Fixture;
    TestExchange Exchange = Fixture.start("7", base::milliseconds(500));
    CHECK(respondWithoutEnd(Fixture, Exchange, Signed + Framing + "\r\n",
                            "abc") <= MaxInputBytes);
    for (int Wait = 0; Wait < 50 && !*Exchange.Result; ++Wait) {
      Fixture.runUntilIdle();
      while (runtime::popPart(*Exchange.Pipe)) {
      }
    }
    CHECK(mayHaveRun(Exchange));
  }
}

TEST_CASE("an endless body that nobody reads fills a bounded queue") {
  BackendFixture Fixture;
  TestExchange Exchange = Fixture.start("7");
  std::string Piece(64UL * 1024, 'a');
  std::string Start = Signed + "\r\n";
  Fixture.respond(0, Start);
  Fixture.Connections[0].non_blocking(true);
  boost::system::error_code Error;
  std::size_t Written = 0;
  for (int Round = 0; Round < 200; ++Round) {
    Written +=
        Fixture.Connections[0].write_some(boost::asio::buffer(Piece), Error);
    Fixture.Io.restart();
    Fixture.Io.run_for(std::chrono::milliseconds(1));
  }
  CHECK(Written < SentBytes * 4);
  CHECK(Exchange.Pipe->Bytes <= runtime::MaxPipeBytes + Piece.size());
  REQUIRE(Exchange.Handle->Connection);
  CHECK(Exchange.Handle->Connection->Input.capacity() <= MaxInputBytes);
  cancelExchange(Exchange.Handle, base::Reason::BackendTimeout);
  Fixture.runUntilIdle();
  CHECK(mayHaveRun(Exchange));
}

// An answer in chunks of 8 bytes grew the process by 512 MB, since each piece
// that waited in the pipe kept the capacity of a whole read.
TEST_CASE("small chunks that nobody reads use little memory") {
  BackendFixture Fixture;
  TestExchange Exchange = Fixture.start("7");
  std::string Text = Chunked;
  while (Text.size() < SentBytes)
    Text += "8\r\nxxxxxxxx\r\n";
  std::size_t Before = allocatedBytes();
  Fixture.Connections[0].non_blocking(true);
  boost::system::error_code Error;
  std::size_t Written = 0;
  for (int Round = 0; Round < 400; ++Round) {
    Written += Fixture.Connections[0].write_some(
        boost::asio::buffer(Text.data() + Written, Text.size() - Written),
        Error);
    Fixture.Io.restart();
    Fixture.Io.run_for(std::chrono::milliseconds(1));
  }
  CHECK(Exchange.Pipe->Bytes >= runtime::MaxPipeBytes);
  CHECK(allocatedBytes() - Before < 4 * runtime::MaxPipeBytes);
  cancelExchange(Exchange.Handle, base::Reason::BackendTimeout);
  Fixture.runUntilIdle();
  CHECK(mayHaveRun(Exchange));
}

} // namespace currantgauge::http
