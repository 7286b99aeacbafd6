// TLS of a listener, from PEM files.
//
//   boost::system::error_code Error;
//   TlsContextPtr Tls = makeTls("node.pem", "node.key", Error);
#ifndef CURRANTGAUGE_HTTP_TLS_H
#define CURRANTGAUGE_HTTP_TLS_H

#include <boost/asio/ssl/context.hpp>
#include <boost/system/error_code.hpp>

#include <memory>
#include <string>

namespace currantgauge::http {

using TlsContextPtr = std::shared_ptr<boost::asio::ssl::context>;

// makeTls() returns the context of a certificate chain and its key; null and
// Error when a file can't be read or the two don't match.
TlsContextPtr makeTls(const std::string &Certificate, const std::string &Key,
                      boost::system::error_code &Error);

} // namespace currantgauge::http

#endif // CURRANTGAUGE_HTTP_TLS_H
