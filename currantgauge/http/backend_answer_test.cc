#include "currantgauge/http/backend_answer.h"

#include <doctest/doctest.h>

namespace currantgauge::http {
namespace {

HttpDialect proving() {
  HttpDialect Wire;
  Wire.AttemptIdField = "Attempt";
  Wire.EchoesAttemptId = true;
  Wire.NotRunField = "Not-Run";
  Wire.SignatureField = "Signed";
  return Wire;
}

AnswerFields answer(unsigned Status) {
  AnswerFields Head;
  Head.result(Status);
  return Head;
}

} // namespace

TEST_CASE("a shed or misdirected request is proved not to have run") {
  core::ExchangeOutcome Outcome;
  AnswerFields Plain = answer(503);
  readProofs(Plain, proving(), Outcome);
  CHECK_FALSE(Outcome.ConfirmedNotRun);
  Plain.set("Not-Run", "1");
  readProofs(Plain, proving(), Outcome);
  CHECK(Outcome.ConfirmedNotRun);
  readProofs(answer(421), proving(), Outcome);
  CHECK(Outcome.ConfirmedNotRun);
  readProofs(answer(500), proving(), Outcome);
  CHECK_FALSE(Outcome.ConfirmedNotRun);
}

TEST_CASE("an answer that echoes another attempt is no answer to this one") {
  runtime::RequestMessage Message;
  Message.Headers = {{"attempt", "7"}};
  AnswerFields Head = answer(200);
  CHECK_FALSE(isStray(Head, proving(), Message));
  Head.set("Attempt", "7");
  CHECK_FALSE(isStray(Head, proving(), Message));
  Head.set("Attempt", "8");
  CHECK(isStray(Head, proving(), Message));
  CHECK_FALSE(isStray(Head, nativeDialect(), Message));
}

TEST_CASE("a success needs its signature, a failure doesn't") {
  AnswerFields Head = answer(200);
  CHECK(isSpoilt(Head, proving()));
  CHECK_FALSE(isSpoilt(Head, nativeDialect()));
  Head.set("Signed", "x");
  CHECK_FALSE(isSpoilt(Head, proving()));
  Head.set("Content-Encoding", "gzip");
  CHECK(isSpoilt(Head, proving()));
  CHECK_FALSE(isSpoilt(answer(500), proving()));
}

TEST_CASE("a pooled connection is left before its server closes it") {
  AnswerFields Head = answer(200);
  CHECK(idleLimitOf(Head) == std::chrono::milliseconds(4000));
  Head.set("Keep-Alive", "timeout=10, max=100");
  CHECK(idleLimitOf(Head) == std::chrono::milliseconds(8500));
  Head.set("Keep-Alive", "timeout=soon");
  CHECK(idleLimitOf(Head) == std::chrono::milliseconds(4000));
}

TEST_CASE("Retry-After is seconds, with a fraction or without") {
  auto Read = [](const char *Text) {
    AnswerFields Head = answer(503);
    Head.set("Retry-After", Text);
    core::ExchangeOutcome Outcome;
    readRetryAfter(Head, Outcome);
    return Outcome.RetryAfter;
  };
  CHECK(Read("2") == base::seconds(2));
  CHECK(Read("0") == base::seconds(1));
  CHECK(Read("0.25") == base::milliseconds(250));
  CHECK(Read("-1") == base::Duration{});
  CHECK(Read("later") == base::Duration{});
}

} // namespace currantgauge::http
