// Which rank gets the next slot: first a rank that is owed some of its
// guaranteed share, then the most urgent one that waits.
//
//   advanceShares(Queue, Now);
//   RankQueue *Next = chooseRank(Queue);
#ifndef CURRANTGAUGE_ADMISSION_RANK_SHARE_H
#define CURRANTGAUGE_ADMISSION_RANK_SHARE_H

#include "currantgauge/admission/state.h"
#include "currantgauge/base/units.h"

#include <cstdint>

namespace currantgauge::admission {

// advanceShares() counts credit and use of every rank up to Now.
void advanceShares(ServiceQueue &Queue, base::TimePoint Now);

// canTakeSlot() says whether work of a rank may take a free slot, or has to
// leave the last one to more urgent work.
bool canTakeSlot(const ServiceQueue &Queue, std::uint32_t RankOrder);

// chooseRank() returns the rank to serve next, null when nothing waits.
RankQueue *chooseRank(ServiceQueue &Queue);

// noteSlotTaken() charges a rank that got a slot for the slot time expected.
void noteSlotTaken(RankQueue &Rank, base::Duration Expected);

// noteSlotReleased() corrects that charge by what was used.
void noteSlotReleased(RankQueue &Rank, base::Duration Expected,
                      base::Duration Used);

// availableSlots() returns how many slots a rank can count on, as an average:
// what the others leave, or its guaranteed share when that is more.
double availableSlots(const ServiceQueue &Queue, std::uint32_t RankOrder);

// nextSlotWait() returns when one of the running attempts is likely to end;
// zero while a slot is free.
base::Duration nextSlotWait(const ServiceQueue &Queue);

// guaranteedWait() returns when a rank's guaranteed share has served Work that
// waits in front; a very long time for a rank without a share.
base::Duration guaranteedWait(const ServiceQueue &Queue, const RankQueue &Rank,
                              base::Duration Work);

} // namespace currantgauge::admission

#endif // CURRANTGAUGE_ADMISSION_RANK_SHARE_H
