// Injects and repairs the faults of a plan from outside the processes under
// test: by signals, fault proxies and control commands of the stand-ins.
//
//   startFault(Run, Plan[0]);
//   runDueRepairs(Run);
#ifndef CURRANTGAUGE_TESTS_SOAK_FAULTS_H
#define CURRANTGAUGE_TESTS_SOAK_FAULTS_H

#include "tests/integration/machines.h"
#include "tests/soak/plan.h"
#include "tests/soak/violations.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace currantgauge::soak {

// FaultTarget is a component that faults are injected into. A later fault of
// the same target replaces the earlier one, whose scheduled repair then has no
// effect.
struct FaultTarget {
  std::uint64_t Generation = 0; // number of faults injected so far
  // Indexes into Observations::FaultWindows. The next repair ends them all.
  std::vector<std::size_t> OpenWindows;
};

// MachineState is the state of a machine and its fault targets.
struct MachineState {
  FaultTarget Node;
  FaultTarget Server;
  FaultTarget PeerPath;
  FaultTarget StorePath;
  std::uint32_t ServerIncarnation = 1; // counts its starts
  std::string ServerHost;              // kept across restarts, as ServerPort
  std::string ServerPort;
  Seconds NodeStopTime = 0;
};

// ScheduledRepair ends a fault at DueTime or soon after, unless a later fault
// has changed the target's Generation.
struct ScheduledRepair {
  Seconds DueTime = 0;
  FaultKind Kind = FaultKind::NodeKill;
  std::size_t Machine = 0;
  std::uint64_t Generation = 0;
};

// SoakRun is the state of a run in progress.
struct SoakRun {
  integration::MachineFleet Machines;
  std::vector<MachineState> MachineStates;
  FaultTarget Store;
  bool StoreAway = false;
  // The oldest version that a restore of the store has lost and that has not
  // been written again; 0: none.
  std::uint32_t OldestLostVersion = 0;
  std::vector<ScheduledRepair> PendingRepairs;
  Observations Observed;
  std::vector<std::string> RecordPaths; // one file per server incarnation
};

// serviceOf() returns the service of a machine's backend server.
std::string serviceOf(std::size_t Index);

// serverFlags() returns the command-line flags of a server incarnation, and
// adds the record file that they name to RecordPaths.
std::vector<std::string> serverFlags(SoakRun &Run, const std::string &Name);

// serverName() returns the name of an incarnation of a machine's backend
// server.
std::string serverName(std::size_t Index, std::uint32_t Incarnation);

// writeNextVersion() writes the next configuration version, which adds one
// route, and records when the store acknowledged it. Its document contains the
// routes of lost versions, which so count as written again.
void writeNextVersion(SoakRun &Run);

integration::NodeProcess &nodeAt(SoakRun &Run, std::size_t Index);
integration::ServerProcess &serverAt(SoakRun &Run, std::size_t Index);

// startFault() injects a fault, opens its windows and schedules its repair. A
// configuration change or late heartbeat has neither window nor repair.
void startFault(SoakRun &Run, const Fault &Entry);

// runDueRepairs() runs the repairs whose time has come, and keeps those that
// can't be done yet. Writes lost versions again unless the store is away.
void runDueRepairs(SoakRun &Run);

} // namespace currantgauge::soak

#endif // CURRANTGAUGE_TESTS_SOAK_FAULTS_H
