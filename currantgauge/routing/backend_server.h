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

// Announcement is what a backend server sends to the node that owns it.
struct Announcement {
  base::BackendName Name;
  base::ServiceName Service;
  base::NetAddress Address;
  base::Incarnation Incarnation;
  std::uint32_t Slots = 1;
  // Gone is the last announcement of a process; Service, Address and Slots are
  // not set then.
  BackendPhase Phase = BackendPhase::Ready;
  base::Duration ColdStart;   // time to full speed after a start
  std::uint64_t Sequence = 0; // increases within an incarnation; 0: not set
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
  base::Duration ColdStart;
  double Suspicion = 0; // by the owner: 0 (healthy) to 1 (eject)
  double FailShare = 0; // share of recent exchanges that failed, 0 to 1
  double LateShare = 0; // share of recent exchanges in tail bin 1 or later
  std::vector<KindTime> Times; // usual times of the busiest kinds only
};

} // namespace currantgauge::routing

#endif // CURRANTGAUGE_ROUTING_BACKEND_SERVER_H
