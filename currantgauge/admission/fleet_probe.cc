#include "currantgauge/admission/fleet_probe.h"

#include <algorithm>
#include <cstddef>

namespace currantgauge::admission {
namespace {

constexpr std::size_t ProbesPerUpdate = 2;
// Longer than the members of a small island need to suspect all others one
// after the other.
constexpr base::Duration LossMemory = base::seconds(5);
// Fewer losses are those of single nodes.
constexpr std::size_t MinLost = 2;
constexpr std::size_t LostFraction = 20; // one in so many

} // namespace

bool isLosingMembers(const FleetRoster &Roster, base::TimePoint Now) {
  std::size_t Lost = 0;
  for (const RosterMember &Member : Roster.Members)
    Lost += !Member.Alive && Now - Member.Since < LossMemory ? 1 : 0;
  std::size_t Most = std::max(Roster.MostAlive, Roster.MostAliveBefore);
  return Lost >= std::max(MinLost, Most / LostFraction);
}

void addProbes(const FleetLimitState &State, base::Random &Random,
               base::TimePoint Now, PermitOutput &Output) {
  const FleetRoster &Roster = State.Roster;
  if (State.Buckets.Buckets.empty() || !isLosingMembers(Roster, Now))
    return;
  for (std::size_t I = 0; I < ProbesPerUpdate; ++I) {
    const RosterMember &Member =
        Roster.Members[base::uniformBelow(Random, Roster.Members.size())];
    if (Member.Alive)
      Output.Messages.push_back(
          {Member.Name, {}, PermitAsk{.Id = {State.Origin, 0}}});
  }
}

} // namespace currantgauge::admission
