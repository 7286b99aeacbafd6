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

// Number of distinct errors that are logged; others are only counted. Usually
// there are fewer, because each error only names a field of the announcement.
constexpr std::size_t MaxLoggedAnnouncementErrors = 100;
constexpr char MetricsPath[] = "/metrics";

namespace asio = boost::asio;
using asio::ip::tcp;
using Status = boost::beast::http::status;

http::ServiceAnswer makeErrorAnswer(Status Code, const std::string &Text) {
  return {Code, "application/json",
          nlohmann::json{{"error", Text}}.dump(
              -1, ' ', false, nlohmann::json::error_handler_t::replace) +
              "\n"};
}

// A backend server repeats its announcement every second, so every error is
// counted but only its first occurrence is logged.
void reportRefusedAnnouncement(Node &Self, const std::string &Error) {
  post(Self,
       ControlInput{
           core::InputRefused{base::Reason::BadAnnouncement}, {}, {}, {}, {}});
  // Not synchronized: only called on the last traffic thread.
  bool IsNew =
      Self.LoggedAnnouncementErrors.size() < MaxLoggedAnnouncementErrors &&
      Self.LoggedAnnouncementErrors.insert(Error).second;
  if (IsNew)
    telemetry::writeLog(
        Self.Logs,
        {core::LogLevel::Warn, "announcement_refused", {{"error", Error}}});
}

http::ServiceAnswer handleAnnouncement(Node &Self,
                                       const ParsedAnnouncement &Parsed) {
  if (!Parsed.Announcement) {
    reportRefusedAnnouncement(Self, Parsed.Error);
    return makeErrorAnswer(Status::bad_request, Parsed.Error);
  }
  post(Self, ControlInput{
                 core::BackendAnnounced{*Parsed.Announcement}, {}, {}, {}, {}});
  return {Status::ok, "application/json", Parsed.AnswerBody};
}

void countLogLines(Node &Self) {
  telemetry::LogCounts Counts = telemetry::takeLogCounts(Self.Logs);
  for (auto [Outcome, Count] : {std::pair("written", Counts.Written),
                                {"left_out", Counts.LeftOut},
                                {"dropped", Counts.Dropped}})
    telemetry::record(Self.Metrics, {core::Metric::LogLines, Outcome, "",
                                     static_cast<double>(Count)});
}

http::ServiceAnswer makeMetricsAnswer(Node &Self) {
  countLogLines(Self);
  return {Status::ok, "text/plain; version=0.0.4",
          telemetry::renderMetrics(Self.Metrics)};
}

http::ServiceAnswer handleServiceRequest(Node &Self,
                                         const http::ServiceRequest &Request) {
  std::string Target(Request.target());
  base::Duration Lease = Self.Settings.BackendLease;
  if (Lease == base::Duration{})
    Lease = routing::LeaseTime;
  ParsedAnnouncement Parsed = Self.Protocols.ReadAnnouncement(Request, Lease);
  if (Parsed.Matched)
    return handleAnnouncement(Self, Parsed);
  if (Target == MetricsPath)
    return makeMetricsAnswer(Self);
  if (Target == "/healthz")
    return {Status::ok, "text/plain", "ok\n"};
  if (Target == "/readyz" || Target == Self.Protocols.ReadinessPath)
    return Self.Ready ? http::ServiceAnswer{Status::ok, "text/plain", "ready\n"}
                      : http::ServiceAnswer{Status::service_unavailable,
                                            "text/plain", "not ready\n"};
  return makeErrorAnswer(Status::not_found, "no such path or wrong method");
}

// Without a configured token, every request is authorized. The tokens are
// compared in constant time, so that timing doesn't reveal the expected one.
bool isAuthorized(const Node &Self, const http::ServiceRequest &Request) {
  const std::string &Token = Self.Settings.OperatorToken;
  if (Token.empty())
    return true;
  std::string Received(Request[boost::beast::http::field::authorization]);
  std::string Expected = "Bearer " + Token;
  return Received.size() == Expected.size() &&
         CRYPTO_memcmp(Received.data(), Expected.data(), Expected.size()) == 0;
}

void handleOperatorRequest(Node &Self, const http::ServiceRequest &Request,
                           http::ServiceReply Reply) {
  if (!isAuthorized(Self, Request))
    return Reply(makeErrorAnswer(Status::unauthorized,
                                 "missing or invalid bearer token"));
  if (Request.target() != "/v1/query" || Request.method_string() != "POST")
    return Reply(
        makeErrorAnswer(Status::not_found, "no such path or wrong method"));
  std::string Error;
  auto Query = http::parseCommand(Request.body(), Error);
  if (!Query)
    return Reply(makeErrorAnswer(Status::bad_request, Error));
  ControlInput Input;
  Input.Body = core::OperatorCommandReceived{base::CallId(), std::move(*Query)};
  // Encodes on a traffic thread, because a large document would delay the
  // control thread.
  Input.Reply = [&Self, Reply](const core::OperatorReply &Answer) {
    asio::post(Self.Traffic.Threads.back()->Io, [Reply, Answer] {
      Reply({Status::ok, "application/json", http::encodeReply(Answer) + "\n"});
    });
  };
  post(Self, std::move(Input));
}

peer::PeerHandlers makePeerHandlers(Node &Self) {
  peer::PeerHandlers Handlers;
  Handlers.BodyMemory = &Self.BodyMemory;
  Handlers.AnswerMemory = &Self.AnswerMemory;
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
  Handlers.FetchConfig = [&Self](base::ConfigVersion KnownVersion)
      -> std::optional<config::ConfigDelta> {
    std::lock_guard<std::mutex> Guard(Self.ServedConfigMutex);
    if (!Self.ServedConfig.Document.Parts)
      return std::nullopt;
    return config::deltaSince(Self.ServedConfig, KnownVersion);
  };
  return Handlers;
}

bool openCallers(Node &Self, boost::system::error_code &Error) {
  return http::listen(
             Self.Traffic.Threads.front()->Io, Self.Settings.CallerAddress,
             [&Self]() -> asio::io_context & {
               return nextContext(Self.Traffic);
             },
             [&Self](tcp::socket Socket) {
               http::startCallerSession(std::move(Socket), Self.Callers);
             },
             Error) != 0;
}

bool openOperators(Node &Self, asio::io_context &Io,
                   boost::system::error_code &Error) {
  const config::NodeSettings &Settings = Self.Settings;
  http::TlsContextPtr Tls;
  if (!Settings.OperatorCertificate.empty())
    Tls = http::makeTls(Settings.OperatorCertificate, Settings.OperatorKey,
                        Error);
  if (Error)
    return false;
  return http::listenService(
             Io, Settings.OperatorAddress,
             [&Self](const http::ServiceRequest &Request,
                     http::ServiceReply Reply) {
               handleOperatorRequest(Self, Request, std::move(Reply));
             },
             Error, Tls) != 0;
}

bool openServices(Node &Self, boost::system::error_code &Error) {
  asio::io_context &Io = Self.Traffic.Threads.back()->Io;
  auto HandleService = [&Self](const http::ServiceRequest &Request,
                               http::ServiceReply Reply) {
    Reply(handleServiceRequest(Self, Request));
  };
  auto HandleMetrics = [&Self](const http::ServiceRequest &Request,
                               http::ServiceReply Reply) {
    Reply(Request.target() == MetricsPath
              ? makeMetricsAnswer(Self)
              : makeErrorAnswer(Status::not_found, "no such path"));
  };
  auto Listen = [&](const base::NetAddress &Address, const auto &Service) {
    return http::listenService(Io, Address, Service, Error) != 0;
  };
  const config::NodeSettings &Settings = Self.Settings;
  return Listen(Settings.AnnouncementAddress, HandleService) &&
         (Settings.HealthAddress.empty() ||
          Listen(Settings.HealthAddress, HandleService)) &&
         (Settings.MetricsAddress.empty() ||
          Listen(Settings.MetricsAddress, HandleMetrics)) &&
         openOperators(Self, Io, Error);
}

} // namespace

bool openListeners(Node &Self, std::string &Error) {
  std::error_code PeerError;
  Self.PeerServer = peer::startPeerServer(Self.Settings.PeerAddress,
                                          makePeerHandlers(Self), PeerError);
  if (!Self.PeerServer) {
    Error = "peer address " + Self.Settings.PeerAddress.Value + ": " +
            PeerError.message();
    return false;
  }
  boost::system::error_code ListenError;
  if (openServices(Self, ListenError) && openCallers(Self, ListenError))
    return true;
  Error = "can't open a listener or load the operators' TLS certificate: " +
          ListenError.message();
  return false;
}

} // namespace currantgauge::runtime
