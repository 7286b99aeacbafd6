// Addresses for the servers of tests.
//
//   auto Server = startPeerServer(toAddress(freeEndpoint()), Handlers, Error);
#ifndef CURRANTGAUGE_PEER_LOOPBACK_TEST_H
#define CURRANTGAUGE_PEER_LOOPBACK_TEST_H

#include "currantgauge/base/ids.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <string>

namespace currantgauge::peer {

inline boost::asio::ip::tcp::endpoint loopback(unsigned short Port = 0) {
  return {boost::asio::ip::address_v4::loopback(), Port};
}

// freeEndpoint() returns an endpoint on loopback that no listener uses.
inline boost::asio::ip::tcp::endpoint freeEndpoint() {
  boost::asio::io_context Io;
  return boost::asio::ip::tcp::acceptor(Io, loopback()).local_endpoint();
}

inline base::NetAddress
toAddress(const boost::asio::ip::tcp::endpoint &Endpoint) {
  return base::NetAddress("127.0.0.1:" + std::to_string(Endpoint.port()));
}

} // namespace currantgauge::peer

#endif // CURRANTGAUGE_PEER_LOOPBACK_TEST_H
