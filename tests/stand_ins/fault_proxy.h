// A TCP proxy on loopback whose routes can be made faulty, together with the
// JSON by which a test does it.
//
//   FaultProxy Proxy;
//   Route &Added = addRoute(Io, Proxy, 0, parseEndpoint("7000"));
//   Added.Faults.DropToTarget = true;
#ifndef CURRANTGAUGE_TESTS_STAND_INS_FAULT_PROXY_H
#define CURRANTGAUGE_TESTS_STAND_INS_FAULT_PROXY_H

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <list>
#include <memory>
#include <string>
#include <vector>

namespace currantgauge::stand_ins {

// RouteFaults applies to every connection of a route, open or new, but for
// those that are spared.
struct RouteFaults {
  std::uint32_t DelayMillis = 0; // each way
  bool DropToTarget = false;     // what the client sends vanishes
  bool DropToClient = false;     // what the target sends vanishes
  bool Refuse = false;           // the port is closed
  std::int64_t CutAfter = -1;    // bytes to clients, then both ends close, once
};

// Link is one proxied connection. A direction that has lost bytes passes
// nothing more, not even its end, for good: what came later would be nonsense
// to the receiver.
struct ProxiedConnection {
  explicit ProxiedConnection(boost::asio::ip::tcp::socket Socket);

  boost::asio::ip::tcp::socket Client;
  boost::asio::ip::tcp::socket Target;
  bool SilentToTarget = false;
  bool SilentToClient = false;
  bool Exempt = false; // from the faults of its route
};

// Route is one listener and where it leads.
struct ProxyRoute {
  explicit ProxyRoute(boost::asio::io_context &Io) : Acceptor(Io) {}

  boost::asio::ip::tcp::acceptor Acceptor;
  unsigned short Port = 0;
  boost::asio::ip::tcp::endpoint Target;
  RouteFaults Faults;
  std::list<std::weak_ptr<ProxiedConnection>> Connections;
  std::uint64_t Accepted = 0;
};

// FaultProxy is all routes, in the order in which they were added.
struct FaultProxy {
  std::vector<std::unique_ptr<ProxyRoute>> Routes;
};

// parseEndpoint() reads "PORT", on 127.0.0.1, or "IP:PORT".
boost::asio::ip::tcp::endpoint parseEndpoint(const std::string &Text);

// addRoute() listens on 127.0.0.1:Port, 0 for any free one. Io must be run by
// one thread. Throws boost::system::system_error when the port is taken.
ProxyRoute &addRoute(boost::asio::io_context &Io, FaultProxy &Proxy,
                     unsigned short Port,
                     const boost::asio::ip::tcp::endpoint &Target);

// setFaults() replaces a route's faults.
void setFaults(ProxyRoute &Route, const RouteFaults &Faults);

// exemptLaterConnections() spares the open connections but for the first Count
// accepted. Returns how many it spared.
std::size_t exemptLaterConnections(ProxyRoute &Route, std::size_t Count);

// silenceOpenConnections() makes the route's open connections silent; new ones
// work.
void silenceOpenConnections(ProxyRoute &Route);

// resetOpenConnections() resets the route's open connections.
void resetOpenConnections(ProxyRoute &Route);

// controlProxy() applies one line of JSON and returns the answer:
//   {"add": "IP:PORT"}                       a new route
//   {"route": 0, "delay_ms": 5, "drop_to_target": true, "drop_to_client": true,
//    "refuse": true, "cut_after": 100}       replaces the route's faults
//   {"route": 0, "silence_open": true}       and "reset_open" act once
//   {"route": 0, "spare_later": 1}           see exemptLaterConnections()
//   {"route": 0, "ask": true}                changes nothing
// The answer holds "port", "accepted" (connections so far), "open" (now), and
// "spared" after spare_later.
std::string controlProxy(boost::asio::io_context &Io, FaultProxy &Proxy,
                         const std::string &Line);

} // namespace currantgauge::stand_ins

#endif // CURRANTGAUGE_TESTS_STAND_INS_FAULT_PROXY_H
