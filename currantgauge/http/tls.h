// TLS server contexts from PEM files.
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

// makeTls() returns a context for TLS 1.2 or later with a certificate chain and
// its private key. Returns null and sets Error when a file can't be read or
// they don't match.
TlsContextPtr makeTls(const std::string &CertificatePath,
                      const std::string &KeyPath,
                      boost::system::error_code &Error);

} // namespace currantgauge::http

#endif // CURRANTGAUGE_HTTP_TLS_H
