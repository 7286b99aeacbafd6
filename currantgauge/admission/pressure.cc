#include "currantgauge/admission/pressure.h"

#include <algorithm>
#include <cmath>

namespace currantgauge::admission {
namespace {

constexpr base::Duration WindowSpan = base::milliseconds(100);
constexpr base::Duration LongestWindow = base::milliseconds(500);
constexpr std::uint32_t WindowAttempts = 5;
// Entries send this many times what starts, so that the queue does not run dry.
constexpr double Overshoot = 2.5;
// Entries follow with a delay: a full step each window would swing.
constexpr double Damping = 0.4;
constexpr double LeastKeep = 0.005;
constexpr double PressedRefusals = 0.05; // share of a window
constexpr base::Duration PressureSpan = base::seconds(5);
constexpr base::Duration FreshFor = base::milliseconds(100);
constexpr base::Duration HalfLife = base::seconds(1);
constexpr base::Duration KnownFor = base::seconds(5);

// The share that entries may send follows what of it was started. It grows by
// the time passed when there was little to count: few attempts must not hold it
// down.
void rollWindow(RankQueue &Rank, base::TimePoint Now) {
  RefusalWindow &Window = Rank.Window;
  std::uint32_t All = Window.Started + Window.Refused;
  base::Duration Age = Now - Window.StartTime;
  bool Few = Window.Refused > 0 && All < WindowAttempts;
  if (Age < WindowSpan || (Few && Age < LongestWindow))
    return;
  bool Thin = Window.Refused == 0 || LongestWindow * All < Age * WindowAttempts;
  double Started = Thin ? 1 : (Window.Started + 1.0) / (All + 1.0);
  double Step = std::pow(Overshoot * Started, Damping);
  if (Thin)
    Step = std::pow(Step, base::toSeconds(Age) / base::toSeconds(WindowSpan));
  Rank.AdmittedShare = std::clamp(Rank.AdmittedShare * Step, LeastKeep, 1.0);
  if (Rank.AdmittedShare < 1 || 1 - Started > PressedRefusals)
    Rank.PressureEndsAt = Now + PressureSpan;
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
  return Now < Rank.PressureEndsAt;
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
  std::uint32_t Running = 0;
  for (const auto &[Order, Each] : Queue->second.ByRank)
    Running += Each.Running;
  Load.Busy = static_cast<double>(Running + Queue->second.Length) /
              std::max<std::uint32_t>(Queue->second.OpenSlots, 1);
  auto Rank = Queue->second.ByRank.find(RankOrder);
  if (Rank == Queue->second.ByRank.end())
    return Load;
  Load.RefusedShare = 1 - Rank->second.AdmittedShare;
  Load.QueueDelay = Rank->second.QueuedWork /
                    std::max<std::int64_t>(Queue->second.OpenSlots, 1);
  return Load;
}

void notePressure(AdmissionState &State, const core::Pressure &Load,
                  base::TimePoint Now) {
  if (Load.Owner.empty())
    return;
  PressureKey Which{Load.Service, Load.Owner, Load.RefusedOrder};
  if (Load.RefusedShare > 0)
    State.RankPressures[Which] = KnownPressure{Load, Now};
  else
    State.RankPressures.erase(Which);
}

double pressureCost(const AdmissionState &State,
                    const base::ServiceName &Service,
                    const base::NodeName &Owner, std::uint32_t RankOrder,
                    base::TimePoint Now) {
  auto Found = State.RankPressures.find(PressureKey{Service, Owner, RankOrder});
  if (Found == State.RankPressures.end())
    return 0;
  base::Duration Age = Now - Found->second.ReceivedAt;
  if (Age > KnownFor)
    return 0;
  double Halvings =
      base::toSeconds(std::max(Age - FreshFor, base::Duration{})) /
      base::toSeconds(HalfLife);
  return Found->second.Pressure.RefusedShare * std::exp2(-Halvings);
}

bool shouldShed(const AdmissionState &State, const base::ServiceName &Service,
                const base::NodeName &Owner, std::uint32_t RankOrder,
                base::TimePoint Now, double Draw) {
  return Draw < pressureCost(State, Service, Owner, RankOrder, Now);
}

} // namespace currantgauge::admission
