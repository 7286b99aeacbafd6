// Carrying a plan out: faults begin and are mended from outside the programs,
// by signals, proxies and the stand-ins' own orders.
//
//   startFault(Run, Plan[0]);
//   mendDue(Run);
#ifndef CURRANTGAUGE_TESTS_SOAK_FAULTS_H
#define CURRANTGAUGE_TESTS_SOAK_FAULTS_H

#include "tests/integration/machines.h"
#include "tests/soak/plan.h"
#include "tests/soak/seen.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace currantgauge::soak {

// Part is what a fault holds. A later fault of the same part takes over: the
// earlier one's mending does nothing any more.
struct Part {
  std::uint64_t Turn = 0;
  std::vector<std::size_t> Open; // troubles that end when it is mended
};

// Host is a machine with its parts.
struct Host {
  Part Node;
  Part Server;
  Part PeerPath;
  Part StorePath;
  std::uint32_t Life = 1; // of the server
  std::string Port;       // of the server, for good
  Seconds StopSince = 0;
};

// Mending is due at a time.
struct Mending {
  Seconds At = 0;
  FaultKind Kind = FaultKind::NodeKill;
  std::size_t Machine = 0;
  std::uint64_t Turn = 0;
};

// Soak is a run under way.
struct Soak {
  integration::MachineFleet All;
  std::vector<Host> Hosts;
  Part Store;
  std::vector<Mending> Mendings;
  Seen Found;
  std::vector<std::string> Records; // files of the servers' lives
};

// serviceOf() is the service of a machine's backend server.
std::string serviceOf(std::size_t Index);

// serverFlags() are the flags of a server's life, whose record is read at the
// end.
std::vector<std::string> serverFlags(Soak &Run, const std::string &Name);

// serverName() is the name of a machine's backend server in one of its lives.
std::string serverName(std::size_t Index, std::uint32_t Life);

// writeVersion() writes the next version, which adds a route of its own.
void writeVersion(Soak &Run);

integration::NodeProcess &nodeAt(Soak &Run, std::size_t Index);
integration::ServerProcess &serverAt(Soak &Run, std::size_t Index);

// startFault() begins a fault and plans its mending.
void startFault(Soak &Run, const Fault &One);

// mendDue() mends what is due.
void mendDue(Soak &Run);

} // namespace currantgauge::soak

#endif // CURRANTGAUGE_TESTS_SOAK_FAULTS_H
