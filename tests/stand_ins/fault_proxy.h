// A TCP proxy on loopback that injects faults per route, and its JSON control
// commands.
//
//   FaultProxy Proxy;
//   ProxyRoute &Route = addRoute(Io, Proxy, 0, parseEndpoint("7000"));
//   Route.Faults.DropToTarget = true;
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

// RouteFaults applies to all connections of a route, open or new; see also
// ProxiedConnection::Exempt.
struct RouteFaults {
  std::uint32_t DelayMillis = 0; // in each direction
  bool DropToTarget = false;     // drops what the client sends
  bool DropToClient = false;     // drops what the target sends
  bool Refuse = false;           // closes the listener; open connections stay
  // Closes the connection that forwards the last of this many bytes to clients,
  // counted over all connections, and is then off. -1: off.
  std::int64_t CutAfter = -1;
};

// ProxiedConnection is a client connection and its connection to the target. A
// direction that has dropped bytes stays silent for good and doesn't pass on a
// close either, because the receiver could not parse a stream with a gap.
struct ProxiedConnection {
  explicit ProxiedConnection(boost::asio::ip::tcp::socket Socket);

  boost::asio::ip::tcp::socket Client;
  boost::asio::ip::tcp::socket Target;
  bool SilentToTarget = false;
  bool SilentToClient = false;
  bool Exempt = false; // from delay and drop faults
};

// ProxyRoute is a listener and the endpoint that it forwards to.
struct ProxyRoute {
  explicit ProxyRoute(boost::asio::io_context &Io) : Acceptor(Io) {}

  boost::asio::ip::tcp::acceptor Acceptor;
  unsigned short Port = 0;
  boost::asio::ip::tcp::endpoint Target;
  RouteFaults Faults;
  std::list<std::weak_ptr<ProxiedConnection>> Connections;
  std::uint64_t Accepted = 0; // connections so far
};

// FaultProxy holds the routes in the order in which they were added.
struct FaultProxy {
  std::vector<std::unique_ptr<ProxyRoute>> Routes;
};

// parseEndpoint() parses "IP:PORT" or "PORT". The latter is on 127.0.0.1.
boost::asio::ip::tcp::endpoint parseEndpoint(const std::string &Text);

// addRoute() listens on 127.0.0.1:Port and forwards to Target. Port 0 picks a
// free port. Io must be run by one thread. Throws boost::system::system_error
// if the port is in use.
ProxyRoute &addRoute(boost::asio::io_context &Io, FaultProxy &Proxy,
                     unsigned short Port,
                     const boost::asio::ip::tcp::endpoint &Target);

// setFaults() replaces the faults of a route.
void setFaults(ProxyRoute &Route, const RouteFaults &Faults);

// exemptLaterConnections() exempts the open connections, except the Count
// oldest ones, from delay and drop faults. CutAfter still applies to them, and
// a direction that has already dropped data keeps doing so. Returns the number
// of connections exempted.
std::size_t exemptLaterConnections(ProxyRoute &Route, std::size_t Count);

// silenceOpenConnections() drops all further data, in both directions, on the
// open connections of a route. New connections work.
void silenceOpenConnections(ProxyRoute &Route);

// resetOpenConnections() resets the open connections of a route.
void resetOpenConnections(ProxyRoute &Route);

// controlProxy() executes one line of JSON and returns the reply:
//   {"add": "IP:PORT"}                       adds a route
//   {"route": 0, "delay_ms": 5, "drop_to_target": true, "drop_to_client": true,
//    "refuse": true, "cut_after": 100}       replaces the faults of the route;
//                                            a missing field turns its fault
//                                            off
//   {"route": 0, "silence_open": true}       see silenceOpenConnections()
//   {"route": 0, "reset_open": true}         see resetOpenConnections()
//   {"route": 0, "spare_later": 1}           see exemptLaterConnections()
//   {"route": 0, "ask": true}                changes nothing
// The reply has "port", "accepted" (connections so far), "open" (connections
// now) and, after spare_later, "spared". After add it has "route" and "port",
// after an error only "error".
std::string controlProxy(boost::asio::io_context &Io, FaultProxy &Proxy,
                         const std::string &Line);

} // namespace currantgauge::stand_ins

#endif // CURRANTGAUGE_TESTS_STAND_INS_FAULT_PROXY_H
