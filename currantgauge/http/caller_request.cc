#include "currantgauge/http/caller_request.h"

#include "currantgauge/base/text.h"
#include "currantgauge/http/fields.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <boost/beast/http/field.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include <charconv>
#include <cstdint>
#include <string_view>
#include <utility>

namespace currantgauge::http {
namespace {

constexpr std::size_t LongestName = 256; // bytes of a workspace, key or id
constexpr std::int64_t LongestTimeoutMillis = 24LL * 3600 * 1000;

std::string fieldOf(const TextRequest &Request, std::string_view Name) {
  if (Name.empty())
    return {};
  auto Found =
      Request.find(boost::beast::string_view(Name.data(), Name.size()));
  return Found == Request.end() ? std::string() : std::string(Found->value());
}

std::string hostOf(const TextRequest &Request) {
  std::string Host(Request[boost::beast::http::field::host]);
  // An IPv6 address stands in brackets and has colons of its own.
  std::size_t Colon = Host.rfind(':');
  if (Colon != std::string::npos && Host.find(']', Colon) == std::string::npos)
    Host.resize(Colon);
  return base::toLower(std::move(Host));
}

// A field that the sender names in Connection ends at this hop as well.
bool isNamedInConnection(const TextRequest &Request, std::string_view Name) {
  boost::beast::http::token_list Named(
      Request[boost::beast::http::field::connection]);
  return Named.exists(boost::beast::string_view(Name.data(), Name.size()));
}

bool readTimeout(const TextRequest &Request, const HttpDialect &Wire,
                 base::Duration &TimeLeft) {
  std::string Text = fieldOf(Request, Wire.TimeoutField);
  if (Text.empty())
    return true;
  std::int64_t Millis = 0;
  auto Read = std::from_chars(Text.data(), Text.data() + Text.size(), Millis);
  if (Read.ec != std::errc() || Read.ptr != Text.data() + Text.size() ||
      Millis <= 0 || Millis > LongestTimeoutMillis)
    return false;
  TimeLeft = base::milliseconds(Millis);
  return true;
}

} // namespace

std::optional<core::RequestFacts> readFacts(const TextRequest &Request,
                                            const HttpDialect &Wire,
                                            std::string &Error) {
  core::RequestFacts Facts;
  Facts.Host = hostOf(Request);
  if (Wire.ForwardsAttemptId)
    Facts.CallerAttempt = fieldOf(Request, Wire.AttemptIdField);
  Facts.Method = std::string(Request.method_string());
  Facts.Path = std::string(Request.target());
  if (Facts.Path.empty() || Facts.Path.front() != '/') {
    Error = "the target must be a path that starts with a slash";
    return std::nullopt;
  }
  if (!readTimeout(Request, Wire, Facts.TimeLeft)) {
    Error = Wire.TimeoutField +
            " must be a whole number of milliseconds above zero";
    return std::nullopt;
  }
  Facts.Workspace = base::WorkspaceName(fieldOf(Request, Wire.WorkspaceField));
  Facts.IdempotencyKey =
      base::IdempotencyKey(fieldOf(Request, Wire.IdempotencyKeyField));
  Facts.Action = base::ActionToken(fieldOf(Request, Wire.ActionIdField));
  if (Facts.Workspace.Value.size() > LongestName ||
      Facts.IdempotencyKey.Value.size() > LongestName ||
      Facts.Action.Value.size() > LongestName ||
      Facts.CallerAttempt.size() > LongestName) {
    Error = "a workspace, key or id is at most 256 bytes";
    return std::nullopt;
  }
  Facts.BodyBytes = base::ByteCount{Request.body().size()};
  Facts.BodyHash =
      base::BodyHash(XXH64(Request.body().data(), Request.body().size(), 0));
  return Facts;
}

runtime::RequestMessagePtr readMessage(TextRequest Request,
                                       const HttpDialect &Wire,
                                       const base::ServiceName &Service) {
  runtime::RequestMessagePtr Message(new runtime::RequestMessage);
  Message->Method = std::string(Request.method_string());
  Message->Target = std::string(Request.target());
  if (!Wire.CallerServiceField.empty())
    Request.erase(Wire.CallerServiceField);
  for (const auto &Field : Request) {
    std::string_view Name(Field.name_string().data(),
                          Field.name_string().size());
    if (!isHopByHop(Name) && !isNamedInConnection(Request, Name))
      Message->Headers.emplace_back(std::string(Name),
                                    std::string(Field.value()));
  }
  if (!Wire.CallerServiceField.empty() && !Service.empty())
    Message->Headers.emplace_back(Wire.CallerServiceField, Service.Value);
  Message->Body = std::move(Request.body());
  return Message;
}

} // namespace currantgauge::http
