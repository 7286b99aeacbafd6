// Backend server announcements, and the records of backend servers that nodes
// exchange.
//
//   BackendRecord Record = ...;
//   if (Record.Phase == BackendPhase::Leaving) ...
#ifndef CURRANTGAUGE_ROUTING_BACKEND_SERVER_H
#define CURRANTGAUGE_ROUTING_BACKEND_SERVER_H

#include "currantgauge/base/ids.h"
#include "currantgauge/base/units.h"
#include "currantgauge/routing/time_profile.h"

#include <cstdint>
#include <vector>

namespace currantgauge::routing {

// BackendPhase is the lifecycle phase that a backend server announces.
enum class BackendPhase { Ready, Leaving, Gone };

// Announcement is what a backend server sends to a node, which thereby becomes
// its owner.
struct Announcement {
  base::BackendName Name;
  base::ServiceName Service;
  base::NetAddress Address;
  base::Incarnation Incarnation;
  std::uint32_t Slots = 1; // attempts that may run concurrently
  // Gone is the last announcement of a process; it may carry no more than the
  // name.
  BackendPhase Phase = BackendPhase::Ready;
  base::Duration ColdStart;   // remaining time to full speed
  std::uint64_t Sequence = 0; // increases within an incarnation; 0: not set
  // Incarnations of the server are start times in Unix milliseconds.
  bool IncarnationIsStartTime = false;
};

// BackendRecord is the state of a backend server as its owner publishes it to
// the other nodes.
struct BackendRecord {
  base::BackendName Name;
  base::ServiceName Service;
  base::NodeName Owner;
  base::RegionName Region;
  base::DomainName Domain;
  base::NetAddress Address;
  base::Incarnation Incarnation;
  std::uint64_t Revision = 0; // incremented by the owner with each change
  std::uint32_t Slots = 1;
  BackendPhase Phase = BackendPhase::Ready;
  bool Departed = false;    // the server announced Gone; else it may be absent
  base::Duration ColdStart; // as first announced by the incarnation
  double Suspicion = 0;     // published level: 0, 0.5, 0.75 or 1 (alarm)
  double FailShare = 0;     // share of recent exchanges that failed, 0 to 1
  double LateShare = 0;     // same, late: tail bin 1 or later; 0: usual
  std::vector<KindTime> Times; // of the busiest kinds of work only
};

} // namespace currantgauge::routing

#endif // CURRANTGAUGE_ROUTING_BACKEND_SERVER_H
