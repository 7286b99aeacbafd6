// Observations of a soak run by callers, backend servers and the operator, and
// checks for violated guarantees. The checks use no data reported by nodes.
//
//   for (const std::string &Line : findViolations(Observed)) ...
#ifndef CURRANTGAUGE_TESTS_SOAK_VIOLATIONS_H
#define CURRANTGAUGE_TESTS_SOAK_VIOLATIONS_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace currantgauge::soak {

// Seconds is a time on the host's steady clock or a duration.
using Seconds = double;

// RecoveryTime is the recoveryS bound of the deployments.
constexpr Seconds RecoveryTime = 15;

// CallerRequest is a request sent by a caller and its result.
struct CallerRequest {
  std::string Id;
  std::size_t Machine = 0;
  bool Idempotent = true;
  std::uint32_t RouteVersion = 0; // version that added the route; 0: in all
  Seconds SentAt = 0;
  Seconds EndedAt = 0;
  unsigned Status = 0;  // 0: no complete response
  std::string Mismatch; // why the response is not for this request; else empty
};

// RequestArrival is a request received by a backend server.
struct RequestArrival {
  std::string Id;
  std::string Server;
  Seconds ArrivedAt = 0;
  bool Ran = false; // false: the server refused it without running it
};

// AllMachines marks a fault of the store or of every machine.
constexpr std::size_t AllMachines = SIZE_MAX;

// FaultWindow is the time from the injection of a fault to its repair, or to
// the repair of the fault that replaced it.
struct FaultWindow {
  std::string Kind;
  std::size_t Machine = AllMachines;
  Seconds Start = 0;
  Seconds End = 0;
  bool Planned = false;
  bool AffectsStore = false; // the whole store or a path to it
  bool EndsNode = false;     // the node's process exits
  bool ServerOnly = false;   // affects only the machine's backend server
};

// ConfigVersion is a configuration version and when the store acknowledged it:
// first, and each time that the operator wrote it again after a restore of the
// store had lost it.
struct ConfigVersion {
  std::uint32_t Number = 0;
  Seconds AcknowledgedAt = 0;
  std::vector<Seconds> WrittenAgainAt; // ascending
};

// DrainNotice is a backend server's announcement that it is leaving, which its
// node acknowledged.
struct DrainNotice {
  std::string Server;
  std::size_t Machine = 0;
  Seconds AcknowledgedAt = 0;
};

// Observations is everything observed during a run.
struct Observations {
  std::vector<CallerRequest> Requests;
  std::vector<RequestArrival> Arrivals;
  std::vector<FaultWindow> FaultWindows;
  std::vector<ConfigVersion> Versions;
  std::vector<DrainNotice> DrainNotices;
  Seconds PlanStart = 0;
  Seconds AllRepairedAt = 0; // when the last fault was repaired
  Seconds End = 0;
};

// findViolations() returns a line for each violation of a guarantee, but at
// most five lines for each check. Lines about single requests have their ids.
std::vector<std::string> findViolations(const Observations &Run);

} // namespace currantgauge::soak

#endif // CURRANTGAUGE_TESTS_SOAK_VIOLATIONS_H
