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
constexpr std::chrono::milliseconds CallerPause{20};

// An open port of the machine for the operators' listener, which the template
// puts on the address that all machines share here.
std::string freePort() {
  namespace asio = boost::asio;
  asio::io_context Io;
  asio::ip::tcp::acceptor Probe(
      Io, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  return std::to_string(Probe.local_endpoint().port());
}

std::string readFile(const std::string &Path) {
  std::ifstream File(Path);
  if (!File)
    throw std::runtime_error("no file " + Path);
  std::ostringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

// The template has values alone, no sections.
std::string fillIn(const std::string &Template,
                   const std::map<std::string, std::string> &Values) {
  std::string Text;
  std::size_t At = 0;
  for (std::size_t Open; (Open = Template.find("{{", At)) != std::string::npos;
       At = Template.find("}}", Open) + 2) {
    std::string Name =
        Template.substr(Open + 2, Template.find("}}", Open) - Open - 2);
    Text += Template.substr(At, Open - At) + Values.at(Name);
  }
  return Text + Template.substr(At);
}

std::string newId() {
  static std::atomic<std::uint64_t> Count{0};
  return "attempt-" + std::to_string(++Count);
}

} // namespace

MachineFleet::MachineFleet() { startPlatform(this->Fleet, {"--tables"}); }

namespace {

enum class Paths { Direct, Proxied };

Machine startMachine(MachineFleet &All, const std::string &Region,
                     const std::string &Zone, const std::string &Service,
                     const std::vector<std::string> &Flags, Paths Way) {
  TestFleet &Some = All.Fleet;
  std::string Number = std::to_string(All.List.size() + 1);
  NodeProcess Node = assignAddresses(Some, "machine-" + Number);
  std::string OperatorsPort = freePort();
  Node.OperatorAddress = "127.0.0.1:" + OperatorsPort;
  std::string Host = Node.CallerAddress.substr(0, Node.CallerAddress.find(':'));
  Node.ReadinessAddress = Host + ":18084";
  Node.MetricsAddress = Host + ":9464"; // of the deploy file
  // The server's port is known once it listens, before it announces itself.
  std::vector<std::string> ServerFlags = {"--machines"};
  ServerFlags.insert(ServerFlags.end(), Flags.begin(), Flags.end());
  startServer(Some, "i-" + Number, Service, Node, ServerFlags);
  std::string PeerListener = Node.PeerAddress;
  std::string Store = Some.PlatformAddress;
  std::string Advertised;
  if (Way == Paths::Proxied) {
    Node.PeerProxy = startProxy(PeerListener);
    Node.StoreProxy = startProxy(Some.PlatformAddress);
    Node.PeerAddress = Node.PeerProxy.Address;
    Store = Node.StoreProxy.Address;
    Advertised = "advertise: {peers: \"" + Node.PeerAddress + "\"}\n";
  }
  std::string Settings = fillIn(readFile(std::string(CURRANTGAUGE_SOURCE_DIR) +
                                         "/deploy/settings.yaml.tmpl"),
                                {{"node", Node.Name},
                                 {"region", Region},
                                 {"zone", Zone},
                                 {"service", Service},
                                 {"application", Some.Servers.back().Address},
                                 {"listen.outbound", Node.CallerAddress},
                                 {"listen.inbound", PeerListener},
                                 {"listen.control", Node.AnnounceAddress},
                                 {"listen.ready", Node.ReadinessAddress},
                                 {"ipAddress", Host},
                                 {"internalPortRange.0", OperatorsPort},
                                 {"platform.address", Store},
                                 {"bounds.retryBudgetRatio", "0.2"},
                                 {"bounds.retryBudgetSlack", "56"},
                                 {"bounds.budgetWindowS", "10"}});
  startNodeWithSettings(Some, std::move(Node), Settings + Advertised);
  All.List.push_back(
      Machine{Some.Nodes.size() - 1, Some.Servers.size() - 1, Service});
  return All.List.back();
}

} // namespace

Machine addMachine(MachineFleet &All, const std::string &Region,
                   const std::string &Zone, const std::string &Service,
                   const std::vector<std::string> &Flags) {
  return startMachine(All, Region, Zone, Service, Flags, Paths::Direct);
}

Machine addProxiedMachine(MachineFleet &All, const std::string &Region,
                          const std::string &Zone, const std::string &Service,
                          const std::vector<std::string> &Flags) {
  return startMachine(All, Region, Zone, Service, Flags, Paths::Proxied);
}

NodeProcess &nodeOf(MachineFleet &All, const Machine &One) {
  return All.Fleet.Nodes[One.Node];
}

ServerProcess &serverOf(MachineFleet &All, const Machine &One) {
  return All.Fleet.Servers[One.Server];
}

nlohmann::json routeOf(const std::string &Prefix, const std::string &Service,
                       const std::string &Kind) {
  return {{"host", ListsHost}, {"pathPrefix", Prefix}, {"service", Service},
          {"kind", Kind},      {"attempts", 3},        {"timeoutMs", 4000},
          {"aimMs", 1200},     {"priority", 0}};
}

void writeOperatorsConfig(MachineFleet &All, const std::string &Version,
                          const nlohmann::json &Routes) {
  nlohmann::json Services = nlohmann::json::object();
  for (const Machine &One : All.List)
    Services[One.Service] = {{"healthCheckPath", "/health"},
                             {"connectionLimit", 330}};
  nlohmann::json Document = {{"version", Version},
                             {"routes", Routes},
                             {"services", Services},
                             {"limits",
                              {{"maxHeaderBytes", 16384},
                               {"maxBodyBytes", 1048576},
                               {"headerTimeoutMs", 5000},
                               {"idleTimeoutMs", 5000}}}};
  auto Answer = sendRequest(All.Fleet.PlatformAddress, "PUT", "/control/config",
                            Document.dump());
  if (!Answer || Answer->Status != 200)
    throw std::runtime_error("the store's stand-in took no configuration");
}

bool isReady(const NodeProcess &Node) {
  auto Ready = sendRequest(Node.ReadinessAddress, "GET", "/api/readiness");
  return Ready && Ready->Status == 200;
}

CallerRequest sendAsCaller(const NodeProcess &Node, const std::string &Method,
                           const std::string &Target, const std::string &Body,
                           std::uint32_t DeadlineMillis) {
  CallerRequest One{newId(), {}};
  One.Response = sendRequest(
      Node.CallerAddress, Method, Target, Body,
      {{"Host", ListsHost},
       {"Currantgauge-Attempt-Id", One.AttemptId},
       {"Currantgauge-Caller-Service", "somebody-else"},
       {"Currantgauge-Deadline-Milliseconds", std::to_string(DeadlineMillis)}},
      std::chrono::milliseconds(DeadlineMillis + 2000));
  return One;
}

bool isOwnResponse(const CallerRequest &Asked, const std::string &Method,
                   const std::string &Target) {
  return Asked.Response && Asked.Response->Status == 200 &&
         headerOf(Asked.Response, "currantgauge-response-signature") ==
             "of " + Asked.AttemptId &&
         headerOf(Asked.Response, "currantgauge-attempt-id") ==
             Asked.AttemptId &&
         Asked.Response->Body.find(" " + Method + " " + Target + " ") !=
             std::string::npos;
}

nlohmann::json statsOf(const ServerProcess &Server) {
  auto Stats = sendRequest(Server.Address, "GET", "/.stats");
  return Stats ? nlohmann::json::parse(Stats->Body) : nlohmann::json::object();
}

// A server that ended has left its record in its log.
std::map<std::string, std::uint64_t> runsByAttempt(const MachineFleet &All) {
  std::map<std::string, std::uint64_t> Runs;
  for (const ServerProcess &Server : All.Fleet.Servers) {
    nlohmann::json Stats = statsOf(Server);
    if (Stats.empty())
      Stats = nlohmann::json::parse(
          readFile(All.Fleet.Folder + "/" + Server.Name + ".log"), nullptr,
          false);
    if (!Stats.is_object())
      continue; // it was killed
    for (const auto &[Id, Count] : Stats["by_key"].items())
      Runs[Id] += Count.get<std::uint64_t>();
  }
  return Runs;
}

RequestLoad::RequestLoad(MachineFleet &All, const std::string &Method,
                         const std::string &Target,
                         std::size_t CallersPerNode) {
  for (std::size_t I = 0; I < CallersPerNode * All.List.size(); ++I)
    this->Threads.emplace_back([=, this, &All] {
      const NodeProcess &Node = nodeOf(All, All.List[I % All.List.size()]);
      while (!this->Stop) {
        CallerRequest One =
            sendAsCaller(Node, Method, Target, "order " + std::to_string(I));
        if (isOwnResponse(One, Method, Target)) {
          ++this->Succeeded;
        } else {
          std::lock_guard<std::mutex> Guard(this->Lock);
          this->Failures.push_back(std::move(One));
        }
        std::this_thread::sleep_for(CallerPause);
      }
    });
}

RequestLoad::~Traffic() { stopLoad(*this); }

void stopLoad(RequestLoad &Some) {
  Some.Stop = true;
  for (std::thread &Each : Some.Threads)
    if (Each.joinable())
      Each.join();
}

} // namespace currantgauge::integration
