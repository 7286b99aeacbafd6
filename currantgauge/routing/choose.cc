#include "currantgauge/routing/choose.h"

#include "currantgauge/routing/slots.h"

#include <algorithm>

namespace currantgauge::routing {
namespace {

bool takesWork(const BackendServer &Server) {
  return Server.Record.Phase == BackendPhase::Ready && !Server.Drained;
}

bool wasTried(const ChoiceQuery &Query, const base::BackendName &Name) {
  return std::find(Query.Tried.begin(), Query.Tried.end(), Name) !=
         Query.Tried.end();
}

double load(const BackendServer &Server) {
  return static_cast<double>(Server.Running) /
         std::max<std::uint32_t>(Server.Record.Slots, 1);
}

} // namespace

const BackendServer *chooseServer(const RoutingState &State,
                                  const ChoiceQuery &Query,
                                  base::Random &Source) {
  auto Found = State.ByService.find(Query.Service);
  if (Found == State.ByService.end())
    return nullptr;
  std::vector<const BackendServer *> Fresh, Known;
  for (const base::BackendName &Name : Found->second) {
    const BackendServer &Server = State.Servers.at(Name);
    if (!takesWork(Server))
      continue;
    Known.push_back(&Server);
    if (!wasTried(Query, Name))
      Fresh.push_back(&Server);
  }
  const auto &Pool = Fresh.empty() ? Known : Fresh;
  if (Pool.empty())
    return nullptr;
  const BackendServer *A = Pool[base::uniformBelow(Source, Pool.size())];
  const BackendServer *B = Pool[base::uniformBelow(Source, Pool.size())];
  return load(*B) < load(*A) ? B : A;
}

BackendServer *chooseOwnServer(RoutingState &State, const ChoiceQuery &Query,
                               const base::BackendName &Preferred) {
  auto Found = State.ByService.find(Query.Service);
  if (Found == State.ByService.end())
    return nullptr;
  BackendServer *Best = nullptr;
  for (const base::BackendName &Name : Found->second) {
    BackendServer &Server = State.Servers.at(Name);
    if (Server.Record.Owner != State.Self || !takesWork(Server) ||
        Server.Running >= openSlots(Server, Query.Now))
      continue;
    if (Name == Preferred)
      return &Server;
    if (!Best || load(Server) < load(*Best))
      Best = &Server;
  }
  return Best;
}

} // namespace currantgauge::routing
