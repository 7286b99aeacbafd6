#include "currantgauge/admission/pressure.h"

#include <algorithm>
#include <cmath>

namespace currantgauge::admission {
namespace {

constexpr base::Duration WindowSpan = base::milliseconds(100);
constexpr base::Duration LongestWindow = base::milliseconds(500);
constexpr std::uint32_t WindowAttempts = 5;
// Entries send this many times what starts, so that the queue does not run dry.
constexpr double Overshoot = 1.3;
constexpr double LeastKeep = 0.02;
constexpr double PressedRefusals = 0.05; // share of a window
constexpr base::Duration PressureSpan = base::seconds(1);
constexpr base::Duration HalfLife = base::milliseconds(500);
constexpr base::Duration KnownFor = base::seconds(5);

// The share that entries may send follows what of it was started.
void rollWindow(RankQueue &Rank, base::TimePoint Now) {
  RefusalWindow &Window = Rank.Window;
  std::uint32_t All = Window.Started + Window.Refused;
  base::Duration Age = Now - Window.Start;
  if (Age < WindowSpan || (All < WindowAttempts && Age < LongestWindow))
    return;
  double Started = All == 0 ? 1 : static_cast<double>(Window.Started) / All;
  Rank.Keep = std::clamp(Rank.Keep * Overshoot * Started, LeastKeep, 1.0);
  if (Rank.Keep < 1 || 1 - Started > PressedRefusals)
    Rank.PressureEnds = Now + PressureSpan;
  Window = RefusalWindow{Now, 0, 0};
}

} // namespace

bool isLoadRefusal(base::Reason Why) {
  switch (Why) {
  case base::Reason::QueueFull:
  case base::Reason::QueueBytesFull:
  case base::Reason::DeadlineTooShort:
  case base::Reason::DeadlinePassed:
  case base::Reason::ShedByPressure:
    return true;
  default:
    return false;
  }
}

bool isPressed(const RankQueue &Rank, base::TimePoint Now) {
  return Now < Rank.PressureEnds;
}

void noteStarted(RankQueue &Rank, base::TimePoint Now) {
  ++Rank.Window.Started;
  rollWindow(Rank, Now);
}

void noteRefused(AdmissionState &State, const base::ServiceName &Service,
                 std::uint32_t RankOrder, base::TimePoint Now) {
  RankQueue &Rank = State.Queues[Service].ByRank[RankOrder];
  ++Rank.Window.Refused;
  rollWindow(Rank, Now);
}

core::Pressure pressureOf(const AdmissionState &State,
                          const base::ServiceName &Service,
                          std::uint32_t RankOrder) {
  core::Pressure Load;
  Load.Service = Service;
  Load.RefusedOrder = RankOrder;
  auto Queue = State.Queues.find(Service);
  if (Queue == State.Queues.end())
    return Load;
  auto Rank = Queue->second.ByRank.find(RankOrder);
  if (Rank == Queue->second.ByRank.end())
    return Load;
  Load.RefusedShare = 1 - Rank->second.Keep;
  Load.QueueDelay =
      Rank->second.Work / std::max<std::int64_t>(Queue->second.OpenSlots, 1);
  return Load;
}

void notePressure(AdmissionState &State, const core::Pressure &Load,
                  base::TimePoint Now) {
  if (Load.Owner.empty())
    return;
  PressureKey Which{Load.Service, Load.Owner, Load.RefusedOrder};
  if (Load.RefusedShare > 0)
    State.Pressures[Which] = KnownPressure{Load, Now};
  else
    State.Pressures.erase(Which);
}

double pressureCost(const AdmissionState &State,
                    const base::ServiceName &Service,
                    const base::NodeName &Owner, std::uint32_t RankOrder,
                    base::TimePoint Now) {
  auto Found = State.Pressures.find(PressureKey{Service, Owner, RankOrder});
  if (Found == State.Pressures.end())
    return 0;
  base::Duration Age = Now - Found->second.Heard;
  if (Age > KnownFor)
    return 0;
  return Found->second.Load.RefusedShare *
         std::exp2(-base::toSeconds(Age) / base::toSeconds(HalfLife));
}

bool shedsHere(const AdmissionState &State, const base::ServiceName &Service,
               const base::NodeName &Owner, std::uint32_t RankOrder,
               base::TimePoint Now, base::Random &Source) {
  double Share = pressureCost(State, Service, Owner, RankOrder, Now);
  return Share > 0 && base::uniformUnit(Source) < Share;
}

} // namespace currantgauge::admission
