#include "currantgauge/runtime/adapter.h"

#include "currantgauge/http/announce_codec.h"

#include <nlohmann/json.hpp>

#include <string_view>

namespace currantgauge::runtime {
namespace {

constexpr std::string_view ServersPath = "/v1/servers/";

AnnouncementRead readAnnouncement(const http::ServiceRequest &Request,
                                  base::Duration Lease) {
  AnnouncementRead Read;
  std::string Target(Request.target());
  Read.Matched =
      Target.starts_with(ServersPath) && Request.method_string() == "PUT";
  if (!Read.Matched)
    return Read;
  Read.Word = http::parseAnnouncement(Target.substr(ServersPath.size()),
                                      Request.body(), Read.Error);
  nlohmann::json Answer = {{"lease_ms", base::toMillis(Lease)}};
  Read.Answer = Answer.dump() + "\n";
  return Read;
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
