#include "currantgauge/cli/operator_client.h"

#include "currantgauge/http/operator_codec.h"
#include "currantgauge/http/service.h"
#include "currantgauge/http/tls.h"

#include <doctest/doctest.h>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/rsa.h>
#include <openssl/x509v3.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdio>
#include <memory>
#include <string>
#include <thread>
#include <utility>

namespace currantgauge::cli {
namespace {

const std::string CertificatePath = "operator_client_test.pem";
const std::string KeyPath = "operator_client_test.key";
constexpr long ValidSeconds = 3600;

void writePem(const std::string &Path, X509 *Certificate, EVP_PKEY *Key) {
  std::FILE *File = std::fopen(Path.c_str(), "w");
  REQUIRE(File);
  if (Certificate)
    PEM_write_X509(File, Certificate);
  else
    PEM_write_PrivateKey(File, Key, nullptr, nullptr, 0, nullptr, nullptr);
  std::fclose(File);
}

// Writes a self-signed certificate for 127.0.0.1 and its key.
void writeCertificate() {
  std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)> Key(EVP_RSA_gen(2048),
                                                          EVP_PKEY_free);
  std::unique_ptr<X509, decltype(&X509_free)> Certificate(X509_new(),
                                                          X509_free);
  X509_set_version(Certificate.get(), 2);
  ASN1_INTEGER_set(X509_get_serialNumber(Certificate.get()), 1);
  X509_gmtime_adj(X509_getm_notBefore(Certificate.get()), -ValidSeconds);
  X509_gmtime_adj(X509_getm_notAfter(Certificate.get()), ValidSeconds);
  X509_set_pubkey(Certificate.get(), Key.get());
  X509_NAME *Name = X509_get_subject_name(Certificate.get());
  X509_NAME_add_entry_by_txt(
      Name, "CN", MBSTRING_ASC,
      reinterpret_cast<const unsigned char *>("127.0.0.1"), -1, -1, 0);
  X509_set_issuer_name(Certificate.get(), Name);
  std::unique_ptr<X509_EXTENSION, decltype(&X509_EXTENSION_free)> Address(
      X509V3_EXT_conf_nid(nullptr, nullptr, NID_subject_alt_name,
                          "IP:127.0.0.1"),
      X509_EXTENSION_free);
  X509_add_ext(Certificate.get(), Address.get(), -1);
  X509_sign(Certificate.get(), Key.get(), EVP_sha256());
  writePem(CertificatePath, Certificate.get(), nullptr);
  writePem(KeyPath, nullptr, Key.get());
}

using HttpStatus = boost::beast::http::status;

// EchoListener replies with the Authorization header of the query, or with Body
// if it is set.
struct EchoListener {
  boost::asio::io_context Io;
  std::thread Thread;
  base::NetAddress Address;

  explicit EchoListener(http::TlsContextPtr Tls,
                        HttpStatus Status = HttpStatus::ok,
                        std::string Body = "",
                        std::string Type = "application/json") {
    boost::system::error_code Error;
    auto Port = http::listenService(
        this->Io, base::NetAddress("127.0.0.1:0"),
        [=](const http::ServiceRequest &Request, http::ServiceReply Reply) {
          core::OperatorReply Answer;
          Answer.Fields = {
              {"token",
               std::string(Request[boost::beast::http::field::authorization])}};
          Reply(
              {Status, Type, Body.empty() ? http::encodeReply(Answer) : Body});
        },
        Error, std::move(Tls));
    REQUIRE(Port != 0);
    this->Address = base::NetAddress("127.0.0.1:" + std::to_string(Port));
    this->Thread = std::thread([this] { this->Io.run(); });
  }
  ~EchoListener() {
    this->Io.stop();
    this->Thread.join();
  }
};

Options makeOptions(const EchoListener &Listener) {
  Options Opts;
  Opts.NodeAddress = Listener.Address;
  Opts.Token = "secret";
  return Opts;
}

} // namespace

TEST_CASE("a query sends the bearer token") {
  EchoListener Listener(nullptr);
  QueryResult Result = queryNode(makeOptions(Listener), core::StatusCommand{});
  REQUIRE(Result.ReplyReceived);
  CHECK(Result.Reply.Fields.front().second == "Bearer secret");
}

TEST_CASE("a reply from another listener is an error") {
  for (const char *Body : {"", "{}", "not found", "{\"reason\":\"x\"}"}) {
    CAPTURE(Body);
    EchoListener Listener(nullptr, HttpStatus::not_found, Body);
    QueryResult Result =
        queryNode(makeOptions(Listener), core::StatusCommand{});
    CHECK(Result.Reply.Error.find("HTTP 404; is --node the operators'") !=
          std::string::npos);
  }
}

TEST_CASE("the node's error message for a query is returned") {
  EchoListener Listener(nullptr, HttpStatus::bad_request,
                        R"({"error":"unknown query x"})");
  CHECK(queryNode(makeOptions(Listener), core::StatusCommand{}).Reply.Error ==
        "unknown query x");
}

TEST_CASE("a refused token and a missing token have different errors") {
  EchoListener Listener(nullptr, HttpStatus::unauthorized,
                        R"({"error":"a bearer token"})");
  Options Opts = makeOptions(Listener);
  CHECK(queryNode(Opts, core::StatusCommand{}).Reply.Error.find("refuses") !=
        std::string::npos);
  Opts.Token.clear();
  CHECK(queryNode(Opts, core::StatusCommand{}).Reply.Error.find("--token") !=
        std::string::npos);
}

TEST_CASE("the error for an unreadable CA file names it") {
  Options Opts;
  Opts.NodeAddress = base::NetAddress("127.0.0.1:1");
  Opts.CaPath = "/nonexistent";
  CHECK(queryNode(Opts, core::StatusCommand{}).Reply.Error ==
        "can't read /nonexistent (--ca)");
}

TEST_CASE("TLS verifies the node's certificate") {
  writeCertificate();
  boost::system::error_code Error;
  http::TlsContextPtr Tls = http::makeTls(CertificatePath, KeyPath, Error);
  REQUIRE(Tls);
  EchoListener Listener(Tls);
  Options Opts = makeOptions(Listener);
  Opts.Timeout = base::seconds(5);
  CHECK_FALSE(queryNode(Opts, core::StatusCommand{})
                  .ReplyReceived); // no CA file: plain HTTP
  Opts.CaPath = CertificatePath;
  QueryResult Result = queryNode(Opts, core::StatusCommand{});
  CHECK_MESSAGE(Result.ReplyReceived, Result.Reply.Error);
  writeCertificate(); // with a new key
  CHECK_FALSE(queryNode(Opts, core::StatusCommand{}).ReplyReceived);
  std::remove(CertificatePath.c_str());
  std::remove(KeyPath.c_str());
}

TEST_CASE("an unreadable certificate is an error") {
  boost::system::error_code Error;
  CHECK_FALSE(http::makeTls("/nonexistent", "/nonexistent", Error));
  CHECK(Error);
}

} // namespace currantgauge::cli
