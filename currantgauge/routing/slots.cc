#include "currantgauge/routing/slots.h"

#include <algorithm>

namespace currantgauge::routing {
namespace {

constexpr base::Duration MinPause = base::milliseconds(100);
constexpr base::Duration MaxPause = base::seconds(30);
// Time after a pause in which the slots are reopened.
constexpr base::Duration RecoveryDuration = base::seconds(1);

// rampSlots() opens one slot immediately and the others linearly over
// RampDuration.
std::uint32_t rampSlots(std::uint32_t Slots, base::Duration Elapsed,
                        base::Duration RampDuration) {
  if (Elapsed >= RampDuration)
    return Slots;
  auto Opened = static_cast<std::uint32_t>(
      base::toSeconds(Elapsed) / base::toSeconds(RampDuration) * Slots);
  return std::min(Slots, std::max<std::uint32_t>(Opened, 1));
}

} // namespace

std::uint32_t countOpenSlots(const BackendServer &Server, base::TimePoint Now) {
  if (Now < Server.PausedUntil)
    return 0;
  std::uint32_t Slots = Server.Record.Slots;
  std::uint32_t Warm =
      rampSlots(Slots, Now - Server.ReadySince, Server.Record.ColdStart);
  if (Server.PausedUntil == base::TimePoint{})
    return Warm;
  return std::min(Warm,
                  rampSlots(Slots, Now - Server.PausedUntil, RecoveryDuration));
}

base::TimePoint pauseServer(BackendServer &Server, base::Duration RetryAfter,
                            base::TimePoint Now) {
  base::TimePoint Until = Now + std::clamp(RetryAfter, MinPause, MaxPause);
  Server.PausedUntil = std::max(Server.PausedUntil, Until);
  return Server.PausedUntil;
}

OwnedSlots countOwnedSlots(const RoutingState &State,
                           const base::ServiceName &Service,
                           base::TimePoint Now) {
  OwnedSlots Result;
  for (const base::BackendName &Name : State.Owned) {
    const BackendServer &Server = State.Servers.at(Name);
    if (Server.Record.Service != Service || Server.Drained ||
        Server.Record.Phase != BackendPhase::Ready)
      continue;
    ++Result.Servers;
    Result.Open += countOpenSlots(Server, Now);
  }
  return Result;
}

} // namespace currantgauge::routing
