// Runs real nodes as on the platform of the machines: settings from the
// template in deploy/, the platform stand-in with the table protocol, and
// backend servers and callers that use the platform's headers.
//
//   MachineFleet Machines;
//   addMachine(Machines, "north", "north-a", "cutlist");
//   writeOperatorsConfig(Machines, "r1", Routes);
#ifndef CURRANTGAUGE_TESTS_INTEGRATION_MACHINES_H
#define CURRANTGAUGE_TESTS_INTEGRATION_MACHINES_H

#include "tests/integration/fleet.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace currantgauge::integration {

// Machine is a VM, which runs one node beside its backend server. Both are
// given as indexes into the fleet.
struct Machine {
  std::size_t Node = 0;
  std::size_t Server = 0;
  std::string Service;
};

// MachineFleet is a fleet that runs as on the platform of the machines.
struct MachineFleet {
  MachineFleet();

  TestFleet Fleet;
  std::vector<Machine> List;
};

// addMachine() starts a node and its backend server. Flags are passed to the
// server.
Machine addMachine(MachineFleet &Machines, const std::string &Region,
                   const std::string &Zone, const std::string &Service,
                   const std::vector<std::string> &Flags = {});

// addProxiedMachine() does the same, with one fault proxy in front of the
// node's peer listener and one between the node and the store.
Machine addProxiedMachine(MachineFleet &Machines, const std::string &Region,
                          const std::string &Zone, const std::string &Service,
                          const std::vector<std::string> &Flags = {});

NodeProcess &nodeOf(MachineFleet &Machines, const Machine &Machine);
ServerProcess &serverOf(MachineFleet &Machines, const Machine &Machine);

// routeOf() returns one route of the operator's document, matched by host and
// path prefix.
nlohmann::json routeOf(const std::string &Prefix, const std::string &Service,
                       const std::string &Kind);

// writeOperatorsConfig() writes the operator's document to the store. Returns
// once the store has acknowledged the write, not when nodes use it. Throws
// std::runtime_error if it doesn't. Limits replaces default limits. The
// document has tenants unless Tenants is null.
void writeOperatorsConfig(
    MachineFleet &Machines, const std::string &Version,
    const nlohmann::json &Routes,
    const nlohmann::json &Limits = nlohmann::json::object(),
    const nlohmann::json &Tenants = nullptr);

// controlStore() replaces the faults of the platform stand-in; see
// stand_ins::PlatformFaults. Throws std::runtime_error if it refuses them.
void controlStore(MachineFleet &Machines, const nlohmann::json &Command);

// countStoreCalls() returns how many calls the nodes have made to the store,
// those beyond its rate limits included.
std::uint64_t countStoreCalls(const MachineFleet &Machines);

// isReady() returns whether the node passes the platform's readiness probe.
bool isReady(const NodeProcess &Node);

// CallerRequest is a request that was sent: the id of its attempt and the
// response, if there was one.
struct CallerRequest {
  std::string AttemptId;
  std::optional<HttpResponse> Response;
};

// sendAsCaller() sends a request as a caller on the node's machine does, on a
// new connection.
CallerRequest sendAsCaller(const NodeProcess &Node, const std::string &Method,
                           const std::string &Target,
                           const std::string &Body = "",
                           std::uint32_t DeadlineMillis = 4000,
                           const HeaderMap &Fields = {});

// isOwnResponse() returns whether the request succeeded and the response is the
// backend server's answer to this very request.
bool isOwnResponse(const CallerRequest &Request, const std::string &Method,
                   const std::string &Target);

// statsOf() returns the statistics of a backend server, or an empty object if
// it doesn't respond.
nlohmann::json statsOf(const ServerProcess &Server);

// runsByAttempt() returns how often each attempt ran, summed over all backend
// servers that respond or printed their statistics when they were stopped.
std::map<std::string, std::uint64_t>
runsByAttempt(const MachineFleet &Machines);

// RequestLoad sends requests from several threads until it is stopped. Each
// thread is a caller of one node. A request succeeds if isOwnResponse().
struct RequestLoad {
  RequestLoad(MachineFleet &Machines, const std::string &Method,
              const std::string &Target, std::size_t CallersPerNode);
  ~RequestLoad();
  RequestLoad(const RequestLoad &) = delete;
  RequestLoad &operator=(const RequestLoad &) = delete;

  std::atomic<bool> Stop{false};
  std::atomic<int> Succeeded{0};
  std::mutex Lock;
  std::vector<CallerRequest> Failures;
  std::vector<std::thread> Threads;
};

// stopLoad() stops the threads and joins them.
void stopLoad(RequestLoad &Load);

} // namespace currantgauge::integration

#endif // CURRANTGAUGE_TESTS_INTEGRATION_MACHINES_H
