// Decides what happens when there is no memory for the next bytes of a request:
// which connection gives way, whether to wait, or that the request is refused.
// Answers a crowd of callers that stop short of the end of large requests while
// ordinary callers arrive.
//
//   ShortageDecision Decision = decideShortage(Inputs, Shortage, Now);
//   if (Decision.Step == ShortageStep::GiveWay)
//   refuse(Inputs[Decision.Victim]);
#ifndef CURRANTGAUGE_ADMISSION_GIVE_WAY_H
#define CURRANTGAUGE_ADMISSION_GIVE_WAY_H

#include "currantgauge/base/units.h"

#include <cstddef>
#include <vector>

namespace currantgauge::admission {

// PartialInput is a request of which only a part was received.
struct PartialInput {
  base::ByteCount Held;
  base::TimePoint ProgressAt; // when a part was last received
  bool AwaitsMemory = false;  // the node, not the sender, holds it up
  bool GivesWay = false;      // is about to release what it holds
  bool CanYield = true;       // false: earlier answers have to be sent first
};

// MemoryShortage describes a request that can't be received further.
struct MemoryShortage {
  base::ByteCount Needed;
  base::ByteCount InService; // held for requests that were received whole
  base::Duration Waited;
};

enum class ShortageStep { GiveWay, Wait, Refuse };

// ShortageDecision names the input that gives way, if one does.
struct ShortageDecision {
  ShortageStep Step = ShortageStep::Refuse;
  std::size_t Victim = 0;
};

// hasWaitedTooLong() returns whether a request that still has no memory has to
// be refused, whatever other inputs release.
bool hasWaitedTooLong(base::Duration Waited);

// decideShortage() chooses among inputs that have stood still for a while the
// one with the largest product of memory and standstill.
ShortageDecision decideShortage(const std::vector<PartialInput> &Inputs,
                                const MemoryShortage &Shortage,
                                base::TimePoint Now);

} // namespace currantgauge::admission

#endif // CURRANTGAUGE_ADMISSION_GIVE_WAY_H
