// The machines' platform around real nodes: settings filled into the template
// of the deploy file, the store's stand-in, backend servers and callers that
// speak its protocol.
//
//   Machines Some;
//   Machine First = addMachine(Some, "north", "north-a", "cutlist");
//   writeOperatorsConfig(Some, configOf("r1", Routes));
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

// Machine is one node and the backend server beside it, by their places in the
// fleet.
struct Machine {
  std::size_t Node = 0;
  std::size_t Server = 0;
  std::string Service;
};

// Machines is the fleet on the platform.
struct MachineFleet {
  MachineFleet();

  TestFleet Fleet;
  std::vector<Machine> List;
};

// addMachine() starts a node and its backend server; Flags are the server's.
Machine addMachine(MachineFleet &Machines, const std::string &Region,
                   const std::string &Zone, const std::string &Service,
                   const std::vector<std::string> &Flags = {});

// addProxiedMachine() does the same with fault proxies before the node's
// listener of peers and between it and the store.
Machine addProxiedMachine(MachineFleet &Machines, const std::string &Region,
                          const std::string &Zone, const std::string &Service,
                          const std::vector<std::string> &Flags = {});

NodeProcess &nodeOf(MachineFleet &Machines, const Machine &Machine);
ServerProcess &serverOf(MachineFleet &Machines, const Machine &Machine);

// routeOf() is one route of the operator's document, by host and prefix.
nlohmann::json routeOf(const std::string &Prefix, const std::string &Service,
                       const std::string &Kind);

// writeOperatorsConfig() writes the operator's document; its acknowledgement is
// the store's.
void writeOperatorsConfig(MachineFleet &Machines, const std::string &Version,
                          const nlohmann::json &Routes);

// isReady() asks as the platform does.
bool isReady(const NodeProcess &Node);

// Sent is what a caller got; Id is of its attempt.
struct CallerRequest {
  std::string AttemptId;
  std::optional<HttpResponse> Response;
};

// send() sends a request as a caller on the node's machine, on a connection of
// its own.
CallerRequest sendAsCaller(const NodeProcess &Node, const std::string &Method,
                           const std::string &Target,
                           const std::string &Body = "",
                           std::uint32_t DeadlineMillis = 4000);

// isOwnResponse() is true for a success that is the server's own answer to
// Asked.
bool isOwnResponse(const CallerRequest &Request, const std::string &Method,
                   const std::string &Target);

// statsOf() asks a backend server what it has seen.
nlohmann::json statsOf(const ServerProcess &Server);

// runsByAttempt() counts the runs of each attempt over all backend servers.
std::map<std::string, std::uint64_t>
runsByAttempt(const MachineFleet &Machines);

// Traffic sends requests from threads until it is ended, as callers that stay
// on one node each.
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

// stopLoad() stops and joins.
void stopLoad(RequestLoad &Load);

} // namespace currantgauge::integration

#endif // CURRANTGAUGE_TESTS_INTEGRATION_MACHINES_H
