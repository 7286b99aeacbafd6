// Answers of a backend server that end before they are complete.
#include "currantgauge/http/fake_backend_test.h"

#include <boost/asio/socket_base.hpp>
#include <doctest/doctest.h>

#include <cstddef>
#include <string>
#include <utility>

namespace currantgauge::http {
namespace {

// CutEnd is how the server ends the connection.
enum class CutEnd { Close, Reset };

void endConnection(BackendFixture &Fixture, std::size_t Index, CutEnd End) {
  Fixture.received(Index); // a close with unread input is a reset
  auto &Connection = Fixture.Connections.at(Index);
  if (End == CutEnd::Reset)
    Connection.set_option(boost::asio::socket_base::linger(true, 0));
  Connection.close();
  Fixture.runUntilIdle();
}

const std::string Head = "HTTP/1.1 200 OK\r\nSigned: x\r\nAttempt: 8\r\n";
const std::string WithLength = Head + "Content-Length: 5\r\n\r\nabcde";
const std::string WithChunks =
    Head + "Transfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n0\r\n\r\n";

// Sends the first Length bytes of Answer to attempt 8, on a connection that
// served another attempt if Reused.
TestExchange cutAnswer(BackendFixture &Fixture, const std::string &Answer,
                       std::size_t Length, CutEnd End, bool Reused) {
  if (Reused) {
    Fixture.start("7");
    Fixture.respond(0, makeSuccessAnswer("7"));
  }
  TestExchange Exchange = Fixture.start("8");
  REQUIRE(Fixture.Connections.size() == 1);
  Fixture.respond(0, Answer.substr(0, Length));
  endConnection(Fixture, 0, End);
  return Exchange;
}

} // namespace

TEST_CASE("an answer that is cut anywhere never counts as complete") {
  for (const std::string &Answer : {WithLength, WithChunks})
    for (CutEnd End : {CutEnd::Close, CutEnd::Reset})
      for (bool Reused : {false, true})
        for (std::size_t Length = 0; Length < Answer.size();
             Length += Length + 4 < Head.size() ? 7 : 1) {
          CAPTURE(Answer);
          CAPTURE(Length);
          CAPTURE(Reused);
          CAPTURE((End == CutEnd::Reset));
          BackendFixture Fixture;
          TestExchange Exchange =
              cutAnswer(Fixture, Answer, Length, End, Reused);
          CHECK(mayHaveRun(Exchange));
          CHECK((*Exchange.Result)->Reason != base::Reason::None);
          // Nothing is passed on while another server can still be asked.
          if (Length < Answer.find("\r\n\r\n") + 4)
            CHECK(forwardedStatus(Exchange) == 0);
        }
}

TEST_CASE("an answer without a length is whole on a close, not on a reset") {
  for (CutEnd End : {CutEnd::Close, CutEnd::Reset}) {
    BackendFixture Fixture;
    std::string Answer = Head + "\r\nabcde";
    TestExchange Exchange =
        cutAnswer(Fixture, Answer, Answer.size(), End, false);
    REQUIRE(*Exchange.Result);
    CHECK((*Exchange.Result)->AnswerComplete == (End == CutEnd::Close));
  }
}

TEST_CASE("a head that is cut behind an interim answer isn't complete") {
  for (std::size_t Length : {std::size_t{0}, std::size_t{9}, Head.size()}) {
    CAPTURE(Length);
    BackendFixture Fixture;
    std::string Answer = "HTTP/1.1 100 Continue\r\n\r\n" + Head + "\r\n";
    TestExchange Exchange =
        cutAnswer(Fixture, Answer, Answer.size() - Head.size() - 2 + Length,
                  CutEnd::Close, false);
    CHECK(mayHaveRun(Exchange));
    CHECK(forwardedStatus(Exchange) == 0);
  }
}

} // namespace currantgauge::http
