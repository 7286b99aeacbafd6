// Answers of a backend server whose status no final answer can have.
#include "currantgauge/http/fake_backend_test.h"

#include <doctest/doctest.h>

#include <string>

namespace currantgauge::http {
namespace {

std::string makeHead(const std::string &Status) {
  return "HTTP/1.1 " + Status + " Status\r\nSigned: x\r\nAttempt: 7\r\n";
}

std::string makeInterimAnswer(const std::string &Status) {
  return "HTTP/1.1 " + Status + " Status\r\n\r\n";
}

} // namespace

TEST_CASE("an answer whose status is no final one ends the exchange at once") {
  for (const std::string Status :
       {"000", "001", "099", "101", "104", "199", "600", "999"})
    for (const std::string End : {"Content-Length: 2\r\n\r\nab", "\r\n"}) {
      CAPTURE(Status);
      CAPTURE(End);
      BackendFixture Fixture;
      TestExchange Exchange = Fixture.start("7");
      Fixture.respond(0, makeHead(Status) + End);
      REQUIRE(*Exchange.Result);
      CHECK(mayHaveRun(Exchange));
      CHECK((*Exchange.Result)->Reason == base::Reason::AnswerCutShort);
      CHECK(forwardedStatus(Exchange) == 0);
      Fixture.start("8");
      CHECK(Fixture.Connections.size() == 2);
    }
}

TEST_CASE("interim answers that precede the final one are skipped") {
  BackendFixture Fixture;
  TestExchange Exchange = Fixture.start("7");
  Fixture.respond(0, makeInterimAnswer("100") + makeInterimAnswer("102") +
                         makeInterimAnswer("103") + makeInterimAnswer("103") +
                         makeSuccessAnswer("7"));
  REQUIRE(*Exchange.Result);
  CHECK((*Exchange.Result)->AnswerComplete);
  CHECK(forwardedStatus(Exchange) == 200);
}

TEST_CASE("interim answers without end are no answer") {
  BackendFixture Fixture;
  TestExchange Exchange = Fixture.start("7");
  std::string Answers;
  for (int I = 0; I < 100; ++I)
    Answers += makeInterimAnswer("102");
  Fixture.respond(0, Answers);
  REQUIRE(*Exchange.Result);
  CHECK(mayHaveRun(Exchange));
}

} // namespace currantgauge::http
