// TCP listeners on an io_context.
//
//   boost::system::error_code Error;
//   auto Port = listen(Io, Address, NextIo, Handler, Error);
#ifndef CURRANTGAUGE_HTTP_LISTENER_H
#define CURRANTGAUGE_HTTP_LISTENER_H

#include "currantgauge/base/ids.h"

#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <functional>
#include <optional>

namespace currantgauge::http {

using AcceptHandler = std::function<void(boost::asio::ip::tcp::socket)>;

// parseEndpoint() parses "IP:port"; returns none when it is malformed.
std::optional<boost::asio::ip::tcp::endpoint>
parseEndpoint(const base::NetAddress &Address);

// parseRemoteEndpoint() parses "IP:port" of a server to connect to; returns
// none when it is malformed or the port is 0.
std::optional<boost::asio::ip::tcp::endpoint>
parseRemoteEndpoint(const base::NetAddress &Address);

// listen() listens on an address and returns the port; returns 0 and sets Error
// on failure. Each connection is accepted into the io_context that NextIo
// returns, and Handler runs there.
std::uint16_t listen(boost::asio::io_context &Io,
                     const base::NetAddress &Address,
                     std::function<boost::asio::io_context &()> NextIo,
                     AcceptHandler Handler, boost::system::error_code &Error);

} // namespace currantgauge::http

#endif // CURRANTGAUGE_HTTP_LISTENER_H
