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

constexpr double LongestRetryAfter = 3600; // seconds; longer ones are ignored
// For servers that announce no limit. Five seconds is the shortest default of
// common HTTP servers.
constexpr std::chrono::milliseconds DefaultIdleLimit{4000};
// A connection is left alone this long before the server would close it.
constexpr std::chrono::milliseconds IdleAllowance{1500};

beast::string_view view(std::string_view Text) {
  return beast::string_view(Text.data(), Text.size());
}

} // namespace

void readRetryAfter(const AnswerFields &Head, core::ExchangeOutcome &Outcome) {
  auto Text = Head[Field::retry_after];
  double Seconds = 0;
  auto Read = std::from_chars(Text.data(), Text.data() + Text.size(), Seconds);
  if (Text.empty() || Read.ec != std::errc() || !(Seconds >= 0) ||
      Seconds > LongestRetryAfter)
    return;
  constexpr double MicrosPerSecond = 1e6;
  bool Whole = Text.find('.') == beast::string_view::npos;
  Outcome.RetryAfter = base::Duration{static_cast<std::int64_t>(
      (Whole ? std::max(Seconds, 1.0) : Seconds) * MicrosPerSecond)};
}

void readProofs(const AnswerFields &Head, const HttpDialect &Wire,
                core::ExchangeOutcome &Outcome) {
  if (!Wire.NotRunField.empty())
    Outcome.ConfirmedNotRun =
        Head.count(view(Wire.NotRunField)) > 0 ||
        Head.result() == beast::http::status::misdirected_request;
}

bool isStray(const AnswerFields &Head, const HttpDialect &Wire,
             const runtime::RequestMessage &Message) {
  if (!Wire.EchoesAttemptId)
    return false;
  auto Echo = Head[view(Wire.AttemptIdField)];
  for (const auto &[Name, Value] : Message.Headers)
    if (beast::iequals(Name, view(Wire.AttemptIdField)))
      return !Echo.empty() && Echo != view(Value);
  return false;
}

bool isSpoilt(const AnswerFields &Head, const HttpDialect &Wire) {
  if (Wire.SignatureField.empty())
    return false;
  bool Success = beast::http::to_status_class(Head.result()) ==
                 beast::http::status_class::successful;
  return Success && (Head.count(view(Wire.SignatureField)) == 0 ||
                     Head.count(Field::content_encoding) > 0);
}

std::chrono::milliseconds idleLimitOf(const AnswerFields &Head) {
  std::string Parameters = ";" + std::string(Head[Field::keep_alive]);
  for (const auto &Parameter : beast::http::param_list(Parameters)) {
    if (!beast::iequals(Parameter.first, "timeout"))
      continue;
    int Seconds = 0;
    const auto &Text = Parameter.second;
    auto Read =
        std::from_chars(Text.data(), Text.data() + Text.size(), Seconds);
    if (Read.ec == std::errc() && Seconds > 0)
      return std::chrono::seconds(Seconds) - IdleAllowance;
  }
  return DefaultIdleLimit;
}

} // namespace currantgauge::http
