// A backend server as it announces itself and as nodes tell each other of it.
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

// BackendPhase is what a backend server says of itself.
enum class BackendPhase { Ready, Leaving, Gone };

// Announcement is a backend server's word to the node that owns it.
struct Announcement {
  base::BackendName Name;
  base::ServiceName Service;
  base::NetAddress Address;
  base::Incarnation Incarnation;
  std::uint32_t Slots = 1;
  // Gone: it takes no new work and says no more; Service, Address and Slots are
  // then not told.
  BackendPhase Phase = BackendPhase::Ready;
  base::Duration ColdStart;   // time to full speed after a start
  std::uint64_t Sequence = 0; // rises in one life; 0: not told
};

// BackendRecord is what nodes tell each other of a backend server.
struct BackendRecord {
  base::BackendName Name;
  base::ServiceName Service;
  base::NodeName Owner;
  base::RegionName Region;
  base::DomainName Domain;
  base::NetAddress Address;
  base::Incarnation Incarnation;
  std::uint64_t Revision = 0; // rises with each change at the owner
  std::uint32_t Slots = 1;
  BackendPhase Phase = BackendPhase::Ready;
  base::Duration ColdStart;
  double Suspicion = 0;        // owner's evidence, 0 (well) to 1 (sick)
  double FailShare = 0;        // of recent exchanges, 0 to 1
  double LateShare = 0;        // of recent exchanges, beyond the usual tenth
  std::vector<KindTime> Times; // usual times, of the busiest kinds alone
};

} // namespace currantgauge::routing

#endif // CURRANTGAUGE_ROUTING_BACKEND_SERVER_H
