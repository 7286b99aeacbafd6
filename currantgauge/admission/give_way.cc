#include "currantgauge/admission/give_way.h"

#include <cstdint>

namespace currantgauge::admission {
namespace {

// A sender that pauses for a retransmission has not stopped.
constexpr base::Duration MinStandstill = base::milliseconds(500);
// A refusal later than that leaves a caller little time to go elsewhere.
constexpr base::Duration MaxMemoryWait = base::milliseconds(500);

// Returns bytes times microseconds; zero if the input may not give way.
std::uint64_t burdenOf(const PartialInput &Input, base::TimePoint Now) {
  base::Duration Standstill = Now - Input.ProgressAt;
  if (Input.AwaitsMemory || Input.GivesWay || !Input.CanYield ||
      Standstill < MinStandstill)
    return 0;
  return Input.Held.Bytes * static_cast<std::uint64_t>(Standstill.Micros);
}

std::uint64_t sumOfReleases(const std::vector<PartialInput> &Inputs) {
  std::uint64_t Sum = 0;
  for (const PartialInput &Input : Inputs)
    Sum += Input.GivesWay && Input.CanYield ? Input.Held.Bytes : 0;
  return Sum;
}

} // namespace

bool hasWaitedTooLong(base::Duration Waited) { return Waited >= MaxMemoryWait; }

ShortageDecision decideShortage(const std::vector<PartialInput> &Inputs,
                                const MemoryShortage &Shortage,
                                base::TimePoint Now) {
  if (hasWaitedTooLong(Shortage.Waited))
    return {ShortageStep::Refuse, 0};
  if (sumOfReleases(Inputs) >= Shortage.Needed.Bytes)
    return {ShortageStep::Wait, 0};
  std::uint64_t Largest = 0;
  std::size_t Victim = 0;
  for (std::size_t I = 0; I < Inputs.size(); ++I)
    if (std::uint64_t Burden = burdenOf(Inputs[I], Now); Burden > Largest) {
      Largest = Burden;
      Victim = I;
    }
  if (Largest > 0)
    return {ShortageStep::GiveWay, Victim};
  // Requests in service release their memory soon. Callers that all wait for
  // each other's would not.
  bool IsReleased = Shortage.InService >= Shortage.Needed;
  return {IsReleased ? ShortageStep::Wait : ShortageStep::Refuse, 0};
}

} // namespace currantgauge::admission
