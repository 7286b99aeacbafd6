// What callers, backend servers and the operator of a soak run have seen, and
// the promises that it breaks. Nothing here asks a node.
//
//   for (const std::string &Line : brokenPromises(Everything)) ...
#ifndef CURRANTGAUGE_TESTS_SOAK_SEEN_H
#define CURRANTGAUGE_TESTS_SOAK_SEEN_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace currantgauge::soak {

// Seconds is a time of the machine's steady clock.
using Seconds = double;

// RecoveryTime is the deployments' recoveryS.
constexpr Seconds RecoveryTime = 15;

// Request is a caller's attempt and its end.
struct Request {
  std::string Id;
  std::size_t Machine = 0;
  bool Idempotent = true;
  std::uint32_t Version = 0; // whose route it asks for; 0: one of all versions
  Seconds Sent = 0;
  Seconds Ended = 0;
  unsigned Status = 0; // 0: no whole answer
  std::string Wrong;   // why the answer is not this request's; empty: it is
};

// Arrival is a request at a backend server.
struct Arrival {
  std::string Id;
  std::string Server;
  Seconds At = 0;
  bool Ran = false; // false: the server said that it did not run it
};

// AllMachines marks a trouble of the store, or of every machine.
constexpr std::size_t AllMachines = SIZE_MAX;

// Trouble is a time in which something was broken. Ended is when it was mended.
struct Trouble {
  std::string Kind;
  std::size_t Machine = AllMachines;
  Seconds From = 0;
  Seconds Ended = 0;
  bool Planned = false;
  bool OfStore = false;  // the whole store, or a way to it
  bool NewLife = false;  // the node's process ended
  bool OfServer = false; // its backend server alone
};

// Version is a configuration and when the store acknowledged it.
struct Version {
  std::uint32_t Number = 0;
  Seconds Acknowledged = 0;
};

// Leave is a backend server's word that it leaves, acknowledged by its node.
struct Leave {
  std::string Server;
  std::size_t Machine = 0;
  Seconds Acknowledged = 0;
};

// Seen is a whole run.
struct Seen {
  std::vector<Request> Requests;
  std::vector<Arrival> Arrivals;
  std::vector<Trouble> Troubles;
  std::vector<Version> Versions;
  std::vector<Leave> Leaves;
  Seconds FirstTrouble = 0;
  Seconds Calm = 0; // everything was mended
  Seconds End = 0;
};

// brokenPromises() returns a line for each promise that a run breaks, with the
// ids that show it.
std::vector<std::string> brokenPromises(const Seen &Run);

} // namespace currantgauge::soak

#endif // CURRANTGAUGE_TESTS_SOAK_SEEN_H
