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

// A certificate of its own authority for 127.0.0.1.
void writeCertificate() {
  std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)> Key(EVP_RSA_gen(2048),
                                                          EVP_PKEY_free);
  std::unique_ptr<X509, decltype(&X509_free)> Made(X509_new(), X509_free);
  X509_set_version(Made.get(), 2);
  ASN1_INTEGER_set(X509_get_serialNumber(Made.get()), 1);
  X509_gmtime_adj(X509_getm_notBefore(Made.get()), -ValidSeconds);
  X509_gmtime_adj(X509_getm_notAfter(Made.get()), ValidSeconds);
  X509_set_pubkey(Made.get(), Key.get());
  X509_NAME *Name = X509_get_subject_name(Made.get());
  X509_NAME_add_entry_by_txt(
      Name, "CN", MBSTRING_ASC,
      reinterpret_cast<const unsigned char *>("127.0.0.1"), -1, -1, 0);
  X509_set_issuer_name(Made.get(), Name);
  std::unique_ptr<X509_EXTENSION, decltype(&X509_EXTENSION_free)> Address(
      X509V3_EXT_conf_nid(nullptr, nullptr, NID_subject_alt_name,
                          "IP:127.0.0.1"),
      X509_EXTENSION_free);
  X509_add_ext(Made.get(), Address.get(), -1);
  X509_sign(Made.get(), Key.get(), EVP_sha256());
  writePem(CertificatePath, Made.get(), nullptr);
  writePem(KeyPath, nullptr, Key.get());
}

using HttpStatus = boost::beast::http::status;

// TestListener answers each query with the token that came with it.
struct TestListener {
  boost::asio::io_context Io;
  std::thread Thread;
  base::NetAddress Address;

  explicit TestListener(http::TlsContextPtr Tls,
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
  ~TestListener() {
    this->Io.stop();
    this->Thread.join();
  }
};

Options optionsFor(const TestListener &Listener) {
  Options Given;
  Given.Node = Listener.Address;
  Given.Token = "secret";
  return Given;
}

} // namespace

TEST_CASE("a query reaches a node with its token") {
  TestListener Listener(nullptr);
  NodeAnswer Answer = askNode(optionsFor(Listener), core::StatusCommand{});
  REQUIRE(Answer.Reached);
  CHECK(Answer.Reply.Fields.front().second == "Bearer secret");
}

TEST_CASE("a listener that is not the operators' is an error") {
  for (const char *Body : {"", "{}", "not found", "{\"reason\":\"x\"}"}) {
    CAPTURE(Body);
    TestListener Listener(nullptr, HttpStatus::not_found, Body);
    NodeAnswer Answer = askNode(optionsFor(Listener), core::StatusCommand{});
    CHECK(Answer.Reply.Error.find("HTTP 404; is --node the operators'") !=
          std::string::npos);
  }
}

TEST_CASE("a node's own sentence about a query is passed on") {
  TestListener Listener(nullptr, HttpStatus::bad_request,
                        R"({"error":"unknown query x"})");
  CHECK(askNode(optionsFor(Listener), core::StatusCommand{}).Reply.Error ==
        "unknown query x");
}

TEST_CASE("a refused token is told from one that was not given") {
  TestListener Listener(nullptr, HttpStatus::unauthorized,
                        R"({"error":"a bearer token"})");
  Options Given = optionsFor(Listener);
  CHECK(askNode(Given, core::StatusCommand{}).Reply.Error.find("refuses") !=
        std::string::npos);
  Given.Token.clear();
  CHECK(askNode(Given, core::StatusCommand{}).Reply.Error.find("--token") !=
        std::string::npos);
}

TEST_CASE("an authority that can't be read is named") {
  Options Given;
  Given.Node = base::NetAddress("127.0.0.1:1");
  Given.Authority = "/nonexistent";
  CHECK(askNode(Given, core::StatusCommand{}).Reply.Error ==
        "can't read /nonexistent (--ca)");
}

TEST_CASE("over TLS the node's certificate is checked") {
  writeCertificate();
  boost::system::error_code Error;
  http::TlsContextPtr Tls = http::makeTls(CertificatePath, KeyPath, Error);
  REQUIRE(Tls);
  TestListener Listener(Tls);
  Options Given = optionsFor(Listener);
  Given.TimeLimit = base::seconds(5);
  CHECK_FALSE(askNode(Given, core::StatusCommand{}).Reached); // no TLS
  Given.Authority = CertificatePath;
  NodeAnswer Answer = askNode(Given, core::StatusCommand{});
  CHECK_MESSAGE(Answer.Reached, Answer.Reply.Error);
  writeCertificate(); // of another key
  CHECK_FALSE(askNode(Given, core::StatusCommand{}).Reached);
  std::remove(CertificatePath.c_str());
  std::remove(KeyPath.c_str());
}

TEST_CASE("a certificate that can't be read is an error") {
  boost::system::error_code Error;
  CHECK_FALSE(http::makeTls("/nonexistent", "/nonexistent", Error));
  CHECK(Error);
}

} // namespace currantgauge::cli
