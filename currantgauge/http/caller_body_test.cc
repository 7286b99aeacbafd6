// The memory that the messages of callers use.
#include "currantgauge/http/caller_body.h"

#include "currantgauge/http/fake_caller_test.h"

#include <doctest/doctest.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <chrono>
#include <string>
#include <thread>
#include <utility>

namespace currantgauge::http {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

// Starts one more session of the fixture's node.
tcp::socket connectCaller(SessionFixture &Fixture) {
  tcp::acceptor Acceptor(Fixture.Io,
                         tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  tcp::socket Caller(Fixture.Io);
  Caller.connect(Acceptor.local_endpoint());
  startCallerSession(Acceptor.accept(Fixture.Io), Fixture.Context);
  Fixture.runUntilIdle();
  return Caller;
}

std::string postOf(std::size_t Length, std::size_t Sent) {
  return "POST /p HTTP/1.1\r\nHost: A.example:80\r\nContent-Length: " +
         std::to_string(Length) + "\r\n\r\n" + std::string(Sent, 'x');
}

} // namespace

// Bodies of several callers at once exceeded the memory of the process.
TEST_CASE("a body without memory for it is refused as not run") {
  const std::string Chunk = "1000\r\n" + std::string(4096, 'x') + "\r\n";
  std::string Chunks;
  for (int I = 0; I < 15; ++I)
    Chunks += Chunk;
  const std::string Head = "POST /p HTTP/1.1\r\nHost: A.example:80\r\n";
  for (const std::string &Text :
       {Head + "Content-Length: 60000\r\n\r\n" + std::string(1000, 'x'),
        Head + "Transfer-Encoding: chunked\r\n\r\n" + Chunks}) {
    SessionFixture Fixture;
    runtime::MemoryBudget Memory;
    Memory.Limit = base::ByteCount{100000};
    Fixture.Context.BodyMemory = &Memory;
    runtime::MemoryHold Others;
    REQUIRE(runtime::tryHold(Others, Memory, base::ByteCount{50000}));
    Fixture.send(Text);
    std::string Answer = Fixture.readToEnd();
    CHECK(Answer.starts_with("HTTP/1.1 503"));
    CHECK(Answer.find("Retry-After: 1") != std::string::npos);
    CHECK(Answer.find("memory_limit") != std::string::npos);
    CHECK(arrivedRequests(Fixture).empty());
    CHECK(Memory.Used == 50000);
  }
}

TEST_CASE("the memory of a body is held until its request is gone") {
  SessionFixture Fixture;
  runtime::MemoryBudget Memory;
  Fixture.Context.BodyMemory = &Memory;
  Fixture.send(PostHead + "abcdef");
  REQUIRE(arrivedRequests(Fixture).size() == 1);
  CHECK(Memory.Used == 6);
  Fixture.Posted.clear();
  CHECK(Memory.Used == 0);
}

// Each body in chunks held 256 KiB until its request ended, so that a few
// hundred small ones exhausted the memory for all.
TEST_CASE("a small body in chunks holds little memory") {
  SessionFixture Fixture;
  runtime::MemoryBudget Memory;
  Fixture.Context.BodyMemory = &Memory;
  Fixture.send("POST /p HTTP/1.1\r\nHost: A.example:80\r\n"
               "Transfer-Encoding: chunked\r\n\r\n6\r\nabcdef\r\n0\r\n\r\n");
  REQUIRE(arrivedRequests(Fixture).size() == 1);
  CHECK(arrivedRequests(Fixture)[0]->Message->Body == "abcdef");
  CHECK(Memory.Used < 100);
}

// Trailers and chunk extensions were kept whole, whatever their size.
TEST_CASE("the framing of a chunked body without end is refused") {
  const std::string Head = "POST /p HTTP/1.1\r\nHost: A.example:80\r\n"
                           "Transfer-Encoding: chunked\r\n\r\n";
  for (const std::string &Start : {Head + "0\r\nField: ", Head + "1;name="}) {
    SessionFixture Fixture;
    Fixture.send(Start);
    for (int I = 0; I < 8; ++I)
      Fixture.send(std::string(4096, 'x'));
    CHECK(Fixture.readToEnd().starts_with("HTTP/1.1 431"));
    CHECK(arrivedRequests(Fixture).empty());
  }
}

TEST_CASE("trailers within the limit of a head are read") {
  SessionFixture Fixture;
  Fixture.send("POST /p HTTP/1.1\r\nHost: A.example:80\r\n"
               "Transfer-Encoding: chunked\r\n\r\n6\r\nabcdef\r\n0\r\n"
               "Field: " +
               std::string(16000, 'x') + "\r\n\r\n");
  REQUIRE(arrivedRequests(Fixture).size() == 1);
  CHECK(arrivedRequests(Fixture)[0]->Message->Body == "abcdef");
}

TEST_CASE("a request that stands still gives way when memory is short") {
  SessionFixture Fixture;
  runtime::MemoryBudget Memory;
  Memory.Limit = base::ByteCount{100000};
  Fixture.Context.BodyMemory = &Memory;
  Fixture.send("POST /p HTTP/1.1\r\nHost: A.example:80\r\n"
               "Content-Length: 60000\r\n\r\n" +
               std::string(50000, 'x'));
  CHECK(Memory.Used > 50000);
  std::this_thread::sleep_for(std::chrono::milliseconds(600));
  CHECK(mayWaitForMemory(Fixture.Context.Inputs, Memory, base::ByteCount{60000},
                         base::Duration{}));
  std::string Answer = Fixture.readToEnd();
  CHECK(Answer.starts_with("HTTP/1.1 503"));
  CHECK(Answer.find("not_run") != std::string::npos);
  CHECK(Memory.Used == 0);
}

// The session that had to answer an earlier request was chosen again and again.
TEST_CASE("a stalled request behind an unanswered one doesn't block memory") {
  SessionFixture Fixture;
  runtime::MemoryBudget Memory;
  Memory.Limit = base::ByteCount{170000};
  Fixture.Context.BodyMemory = &Memory;
  Fixture.send(getRequest("/a") + postOf(60000, 50000));
  tcp::socket Other = connectCaller(Fixture);
  asio::write(Other, asio::buffer(postOf(60000, 50000)));
  Fixture.runUntilIdle();
  REQUIRE(Memory.Used >= 120000);
  std::this_thread::sleep_for(std::chrono::milliseconds(600));
  tcp::socket Ordinary = connectCaller(Fixture);
  asio::write(Ordinary, asio::buffer(postOf(60000, 60000)));
  for (int Round = 0; Round < 20; ++Round)
    Fixture.runUntilIdle();
  CHECK(arrivedRequests(Fixture).size() == 2);
  CHECK(countEvents<core::InputRefused>(Fixture) == 1);
  CHECK(Other.available() > 0);
}

TEST_CASE("the announced length of a body isn't held before its bytes") {
  SessionFixture Fixture;
  setCallerLimits(Fixture.Context, {{}, base::ByteCount{1000000}, {}, {}});
  runtime::MemoryBudget Memory;
  Memory.Limit = base::ByteCount{1000000};
  Fixture.Context.BodyMemory = &Memory;
  runtime::MemoryHold Others;
  REQUIRE(runtime::tryHold(Others, Memory, base::ByteCount{500000}));
  tcp::socket Caller = connectCaller(Fixture); // under the new limits
  asio::write(Caller, asio::buffer(postOf(900000, 1000)));
  Fixture.runUntilIdle();
  CHECK(countEvents<core::InputRefused>(Fixture) == 0);
  CHECK(Memory.Used > 500000);
  CHECK(Memory.Used < 700000);
}

TEST_CASE("heads that arrive in parts are counted while they do") {
  SessionFixture Fixture;
  runtime::MemoryBudget Memory;
  Fixture.Context.BodyMemory = &Memory;
  Fixture.send("GET /a HTTP/1.1\r\n");
  CHECK(Memory.Used >= 16384);
  Fixture.send("Host: A.example:80\r\n\r\n");
  REQUIRE(arrivedRequests(Fixture).size() == 1);
  CHECK(Memory.Used < 100);
}

TEST_CASE(
    "while callers hold all memory for answers, less of each is buffered") {
  SessionFixture Fixture;
  runtime::MemoryBudget Memory;
  Memory.Limit = base::ByteCount{1000};
  Fixture.Context.AnswerMemory = &Memory;
  Fixture.send(getRequest("/a"));
  answerRequest(Fixture, 0, std::string(20000, 'x'));
  CHECK(countEvents<core::AnswerBufferFull>(Fixture) == 1);
}

} // namespace currantgauge::http
