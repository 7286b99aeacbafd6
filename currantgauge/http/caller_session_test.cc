#include "currantgauge/http/caller_session.h"

#include "currantgauge/http/fake_caller_test.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <thread>
#include <utility>
#include <variant>
#include <vector>

namespace currantgauge::http {
namespace {

namespace asio = boost::asio;

// Answers one request, so that the idle timeout of 200 ms is in force.
void startIdleTime(SessionFixture &Fixture) {
  setCallerLimits(Fixture.Context, {{}, {}, {}, base::milliseconds(200)});
  Fixture.send(getRequest("/1"));
  answerRequest(Fixture, 0, "first");
  REQUIRE(Fixture.readAvailable().find("first") != std::string::npos);
}

std::vector<core::ConnectionEnd> connectionEnds(const SessionFixture &Fixture) {
  std::vector<core::ConnectionEnd> Ends;
  for (const runtime::ControlInput &Input : Fixture.Posted)
    if (const auto *Gone = std::get_if<core::CallerGone>(&Input.Body))
      Ends.push_back(Gone->End);
  return Ends;
}

} // namespace

TEST_CASE("pipelined requests run concurrently and are answered in order") {
  SessionFixture Fixture;
  Fixture.send(getRequest("/1") + getRequest("/2") + getRequest("/3"));
  REQUIRE(arrivedRequests(Fixture).size() == 3);
  answerRequest(Fixture, 2, "third");
  answerRequest(Fixture, 1, "second");
  CHECK(countEvents<core::AttemptEnded>(Fixture) == 2);
  CHECK(Fixture.readAvailable().empty());
  answerRequest(Fixture, 0, "first");
  std::string Text = Fixture.readAvailable();
  std::size_t First = Text.find("first"), Second = Text.find("second"),
              Third = Text.find("third");
  REQUIRE(Third != std::string::npos);
  CHECK(First < Second);
  CHECK(Second < Third);
}

TEST_CASE("a disconnect abandons all requests of the connection") {
  SessionFixture Fixture;
  Fixture.send(getRequest("/1") + getRequest("/2"));
  Fixture.Caller.close();
  Fixture.runUntilIdle();
  CHECK(connectionEnds(Fixture) ==
        std::vector(2, core::ConnectionEnd::CallerClosed));
}

TEST_CASE("a request is unanswered until its caller has taken the answer") {
  SessionFixture Fixture(16384);
  CHECK(Fixture.Context.Unanswered == 0);
  Fixture.send(getRequest("/1"));
  CHECK(Fixture.Context.Unanswered == 1);
  std::string Body(60000, 'a');
  answerRequest(Fixture, 0, Body);
  CHECK(Fixture.Context.Unanswered == 1);
  std::string Text;
  for (int Read = 0; Read < 100 && Text.size() < Body.size(); ++Read) {
    Text += Fixture.readAvailable();
    Fixture.runUntilIdle();
  }
  Text += Fixture.readAvailable();
  CHECK(Fixture.Context.Unanswered == 0);
  CHECK(Text.ends_with(Body));
  Fixture.send(getRequest("/2"));
  CHECK(Fixture.Context.Unanswered == 1);
  Fixture.Caller.close();
  Fixture.runUntilIdle();
  CHECK(Fixture.Context.Unanswered == 0);
}

TEST_CASE("an abandoned request tells a reset from a close by the caller") {
  SessionFixture Fixture;
  Fixture.send(getRequest("/1"));
  Fixture.Caller.set_option(asio::socket_base::linger(true, 0));
  Fixture.Caller.close();
  Fixture.runUntilIdle();
  CHECK(connectionEnds(Fixture) ==
        std::vector{core::ConnectionEnd::CallerReset});
}

// The end of the earlier attempt may come before or after the next one starts.
TEST_CASE("of two attempts of a request either answer can be delivered") {
  for (bool EndsBefore : {false, true})
    for (bool DeliversEarlier : {false, true}) {
      SessionFixture Fixture;
      Fixture.send(getRequest("/1"));
      const runtime::ControlInput &Input = *arrivedRequests(Fixture).front();
      runtime::CallerExchangePtr Caller = Input.Caller;
      base::RequestId Request =
          std::get<core::RequestArrived>(Input.Body).Facts.Request;
      base::AttemptId Earlier{1, 1}, Failed{1, 2}, Newest{1, 3};
      runtime::AnswerPipePtr EarlierPipe(new runtime::AnswerPipe);
      runtime::AnswerPipePtr FailedPipe(new runtime::AnswerPipe);
      runtime::AnswerPipePtr NewestPipe(new runtime::AnswerPipe);
      Caller->Attach(Earlier, EarlierPipe, {});
      if (EndsBefore) {
        pushAnswer(*EarlierPipe, "earlier");
        Fixture.runUntilIdle();
      }
      Caller->Attach(Failed, FailedPipe, Earlier);
      runtime::pushPart(*FailedPipe, runtime::AnswerEnd{});
      Fixture.runUntilIdle();
      Caller->Attach(Newest, NewestPipe, Earlier);
      if (!EndsBefore)
        pushAnswer(*EarlierPipe, "earlier");
      pushAnswer(*NewestPipe, "newest");
      Fixture.runUntilIdle();
      CHECK(countEvents<core::AttemptEnded>(Fixture) == 3);
      Caller->Deliver(core::DeliverAnswer{
          Request, DeliversEarlier ? Earlier : Newest, {}, {}});
      Fixture.runUntilIdle();
      CHECK(Fixture.readAvailable().ends_with(DeliversEarlier ? "earlier"
                                                              : "newest"));
    }
}

TEST_CASE("a chunked body is reassembled and the port removed from the host") {
  SessionFixture Fixture;
  Fixture.send("POST /p HTTP/1.1\r\nHost: A.example:80\r\n"
               "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n"
               "0\r\n\r\n");
  REQUIRE(arrivedRequests(Fixture).size() == 1);
  const runtime::ControlInput &Input = *arrivedRequests(Fixture).front();
  CHECK(Input.Message->Body == "abcde");
  CHECK(std::get<core::RequestArrived>(Input.Body).Facts.Host == "a.example");
}

TEST_CASE(
    "a malformed request is refused after earlier requests are answered") {
  SessionFixture Fixture;
  Fixture.send(getRequest("/1") + "NONSENSE\r\n\r\n");
  REQUIRE(arrivedRequests(Fixture).size() == 1);
  CHECK(countEvents<core::InputRefused>(Fixture) == 1);
  CHECK(Fixture.readAvailable().empty());
  answerRequest(Fixture, 0, "first");
  std::string Text = Fixture.readAvailable();
  CHECK(Text.find("first") < Text.find("400 Bad Request"));
  CHECK(Text.find("Connection: close") != std::string::npos);
}

TEST_CASE("a request that takes too long to arrive doesn't end the connection "
          "before earlier requests are answered") {
  SessionFixture Fixture;
  setCallerLimits(Fixture.Context, {{}, {}, base::milliseconds(50), {}});
  Fixture.send(getRequest("/1") + "GET /2 HTTP/1.1\r\n");
  Fixture.runUntilIdle();
  Fixture.runUntilIdle();
  REQUIRE(arrivedRequests(Fixture).size() == 1);
  answerRequest(Fixture, 0, "first");
  std::string Text = Fixture.readToEnd();
  CHECK(connectionEnds(Fixture).empty());
  CHECK(Text.find("first") != std::string::npos);
  CHECK(Text.find("408 Request Timeout") != std::string::npos);
}

TEST_CASE("while the node stops the last answer closes the connection") {
  SessionFixture Fixture;
  Fixture.send(getRequest("/1") + getRequest("/2"));
  Fixture.Context.Stopping = true;
  answerRequest(Fixture, 0, "first");
  CHECK(Fixture.readAvailable().find("Connection: close") == std::string::npos);
  answerRequest(Fixture, 1, "second");
  CHECK(Fixture.readAvailable().find("Connection: close") != std::string::npos);
}

TEST_CASE("a request that arrives as the idle timeout expires is answered") {
  SessionFixture Fixture;
  startIdleTime(Fixture);
  Fixture.sendAsIdleTimerExpires(getRequest("/2"));
  REQUIRE(arrivedRequests(Fixture).size() == 2);
  answerRequest(Fixture, 1, "second");
  CHECK(Fixture.readAvailable().find("second") != std::string::npos);
  CHECK(connectionEnds(Fixture).empty());
}

TEST_CASE("a body whose head arrives as the idle timeout expires is read") {
  SessionFixture Fixture;
  startIdleTime(Fixture);
  Fixture.sendAsIdleTimerExpires(PostHead);
  Fixture.send("abcdef");
  REQUIRE(arrivedRequests(Fixture).size() == 2);
  answerRequest(Fixture, 1, "second");
  CHECK(Fixture.readAvailable().find("second") != std::string::npos);
}

TEST_CASE("a raised idle timeout holds for connections that are idle already") {
  SessionFixture Fixture;
  startIdleTime(Fixture);
  setCallerLimits(Fixture.Context, {{}, {}, {}, base::seconds(5)});
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  Fixture.runUntilIdle();
  Fixture.send(getRequest("/2"));
  CHECK(arrivedRequests(Fixture).size() == 2);
}

TEST_CASE(
    "no request is started behind the answer that closes the connection") {
  SessionFixture Fixture(16384);
  Fixture.send(getRequest("/1"));
  Fixture.Context.Stopping = true;
  std::string Body(60000, 'x');
  answerRequest(Fixture, 0, Body);
  Fixture.send(getRequest("/2"));
  CHECK(arrivedRequests(Fixture).size() == 1);
  CHECK(Fixture.readToEnd().size() > Body.size());
}

TEST_CASE("a request that crosses the close doesn't destroy the last answer") {
  SessionFixture Fixture(16384);
  Fixture.send(getRequest("/1"));
  Fixture.Context.Stopping = true;
  std::string Body(30000, 'x');
  answerRequest(Fixture, 0, Body);
  Fixture.send(getRequest("/2"));
  CHECK(Fixture.readToEnd().size() > Body.size());
  CHECK(arrivedRequests(Fixture).size() == 1);
}

TEST_CASE("a caller that doesn't close is disconnected after its last answer") {
  SessionFixture Fixture;
  Fixture.send(getRequest("/1"));
  Fixture.Context.Stopping = true;
  answerRequest(Fixture, 0, "first");
  CHECK(Fixture.readToEnd().find("first") != std::string::npos);
  boost::system::error_code Error;
  for (int Round = 0; Round < 100 && !Error; ++Round) {
    Fixture.runUntilIdle();
    Fixture.Caller.write_some(asio::buffer("x", 1), Error);
  }
  CHECK(Error);
}

TEST_CASE("a body that the caller was told to send has the time of a request, "
          "not the idle timeout") {
  SessionFixture Fixture;
  setCallerLimits(Fixture.Context, {{}, {}, {}, base::milliseconds(200)});
  Fixture.send(getRequest("/1") +
               "POST /p HTTP/1.1\r\nHost: A.example:80\r\n"
               "Content-Length: 6\r\nExpect: 100-continue\r\n\r\n");
  answerRequest(Fixture, 0, "first");
  CHECK(Fixture.readAvailable().find("100 Continue") != std::string::npos);
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  Fixture.runUntilIdle();
  Fixture.send("abcdef");
  CHECK(arrivedRequests(Fixture).size() == 2);
}

TEST_CASE("the time of a request that was read in full doesn't end the next") {
  SessionFixture Fixture;
  setCallerLimits(Fixture.Context, {{}, {}, base::milliseconds(200), {}});
  Fixture.send(PostHead);
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  Fixture.send("abcdefGET /2 HTTP/1.1\r\n");
  Fixture.send("Host: A.example:80\r\n\r\n");
  CHECK(arrivedRequests(Fixture).size() == 2);
  CHECK(countEvents<core::InputRefused>(Fixture) == 0);
}

TEST_CASE("an idle connection is closed but not one that awaits an answer") {
  SessionFixture Fixture;
  setCallerLimits(Fixture.Context, {{}, {}, {}, base::milliseconds(20)});
  Fixture.send(getRequest("/1"));
  Fixture.runUntilIdle();
  answerRequest(Fixture, 0, "first");
  CHECK(Fixture.readAvailable().find("first") != std::string::npos);
  boost::system::error_code Error = asio::error::would_block;
  char Byte = 0;
  for (int Round = 0; Round < 100 && Error == asio::error::would_block;
       ++Round) {
    Fixture.runUntilIdle();
    Fixture.Caller.read_some(asio::buffer(&Byte, 1), Error);
  }
  CHECK(Error == asio::error::eof);
}

} // namespace currantgauge::http
