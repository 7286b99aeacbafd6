#include "currantgauge/admission/pressure.h"

#include <algorithm>
#include <cmath>

namespace currantgauge::admission {
namespace {

constexpr base::Duration MinWindow = base::milliseconds(100);
constexpr base::Duration MaxWindow = base::milliseconds(500);
constexpr std::uint32_t MinWindowAttempts = 5;
// Entries may send this multiple of the work that the owner starts, so that the
// queue doesn't run empty.
constexpr double AdmittedFactor = 2.5;
// Exponent that damps each step: entries react with a delay, and full steps in
// every window would oscillate.
constexpr double Damping = 0.4;
constexpr double MinAdmittedShare = 0.005;
constexpr double PressedRefusedShare = 0.05; // of a window's attempts
constexpr base::Duration PressureDuration = base::seconds(5);
// An entry uses a report in full for DecayDelay, then halves it every
// DecayHalfLife, and ignores it after PressureLifetime.
constexpr base::Duration DecayDelay = base::milliseconds(100);
constexpr base::Duration DecayHalfLife = base::seconds(1);
constexpr base::Duration PressureLifetime = base::seconds(5);

// rollWindow() ends the current window, if it is long enough, and updates
// AdmittedShare, the share of the rank's work that entries may send, from the
// share of the window's attempts that were started.
// Without refusals, or with few attempts, AdmittedShare grows with the elapsed
// time instead, so that little traffic doesn't keep it low.
void rollWindow(RankQueue &Rank, base::TimePoint Now) {
  RefusalWindow &Window = Rank.Window;
  std::uint32_t Total = Window.Started + Window.Refused;
  base::Duration Age = Now - Window.StartTime;
  bool TooFew = Window.Refused > 0 && Total < MinWindowAttempts;
  if (Age < MinWindow || (TooFew && Age < MaxWindow))
    return;
  bool Sparse =
      Window.Refused == 0 || MaxWindow * Total < Age * MinWindowAttempts;
  double StartedShare = Sparse ? 1 : (Window.Started + 1.0) / (Total + 1.0);
  double Factor = std::pow(AdmittedFactor * StartedShare, Damping);
  if (Sparse)
    Factor =
        std::pow(Factor, base::toSeconds(Age) / base::toSeconds(MinWindow));
  Rank.AdmittedShare =
      std::clamp(Rank.AdmittedShare * Factor, MinAdmittedShare, 1.0);
  if (Rank.AdmittedShare < 1 || 1 - StartedShare > PressedRefusedShare)
    Rank.PressureEndsAt = Now + PressureDuration;
  Window = RefusalWindow{Now, 0, 0};
}

} // namespace

bool isLoadRefusal(base::Reason Reason) {
  switch (Reason) {
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
  core::Pressure Result;
  Result.Service = Service;
  Result.RankOrder = RankOrder;
  auto Queue = State.Queues.find(Service);
  if (Queue == State.Queues.end())
    return Result;
  std::uint32_t Running = 0;
  for (const auto &[Order, RankLoad] : Queue->second.ByRank)
    Running += RankLoad.Running;
  Result.Busy = static_cast<double>(Running + Queue->second.Length) /
                std::max<std::uint32_t>(Queue->second.OpenSlots, 1);
  auto Rank = Queue->second.ByRank.find(RankOrder);
  if (Rank == Queue->second.ByRank.end())
    return Result;
  Result.RefusedShare = 1 - Rank->second.AdmittedShare;
  Result.QueueDelay = Rank->second.QueuedWork /
                      std::max<std::int64_t>(Queue->second.OpenSlots, 1);
  return Result;
}

void notePressure(AdmissionState &State, const core::Pressure &NewPressure,
                  base::TimePoint Now) {
  if (NewPressure.Owner.empty())
    return;
  PressureKey Key{NewPressure.Service, NewPressure.Owner,
                  NewPressure.RankOrder};
  if (NewPressure.RefusedShare > 0)
    State.RankPressures[Key] = KnownPressure{NewPressure, Now};
  else
    State.RankPressures.erase(Key);
}

double pressureCost(const AdmissionState &State,
                    const base::ServiceName &Service,
                    const base::NodeName &Owner, std::uint32_t RankOrder,
                    base::TimePoint Now) {
  auto It = State.RankPressures.find(PressureKey{Service, Owner, RankOrder});
  if (It == State.RankPressures.end())
    return 0;
  base::Duration Age = Now - It->second.ReceivedAt;
  if (Age > PressureLifetime)
    return 0;
  double Halvings =
      base::toSeconds(std::max(Age - DecayDelay, base::Duration{})) /
      base::toSeconds(DecayHalfLife);
  return It->second.Pressure.RefusedShare * std::exp2(-Halvings);
}

bool shouldShed(const AdmissionState &State, const base::ServiceName &Service,
                const base::NodeName &Owner, std::uint32_t RankOrder,
                base::TimePoint Now, double Draw) {
  return Draw < pressureCost(State, Service, Owner, RankOrder, Now);
}

} // namespace currantgauge::admission
