// One HTTP request on a connection of its own, and waiting for a condition.
//
//   auto Got = ask(Node.Ready, "GET", "/api/readiness");
//   waitUntil([&] { return isReady(Node); });
#ifndef CURRANTGAUGE_TESTS_INTEGRATION_HTTP_CLIENT_H
#define CURRANTGAUGE_TESTS_INTEGRATION_HTTP_CLIENT_H

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace currantgauge::integration {

// Answer is an HTTP answer.
struct HttpResponse {
  unsigned Status = 0;
  std::map<std::string, std::string> Headers; // names in lower case
  std::string Body;
};

using HeaderMap = std::map<std::string, std::string>;

// ask() sends one HTTP request on a connection of its own; none when there was
// no whole answer within Limit.
std::optional<HttpResponse>
sendRequest(const std::string &Address, const std::string &Method,
            const std::string &Target, const std::string &Body = "",
            const HeaderMap &Fields = {},
            std::chrono::milliseconds Limit = std::chrono::seconds(10));

// waitUntil() repeats Check until it is true; false when Limit passed first.
bool waitUntil(const std::function<bool()> &Check,
               std::chrono::milliseconds Limit = std::chrono::seconds(20));

} // namespace currantgauge::integration

#endif // CURRANTGAUGE_TESTS_INTEGRATION_HTTP_CLIENT_H
