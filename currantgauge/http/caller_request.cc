#include "currantgauge/http/caller_request.h"

#include "currantgauge/http/fields.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <charconv>
#include <cstdint>
#include <string_view>

namespace currantgauge::http {
namespace {

constexpr std::size_t LongestName = 256; // bytes of a workspace, key or id
constexpr std::int64_t LongestTimeoutMillis = 24LL * 3600 * 1000;

std::string fieldOf(const TextRequest &Request, std::string_view Name) {
  auto Found =
      Request.find(boost::beast::string_view(Name.data(), Name.size()));
  return Found == Request.end() ? std::string() : std::string(Found->value());
}

bool readTimeout(const TextRequest &Request, base::Duration &TimeLeft) {
  std::string Text = fieldOf(Request, TimeoutField);
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
                                            std::string &Error) {
  core::RequestFacts Facts;
  Facts.Method = std::string(Request.method_string());
  Facts.Path = std::string(Request.target());
  if (Facts.Path.empty() || Facts.Path.front() != '/') {
    Error = "the target must be a path that starts with a slash";
    return std::nullopt;
  }
  if (!readTimeout(Request, Facts.TimeLeft)) {
    Error = std::string(TimeoutField) +
            " must be a whole number of milliseconds above zero";
    return std::nullopt;
  }
  Facts.Workspace = base::WorkspaceName(fieldOf(Request, WorkspaceField));
  Facts.Key = base::IdempotencyKey(fieldOf(Request, KeyField));
  Facts.Action = base::ActionToken(fieldOf(Request, ActionField));
  if (Facts.Workspace.Value.size() > LongestName ||
      Facts.Key.Value.size() > LongestName ||
      Facts.Action.Value.size() > LongestName) {
    Error = "a workspace, idempotency key or action id is at most 256 bytes";
    return std::nullopt;
  }
  Facts.BodyBytes = base::ByteCount{Request.body().size()};
  Facts.Body =
      base::BodyHash(XXH64(Request.body().data(), Request.body().size(), 0));
  return Facts;
}

runtime::RequestMessagePtr readMessage(TextRequest Request) {
  runtime::RequestMessagePtr Message(new runtime::RequestMessage);
  Message->Method = std::string(Request.method_string());
  Message->Target = std::string(Request.target());
  for (const auto &Field : Request)
    if (!isHopByHop(std::string_view(Field.name_string().data(),
                                     Field.name_string().size())))
      Message->Headers.emplace_back(std::string(Field.name_string()),
                                    std::string(Field.value()));
  Message->Body = std::move(Request.body());
  return Message;
}

} // namespace currantgauge::http
