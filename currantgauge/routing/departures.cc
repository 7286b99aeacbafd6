#include "currantgauge/routing/departures.h"

#include <algorithm>
#include <cstddef>

namespace currantgauge::routing {
namespace {

// Far longer than an announcement is under way, and than a server that has
// announced its exit goes on serving.
constexpr base::Duration DepartureRetention = base::minutes(10);
constexpr std::size_t MaxDepartures = 10000;

bool isExpired(const Departure &Item, base::TimePoint Now) {
  return Item.ExpiresAt <= Now;
}

// Finds or adds a server's Departure. A full table loses the Departure that
// would expire first.
Departure &findOrAdd(RoutingState &State, const base::BackendName &Name) {
  auto It = State.Departures.find(Name);
  if (It != State.Departures.end())
    return It->second;
  if (State.Departures.size() >= MaxDepartures)
    State.Departures.erase(
        std::min_element(State.Departures.begin(), State.Departures.end(),
                         [](const auto &A, const auto &B) {
                           return A.second.ExpiresAt < B.second.ExpiresAt;
                         }));
  return State.Departures[Name];
}

} // namespace

void noteDeparture(RoutingState &State, const base::BackendName &Name,
                   base::Incarnation Incarnation, BackendPhase Phase,
                   base::TimePoint Now) {
  Departure &Item = findOrAdd(State, Name);
  if (Incarnation < Item.Incarnation)
    return;
  Item.Phase =
      Incarnation == Item.Incarnation ? std::max(Item.Phase, Phase) : Phase;
  Item.Incarnation = Incarnation;
  Item.ExpiresAt = Now + DepartureRetention;
}

BackendPhase departedPhase(const RoutingState &State,
                           const base::BackendName &Name,
                           base::Incarnation Incarnation, base::TimePoint Now) {
  auto It = State.Departures.find(Name);
  if (It == State.Departures.end() || isExpired(It->second, Now) ||
      Incarnation > It->second.Incarnation)
    return BackendPhase::Ready;
  return Incarnation < It->second.Incarnation ? BackendPhase::Gone
                                              : It->second.Phase;
}

void forgetExpiredDepartures(RoutingState &State, base::TimePoint Now) {
  std::erase_if(State.Departures,
                [&](const auto &Item) { return isExpired(Item.second, Now); });
}

} // namespace currantgauge::routing
