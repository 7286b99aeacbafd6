// HTTP server for a node's own services: announcements, metrics, health checks
// and operators' commands. Messages are short and not streamed; a handler
// answers by calling its ServiceReply once, from any thread.
//
//   listenService(Io, Address, Handler, Error);
#ifndef CURRANTGAUGE_HTTP_SERVICE_H
#define CURRANTGAUGE_HTTP_SERVICE_H

#include "currantgauge/base/ids.h"
#include "currantgauge/http/tls.h"

#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/status.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstdint>
#include <functional>
#include <string>

namespace currantgauge::http {

using ServiceRequest =
    boost::beast::http::request<boost::beast::http::string_body>;

// ServiceAnswer is a handler's answer.
struct ServiceAnswer {
  boost::beast::http::status Status = boost::beast::http::status::ok;
  std::string ContentType = "application/json";
  std::string Body;
};

using ServiceReply = std::function<void(ServiceAnswer)>;
using ServiceHandler =
    std::function<void(const ServiceRequest &, ServiceReply)>;

// listenService() serves an address and returns its port; returns 0 and sets
// Error on failure. With Tls, connections without TLS are closed.
std::uint16_t listenService(boost::asio::io_context &Io,
                            const base::NetAddress &Address,
                            ServiceHandler Handler,
                            boost::system::error_code &Error,
                            TlsContextPtr Tls = nullptr);

} // namespace currantgauge::http

#endif // CURRANTGAUGE_HTTP_SERVICE_H
