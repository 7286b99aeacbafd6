#include "currantgauge/http/caller_answer.h"

#include <doctest/doctest.h>

namespace currantgauge::http {
namespace {

using base::Reason;
using base::Verdict;
using Status = boost::beast::http::status;

} // namespace

TEST_CASE("a refusal's status distinguishes caller errors from server errors") {
  CHECK(statusOf(Reason::BadRequest, Verdict::NotRun, nativeDialect()) ==
        Status::bad_request);
  CHECK(statusOf(Reason::WorkspaceLimit, Verdict::NotRun, nativeDialect()) ==
        Status::too_many_requests);
  CHECK(statusOf(Reason::ActionRunning, Verdict::MayHaveRun, nativeDialect()) ==
        Status::conflict);
  CHECK(statusOf(Reason::DeadlinePassed, Verdict::MayHaveRun,
                 nativeDialect()) == Status::gateway_timeout);
}

TEST_CASE(
    "a refusal is 503 if the request did not run and 502 if it may have") {
  CHECK(statusOf(Reason::QueueFull, Verdict::NotRun, nativeDialect()) ==
        Status::service_unavailable);
  CHECK(statusOf(Reason::PeerUnavailable, Verdict::MayHaveRun,
                 nativeDialect()) == Status::bad_gateway);
  CHECK(statusOf(Reason::PeerLost, Verdict::MayHaveRun, nativeDialect()) ==
        Status::bad_gateway);
}

TEST_CASE(
    "a refusal carries the verdict and reason and a rounded Retry-After") {
  core::RefuseRequest Refusal;
  Refusal.Request = base::RequestId{1, 2};
  Refusal.Reason = Reason::QueueFull;
  Refusal.RetryAfter = base::milliseconds(1001);
  TextResponse Answer = makeRefusal(Refusal, nativeDialect(), true);
  CHECK(Answer.result() == Status::service_unavailable);
  CHECK(Answer["Currantgauge-Verdict"] == "not_run");
  CHECK(Answer["Currantgauge-Reason"] == "queue_full");
  CHECK(Answer[boost::beast::http::field::retry_after] == "2");
  CHECK(Answer.keep_alive());
}

TEST_CASE("an answer to HEAD keeps Content-Length") {
  runtime::AnswerHead Head{200, {{"Content-Length", "120"}}};
  TextResponse Answer = makeCompleteAnswer(Head, "", AnswerMetadata{}, true);
  CHECK(Answer[boost::beast::http::field::content_length] == "120");
}

} // namespace currantgauge::http
