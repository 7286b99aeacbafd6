// Permits to run requests of a workspace whose rate is limited over all nodes
// together. The entry of a request asks the home of its workspace for a permit.
//
//   PermitAsk Ask{.Id = {Origin, 7}, .Workspace = Workspace, .Count = 1};
#ifndef CURRANTGAUGE_ADMISSION_PERMIT_H
#define CURRANTGAUGE_ADMISSION_PERMIT_H

#include "currantgauge/base/ids.h"
#include "currantgauge/base/units.h"

#include <cstdint>

namespace currantgauge::admission {

// PermitId identifies an ask; repeats of an ask have the same id.
using PermitId = base::UniqueId<struct PermitTag>;

// PermitAsk asks for permits to run Count requests of a workspace.
struct PermitAsk {
  PermitId Id;
  base::WorkspaceName Workspace;
  std::uint32_t Count = 0;        // zero: a probe, which any member answers
  base::NodeName Asker;           // empty: the sender of the message
  base::NetAddress AskerAddress;  // of Asker
  std::uint32_t ForwardCount = 0; // nodes that passed the ask on
};

// PermitAnswer answers an ask. The requests that got no permit should return
// after RetryAfter, each RetryStep later than the one before.
struct PermitAnswer {
  PermitId Id;
  std::uint32_t Granted = 0; // at most PermitAsk::Count
  base::Duration RetryAfter;
  base::Duration RetryStep;
};

} // namespace currantgauge::admission

#endif // CURRANTGAUGE_ADMISSION_PERMIT_H
