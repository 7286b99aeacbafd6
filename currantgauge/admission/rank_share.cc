#include "currantgauge/admission/rank_share.h"

#include <algorithm>
#include <cmath>

namespace currantgauge::admission {
namespace {

// Credit and debt are bounded by this much of a rank's share, and one attempt.
constexpr base::Duration CreditSpan = base::milliseconds(500);
constexpr base::Duration UseSpan = base::milliseconds(200);
constexpr base::Duration LongUseSpan = base::seconds(5);
// More urgent work that holds this much of a slot gets one to itself, if the
// other work takes more than LongWork times as long.
constexpr double ReservingUse = 0.02;
constexpr std::int64_t LongWork = 2;
constexpr std::uint32_t LeastSlotsToReserve = 3;
constexpr double LeastSlots = 0.05;
constexpr base::Duration NoGuarantee = base::minutes(60);

double guaranteed(const ServiceQueue &Queue, const RankQueue &Rank) {
  return Rank.Share.Value / 100 * Queue.OpenSlots;
}

double creditLimit(const ServiceQueue &Queue, const RankQueue &Rank) {
  base::Duration Longest;
  for (const auto &[Kind, Mean] : Queue.ServiceTimes)
    Longest = std::max(Longest, Mean);
  return guaranteed(Queue, Rank) * static_cast<double>(CreditSpan.Micros) +
         static_cast<double>(Longest.Micros);
}

} // namespace

void advanceShares(ServiceQueue &Queue, base::TimePoint Now) {
  auto Elapsed = static_cast<double>((Now - Queue.AdvancedAt).Micros);
  if (Elapsed <= 0)
    return;
  Queue.AdvancedAt = Now;
  double Fresh = 1 - std::exp(-Elapsed / static_cast<double>(UseSpan.Micros));
  double LongFresh =
      1 - std::exp(-Elapsed / static_cast<double>(LongUseSpan.Micros));
  for (auto &[Order, Rank] : Queue.ByRank) {
    double Limit = creditLimit(Queue, Rank);
    Rank.Credit = std::clamp(Rank.Credit + guaranteed(Queue, Rank) * Elapsed,
                             -Limit, Limit);
    Rank.SlotUse += (Rank.Running - Rank.SlotUse) * Fresh;
    Rank.LongTermSlotUse += (Rank.Running - Rank.LongTermSlotUse) * LongFresh;
  }
}

// A slot is not taken back from work that runs. So long work leaves a slot free
// for each more urgent rank of short work that keeps coming.
bool canTakeSlot(const ServiceQueue &Queue, std::uint32_t RankOrder) {
  if (Queue.OpenSlots < LeastSlotsToReserve)
    return true;
  base::Duration Own = Queue.ByRank.at(RankOrder).MeanServiceTime;
  std::uint32_t Reserved = 0;
  std::uint32_t Running = 0; // of this rank and less urgent ones
  for (const auto &[Order, Rank] : Queue.ByRank) {
    if (Order >= RankOrder)
      Running += Rank.Running;
    else if (Rank.LongTermSlotUse >= ReservingUse &&
             Rank.MeanServiceTime * LongWork < Own)
      ++Reserved;
  }
  return Running < std::max(Queue.OpenSlots, Reserved + 1) - Reserved;
}

// Credit is earned over time because a server has few slots: a tenth of four
// slots is one slot for a tenth of the time.
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
  double Left = Queue.OpenSlots;
  double Own = 0;
  for (const auto &[Order, Rank] : Queue.ByRank) {
    if (Order == RankOrder)
      Own = guaranteed(Queue, Rank);
    else if (Order < RankOrder)
      Left -= Rank.SlotUse;
    else
      Left -= std::min(Rank.SlotUse, guaranteed(Queue, Rank));
  }
  return std::max({Left, Own, LeastSlots});
}

base::Duration nextSlotWait(const ServiceQueue &Queue) {
  std::uint32_t Running = 0;
  base::Duration Times;
  for (const auto &[Order, Rank] : Queue.ByRank) {
    Running += Rank.Running;
    Times += Rank.RunningWork;
  }
  if (Running == 0 || Running < Queue.OpenSlots)
    return {};
  return Times / Running / Running;
}

base::Duration guaranteedWait(const ServiceQueue &Queue, const RankQueue &Rank,
                              base::Duration Work) {
  double Slots = guaranteed(Queue, Rank);
  if (Slots <= 0)
    return NoGuarantee;
  double Owed = static_cast<double>(Work.Micros) - Rank.Credit;
  return base::Duration{static_cast<std::int64_t>(std::max(0.0, Owed) / Slots)};
}

} // namespace currantgauge::admission
