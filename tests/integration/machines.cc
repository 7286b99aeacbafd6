#include "tests/integration/machines.h"

#include "tests/integration/callers.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <fstream>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace currantgauge::integration {
namespace {

const std::string ListsHost = "lists.example";
// Between the requests of a thread of a RequestLoad.
constexpr std::chrono::milliseconds CallerInterval{20};

// Finds a free port for the operator listener. The settings template binds it
// to 127.0.0.1, which all machines of a test share.
std::string findFreePort() {
  namespace asio = boost::asio;
  asio::io_context Io;
  asio::ip::tcp::acceptor Probe(
      Io, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  return std::to_string(Probe.local_endpoint().port());
}

std::string readFile(const std::string &Path) {
  std::ifstream File(Path);
  if (!File)
    throw std::runtime_error("could not open " + Path);
  std::ostringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

// fillSections() keeps the sections of switches that are on, and drops others.
std::string fillSections(std::string Template,
                         const std::map<std::string, std::string> &Values) {
  for (std::size_t Open; (Open = Template.find("{{#")) != std::string::npos;) {
    std::size_t NameEnd = Template.find("}}", Open);
    std::string Name = Template.substr(Open + 3, NameEnd - Open - 3);
    std::string Close = "{{/" + Name + "}}";
    std::size_t End = Template.find(Close, Open);
    std::string Section = Values.at(Name) == "true"
                              ? Template.substr(NameEnd + 2, End - NameEnd - 2)
                              : "";
    Template.replace(Open, End + Close.size() - Open, Section);
  }
  return Template;
}

// Supports plain values, and sections of switches.
std::string fillTemplate(std::string Template,
                         const std::map<std::string, std::string> &Values) {
  Template = fillSections(std::move(Template), Values);
  std::string Text;
  std::size_t Position = 0;
  for (std::size_t Open;
       (Open = Template.find("{{", Position)) != std::string::npos;
       Position = Template.find("}}", Open) + 2) {
    std::string Name =
        Template.substr(Open + 2, Template.find("}}", Open) - Open - 2);
    Text += Template.substr(Position, Open - Position) + Values.at(Name);
  }
  return Text + Template.substr(Position);
}

std::string newAttemptId() {
  static std::atomic<std::uint64_t> Count{0};
  return "attempt-" + std::to_string(++Count);
}

} // namespace

MachineFleet::MachineFleet() { startPlatform(this->Fleet, {"--tables"}); }

namespace {

enum class Paths { Direct, Proxied };

Machine startMachine(MachineFleet &Machines, const std::string &Region,
                     const std::string &Zone, const std::string &Service,
                     const std::vector<std::string> &Flags, Paths Path) {
  TestFleet &Fleet = Machines.Fleet;
  std::string Number = std::to_string(Machines.List.size() + 1);
  NodeProcess Node = makeNodeProcess(Fleet, "machine-" + Number);
  std::string OperatorsPort = findFreePort();
  Node.OperatorAddress = "127.0.0.1:" + OperatorsPort;
  std::string Host = Node.CallerAddress.substr(0, Node.CallerAddress.find(':'));
  Node.ReadinessAddress = Host + ":18084";
  Node.MetricsAddress = Host + ":9464"; // fixed in the settings template
  // The settings of the node need the server's address. The server listens, and
  // so has its port, before it first announces itself to the node.
  std::vector<std::string> ServerFlags = {"--machines", "--host=" + Host};
  ServerFlags.insert(ServerFlags.end(), Flags.begin(), Flags.end());
  startServer(Fleet, "i-" + Number, Service, Node, ServerFlags);
  std::string PeerListener = Node.PeerAddress;
  std::string Store = Fleet.PlatformAddress;
  std::string Advertised;
  if (Path == Paths::Proxied) {
    Node.PeerProxy = startProxy(PeerListener);
    Node.StoreProxy = startProxy(Fleet.PlatformAddress);
    Node.PeerAddress = Node.PeerProxy.Address;
    Store = Node.StoreProxy.Address;
    Advertised = "advertise: {peers: \"" + Node.PeerAddress + "\"}\n";
  }
  std::string Settings =
      fillTemplate(readFile(std::string(CURRANTGAUGE_SOURCE_DIR) +
                            "/deploy/settings.yaml.tmpl"),
                   {{"node", Node.Name},
                    {"region", Region},
                    {"zone", Zone},
                    {"service", Service},
                    {"application", Fleet.Servers.back().Address},
                    {"listen.outbound", Node.CallerAddress},
                    {"listen.inbound", PeerListener},
                    {"listen.control", Node.AnnounceAddress},
                    {"listen.ready", Node.ReadinessAddress},
                    {"ipAddress", Host},
                    {"internalPortRange.0", OperatorsPort},
                    {"platform.address", Store},
                    {"bootstrap", "true"},
                    {"contracts", "base,drain,config,retry,platform"},
                    {"bounds.gracePeriodS", "6"},
                    {"bounds.retryBudgetRatio", "0.2"},
                    {"bounds.retryBudgetSlack", "56"},
                    {"bounds.budgetWindowS", "10"}});
  startNodeWithSettings(Fleet, std::move(Node), Settings + Advertised);
  Machines.List.push_back(
      Machine{Fleet.Nodes.size() - 1, Fleet.Servers.size() - 1, Service});
  return Machines.List.back();
}

} // namespace

Machine addMachine(MachineFleet &Machines, const std::string &Region,
                   const std::string &Zone, const std::string &Service,
                   const std::vector<std::string> &Flags) {
  return startMachine(Machines, Region, Zone, Service, Flags, Paths::Direct);
}

Machine addProxiedMachine(MachineFleet &Machines, const std::string &Region,
                          const std::string &Zone, const std::string &Service,
                          const std::vector<std::string> &Flags) {
  return startMachine(Machines, Region, Zone, Service, Flags, Paths::Proxied);
}

NodeProcess &nodeOf(MachineFleet &Machines, const Machine &Machine) {
  return Machines.Fleet.Nodes[Machine.Node];
}

ServerProcess &serverOf(MachineFleet &Machines, const Machine &Machine) {
  return Machines.Fleet.Servers[Machine.Server];
}

nlohmann::json routeOf(const std::string &Prefix, const std::string &Service,
                       const std::string &Kind) {
  return {{"host", ListsHost}, {"pathPrefix", Prefix}, {"service", Service},
          {"kind", Kind},      {"attempts", 3},        {"timeoutMs", 4000},
          {"aimMs", 1200},     {"priority", 0}};
}

void writeOperatorsConfig(MachineFleet &Machines, const std::string &Version,
                          const nlohmann::json &Routes,
                          const nlohmann::json &Limits,
                          const nlohmann::json &Tenants) {
  nlohmann::json Services = nlohmann::json::object();
  for (const Machine &Machine : Machines.List)
    Services[Machine.Service] = {{"healthCheckPath", "/health"},
                                 {"connectionLimit", 330}};
  nlohmann::json Document = {{"version", Version},
                             {"routes", Routes},
                             {"services", Services},
                             {"limits",
                              {{"maxHeaderBytes", 16384},
                               {"maxBodyBytes", 1048576},
                               {"headerTimeoutMs", 5000},
                               {"idleTimeoutMs", 5000}}}};
  Document["limits"].update(Limits);
  if (!Tenants.is_null())
    Document["tenants"] = Tenants;
  auto Answer = sendRequest(Machines.Fleet.PlatformAddress, "PUT",
                            "/control/config", Document.dump());
  if (!Answer || Answer->Status != 200)
    throw std::runtime_error(
        "the platform stand-in did not accept the configuration");
}

void controlStore(MachineFleet &Machines, const nlohmann::json &Command) {
  auto Answer = sendRequest(Machines.Fleet.PlatformAddress, "PUT", "/control",
                            Command.dump());
  if (!Answer || Answer->Status != 200)
    throw std::runtime_error("the platform stand-in refused " + Command.dump());
}

std::uint64_t countStoreCalls(const MachineFleet &Machines) {
  auto Answer = sendRequest(Machines.Fleet.PlatformAddress, "GET", "/control");
  if (!Answer)
    throw std::runtime_error("the platform stand-in did not respond");
  auto Counts = nlohmann::json::parse(Answer->Body);
  return Counts.at("reads").get<std::uint64_t>() +
         Counts.at("writes").get<std::uint64_t>() +
         Counts.at("limited").get<std::uint64_t>();
}

bool isReady(const NodeProcess &Node) {
  auto Ready = sendRequest(Node.ReadinessAddress, "GET", "/api/readiness");
  return Ready && Ready->Status == 200;
}

CallerRequest sendAsCaller(const NodeProcess &Node, const std::string &Method,
                           const std::string &Target, const std::string &Body,
                           std::uint32_t DeadlineMillis,
                           const HeaderMap &Fields) {
  CallerRequest Request{newAttemptId(), {}};
  HeaderMap Headers = {
      {"Host", ListsHost},
      {"Currantgauge-Attempt-Id", Request.AttemptId},
      {"Currantgauge-Caller-Service", "somebody-else"},
      {"Currantgauge-Deadline-Milliseconds", std::to_string(DeadlineMillis)}};
  Headers.insert(Fields.begin(), Fields.end());
  Request.Response =
      sendRequest(Node.CallerAddress, Method, Target, Body, Headers,
                  std::chrono::milliseconds(DeadlineMillis + 2000));
  return Request;
}

bool isOwnResponse(const CallerRequest &Request, const std::string &Method,
                   const std::string &Target) {
  return Request.Response && Request.Response->Status == 200 &&
         headerOf(Request.Response, "currantgauge-response-signature") ==
             "of " + Request.AttemptId &&
         headerOf(Request.Response, "currantgauge-attempt-id") ==
             Request.AttemptId &&
         Request.Response->Body.find(" " + Method + " " + Target + " ") !=
             std::string::npos;
}

nlohmann::json statsOf(const ServerProcess &Server) {
  auto Stats = sendRequest(Server.Address, "GET", "/.stats");
  return Stats ? nlohmann::json::parse(Stats->Body) : nlohmann::json::object();
}

// A server that was stopped with SIGTERM has printed its statistics to its log.
std::map<std::string, std::uint64_t>
runsByAttempt(const MachineFleet &Machines) {
  std::map<std::string, std::uint64_t> Runs;
  for (const ServerProcess &Server : Machines.Fleet.Servers) {
    nlohmann::json Stats = statsOf(Server);
    if (Stats.empty())
      Stats = nlohmann::json::parse(
          readFile(Machines.Fleet.Folder + "/" + Server.Name + ".log"), nullptr,
          false);
    if (!Stats.is_object())
      continue; // killed before it printed its statistics
    for (const auto &[Id, Count] : Stats["by_key"].items())
      Runs[Id] += Count.get<std::uint64_t>();
  }
  return Runs;
}

RequestLoad::RequestLoad(MachineFleet &Machines, const std::string &Method,
                         const std::string &Target,
                         std::size_t CallersPerNode) {
  for (std::size_t I = 0; I < CallersPerNode * Machines.List.size(); ++I)
    this->Threads.emplace_back([=, this, &Machines] {
      const NodeProcess &Node =
          nodeOf(Machines, Machines.List[I % Machines.List.size()]);
      while (!this->Stop) {
        CallerRequest Request =
            sendAsCaller(Node, Method, Target, "order " + std::to_string(I));
        if (isOwnResponse(Request, Method, Target)) {
          ++this->Succeeded;
        } else {
          std::lock_guard<std::mutex> Guard(this->Lock);
          this->Failures.push_back(std::move(Request));
        }
        std::this_thread::sleep_for(CallerInterval);
      }
    });
}

RequestLoad::~RequestLoad() { stopLoad(*this); }

void stopLoad(RequestLoad &Load) {
  Load.Stop = true;
  for (std::thread &Thread : Load.Threads)
    if (Thread.joinable())
      Thread.join();
}

} // namespace currantgauge::integration
