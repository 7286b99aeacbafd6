#include "tests/integration/proxy.h"

#include <boost/process.hpp>
#include <nlohmann/json.hpp>

#include <stdexcept>

namespace currantgauge::integration {

namespace bp = boost::process;

namespace detail {

// The proxy exits when its standard input is closed.
struct ProxyChild {
  bp::opstream Input;
  bp::ipstream Output;
  bp::child Process;
};

} // namespace detail

Proxy startProxy(const std::string &Target) {
  auto Started = std::make_shared<detail::ProxyChild>();
  std::string Route = "--route=0:" + Target;
  Started->Process =
      bp::child(std::string(CURRANTGAUGE_BINARY_DIR) + "/fault_proxy", Route,
                bp::std_in<Started->Input, bp::std_out> Started->Output);
  std::string Line;
  std::getline(Started->Output, Line);
  auto First = nlohmann::json::parse(Line, nullptr, false);
  if (!First.is_object() || !First.contains("routes"))
    throw std::runtime_error("fault proxy did not print its ports: " + Line);
  return Proxy{Started, "127.0.0.1:" + First["routes"][0].dump()};
}

std::string sendCommand(const Proxy &Proxy, const std::string &Json) {
  Proxy.Process->Input << Json << std::endl;
  std::string Answer;
  std::getline(Proxy.Process->Output, Answer);
  if (Answer.find("error") != std::string::npos)
    throw std::runtime_error("fault proxy reported an error: " + Answer);
  return Answer;
}

int silenceOpenConnections(const Proxy &Proxy) {
  return nlohmann::json::parse(
      sendCommand(Proxy, R"({"route":0,"silence_open":true})"))["open"];
}

std::size_t countOpenConnections(const Proxy &Proxy) {
  return nlohmann::json::parse(
      sendCommand(Proxy, R"({"route":0,"ask":true})"))["open"];
}

} // namespace currantgauge::integration
