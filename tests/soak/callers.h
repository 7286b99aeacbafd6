// Callers of a soak run: each stays on one machine, keeps its connection open
// for as long as the node does, and records what it got.
//
//   Callers Asking(All, 3, Seed);
//   std::vector<Request> Got = endCallers(Asking);
#ifndef CURRANTGAUGE_TESTS_SOAK_CALLERS_H
#define CURRANTGAUGE_TESTS_SOAK_CALLERS_H

#include "tests/integration/machines.h"
#include "tests/soak/seen.h"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <thread>
#include <vector>

namespace currantgauge::soak {

// now() is the time of the steady clock, which all processes of the machine
// share.
Seconds now();

// Callers run until they are ended.
struct Callers {
  Callers(const integration::MachineFleet &All, std::size_t PerMachine,
          std::uint64_t Seed);
  ~Callers();
  Callers(const Callers &) = delete;
  Callers &operator=(const Callers &) = delete;

  std::atomic<bool> Stop{false};
  std::atomic<std::uint32_t> Newest{1}; // version whose routes are asked for
  std::mutex Lock;
  std::vector<Request> Done;
  std::vector<std::thread> Threads;
};

// endCallers() stops the callers and returns what they recorded.
std::vector<Request> endCallers(Callers &Some);

} // namespace currantgauge::soak

#endif // CURRANTGAUGE_TESTS_SOAK_CALLERS_H
