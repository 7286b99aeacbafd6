// Runs the fault proxy as a child process.
//
//   Proxy Proxy = startProxy(Target);
//   sendCommand(Proxy, R"({"route":0,"refuse":true})");
#ifndef CURRANTGAUGE_TESTS_INTEGRATION_PROXY_H
#define CURRANTGAUGE_TESTS_INTEGRATION_PROXY_H

#include <cstddef>
#include <memory>
#include <string>

namespace currantgauge::integration {

namespace detail {
struct ProxyChild;
} // namespace detail

// Proxy is a running fault proxy with one route. The process ends when the last
// copy is destroyed.
struct Proxy {
  std::shared_ptr<detail::ProxyChild> Process;
  std::string Address; // IP:port
};

// startProxy() starts a proxy that forwards to Target, IP:port. Throws
// std::runtime_error if it doesn't start.
Proxy startProxy(const std::string &Target);

// sendCommand() sends one line of JSON (see stand_ins::controlProxy()) and
// returns the reply. Throws std::runtime_error if the proxy reports an error.
std::string sendCommand(const Proxy &Proxy, const std::string &Json);

// silenceOpenConnections() drops all further data, in both directions, on the
// connections that are open now. New connections work. Returns how many were
// open.
int silenceOpenConnections(const Proxy &Proxy);

// countOpenConnections() returns how many connections are open through the
// proxy.
std::size_t countOpenConnections(const Proxy &Proxy);

} // namespace currantgauge::integration

#endif // CURRANTGAUGE_TESTS_INTEGRATION_PROXY_H
