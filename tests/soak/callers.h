// Callers of a soak run. Each sends requests to the node of one machine over a
// connection that it keeps open as long as the node does, and records the
// results.
//
//   CallerPool Callers(Machines, 3, Seed);
//   std::vector<CallerRequest> Requests = stopCallers(Callers);
#ifndef CURRANTGAUGE_TESTS_SOAK_CALLERS_H
#define CURRANTGAUGE_TESTS_SOAK_CALLERS_H

#include "tests/integration/machines.h"
#include "tests/soak/violations.h"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <thread>
#include <vector>

namespace currantgauge::soak {

// now() returns the time of the steady clock, which all processes on the host
// share.
Seconds now();

// CallerPool runs one thread per caller until it is stopped.
struct CallerPool {
  CallerPool(const integration::MachineFleet &Machines,
             std::size_t CallersPerMachine, std::uint64_t Seed);
  ~CallerPool();
  CallerPool(const CallerPool &) = delete;
  CallerPool &operator=(const CallerPool &) = delete;

  std::atomic<bool> Stopping{false};
  // Some requests are to the route of a random version up to this one.
  std::atomic<std::uint32_t> NewestVersion{1};
  std::mutex Mutex;
  std::vector<CallerRequest> FinishedRequests;
  std::vector<std::thread> Threads;
};

// stopCallers() stops the callers and returns the requests that they recorded.
std::vector<CallerRequest> stopCallers(CallerPool &Pool);

} // namespace currantgauge::soak

#endif // CURRANTGAUGE_TESTS_SOAK_CALLERS_H
