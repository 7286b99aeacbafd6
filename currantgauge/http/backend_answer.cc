#include "currantgauge/http/backend_answer.h"

#include "currantgauge/base/ids.h"
#include "currantgauge/base/units.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/status.hpp>

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <string>
#include <string_view>

namespace currantgauge::http {
namespace {

namespace beast = boost::beast;
using Field = beast::http::field;

constexpr double MaxRetryAfterSeconds = 3600; // longer delays are ignored
// For servers that announce no keep-alive timeout. The shortest default of
// common HTTP servers is 5 s.
constexpr std::chrono::milliseconds DefaultIdleLimit{4000};
// A connection is not reused during this time before the server would close it.
constexpr std::chrono::milliseconds IdleMargin{1500};

constexpr unsigned MinFinalStatus = 200;
constexpr unsigned MaxFinalStatus = 599;
constexpr unsigned EarlyHintsStatus = 103; // not named by the library

beast::string_view toBeastView(std::string_view Text) {
  return beast::string_view(Text.data(), Text.size());
}

} // namespace

AnswerKind kindOf(const AnswerHeader &Head) {
  unsigned Status = Head.result_int();
  if (Head.result() == beast::http::status::continue_ ||
      Head.result() == beast::http::status::processing ||
      Status == EarlyHintsStatus)
    return AnswerKind::Interim;
  return Status >= MinFinalStatus && Status <= MaxFinalStatus
             ? AnswerKind::Final
             : AnswerKind::Invalid;
}

void readRetryAfter(const AnswerHeader &Head, core::ExchangeOutcome &Outcome) {
  auto Text = Head[Field::retry_after];
  double Seconds = 0;
  auto Result =
      std::from_chars(Text.data(), Text.data() + Text.size(), Seconds);
  if (Text.empty() || Result.ec != std::errc() || !(Seconds >= 0) ||
      Seconds > MaxRetryAfterSeconds)
    return;
  constexpr double MicrosPerSecond = 1e6;
  bool IsInteger = Text.find('.') == beast::string_view::npos;
  Outcome.RetryAfter = base::Duration{static_cast<std::int64_t>(
      (IsInteger ? std::max(Seconds, 1.0) : Seconds) * MicrosPerSecond)};
}

void readNotRunConfirmation(const AnswerHeader &Head,
                            const HttpDialect &Dialect,
                            core::ExchangeOutcome &Outcome) {
  if (!Dialect.NotRunField.empty())
    Outcome.ConfirmedNotRun =
        Head.count(toBeastView(Dialect.NotRunField)) > 0 ||
        Head.result() == beast::http::status::misdirected_request;
}

std::string echoedAttemptIdOf(const runtime::RequestMessage &Message,
                              const HttpDialect &Dialect) {
  if (!Dialect.EchoesAttemptId)
    return {};
  for (const auto &[Name, Value] : Message.Headers)
    if (beast::iequals(Name, toBeastView(Dialect.AttemptIdField)))
      return Value;
  return {};
}

std::string echoOf(const AnswerHeader &Head, const HttpDialect &Dialect) {
  return std::string(Head[toBeastView(Dialect.AttemptIdField)]);
}

bool isUnidentified(const AnswerHeader &Head, const HttpDialect &Dialect,
                    const runtime::RequestMessage &Message) {
  return !echoedAttemptIdOf(Message, Dialect).empty() &&
         echoOf(Head, Dialect).empty();
}

bool isStaleAnswer(const AnswerHeader &Head, const HttpDialect &Dialect,
                   const runtime::RequestMessage &Message) {
  std::string Expected = echoedAttemptIdOf(Message, Dialect);
  std::string Echo = echoOf(Head, Dialect);
  return !Expected.empty() && !Echo.empty() && Echo != Expected;
}

bool isUnprovenRefusal(const AnswerHeader &Head, const HttpDialect &Dialect,
                       const core::ExchangeOutcome &Outcome) {
  if (!Dialect.StatusConfirmsNotRun || Outcome.ConfirmedNotRun)
    return false;
  switch (Head.result()) {
  case beast::http::status::request_timeout:
  case beast::http::status::misdirected_request:
  case beast::http::status::too_many_requests:
  case beast::http::status::service_unavailable:
    return true;
  default:
    return false;
  }
}

bool isSuccess(const AnswerHeader &Head) {
  return beast::http::to_status_class(Head.result()) ==
         beast::http::status_class::successful;
}

bool isInvalidAnswer(const AnswerHeader &Head, const HttpDialect &Dialect) {
  if (Dialect.SignatureField.empty())
    return false;
  return isSuccess(Head) &&
         (Head.count(toBeastView(Dialect.SignatureField)) == 0 ||
          Head.count(Field::content_encoding) > 0);
}

std::chrono::milliseconds idleLimitOf(const AnswerHeader &Head) {
  std::string Parameters = ";" + std::string(Head[Field::keep_alive]);
  for (const auto &Parameter : beast::http::param_list(Parameters)) {
    if (!beast::iequals(Parameter.first, "timeout"))
      continue;
    int Seconds = 0;
    const auto &Text = Parameter.second;
    auto Result =
        std::from_chars(Text.data(), Text.data() + Text.size(), Seconds);
    if (Result.ec == std::errc() && Seconds > 0)
      return std::chrono::seconds(Seconds) - IdleMargin;
  }
  return DefaultIdleLimit;
}

} // namespace currantgauge::http
