// Assignment of slots to ranks: of the ranks with waiting attempts, the most
// urgent one with credit left from its guaranteed share goes first, else the
// most urgent one. A rank that has to leave the free slots to others is
// skipped.
//
//   advanceShares(Queue, Now);
//   RankQueue *Next = chooseRank(Queue);
#ifndef CURRANTGAUGE_ADMISSION_RANK_SHARE_H
#define CURRANTGAUGE_ADMISSION_RANK_SHARE_H

#include "currantgauge/admission/state.h"
#include "currantgauge/base/units.h"

#include <cstdint>

namespace currantgauge::admission {

// advanceShares() updates the credit and the slot use of every rank up to Now.
void advanceShares(ServiceQueue &Queue, base::TimePoint Now);

// canTakeSlot() returns false if a rank has to leave the free slots to shorter,
// more urgent work.
bool canTakeSlot(const ServiceQueue &Queue, std::uint32_t RankOrder);

// chooseRank() returns the rank to serve next, null if no waiting rank may take
// a slot.
RankQueue *chooseRank(ServiceQueue &Queue);

// noteSlotTaken() charges a rank for the expected time in a slot.
void noteSlotTaken(RankQueue &Rank, base::Duration Expected);

// noteSlotReleased() corrects that charge to the time used.
void noteSlotReleased(RankQueue &Rank, base::Duration Expected,
                      base::Duration Used);

// availableSlots() returns the average number of slots available to a rank:
// those that the other ranks leave, or its guaranteed share if that is more.
// Less urgent ranks are counted with at most their guaranteed shares.
double availableSlots(const ServiceQueue &Queue, std::uint32_t RankOrder);

// nextSlotWait() returns the expected time until a running attempt ends, zero
// while a slot is free.
base::Duration nextSlotWait(const ServiceQueue &Queue);

// guaranteedWait() returns the time in which a rank's guaranteed share serves
// Work that is queued ahead, a very long time for a rank without a share.
base::Duration guaranteedWait(const ServiceQueue &Queue, const RankQueue &Rank,
                              base::Duration Work);

} // namespace currantgauge::admission

#endif // CURRANTGAUGE_ADMISSION_RANK_SHARE_H
