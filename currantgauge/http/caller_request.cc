#include "currantgauge/http/caller_request.h"

#include "currantgauge/base/text.h"
#include "currantgauge/http/fields.h"
#include "currantgauge/identity/key_hash.h"

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

constexpr std::size_t MaxNameBytes = 256; // of a workspace, key or id
constexpr std::int64_t MaxTimeoutMillis = 24LL * 3600 * 1000;

std::string fieldOf(const TextRequest &Request, std::string_view Name) {
  if (Name.empty())
    return {};
  auto It = Request.find(boost::beast::string_view(Name.data(), Name.size()));
  return It == Request.end() ? std::string() : std::string(It->value());
}

// Returns an empty hash unless the field is given exactly once.
base::KeyHash readKey(const TextRequest &Request, const std::string &Name) {
  return !Name.empty() && Request.count(Name) == 1
             ? identity::hashKey(fieldOf(Request, Name))
             : base::KeyHash();
}

std::string hostOf(const TextRequest &Request) {
  std::string Host(Request[boost::beast::http::field::host]);
  // Colons inside the brackets of an IPv6 address don't start a port.
  std::size_t Colon = Host.rfind(':');
  if (Colon != std::string::npos && Host.find(']', Colon) == std::string::npos)
    Host.resize(Colon);
  return base::toLower(std::move(Host));
}

// Fields that the Connection field names are hop-by-hop as well.
bool isNamedInConnection(const TextRequest &Request, std::string_view Name) {
  boost::beast::http::token_list Tokens(
      Request[boost::beast::http::field::connection]);
  return Tokens.exists(boost::beast::string_view(Name.data(), Name.size()));
}

bool readTimeout(const TextRequest &Request, const HttpDialect &Dialect,
                 base::Duration &TimeLeft) {
  std::string Text = fieldOf(Request, Dialect.TimeoutField);
  if (Text.empty())
    return true;
  std::int64_t Millis = 0;
  auto Result = std::from_chars(Text.data(), Text.data() + Text.size(), Millis);
  if (Result.ec != std::errc() || Result.ptr != Text.data() + Text.size() ||
      Millis <= 0 || Millis > MaxTimeoutMillis)
    return false;
  TimeLeft = base::milliseconds(Millis);
  return true;
}

} // namespace

std::optional<core::RequestFacts> readFacts(const TextRequest &Request,
                                            const HttpDialect &Dialect,
                                            std::string &Error) {
  core::RequestFacts Facts;
  Facts.Host = hostOf(Request);
  if (Dialect.ForwardsAttemptId)
    Facts.CallerAttempt = fieldOf(Request, Dialect.AttemptIdField);
  Facts.Method = std::string(Request.method_string());
  Facts.Path = std::string(Request.target());
  if (Facts.Path.empty() || Facts.Path.front() != '/') {
    Error = "the request target must be a path that starts with a slash";
    return std::nullopt;
  }
  if (!readTimeout(Request, Dialect, Facts.TimeLeft)) {
    Error =
        Dialect.TimeoutField +
        " must be a positive whole number of milliseconds, at most 24 hours";
    return std::nullopt;
  }
  Facts.Workspace =
      base::WorkspaceName(fieldOf(Request, Dialect.WorkspaceField));
  Facts.IdempotencyKey =
      base::IdempotencyKey(fieldOf(Request, Dialect.IdempotencyKeyField));
  Facts.Action = base::ActionToken(fieldOf(Request, Dialect.ActionIdField));
  if (Facts.Workspace.Value.size() > MaxNameBytes ||
      Facts.IdempotencyKey.Value.size() > MaxNameBytes ||
      Facts.Action.Value.size() > MaxNameBytes ||
      Facts.CallerAttempt.size() > MaxNameBytes) {
    Error = "a workspace, idempotency key, action id or attempt id must not "
            "exceed 256 bytes";
    return std::nullopt;
  }
  Facts.Key = readKey(Request, Dialect.KeyField);
  Facts.BodyBytes = base::ByteCount{Request.body().size()};
  Facts.BodyHash =
      base::BodyHash(XXH64(Request.body().data(), Request.body().size(), 0));
  return Facts;
}

bool isActionIdRequest(const TextRequest &Request, const HttpDialect &Dialect) {
  return Dialect.IssuesActionIds &&
         Request.method() == boost::beast::http::verb::post &&
         Request.target() ==
             boost::beast::string_view(ActionsPath.data(), ActionsPath.size());
}

runtime::RequestMessagePtr readMessage(TextRequest Request,
                                       const HttpDialect &Dialect,
                                       const base::ServiceName &Service) {
  runtime::RequestMessagePtr Message(new runtime::RequestMessage);
  Message->Method = std::string(Request.method_string());
  Message->Target = std::string(Request.target());
  if (!Dialect.CallerServiceField.empty())
    Request.erase(Dialect.CallerServiceField);
  if (!Dialect.KeyField.empty())
    Request.erase(Dialect.KeyField);
  for (const auto &Field : Request) {
    std::string_view Name(Field.name_string().data(),
                          Field.name_string().size());
    if (!isHopByHop(Name) && !isNamedInConnection(Request, Name))
      Message->Headers.emplace_back(std::string(Name),
                                    std::string(Field.value()));
  }
  if (!Dialect.CallerServiceField.empty() && !Service.empty())
    Message->Headers.emplace_back(Dialect.CallerServiceField, Service.Value);
  Message->Body = std::move(Request.body());
  return Message;
}

} // namespace currantgauge::http
