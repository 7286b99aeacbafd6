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

beast::string_view view(std::string_view Text) {
  return beast::string_view(Text.data(), Text.size());
}

template <typename Message>
void setFields(Message &Answer, const runtime::AnswerHead &Head,
               const AnswerMark &Mark) {
  Answer.result(Head.Status);
  for (const auto &[Name, Value] : Head.Headers)
    if (!isHopByHop(Name))
      Answer.insert(Name, Value);
  if (!Mark.Marked)
    return;
  Answer.set(view(RequestIdField), base::formatId(Mark.Request));
  Answer.set(view(VerdictField),
             view(base::verdictName(Mark.Delivery.Verdict)));
  Answer.set(view(ServerField), Mark.Delivery.Server.Value);
}

std::string lengthOf(const runtime::AnswerHead &Head) {
  for (const auto &[Name, Value] : Head.Headers)
    if (beast::iequals(Name, "Content-Length"))
      return Value;
  return "";
}

// The body says the same as the fields.
void markRefusal(TextResponse &Answer, base::Verdict What, base::Reason Why) {
  Answer.set(view(VerdictField), view(base::verdictName(What)));
  Answer.set(view(ReasonField), view(base::reasonName(Why)));
}

// Whole seconds are rounded up: a caller that came earlier would be refused.
std::string retryAfterText(base::Duration After, const HttpDialect &Wire) {
  constexpr std::int64_t MillisPerSecond = 1000;
  std::int64_t Millis = std::max<std::int64_t>(base::toMillis(After), 1);
  if (!Wire.FractionalRetryAfter)
    return std::to_string((Millis + MillisPerSecond - 1) / MillisPerSecond);
  std::string Fraction = std::to_string(Millis % MillisPerSecond);
  return std::to_string(Millis / MillisPerSecond) + "." +
         std::string(3 - Fraction.size(), '0') + Fraction;
}

TextResponse errorMessage(Status Code, base::Verdict What, base::Reason Why,
                          const std::string &Detail) {
  TextResponse Answer;
  Answer.version(11);
  Answer.result(Code);
  Answer.set(beast::http::field::content_type, "application/json");
  nlohmann::ordered_json Body = {{"verdict", base::verdictName(What)},
                                 {"reason", base::reasonName(Why)},
                                 {"message", Detail}};
  Answer.body() =
      Body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) +
      "\n";
  return Answer;
}

// A status that a dialect reads as proof is given with proof alone.
Status provenStatus(base::Reason Why, base::Verdict What) {
  if (What == base::Verdict::NotRun)
    return Why == base::Reason::WorkspaceLimit || Why == base::Reason::KindLimit
               ? Status::too_many_requests
               : Status::service_unavailable;
  bool Late = Why == base::Reason::DeadlinePassed ||
              Why == base::Reason::BackendTimeout ||
              Why == base::Reason::BackendSilent;
  return Late ? Status::gateway_timeout : Status::bad_gateway;
}

bool isCallersFault(base::Reason Why) {
  switch (Why) {
  case base::Reason::BadRequest:
  case base::Reason::BodyTooLarge:
  case base::Reason::HeaderTooLarge:
  case base::Reason::CallerTimeout:
  case base::Reason::NoRoute:
  case base::Reason::UnknownWorkspace:
    return true;
  default:
    return false;
  }
}

} // namespace

beast::http::status statusOf(base::Reason Why, base::Verdict What,
                             const HttpDialect &Wire) {
  if (Wire.StatusConfirmsNotRun && !isCallersFault(Why))
    return provenStatus(Why, What);
  switch (Why) {
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
  case base::Reason::WorkspaceLimit:
  case base::Reason::KindLimit:
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
    return What == base::Verdict::NotRun ? Status::service_unavailable
                                         : Status::bad_gateway;
  }
}

TextResponse refusalMessage(const core::RefuseRequest &Refusal,
                            const HttpDialect &Wire, bool KeepAlive) {
  TextResponse Answer = errorMessage(
      statusOf(Refusal.Reason, Refusal.Verdict, Wire), Refusal.Verdict,
      Refusal.Reason, std::string(base::reasonText(Refusal.Reason)));
  if (Wire.AddsMetadataFields) {
    markRefusal(Answer, Refusal.Verdict, Refusal.Reason);
    Answer.set(view(RequestIdField), base::formatId(Refusal.Request));
  }
  if (Refusal.RetryAfter > base::Duration{})
    Answer.set(beast::http::field::retry_after,
               retryAfterText(Refusal.RetryAfter, Wire));
  Answer.keep_alive(KeepAlive);
  Answer.prepare_payload();
  return Answer;
}

TextResponse actionIdMessage(const core::AnswerActionId &Issued,
                             const HttpDialect &Wire, bool KeepAlive) {
  if (Issued.Action.empty())
    return refusalMessage(core::RefuseRequest{Issued.Request,
                                              base::Verdict::NotRun,
                                              Issued.Reason, base::seconds(1)},
                          Wire, KeepAlive);
  TextResponse Answer;
  Answer.version(11);
  Answer.result(Status::created);
  Answer.set(beast::http::field::content_type, "application/json");
  nlohmann::ordered_json Body = {{"action", Issued.Action.Value},
                                 {"valid_ms", base::toMillis(Issued.ValidFor)}};
  Answer.body() = Body.dump() + "\n";
  Answer.keep_alive(KeepAlive);
  Answer.prepare_payload();
  return Answer;
}

TextResponse badRequestMessage(base::Reason Why, const HttpDialect &Wire,
                               const std::string &Detail) {
  TextResponse Answer = errorMessage(statusOf(Why, base::Verdict::NotRun, Wire),
                                     base::Verdict::NotRun, Why, Detail);
  if (Wire.AddsMetadataFields)
    markRefusal(Answer, base::Verdict::NotRun, Why);
  Answer.keep_alive(false);
  Answer.prepare_payload();
  return Answer;
}

TextResponse wholeMessage(const runtime::AnswerHead &Head, std::string Body,
                          const AnswerMark &Mark, bool KeepAlive) {
  TextResponse Answer;
  Answer.version(11);
  setFields(Answer, Head, Mark);
  Answer.body() = std::move(Body);
  Answer.keep_alive(KeepAlive);
  // An answer to HEAD, and 304, name the length of a body that is not sent.
  std::string Length = lengthOf(Head);
  if (Answer.body().empty() && !Length.empty())
    Answer.set(beast::http::field::content_length, Length);
  else
    Answer.prepare_payload();
  return Answer;
}

StreamResponse streamMessage(const runtime::AnswerHead &Head,
                             const AnswerMark &Mark, unsigned Version,
                             bool KeepAlive) {
  StreamResponse Answer;
  Answer.version(Version);
  setFields(Answer, Head, Mark);
  std::string Length = lengthOf(Head);
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
