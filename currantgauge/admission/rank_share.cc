#include "currantgauge/admission/rank_share.h"

#include <algorithm>
#include <cmath>

namespace currantgauge::admission {
namespace {

// A rank's credit and debt are bounded by its share over this time, plus one
// attempt.
constexpr base::Duration CreditWindow = base::milliseconds(500);
constexpr base::Duration SlotUseTimeConstant = base::milliseconds(200);
constexpr base::Duration LongTermSlotUseTimeConstant = base::seconds(5);
// A slot is reserved for a more urgent rank that holds at least this many slots
// on average, if the other work takes more than LongWorkFactor times as long.
constexpr double ReservingSlotUse = 0.02;
constexpr std::int64_t LongWorkFactor = 2;
constexpr std::uint32_t MinSlotsToReserve = 3; // open slots of the service
constexpr double MinAvailableSlots = 0.05;
constexpr base::Duration NoGuaranteeWait = base::minutes(60);

double guaranteedSlots(const ServiceQueue &Queue, const RankQueue &Rank) {
  return Rank.Share.Value / 100 * Queue.OpenSlots;
}

double creditLimit(const ServiceQueue &Queue, const RankQueue &Rank) {
  base::Duration Longest;
  for (const auto &[Kind, Mean] : Queue.ServiceTimes)
    Longest = std::max(Longest, Mean);
  return guaranteedSlots(Queue, Rank) *
             static_cast<double>(CreditWindow.Micros) +
         static_cast<double>(Longest.Micros);
}

} // namespace

void advanceShares(ServiceQueue &Queue, base::TimePoint Now) {
  auto Elapsed = static_cast<double>((Now - Queue.AdvancedAt).Micros);
  if (Elapsed <= 0)
    return;
  Queue.AdvancedAt = Now;
  double Weight =
      1 - std::exp(-Elapsed / static_cast<double>(SlotUseTimeConstant.Micros));
  double LongTermWeight =
      1 - std::exp(-Elapsed /
                   static_cast<double>(LongTermSlotUseTimeConstant.Micros));
  for (auto &[Order, Rank] : Queue.ByRank) {
    double Limit = creditLimit(Queue, Rank);
    Rank.Credit = std::clamp(
        Rank.Credit + guaranteedSlots(Queue, Rank) * Elapsed, -Limit, Limit);
    Rank.SlotUse += (Rank.Running - Rank.SlotUse) * Weight;
    Rank.LongTermSlotUse +=
        (Rank.Running - Rank.LongTermSlotUse) * LongTermWeight;
  }
}

// Running work is not preempted. Long work therefore leaves one slot free for
// each more urgent rank with a steady load of short work.
bool canTakeSlot(const ServiceQueue &Queue, std::uint32_t RankOrder) {
  if (Queue.OpenSlots < MinSlotsToReserve)
    return true;
  base::Duration MeanTime = Queue.ByRank.at(RankOrder).MeanServiceTime;
  std::uint32_t Reserved = 0;
  std::uint32_t RunningAtOrBelow = 0; // of this and less urgent ranks
  for (const auto &[Order, Rank] : Queue.ByRank) {
    if (Order >= RankOrder)
      RunningAtOrBelow += Rank.Running;
    else if (Rank.LongTermSlotUse >= ReservingSlotUse &&
             Rank.MeanServiceTime * LongWorkFactor < MeanTime)
      ++Reserved;
  }
  return RunningAtOrBelow < std::max(Queue.OpenSlots, Reserved + 1) - Reserved;
}

// Guarantees are kept as credit over time because a server has few slots: a
// tenth of four slots is one slot for four tenths of the time.
RankQueue *chooseRank(ServiceQueue &Queue) {
  RankQueue *MostUrgent = nullptr;
  for (auto &[Order, Rank] : Queue.ByRank) {
    if (Rank.Length == 0 || !canTakeSlot(Queue, Order))
      continue;
    if (Rank.Credit > 0)
      return &Rank;
    if (!MostUrgent)
      MostUrgent = &Rank;
  }
  return MostUrgent;
}

void noteSlotTaken(RankQueue &Rank, base::Duration Expected) {
  ++Rank.Running;
  Rank.RunningWork += Expected;
  Rank.Credit -= static_cast<double>(Expected.Micros);
}

void noteSlotReleased(RankQueue &Rank, base::Duration Expected,
                      base::Duration Used) {
  if (Rank.Running > 0)
    --Rank.Running;
  Rank.RunningWork = Rank.RunningWork - Expected;
  Rank.Credit += static_cast<double>((Expected - Used).Micros);
}

double availableSlots(const ServiceQueue &Queue, std::uint32_t RankOrder) {
  double Remaining = Queue.OpenSlots;
  double Guaranteed = 0;
  for (const auto &[Order, Rank] : Queue.ByRank) {
    if (Order == RankOrder)
      Guaranteed = guaranteedSlots(Queue, Rank);
    else if (Order < RankOrder)
      Remaining -= Rank.SlotUse;
    else
      Remaining -= std::min(Rank.SlotUse, guaranteedSlots(Queue, Rank));
  }
  return std::max({Remaining, Guaranteed, MinAvailableSlots});
}

base::Duration nextSlotWait(const ServiceQueue &Queue) {
  std::uint32_t Running = 0;
  base::Duration Work;
  for (const auto &[Order, Rank] : Queue.ByRank) {
    Running += Rank.Running;
    Work += Rank.RunningWork;
  }
  if (Running == 0 || Running < Queue.OpenSlots)
    return {};
  return Work / Running / Running;
}

base::Duration guaranteedWait(const ServiceQueue &Queue, const RankQueue &Rank,
                              base::Duration Work) {
  double Slots = guaranteedSlots(Queue, Rank);
  if (Slots <= 0)
    return NoGuaranteeWait;
  double Uncovered = static_cast<double>(Work.Micros) - Rank.Credit;
  return base::Duration{
      static_cast<std::int64_t>(std::max(0.0, Uncovered) / Slots)};
}

} // namespace currantgauge::admission
