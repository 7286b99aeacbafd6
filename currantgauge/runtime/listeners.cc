#include "currantgauge/runtime/listeners.h"

#include "currantgauge/http/listener.h"
#include "currantgauge/http/operator_codec.h"
#include "currantgauge/http/service.h"
#include "currantgauge/http/tls.h"
#include "currantgauge/routing/state.h"

#include <boost/asio/post.hpp>
#include <nlohmann/json.hpp>
#include <openssl/crypto.h>

#include <cstddef>
#include <string>
#include <utility>

namespace currantgauge::runtime {
namespace {

// Errors name fields, of which there are few.
constexpr std::size_t MostRefusedWords = 100;
constexpr char MetricsPath[] = "/metrics";

namespace asio = boost::asio;
using asio::ip::tcp;
using Status = boost::beast::http::status;

http::ServiceAnswer errorAnswer(Status Code, const std::string &Text) {
  return {Code, "application/json",
          nlohmann::json{{"error", Text}}.dump(
              -1, ' ', false, nlohmann::json::error_handler_t::replace) +
              "\n"};
}

// A server repeats its word every second: each error is counted and, the first
// time, logged.
void noteRefused(Node &Self, const std::string &Error) {
  post(Self,
       ControlInput{
           core::InputRefused{base::Reason::BadAnnouncement}, {}, {}, {}, {}});
  // Runs on the services' thread alone.
  bool IsNew = Self.RefusedWords.size() < MostRefusedWords &&
               Self.RefusedWords.insert(Error).second;
  if (IsNew)
    telemetry::writeLog(
        Self.Logs,
        {core::LogLevel::Warn, "announcement_refused", {{"error", Error}}});
}

http::ServiceAnswer takeAnnouncement(Node &Self, const AnnouncementRead &Read) {
  if (!Read.Word) {
    noteRefused(Self, Read.Error);
    return errorAnswer(Status::bad_request, Read.Error);
  }
  post(Self, ControlInput{core::BackendAnnounced{*Read.Word}, {}, {}, {}, {}});
  return {Status::ok, "application/json", Read.Answer};
}

void countLogLines(Node &Self) {
  telemetry::LogCounts Counts = telemetry::takeLogCounts(Self.Logs);
  for (auto [Outcome, Count] : {std::pair("written", Counts.Written),
                                {"left_out", Counts.LeftOut},
                                {"dropped", Counts.Dropped}})
    telemetry::record(Self.Metrics, {core::Metric::LogLines, Outcome, "",
                                     static_cast<double>(Count)});
}

http::ServiceAnswer metricsAnswer(Node &Self) {
  countLogLines(Self);
  return {Status::ok, "text/plain; version=0.0.4",
          telemetry::renderMetrics(Self.Metrics)};
}

http::ServiceAnswer localService(Node &Self,
                                 const http::ServiceRequest &Request) {
  std::string Target(Request.target());
  base::Duration Lease = Self.Settings.BackendLease;
  if (Lease == base::Duration{})
    Lease = routing::LeaseTime;
  AnnouncementRead Read = Self.Spoken.ReadAnnouncement(Request, Lease);
  if (Read.Matched)
    return takeAnnouncement(Self, Read);
  if (Target == MetricsPath)
    return metricsAnswer(Self);
  if (Target == "/healthz")
    return {Status::ok, "text/plain", "ok\n"};
  if (Target == "/readyz" || Target == Self.Spoken.ReadinessPath)
    return Self.Ready ? http::ServiceAnswer{Status::ok, "text/plain", "ready\n"}
                      : http::ServiceAnswer{Status::service_unavailable,
                                            "text/plain", "not ready\n"};
  return errorAnswer(Status::not_found, "no such path");
}

// The comparison takes the same time wherever the texts differ.
bool isAuthorized(const Node &Self, const http::ServiceRequest &Request) {
  const std::string &Token = Self.Settings.OperatorToken;
  if (Token.empty())
    return true;
  std::string Given(Request[boost::beast::http::field::authorization]);
  std::string Wanted = "Bearer " + Token;
  return Given.size() == Wanted.size() &&
         CRYPTO_memcmp(Given.data(), Wanted.data(), Wanted.size()) == 0;
}

void operatorService(Node &Self, const http::ServiceRequest &Request,
                     http::ServiceReply Reply) {
  if (!isAuthorized(Self, Request))
    return Reply(errorAnswer(Status::unauthorized, "a bearer token is needed"));
  if (Request.target() != "/v1/query" || Request.method_string() != "POST")
    return Reply(errorAnswer(Status::not_found, "no such path"));
  std::string Error;
  auto Query = http::parseCommand(Request.body(), Error);
  if (!Query)
    return Reply(errorAnswer(Status::bad_request, Error));
  ControlInput Input;
  Input.Body = core::OperatorCommandReceived{base::CallId(), std::move(*Query)};
  // Encoding a large document takes long: it is kept off the control thread.
  Input.Reply = [&Self, Reply](const core::OperatorReply &Answer) {
    asio::post(Self.Traffic.Threads.back()->Io, [Reply, Answer] {
      Reply({Status::ok, "application/json", http::encodeReply(Answer) + "\n"});
    });
  };
  post(Self, std::move(Input));
}

peer::PeerHandlers peerHandlers(Node &Self) {
  peer::PeerHandlers Handlers;
  Handlers.Deliver = [&Self](membership::PeerMessage Message) {
    post(Self,
         ControlInput{
             core::PeerMessageArrived{std::move(Message)}, {}, {}, {}, {}});
  };
  Handlers.Forward = [&Self](core::AttemptFacts Facts,
                             RequestMessagePtr Message, AnswerPipePtr Pipe) {
    base::AttemptId Attempt = Facts.Attempt;
    post(Self, ControlInput{core::AttemptArrived{std::move(Facts)},
                            {},
                            std::move(Message),
                            Pipe,
                            {}});
    setOnCancel(*Pipe, [&Self, Attempt] {
      post(Self, ControlInput{core::AttemptCancelled{Attempt}, {}, {}, {}, {}});
    });
  };
  Handlers.FetchConfig =
      [&Self](base::ConfigVersion Have) -> std::optional<config::ConfigDelta> {
    std::lock_guard<std::mutex> Guard(Self.ServedLock);
    if (!Self.Served.Document.Parts)
      return std::nullopt;
    return config::deltaSince(Self.Served, Have);
  };
  return Handlers;
}

bool openCallers(Node &Self, boost::system::error_code &Failed) {
  return http::listen(
             Self.Traffic.Threads.front()->Io, Self.Settings.CallerAddress,
             [&Self]() -> asio::io_context & {
               return nextContext(Self.Traffic);
             },
             [&Self](tcp::socket Socket) {
               http::startCallerSession(std::move(Socket), Self.Callers);
             },
             Failed) != 0;
}

bool openOperators(Node &Self, asio::io_context &Io,
                   boost::system::error_code &Failed) {
  const config::NodeSettings &Settings = Self.Settings;
  http::TlsContextPtr Tls;
  if (!Settings.OperatorCertificate.empty())
    Tls = http::makeTls(Settings.OperatorCertificate, Settings.OperatorKey,
                        Failed);
  if (Failed)
    return false;
  return http::listenService(
             Io, Settings.OperatorAddress,
             [&Self](const http::ServiceRequest &Request,
                     http::ServiceReply Reply) {
               operatorService(Self, Request, std::move(Reply));
             },
             Failed, Tls) != 0;
}

bool openServices(Node &Self, boost::system::error_code &Failed) {
  asio::io_context &Io = Self.Traffic.Threads.back()->Io;
  auto Local = [&Self](const http::ServiceRequest &Request,
                       http::ServiceReply Reply) {
    Reply(localService(Self, Request));
  };
  auto Metrics = [&Self](const http::ServiceRequest &Request,
                         http::ServiceReply Reply) {
    Reply(Request.target() == MetricsPath
              ? metricsAnswer(Self)
              : errorAnswer(Status::not_found, "no such path"));
  };
  auto Open = [&](const base::NetAddress &Address, const auto &Service) {
    return http::listenService(Io, Address, Service, Failed) != 0;
  };
  const config::NodeSettings &Settings = Self.Settings;
  return Open(Settings.AnnounceAddress, Local) &&
         (Settings.HealthAddress.empty() ||
          Open(Settings.HealthAddress, Local)) &&
         (Settings.MetricsAddress.empty() ||
          Open(Settings.MetricsAddress, Metrics)) &&
         openOperators(Self, Io, Failed);
}

} // namespace

bool openListeners(Node &Self, std::string &Error) {
  std::error_code PeerFailed;
  Self.PeerServer = peer::startPeerServer(Self.Settings.PeerAddress,
                                          peerHandlers(Self), PeerFailed);
  if (!Self.PeerServer) {
    Error = "peer address " + Self.Settings.PeerAddress.Value + ": " +
            PeerFailed.message();
    return false;
  }
  boost::system::error_code Failed;
  if (openServices(Self, Failed) && openCallers(Self, Failed))
    return true;
  Error = "a listener can't be opened: " + Failed.message();
  return false;
}

} // namespace currantgauge::runtime
