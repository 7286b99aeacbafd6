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

Machines::Machines() { startPlatform(this->Some, {"--tables"}); }

namespace {

enum class Paths { Direct, Proxied };

Machine startMachine(Machines &All, const std::string &Region,
                     const std::string &Zone, const std::string &Service,
                     const std::vector<std::string> &Flags, Paths Way) {
  Fleet &Some = All.Some;
  std::string Number = std::to_string(All.Each.size() + 1);
  NodeProcess Node = addressesOf(Some, "machine-" + Number);
  std::string OperatorsPort = freePort();
  Node.Operators = "127.0.0.1:" + OperatorsPort;
  std::string Host = Node.Callers.substr(0, Node.Callers.find(':'));
  Node.Ready = Host + ":18084";
  Node.Metrics = Host + ":9464"; // of the deploy file
  // The server's port is known once it listens, before it announces itself.
  std::vector<std::string> ServerFlags = {"--machines"};
  ServerFlags.insert(ServerFlags.end(), Flags.begin(), Flags.end());
  startServer(Some, "i-" + Number, Service, Node, ServerFlags);
  std::string PeerListener = Node.Peers;
  std::string Store = Some.Platform;
  std::string Advertised;
  if (Way == Paths::Proxied) {
    Node.Between = startProxy(PeerListener);
    Node.StorePath = startProxy(Some.Platform);
    Node.Peers = Node.Between.Address;
    Store = Node.StorePath.Address;
    Advertised = "advertise: {peers: \"" + Node.Peers + "\"}\n";
  }
  std::string Settings = fillIn(readFile(std::string(CURRANTGAUGE_SOURCE_DIR) +
                                         "/deploy/settings.yaml.tmpl"),
                                {{"node", Node.Name},
                                 {"region", Region},
                                 {"zone", Zone},
                                 {"service", Service},
                                 {"application", Some.Servers.back().Address},
                                 {"listen.outbound", Node.Callers},
                                 {"listen.inbound", PeerListener},
                                 {"listen.control", Node.Announcements},
                                 {"listen.ready", Node.Ready},
                                 {"ipAddress", Host},
                                 {"internalPortRange.0", OperatorsPort},
                                 {"platform.address", Store},
                                 {"bounds.retryBudgetRatio", "0.2"},
                                 {"bounds.retryBudgetSlack", "56"},
                                 {"bounds.budgetWindowS", "10"}});
  startNodeFrom(Some, std::move(Node), Settings + Advertised);
  All.Each.push_back(
      Machine{Some.Nodes.size() - 1, Some.Servers.size() - 1, Service});
  return All.Each.back();
}

} // namespace

Machine addMachine(Machines &All, const std::string &Region,
                   const std::string &Zone, const std::string &Service,
                   const std::vector<std::string> &Flags) {
  return startMachine(All, Region, Zone, Service, Flags, Paths::Direct);
}

Machine addProxiedMachine(Machines &All, const std::string &Region,
                          const std::string &Zone, const std::string &Service,
                          const std::vector<std::string> &Flags) {
  return startMachine(All, Region, Zone, Service, Flags, Paths::Proxied);
}

NodeProcess &nodeOf(Machines &All, const Machine &One) {
  return All.Some.Nodes[One.Node];
}

ServerProcess &serverOf(Machines &All, const Machine &One) {
  return All.Some.Servers[One.Server];
}

nlohmann::json routeOf(const std::string &Prefix, const std::string &Service,
                       const std::string &Kind) {
  return {{"host", ListsHost}, {"pathPrefix", Prefix}, {"service", Service},
          {"kind", Kind},      {"attempts", 3},        {"timeoutMs", 4000},
          {"aimMs", 1200},     {"priority", 0}};
}

void writeOperatorsConfig(Machines &All, const std::string &Version,
                          const nlohmann::json &Routes) {
  nlohmann::json Services = nlohmann::json::object();
  for (const Machine &One : All.Each)
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
  auto Answer =
      ask(All.Some.Platform, "PUT", "/control/config", Document.dump());
  if (!Answer || Answer->Status != 200)
    throw std::runtime_error("the store's stand-in took no configuration");
}

bool isReady(const NodeProcess &Node) {
  auto Ready = ask(Node.Ready, "GET", "/api/readiness");
  return Ready && Ready->Status == 200;
}

Sent send(const NodeProcess &Node, const std::string &Method,
          const std::string &Target, const std::string &Body,
          std::uint32_t DeadlineMillis) {
  Sent One{newId(), {}};
  One.Got = ask(
      Node.Callers, Method, Target, Body,
      {{"Host", ListsHost},
       {"Currantgauge-Attempt-Id", One.Id},
       {"Currantgauge-Caller-Service", "somebody-else"},
       {"Currantgauge-Deadline-Milliseconds", std::to_string(DeadlineMillis)}},
      std::chrono::milliseconds(DeadlineMillis + 2000));
  return One;
}

bool isWhole(const Sent &Asked, const std::string &Method,
             const std::string &Target) {
  return Asked.Got && Asked.Got->Status == 200 &&
         fieldOf(Asked.Got, "currantgauge-response-signature") ==
             "of " + Asked.Id &&
         fieldOf(Asked.Got, "currantgauge-attempt-id") == Asked.Id &&
         Asked.Got->Body.find(" " + Method + " " + Target + " ") !=
             std::string::npos;
}

nlohmann::json statsOf(const ServerProcess &Server) {
  auto Stats = ask(Server.Address, "GET", "/.stats");
  return Stats ? nlohmann::json::parse(Stats->Body) : nlohmann::json::object();
}

// A server that ended has left its record in its log.
std::map<std::string, std::uint64_t> runsById(const Machines &All) {
  std::map<std::string, std::uint64_t> Runs;
  for (const ServerProcess &Server : All.Some.Servers) {
    nlohmann::json Stats = statsOf(Server);
    if (Stats.empty())
      Stats = nlohmann::json::parse(
          readFile(All.Some.Folder + "/" + Server.Name + ".log"), nullptr,
          false);
    if (!Stats.is_object())
      continue; // it was killed
    for (const auto &[Id, Count] : Stats["by_key"].items())
      Runs[Id] += Count.get<std::uint64_t>();
  }
  return Runs;
}

Traffic::Traffic(Machines &All, const std::string &Method,
                 const std::string &Target, std::size_t CallersPerNode) {
  for (std::size_t I = 0; I < CallersPerNode * All.Each.size(); ++I)
    this->Threads.emplace_back([=, this, &All] {
      const NodeProcess &Node = nodeOf(All, All.Each[I % All.Each.size()]);
      while (!this->Stop) {
        Sent One = send(Node, Method, Target, "order " + std::to_string(I));
        if (isWhole(One, Method, Target)) {
          ++this->Good;
        } else {
          std::lock_guard<std::mutex> Guard(this->Lock);
          this->Bad.push_back(std::move(One));
        }
        std::this_thread::sleep_for(CallerPause);
      }
    });
}

Traffic::~Traffic() { endTraffic(*this); }

void endTraffic(Traffic &Some) {
  Some.Stop = true;
  for (std::thread &Each : Some.Threads)
    if (Each.joinable())
      Each.join();
}

} // namespace currantgauge::integration
