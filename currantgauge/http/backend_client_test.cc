#include "currantgauge/http/backend_client.h"

#include "currantgauge/http/fake_backend_test.h"

#include <doctest/doctest.h>

#include <string>

namespace currantgauge::http {

TEST_CASE("a refused attempt's repeated refusal is no answer to its retry") {
  BackendFixture Fixture;
  TestExchange First = Fixture.start("7");
  Fixture.respond(0, makeRefusalAnswer("7"));
  REQUIRE(*First.Result);
  CHECK((*First.Result)->ConfirmedNotRun);
  TestExchange Retry = Fixture.start("7");
  Fixture.respond(0, makeRefusalAnswer("7"));
  CHECK_FALSE(*Retry.Result);
  REQUIRE(Fixture.Connections.size() == 2);
  Fixture.respond(1, makeSuccessAnswer("7"));
  REQUIRE(*Retry.Result);
  CHECK((*Retry.Result)->Status == 200);
  CHECK((*Retry.Result)->AnswerComplete);
}

TEST_CASE(
    "a connection on which an attempt was refused serves other attempts") {
  BackendFixture Fixture;
  Fixture.start("7");
  Fixture.respond(0, makeRefusalAnswer("7"));
  TestExchange Other = Fixture.start("8");
  Fixture.respond(0, makeSuccessAnswer("8"));
  CHECK(Fixture.Connections.size() == 1);
  REQUIRE(*Other.Result);
  CHECK((*Other.Result)->AnswerComplete);
}

TEST_CASE("a refusal of another attempt is skipped") {
  BackendFixture Fixture;
  Fixture.start("7");
  Fixture.respond(0, makeRefusalAnswer("7"));
  TestExchange Next = Fixture.start("8");
  Fixture.respond(0, makeRefusalAnswer("7"));
  CHECK_FALSE(*Next.Result);
  Fixture.respond(0, makeSuccessAnswer("8"));
  REQUIRE(*Next.Result);
  CHECK((*Next.Result)->Status == 200);
  CHECK_FALSE((*Next.Result)->ConfirmedNotRun);
}

TEST_CASE("a refusal of another attempt and a close prove nothing") {
  BackendFixture Fixture;
  TestExchange Exchange = Fixture.start("8");
  Fixture.respond(0, makeRefusalAnswer("7"));
  Fixture.Connections[0].close();
  Fixture.runUntilIdle();
  CHECK(mayHaveRun(Exchange));
}

TEST_CASE("refusals of other attempts without end prove nothing") {
  BackendFixture Fixture;
  TestExchange Exchange = Fixture.start("8");
  for (int Copy = 0; Copy < 5; ++Copy)
    Fixture.respond(0, makeRefusalAnswer("7"));
  CHECK(mayHaveRun(Exchange));
  CHECK(Fixture.Pool.Idle.begin()->second.empty());
}

TEST_CASE(
    "a connection on which a refusal was repeated while idle isn't used") {
  BackendFixture Fixture;
  Fixture.start("7");
  Fixture.respond(0, makeRefusalAnswer("7"));
  Fixture.respond(0, makeRefusalAnswer("7"));
  Fixture.start("8");
  CHECK(Fixture.Connections.size() == 2);
  CHECK_FALSE(Fixture.received(1).empty());
}

TEST_CASE("a connection with bytes after a complete answer isn't used again") {
  BackendFixture Fixture;
  TestExchange First = Fixture.start("7");
  Fixture.respond(0, makeSuccessAnswer("7") + makeRefusalAnswer("7"));
  REQUIRE(*First.Result);
  CHECK((*First.Result)->Status == 200);
  CHECK_FALSE((*First.Result)->ConfirmedNotRun);
  Fixture.start("8");
  CHECK(Fixture.Connections.size() == 2);
}

TEST_CASE("a repeated refusal without an attempt id proves nothing") {
  BackendFixture Fixture;
  Fixture.start("7");
  Fixture.respond(0, makeRefusalAnswer("7"));
  TestExchange Next = Fixture.start("8");
  Fixture.respond(0, makeRefusalAnswer(""));
  CHECK(Fixture.Connections.size() == 1);
  CHECK(mayHaveRun(Next));
  CHECK(forwardedStatus(Next) == 0);
}

TEST_CASE("a skipped refusal and one without an attempt id prove nothing") {
  BackendFixture Fixture;
  TestExchange Exchange = Fixture.start("8");
  Fixture.respond(0, makeRefusalAnswer("7") + makeRefusalAnswer(""));
  CHECK(mayHaveRun(Exchange));
}

TEST_CASE("a refusal without an attempt id is the last on its connection") {
  BackendFixture Fixture;
  TestExchange First = Fixture.start("7");
  Fixture.respond(0, makeRefusalAnswer(""));
  REQUIRE(*First.Result);
  CHECK((*First.Result)->ConfirmedNotRun);
  TestExchange Next = Fixture.start("8");
  REQUIRE(Fixture.Connections.size() == 2);
  Fixture.respond(1, makeSuccessAnswer("8"));
  REQUIRE(*Next.Result);
  CHECK((*Next.Result)->AnswerComplete);
}

TEST_CASE("a success without an attempt id isn't passed on") {
  BackendFixture Fixture;
  TestExchange Exchange = Fixture.start("7");
  Fixture.respond(0, makeAnswer(200, "Signed: x\r\n"));
  CHECK(mayHaveRun(Exchange));
  CHECK(forwardedStatus(Exchange) == 0);
}

TEST_CASE("a refusal without confirmation isn't passed on as a promise") {
  for (unsigned Status : {408U, 429U, 503U}) {
    CAPTURE(Status);
    BackendFixture Fixture;
    TestExchange Exchange = Fixture.start("7");
    Fixture.respond(0, makeAnswer(Status, "Attempt: 7\r\nRetry-After: 1\r\n"));
    CHECK(mayHaveRun(Exchange));
    CHECK(forwardedStatus(Exchange) == 0);
  }
}

} // namespace currantgauge::http
