#include "currantgauge/routing/choose.h"

#include "currantgauge/routing/slots.h"

#include <algorithm>
#include <cmath>

namespace currantgauge::routing {
namespace {

constexpr std::size_t SampleSize = 3;
// Costs are in loads: 1 is as much work as a server has slots.
constexpr double OtherDomainCost = 0.25;
// Only proven sickness costs: less would starve the test of evidence.
constexpr double SickCost = 2;
constexpr double QueueDelayUnit = 0.05; // seconds of queue that cost 1
// Work of worth 1 leaves the region when every server sampled there costs this
// much more than its slots; work of worth 10 when they are a tenth over.
constexpr double LinkCost = 1;
constexpr double SlowStartFloor = 0.1; // of the slots

// Candidate is a server that may be chosen.
struct Candidate {
  const BackendServer *Server = nullptr;
  const ServerStanding *Place = nullptr;
};

// Pools are a service's servers by how far down the list they come.
struct Pools {
  std::vector<Candidate> Here;  // in the set, own region
  std::vector<Candidate> There; // in the set, other regions
  std::vector<Candidate> Bad;   // in the set, tried before or a bad path
  std::vector<Candidate> Out;   // ejected
  const BackendServer *Trial = nullptr;
};

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

bool isOut(const ServerStanding *Place) {
  return Place &&
         (Place->Where == Standing::Ejected || Place->Where == Standing::Trial);
}

bool wantsTrial(const ChoiceQuery &Query, const ServerStanding *Place) {
  return Query.Idempotent && Query.Tried.empty() && Place &&
         Place->Where == Standing::Trial && Place->Trial.Sequence == 0 &&
         !Place->TrialFailed;
}

Pools sortOut(const RoutingState &State, const ChoiceQuery &Query,
              const std::set<base::BackendName> &Names) {
  Pools Sorted;
  auto Set = State.Sets.find(Query.Service);
  for (const base::BackendName &Name : Names) {
    const BackendServer &Server = State.Servers.at(Name);
    if (!takesWork(Server))
      continue;
    const ServerStanding *Place = nullptr;
    if (Set != State.Sets.end())
      if (auto Found = Set->second.Servers.find(Name);
          Found != Set->second.Servers.end())
        Place = &Found->second;
    bool PathBad = isPathBad(State.Paths, Server.Record.Owner, Query.Now);
    if (isOut(Place)) {
      if (!Sorted.Trial && !PathBad && wantsTrial(Query, Place))
        Sorted.Trial = &Server;
      Sorted.Out.push_back({&Server, Place});
    } else if (PathBad || wasTried(Query, Name)) {
      Sorted.Bad.push_back({&Server, Place});
    } else if (Server.Record.Region == State.Region) {
      Sorted.Here.push_back({&Server, Place});
    } else {
      Sorted.There.push_back({&Server, Place});
    }
  }
  return Sorted;
}

double queueCost(const ChoiceQuery &Query, const BackendServer &Server) {
  if (!Query.Pressures || Query.Pressures->empty())
    return 0;
  auto Found = Query.Pressures->find({Query.Service, Server.Record.Owner});
  if (Found == Query.Pressures->end())
    return 0;
  return base::toSeconds(Found->second.QueueDelay) / QueueDelayUnit +
         Found->second.RefusedShare;
}

double costOf(const RoutingState &State, const ChoiceQuery &Query,
              const Candidate &One) {
  const BackendServer &Server = *One.Server;
  double Cost =
      (Server.Running + 1) / effectiveSlots(Server, One.Place, Query.Now);
  Cost += queueCost(Query, Server);
  if (Server.Record.Suspicion >= 1)
    Cost += SickCost;
  if (Server.Record.Domain != State.Domain)
    Cost += OtherDomainCost;
  return Cost;
}

// Best is the cheapest of a few candidates picked at random.
struct Best {
  const BackendServer *Server = nullptr;
  double Cost = HUGE_VAL;
};

Best sampleBest(const RoutingState &State, const ChoiceQuery &Query,
                std::vector<Candidate> &Pool, base::Random &Source) {
  Best Found;
  for (std::size_t I = 0; I < std::min(SampleSize, Pool.size()); ++I) {
    std::size_t Pick = I + base::uniformBelow(Source, Pool.size() - I);
    std::swap(Pool[I], Pool[Pick]);
    double Cost = costOf(State, Query, Pool[I]);
    if (Cost < Found.Cost)
      Found = Best{Pool[I].Server, Cost};
  }
  return Found;
}

bool isWorthTheLink(const ChoiceQuery &Query, const Best &Here,
                    const Best &There) {
  double Price = LinkCost / std::max(Query.Worth, 1e-3);
  return There.Server && Here.Cost >= 1 + OtherDomainCost + Price &&
         Here.Cost > There.Cost;
}

} // namespace

std::string_view choiceName(ChoiceWhy Why) {
  switch (Why) {
  case ChoiceWhy::Local:
    return "local";
  case ChoiceWhy::Spill:
    return "spill";
  case ChoiceWhy::Trial:
    return "trial";
  case ChoiceWhy::LastResort:
    return "last_resort";
  }
  return "";
}

double effectiveSlots(const BackendServer &Server, const ServerStanding *Place,
                      base::TimePoint Now) {
  double Slots = std::max<std::uint32_t>(Server.Record.Slots, 1);
  double Share = 1;
  if (base::Duration Cold = Server.Record.ColdStart; Cold > base::Duration{})
    Share = base::toSeconds(Now - Server.ReadySince) / base::toSeconds(Cold);
  if (Place && Place->Where == Standing::SlowStart && Place->Until > Now)
    Share = std::min(Share, base::toSeconds(Now - Place->Since) /
                                base::toSeconds(Place->Until - Place->Since));
  return Slots * std::clamp(Share, SlowStartFloor, 1.0);
}

Choice chooseServer(const RoutingState &State, const ChoiceQuery &Query,
                    base::Random &Source) {
  auto Found = State.ByService.find(Query.Service);
  if (Found == State.ByService.end())
    return {};
  Pools Sorted = sortOut(State, Query, Found->second);
  if (Sorted.Trial)
    return {Sorted.Trial, ChoiceWhy::Trial};
  Best Here = sampleBest(State, Query, Sorted.Here, Source);
  Best There;
  if (!Here.Server || Here.Cost > 1)
    There = sampleBest(State, Query, Sorted.There, Source);
  if (Here.Server && !isWorthTheLink(Query, Here, There))
    return {Here.Server, ChoiceWhy::Local};
  if (There.Server)
    return {There.Server, ChoiceWhy::Spill};
  Best Last = sampleBest(State, Query, Sorted.Bad, Source);
  if (!Last.Server)
    Last = sampleBest(State, Query, Sorted.Out, Source);
  return {Last.Server, ChoiceWhy::LastResort};
}

BackendServer *chooseOwnServer(RoutingState &State, const ChoiceQuery &Query,
                               const base::BackendName &Preferred) {
  // An owner has few servers, a service may have many elsewhere.
  BackendServer *Best = nullptr;
  for (const base::BackendName &Name : State.Owned) {
    BackendServer &Server = State.Servers.at(Name);
    if (Server.Record.Service != Query.Service || !takesWork(Server) ||
        Server.Record.Owner != State.Self ||
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
