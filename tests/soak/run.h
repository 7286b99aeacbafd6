// A soak run: a fleet of real processes, callers, and a plan of faults that is
// carried out from outside.
//
//   SoakResult Result = runSoak({.Seed = 7, .Plan = makePlan(7, Length, 5)});
#ifndef CURRANTGAUGE_TESTS_SOAK_RUN_H
#define CURRANTGAUGE_TESTS_SOAK_RUN_H

#include "tests/soak/plan.h"
#include "tests/soak/seen.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace currantgauge::soak {

// SoakOptions is a run.
struct SoakOptions {
  std::uint64_t Seed = 1;   // of the callers
  std::size_t Machines = 5; // each a node, a backend server and two proxies
  std::size_t Callers = 3;  // of each machine
  std::vector<Fault> Plan;
  bool KeepsLogs = false; // also when no promise was broken
};

// SoakResult is what was seen, the promises broken and where the logs are.
struct SoakResult {
  Seen Everything;
  std::vector<std::string> Broken;
  std::string Folder; // empty: removed
};

// runSoak() starts a fleet, runs the plan and ends the fleet. Throws
// std::runtime_error when a process does not start.
SoakResult runSoak(const SoakOptions &Options);

} // namespace currantgauge::soak

#endif // CURRANTGAUGE_TESTS_SOAK_RUN_H
