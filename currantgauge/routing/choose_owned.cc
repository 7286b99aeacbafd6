#include "currantgauge/routing/choose_owned.h"

#include "currantgauge/routing/slots.h"

#include <algorithm>

namespace currantgauge::routing {
namespace {

double computeLoad(const BackendServer &Server) {
  return static_cast<double>(Server.Running) /
         std::max<std::uint32_t>(Server.Record.Slots, 1);
}

const SpellPrior &findSpellPrior(const RoutingState &State,
                                 const base::ServiceName &Service) {
  static const SpellPrior Default;
  auto It = State.SpellPriors.find(Service);
  return It == State.SpellPriors.end() ? Default : It->second;
}

// A repeat should not fail again: what remains of the request's attempts and
// time is better spent on a server that isn't suspected.
bool mayAdmitInSpell(const RoutingState &State, const ChoiceQuery &Query,
                     const base::BackendName &Name) {
  auto Belief = State.Spells.find(Name);
  return Belief == State.Spells.end() ||
         admitsAttempt(
             Belief->second, findSpellPrior(State, Query.Service),
             {Query.Idempotent && !Query.Repeated, Query.HasAlternative},
             Query.Now);
}

base::Duration computeAdmitDelay(const RoutingState &State,
                                 const ChoiceQuery &Query,
                                 const base::BackendName &Name) {
  auto Breaker = State.Breakers.find(Name);
  base::Duration Delay = Breaker == State.Breakers.end()
                             ? base::Duration{}
                             : computeRetryDelay(Breaker->second, Query.Now);
  // Other attempts than trials may be returned by the next owner as well, so
  // that their entry soon asks this one again.
  auto Belief = State.Spells.find(Name);
  if (Query.Idempotent && Belief != State.Spells.end())
    Delay = std::max(Delay, computeTrialDelay(Belief->second, Query.Now));
  return Delay;
}

bool mayAdmit(const RoutingState &State, const ChoiceQuery &Query,
              const base::BackendName &Name) {
  if (State.UnevenServers && !mayAdmitInSpell(State, Query, Name))
    return false;
  auto Breaker = State.Breakers.find(Name);
  if (Breaker == State.Breakers.end())
    return true;
  return wouldAdmit(Breaker->second, Query.Idempotent, Query.Now) &&
         !(Query.AvoidsDoubt && isDoubtful(Breaker->second, Query.Now));
}

} // namespace

bool canOwnedServerAdmit(const RoutingState &State, const ChoiceQuery &Query,
                         base::Duration &ShortestDelay) {
  bool AnyReady = false;
  for (const base::BackendName &Name : State.Owned) {
    const BackendServer &Server = State.Servers.at(Name);
    if (Server.Record.Service != Query.Service || !acceptsWork(Server))
      continue;
    if (mayAdmit(State, Query, Name))
      return true;
    base::Duration Delay = computeAdmitDelay(State, Query, Name);
    ShortestDelay = AnyReady ? std::min(ShortestDelay, Delay) : Delay;
    AnyReady = true;
  }
  return !AnyReady;
}

void noteOwnedAdmitted(RoutingState &State, const BackendServer &Server,
                       const ChoiceQuery &Query) {
  const base::BackendName &Name = Server.Record.Name;
  if (State.UnevenServers)
    noteAdmitted(State.Spells[Name], findSpellPrior(State, Query.Service),
                 Query.Now);
  tryAdmit(State.Breakers[Name], Query.Idempotent, Query.Now);
}

BackendServer *chooseOwnedServer(RoutingState &State, const ChoiceQuery &Query,
                                 const base::BackendName &Preferred) {
  // An owner has few servers, while ByService may list many of other owners.
  BackendServer *LeastLoaded = nullptr;
  for (const base::BackendName &Name : State.Owned) {
    BackendServer &Server = State.Servers.at(Name);
    if (Server.Record.Service != Query.Service || !acceptsWork(Server) ||
        Server.Record.Owner != State.Self ||
        Server.Running >= countOpenSlots(Server, Query.Now) ||
        !mayAdmit(State, Query, Name))
      continue;
    if (Name == Preferred)
      return &Server;
    if (!LeastLoaded || computeLoad(Server) < computeLoad(*LeastLoaded))
      LeastLoaded = &Server;
  }
  return LeastLoaded;
}

} // namespace currantgauge::routing
