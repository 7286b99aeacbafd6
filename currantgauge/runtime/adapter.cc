#include "currantgauge/runtime/adapter.h"

#include "currantgauge/http/announce_codec.h"

#include <nlohmann/json.hpp>

#include <string_view>

namespace currantgauge::runtime {
namespace {

constexpr std::string_view ServersPath = "/v1/servers/";

ParsedAnnouncement readAnnouncement(const http::ServiceRequest &Request,
                                    base::Duration Lease) {
  ParsedAnnouncement Parsed;
  std::string Target(Request.target());
  Parsed.Matched =
      Target.starts_with(ServersPath) && Request.method_string() == "PUT";
  if (!Parsed.Matched)
    return Parsed;
  Parsed.Announcement = http::parseAnnouncement(
      Target.substr(ServersPath.size()), Request.body(), Parsed.Error);
  nlohmann::json Acknowledgement = {{"lease_ms", base::toMillis(Lease)}};
  Parsed.AnswerBody = Acknowledgement.dump() + "\n";
  return Parsed;
}

} // namespace

Adapter nativeAdapter() {
  Adapter Native;
  Native.Http = http::nativeDialect();
  Native.Store = store::nativeEncoding();
  Native.ReadAnnouncement = readAnnouncement;
  return Native;
}

} // namespace currantgauge::runtime
