#include "currantgauge/http/backend_answer.h"

#include <doctest/doctest.h>

namespace currantgauge::http {
namespace {

HttpDialect testDialect() {
  HttpDialect Dialect;
  Dialect.AttemptIdField = "Attempt";
  Dialect.EchoesAttemptId = true;
  Dialect.NotRunField = "Not-Run";
  Dialect.SignatureField = "Signed";
  return Dialect;
}

AnswerHeader makeHeader(unsigned Status) {
  AnswerHeader Head;
  Head.result(Status);
  return Head;
}

} // namespace

TEST_CASE("a shed or misdirected request is confirmed not to have run") {
  core::ExchangeOutcome Outcome;
  AnswerHeader Head = makeHeader(503);
  readNotRunConfirmation(Head, testDialect(), Outcome);
  CHECK_FALSE(Outcome.ConfirmedNotRun);
  Head.set("Not-Run", "1");
  readNotRunConfirmation(Head, testDialect(), Outcome);
  CHECK(Outcome.ConfirmedNotRun);
  readNotRunConfirmation(makeHeader(421), testDialect(), Outcome);
  CHECK(Outcome.ConfirmedNotRun);
  readNotRunConfirmation(makeHeader(500), testDialect(), Outcome);
  CHECK_FALSE(Outcome.ConfirmedNotRun);
}

TEST_CASE("an answer that echoes another attempt id is stale") {
  runtime::RequestMessage Message;
  Message.Headers = {{"attempt", "7"}};
  AnswerHeader Head = makeHeader(200);
  CHECK_FALSE(isStaleAnswer(Head, testDialect(), Message));
  Head.set("Attempt", "7");
  CHECK_FALSE(isStaleAnswer(Head, testDialect(), Message));
  Head.set("Attempt", "8");
  CHECK(isStaleAnswer(Head, testDialect(), Message));
  CHECK_FALSE(isStaleAnswer(Head, nativeDialect(), Message));
}

TEST_CASE("a success needs a signature and a failure doesn't") {
  AnswerHeader Head = makeHeader(200);
  CHECK(isInvalidAnswer(Head, testDialect()));
  CHECK_FALSE(isInvalidAnswer(Head, nativeDialect()));
  Head.set("Signed", "x");
  CHECK_FALSE(isInvalidAnswer(Head, testDialect()));
  Head.set("Content-Encoding", "gzip");
  CHECK(isInvalidAnswer(Head, testDialect()));
  CHECK_FALSE(isInvalidAnswer(makeHeader(500), testDialect()));
}

TEST_CASE(
    "a connection's idle limit is below the server's keep-alive timeout") {
  AnswerHeader Head = makeHeader(200);
  CHECK(idleLimitOf(Head) == std::chrono::milliseconds(4000));
  Head.set("Keep-Alive", "timeout=10, max=100");
  CHECK(idleLimitOf(Head) == std::chrono::milliseconds(8500));
  Head.set("Keep-Alive", "timeout=soon");
  CHECK(idleLimitOf(Head) == std::chrono::milliseconds(4000));
}

TEST_CASE("Retry-After is read as seconds with or without a fraction") {
  auto ReadRetryAfter = [](const char *Text) {
    AnswerHeader Head = makeHeader(503);
    Head.set("Retry-After", Text);
    core::ExchangeOutcome Outcome;
    readRetryAfter(Head, Outcome);
    return Outcome.RetryAfter;
  };
  CHECK(ReadRetryAfter("2") == base::seconds(2));
  CHECK(ReadRetryAfter("0") == base::seconds(1));
  CHECK(ReadRetryAfter("0.25") == base::milliseconds(250));
  CHECK(ReadRetryAfter("-1") == base::Duration{});
  CHECK(ReadRetryAfter("later") == base::Duration{});
}

} // namespace currantgauge::http
