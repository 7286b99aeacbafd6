#include "currantgauge/http/tls.h"

#include <openssl/ssl.h>

namespace currantgauge::http {

TlsContextPtr makeTls(const std::string &CertificatePath,
                      const std::string &KeyPath,
                      boost::system::error_code &Error) {
  namespace ssl = boost::asio::ssl;
  auto Tls = std::make_shared<ssl::context>(ssl::context::tls_server);
  SSL_CTX_set_min_proto_version(Tls->native_handle(), TLS1_2_VERSION);
  Tls->use_certificate_chain_file(CertificatePath, Error);
  if (!Error)
    Tls->use_private_key_file(KeyPath, ssl::context::pem, Error);
  return Error ? nullptr : Tls;
}

} // namespace currantgauge::http
