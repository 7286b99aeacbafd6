// A process that exceeds its memory, and the requests of other clients that end
// with it.
//
//   MemoryWatch Watch;
//   watchMemory(Bench, Machines, Watch);
//   Lost += useConnection(Bench, Machines.Nodes[0], Machines.Servers[0], End);
#ifndef REVIEW_LAB_MEMORY_H
#define REVIEW_LAB_MEMORY_H

#include "review/lab/lab.h"

namespace currantgauge::review {

constexpr long MemoryMb = 260; // "memoryMb" of the sites' machines

struct MemoryWatch {
  std::atomic<bool> Ended{false}; // a process was killed
  std::atomic<long> PeakMb{0};    // of any node
};

// watchMemory() plays the platform's part: it kills the first node that uses
// more than MemoryMb. It never returns to watch again.
void watchMemory(Lab &Bench, const Fleet &Machines, MemoryWatch &Watch);

// useConnection() sends orders on a kept connection of Entry, one after the
// other, until End or until the connection closes. It returns the number of
// orders, at most one, that Server began to run and whose connection closed
// without an answer.
int useConnection(Lab &Bench, const Node &Entry, Target &Server,
                  Clock::time_point End);

} // namespace currantgauge::review

#endif // REVIEW_LAB_MEMORY_H
