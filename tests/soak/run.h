// Soak runs: start a fleet of real processes with callers, inject the faults of
// a plan and check the guarantees.
//
//   SoakResult Result = runSoak({.Seed = 7, .Plan = makePlan(7, Length, 5)});
#ifndef CURRANTGAUGE_TESTS_SOAK_RUN_H
#define CURRANTGAUGE_TESTS_SOAK_RUN_H

#include "tests/soak/plan.h"
#include "tests/soak/violations.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace currantgauge::soak {

// SoakOptions configures a run.
struct SoakOptions {
  std::uint64_t Seed = 1; // of the callers
  std::size_t MachineCount =
      5; // each has a node, a backend server and two fault proxies
  std::size_t CallersPerMachine = 3;
  std::vector<Fault> Plan; // sorted by start time
  bool KeepLogs = false;   // even if no guarantee was violated
};

// SoakResult holds the observations, the violations and the folder of the logs.
struct SoakResult {
  Observations Observed;
  std::vector<std::string> Violations;
  std::string LogFolder; // empty: the logs were removed
};

// runSoak() starts a fleet, runs the plan, stops the fleet and checks the
// observations. Throws std::runtime_error if the fleet doesn't start or a
// process doesn't restart.
SoakResult runSoak(const SoakOptions &Options);

} // namespace currantgauge::soak

#endif // CURRANTGAUGE_TESTS_SOAK_RUN_H
