// The fault proxy as a process of a test.
//
//   Proxy Between = startProxy(Port);
//   order(Between, R"({"route":0,"refuse":true})");
#ifndef CURRANTGAUGE_TESTS_INTEGRATION_PROXY_H
#define CURRANTGAUGE_TESTS_INTEGRATION_PROXY_H

#include <cstddef>
#include <memory>
#include <string>

namespace currantgauge::integration {

namespace detail {
struct ProxyChild;
} // namespace detail

// Proxy is a running fault proxy with one route. It ends with the struct.
struct Proxy {
  std::shared_ptr<detail::ProxyChild> Process;
  std::string Address; // IP:port
};

// startProxy() starts a proxy before Target, IP:port.
Proxy startProxy(const std::string &Target);

// order() sends one line of JSON (see stand_ins::controlProxy()) and returns
// its answer.
std::string sendCommand(const Proxy &Proxy, const std::string &Json);

// silenceOpenConnections() makes the open connections silent for good; new ones
// work. Returns how many there were.
int silenceOpenConnections(const Proxy &Proxy);

// countOpenConnections() returns how many connections pass the proxy now.
std::size_t countOpenConnections(const Proxy &Proxy);

} // namespace currantgauge::integration

#endif // CURRANTGAUGE_TESTS_INTEGRATION_PROXY_H
