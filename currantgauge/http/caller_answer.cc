#include "currantgauge/http/caller_answer.h"

#include "currantgauge/http/fields.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/status.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <string_view>

namespace currantgauge::http {
namespace {

namespace beast = boost::beast;
using Status = beast::http::status;

beast::string_view toBeastView(std::string_view Text) {
  return beast::string_view(Text.data(), Text.size());
}

template <typename Message>
void setAnswerFields(Message &Answer, const runtime::AnswerHead &Head,
                     const AnswerMetadata &Metadata) {
  Answer.result(Head.Status);
  for (const auto &[Name, Value] : Head.Headers)
    if (!isHopByHop(Name))
      Answer.insert(Name, Value);
  if (!Metadata.AddFields)
    return;
  Answer.set(toBeastView(RequestIdField), base::formatId(Metadata.Request));
  Answer.set(toBeastView(VerdictField),
             toBeastView(base::verdictName(Metadata.Delivery.Verdict)));
  Answer.set(toBeastView(ServerField), Metadata.Delivery.Server.Value);
}

std::string contentLengthOf(const runtime::AnswerHead &Head) {
  for (const auto &[Name, Value] : Head.Headers)
    if (beast::iequals(Name, "Content-Length"))
      return Value;
  return "";
}

// Repeats the verdict and reason of the body as header fields.
void setRefusalFields(TextResponse &Answer, base::Verdict Verdict,
                      base::Reason Reason) {
  Answer.set(toBeastView(VerdictField),
             toBeastView(base::verdictName(Verdict)));
  Answer.set(toBeastView(ReasonField), toBeastView(base::reasonName(Reason)));
}

// Returns seconds: with FractionalRetryAfter to the millisecond, otherwise
// rounded up, since a caller that retried earlier would be refused again.
std::string formatRetryAfter(base::Duration After, const HttpDialect &Dialect) {
  constexpr std::int64_t MillisPerSecond = 1000;
  std::int64_t Millis = std::max<std::int64_t>(base::toMillis(After), 1);
  if (!Dialect.FractionalRetryAfter)
    return std::to_string((Millis + MillisPerSecond - 1) / MillisPerSecond);
  std::string Fraction = std::to_string(Millis % MillisPerSecond);
  return std::to_string(Millis / MillisPerSecond) + "." +
         std::string(3 - Fraction.size(), '0') + Fraction;
}

TextResponse makeErrorAnswer(Status Code, base::Verdict Verdict,
                             base::Reason Reason, const std::string &Detail) {
  TextResponse Answer;
  Answer.version(11);
  Answer.result(Code);
  Answer.set(beast::http::field::content_type, "application/json");
  nlohmann::ordered_json Body = {{"verdict", base::verdictName(Verdict)},
                                 {"reason", base::reasonName(Reason)},
                                 {"message", Detail}};
  Answer.body() =
      Body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) +
      "\n";
  return Answer;
}

// Used with StatusConfirmsNotRun: callers take 429 and 503 as confirmation that
// the request did not run, so only Verdict::NotRun gets them.
Status statusByVerdict(base::Reason Reason, base::Verdict Verdict) {
  if (Verdict == base::Verdict::NotRun)
    return Reason == base::Reason::WorkspaceLimit ||
                   Reason == base::Reason::KindLimit ||
                   Reason == base::Reason::FleetLimit
               ? Status::too_many_requests
               : Status::service_unavailable;
  bool TimedOut = Reason == base::Reason::DeadlinePassed ||
                  Reason == base::Reason::BackendTimeout ||
                  Reason == base::Reason::BackendSilent;
  return TimedOut ? Status::gateway_timeout : Status::bad_gateway;
}

bool isCallerError(base::Reason Reason) {
  switch (Reason) {
  case base::Reason::BadRequest:
  case base::Reason::BodyTooLarge:
  case base::Reason::HeaderTooLarge:
  case base::Reason::CallerTimeout:
  case base::Reason::NoRoute:
  case base::Reason::UnknownWorkspace:
  case base::Reason::UnknownKey:
    return true;
  default:
    return false;
  }
}

} // namespace

beast::http::status statusOf(base::Reason Reason, base::Verdict Verdict,
                             const HttpDialect &Dialect) {
  if (Dialect.StatusConfirmsNotRun && !isCallerError(Reason))
    return statusByVerdict(Reason, Verdict);
  switch (Reason) {
  case base::Reason::BadRequest:
    return Status::bad_request;
  case base::Reason::BodyTooLarge:
    return Status::payload_too_large;
  case base::Reason::HeaderTooLarge:
    return Status::request_header_fields_too_large;
  case base::Reason::CallerTimeout:
    return Status::request_timeout;
  case base::Reason::NoRoute:
    return Status::not_found;
  case base::Reason::UnknownWorkspace:
    return Status::forbidden;
  case base::Reason::UnknownKey:
    return Status::unauthorized;
  case base::Reason::WorkspaceLimit:
  case base::Reason::KindLimit:
  case base::Reason::FleetLimit:
    return Status::too_many_requests;
  case base::Reason::ActionRunning:
  case base::Reason::ActionMismatch:
    return Status::conflict;
  case base::Reason::ActionExpired:
  case base::Reason::ActionForged:
    return Status::forbidden;
  case base::Reason::DeadlinePassed:
  case base::Reason::BackendTimeout:
  case base::Reason::BackendSilent:
    return Status::gateway_timeout;
  case base::Reason::BackendReset:
  case base::Reason::AnswerCutShort:
  case base::Reason::PeerLost:
  case base::Reason::ActionForeign:
  case base::Reason::ActionLost:
    return Status::bad_gateway;
  default:
    return Verdict == base::Verdict::NotRun ? Status::service_unavailable
                                            : Status::bad_gateway;
  }
}

TextResponse makeRefusal(const core::RefuseRequest &Refusal,
                         const HttpDialect &Dialect, bool KeepAlive) {
  TextResponse Answer = makeErrorAnswer(
      statusOf(Refusal.Reason, Refusal.Verdict, Dialect), Refusal.Verdict,
      Refusal.Reason, std::string(base::reasonText(Refusal.Reason)));
  if (Dialect.AddsMetadataFields) {
    setRefusalFields(Answer, Refusal.Verdict, Refusal.Reason);
    Answer.set(toBeastView(RequestIdField), base::formatId(Refusal.Request));
  }
  if (Refusal.RetryAfter > base::Duration{})
    Answer.set(beast::http::field::retry_after,
               formatRetryAfter(Refusal.RetryAfter, Dialect));
  Answer.keep_alive(KeepAlive);
  Answer.prepare_payload();
  return Answer;
}

TextResponse makeActionIdAnswer(const core::AnswerActionId &ActionIdAnswer,
                                const HttpDialect &Dialect, bool KeepAlive) {
  if (ActionIdAnswer.Action.empty())
    return makeRefusal(
        core::RefuseRequest{ActionIdAnswer.Request, base::Verdict::NotRun,
                            ActionIdAnswer.Reason, base::seconds(1)},
        Dialect, KeepAlive);
  TextResponse Answer;
  Answer.version(11);
  Answer.result(Status::created);
  Answer.set(beast::http::field::content_type, "application/json");
  nlohmann::ordered_json Body = {
      {"action", ActionIdAnswer.Action.Value},
      {"valid_ms", base::toMillis(ActionIdAnswer.ValidFor)}};
  Answer.body() = Body.dump() + "\n";
  Answer.keep_alive(KeepAlive);
  Answer.prepare_payload();
  return Answer;
}

TextResponse makeBadRequestAnswer(base::Reason Reason,
                                  const HttpDialect &Dialect,
                                  const std::string &Detail) {
  TextResponse Answer =
      makeErrorAnswer(statusOf(Reason, base::Verdict::NotRun, Dialect),
                      base::Verdict::NotRun, Reason, Detail);
  if (Dialect.AddsMetadataFields)
    setRefusalFields(Answer, base::Verdict::NotRun, Reason);
  if (Reason == base::Reason::MemoryLimit)
    Answer.set(beast::http::field::retry_after,
               formatRetryAfter(base::seconds(1), Dialect));
  Answer.keep_alive(false);
  Answer.prepare_payload();
  return Answer;
}

TextResponse makeCompleteAnswer(const runtime::AnswerHead &Head,
                                std::string Body,
                                const AnswerMetadata &Metadata,
                                bool KeepAlive) {
  TextResponse Answer;
  Answer.version(11);
  setAnswerFields(Answer, Head, Metadata);
  Answer.body() = std::move(Body);
  Answer.keep_alive(KeepAlive);
  // An answer to HEAD and a 304 carry the length of a body that is not sent.
  std::string Length = contentLengthOf(Head);
  if (Answer.body().empty() && !Length.empty())
    Answer.set(beast::http::field::content_length, Length);
  else
    Answer.prepare_payload();
  return Answer;
}

StreamResponse makeStreamedAnswer(const runtime::AnswerHead &Head,
                                  const AnswerMetadata &Metadata,
                                  unsigned Version, bool KeepAlive) {
  StreamResponse Answer;
  Answer.version(Version);
  setAnswerFields(Answer, Head, Metadata);
  std::string Length = contentLengthOf(Head);
  if (!Length.empty())
    Answer.set(beast::http::field::content_length, Length);
  else if (Version >= 11)
    Answer.chunked(true);
  Answer.keep_alive(KeepAlive);
  Answer.body().data = nullptr;
  Answer.body().size = 0;
  Answer.body().more = true;
  return Answer;
}

} // namespace currantgauge::http
