// Sends one HTTP request on a new connection, and polls for a condition.
//
//   auto Response = sendRequest(Node.AnnounceAddress, "GET", "/healthz");
//
//   waitUntil([&] { return isReady(Node); });
#ifndef CURRANTGAUGE_TESTS_INTEGRATION_HTTP_CLIENT_H
#define CURRANTGAUGE_TESTS_INTEGRATION_HTTP_CLIENT_H

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace currantgauge::integration {

// HttpResponse is a received response.
struct HttpResponse {
  unsigned Status = 0;
  std::map<std::string, std::string> Headers; // keys are in lower case
  std::string Body;
};

using HeaderMap = std::map<std::string, std::string>;

// sendRequest() sends a request on a new connection. Returns no value if no
// complete response arrived within Limit.
std::optional<HttpResponse>
sendRequest(const std::string &Address, const std::string &Method,
            const std::string &Target, const std::string &Body = "",
            const HeaderMap &Fields = {},
            std::chrono::milliseconds Limit = std::chrono::seconds(10));

// waitUntil() polls Check until it returns true. Returns false if Limit passed
// first.
bool waitUntil(const std::function<bool()> &Check,
               std::chrono::milliseconds Limit = std::chrono::seconds(20));

} // namespace currantgauge::integration

#endif // CURRANTGAUGE_TESTS_INTEGRATION_HTTP_CLIENT_H
