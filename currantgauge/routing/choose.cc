#include "currantgauge/routing/choose.h"

#include "currantgauge/admission/pressure.h"
#include "currantgauge/admission/state.h"
#include "currantgauge/routing/slots.h"

#include <algorithm>
#include <cmath>

namespace currantgauge::routing {
namespace {

constexpr std::size_t SampleSize = 3;
// Up to so many servers all are compared: that takes less than the hop it
// saves.
constexpr std::size_t WholeSize = 64;
// Costs are in loads: 1 is as much work as a server has slots.
// Only proven sickness costs: less would starve the test of evidence.
constexpr double SickCost = 2;
// A server whose owner refused work a moment ago takes single trials alone. It
// looks idle, and every entry would send it work to be refused.
constexpr double UnprovenCost = 0.5;
// About the time of a request: what ran then has ended.
constexpr base::Duration BusyHalfLife = base::milliseconds(300);
constexpr double SlowStartFloor = 0.1; // of the slots

// Candidate is a server that may be chosen.
struct Candidate {
  const BackendServer *Server = nullptr;
  const ServerStanding *Place = nullptr;
};

// Best is the cheapest candidate seen, and how many seem to have a free slot.
struct Best {
  const BackendServer *Server = nullptr;
  double Cost = HUGE_VAL;
  bool HasRoom = false;
  std::uint32_t WithRoom = 0; // this one included
};

// Search is a choice on its way. Avoid: leave out tried servers and bad paths.
struct Search {
  const RoutingState &State;
  const RoutingSet &Set;
  const ChoiceQuery &Query;
  bool Avoid = true;
};

bool takesWork(const BackendServer &Server) {
  return Server.Record.Phase == BackendPhase::Ready && !Server.Drained;
}

bool wasTried(const ChoiceQuery &Query, const base::BackendName &Name) {
  return std::find(Query.Tried.begin(), Query.Tried.end(), Name) !=
         Query.Tried.end();
}

// The owner's breaker would refuse the request.
bool isSuspect(const ChoiceQuery &Query, const BackendServer &Server) {
  return Query.Now < Server.AvoidUntil ||
         (!Query.Idempotent && Query.Now < Server.TrialUntil);
}

double load(const BackendServer &Server) {
  return static_cast<double>(Server.Running) /
         std::max<std::uint32_t>(Server.Record.Slots, 1);
}

bool wantsTrial(const ChoiceQuery &Query, const ServerStanding &Place) {
  return Query.Idempotent && Query.Tried.empty() &&
         Place.Current == Standing::Trial && Place.Trial.Sequence == 0 &&
         !Place.TrialFailed;
}

// An owner that refuses part of the rank costs as much as one more full load.
double queueCost(const ChoiceQuery &Query, const BackendServer &Server) {
  if (!Query.Pressure)
    return 0;
  return admission::pressureCost(*Query.Pressure, Query.Service,
                                 Server.Record.Owner, Query.RankOrder,
                                 Query.Now);
}

// Work of other entries shows only in what the owner last said, which is worth
// less with its age. The own queue is known exactly.
double workAt(const ChoiceQuery &Query, const RoutingState &State,
              const BackendServer &Server) {
  double Own = Server.Running;
  if (Server.Record.Owner == State.Self) {
    if (!Query.Pressure)
      return Own;
    auto Queue = Query.Pressure->Queues.find(Query.Service);
    return Queue == Query.Pressure->Queues.end() ? Own
                                                 : Own + Queue->second.Length;
  }
  double Age = base::toSeconds(Query.Now - Server.LoadReportedAt);
  double Heard = Server.ReportedLoad * Server.Record.Slots *
                 std::exp2(-Age / base::toSeconds(BusyHalfLife));
  return std::max(Own, Heard);
}

// Of a server's slots, with one more attempt; above 1 it would wait.
double loadWith(const RoutingState &State, const ChoiceQuery &Query,
                const Candidate &One) {
  return (workAt(Query, State, *One.Server) + 1) /
         computeEffectiveSlots(*One.Server, One.Place, Query.Now);
}

double costOf(const RoutingState &State, const ChoiceQuery &Query,
              const Candidate &One, double Load) {
  const BackendServer &Server = *One.Server;
  double Cost = Load + queueCost(Query, Server);
  if (Server.Record.Suspicion >= 1)
    Cost += SickCost;
  if (Server.Record.Owner != State.Self) {
    Cost += Query.Placement.OtherNode;
    Cost += Query.Now < Server.TrialUntil ? UnprovenCost : 0;
  }
  if (Server.Record.Domain != State.Domain)
    Cost += Query.Placement.OtherDomain;
  return Cost;
}

// Names may be a little out of date: a server is looked up before it is taken.
Candidate lookUp(const Search &For, const base::BackendName &Name) {
  auto Server = For.State.Servers.find(Name);
  auto Place = For.Set.Servers.find(Name);
  if (Server == For.State.Servers.end() || Place == For.Set.Servers.end() ||
      !takesWork(Server->second))
    return {};
  bool Avoided =
      wasTried(For.Query, Name) || isSuspect(For.Query, Server->second) ||
      isPathBad(For.State.Paths, Server->second.Record.Owner, For.Query.Now);
  if (For.Avoid && Avoided)
    return {};
  return {&Server->second, &Place->second};
}

void consider(const Search &For, const base::BackendName &Name, Best &Found) {
  Candidate One = lookUp(For, Name);
  if (!One.Server)
    return;
  double Load = loadWith(For.State, For.Query, One);
  double Cost = costOf(For.State, For.Query, One, Load);
  Found.WithRoom += Load <= 1 ? 1 : 0;
  if (Cost < Found.Cost)
    Found = Best{One.Server, Cost, Load <= 1, Found.WithRoom};
}

bool othersHaveRoom(const Best &Found) {
  return Found.WithRoom > (Found.HasRoom ? 1 : 0);
}

// A few random ones are enough, all are looked at only if none of them serves.
Best sampleBest(const Search &For, const std::vector<base::BackendName> &Names,
                base::Random &Source) {
  Best Found;
  if (Names.size() > WholeSize)
    for (std::size_t I = 0; I < SampleSize; ++I)
      consider(For, Names[base::uniformBelow(Source, Names.size())], Found);
  if (!Found.Server)
    for (const base::BackendName &Name : Names)
      consider(For, Name, Found);
  return Found;
}

// A far server is left to the trials of its own region while near ones serve.
const BackendServer *findTrial(const Search &For, bool NearServes) {
  for (const base::BackendName &Name : For.Set.OutOfRotation) {
    Candidate One = lookUp(For, Name);
    if (!One.Server || !wantsTrial(For.Query, *One.Place))
      continue;
    if (!NearServes || One.Server->Record.Region == For.State.Region)
      return One.Server;
  }
  return nullptr;
}

// Nothing better is left: a server tried before, a bad path, an ejected one.
Choice lastResort(Search For, base::Random &Source) {
  For.Avoid = false;
  for (const auto *Names :
       {&For.Set.SameRegion, &For.Set.OtherRegions, &For.Set.OutOfRotation})
    if (Best Found = sampleBest(For, *Names, Source); Found.Server)
      return {Found.Server, ChoiceReason::LastResort};
  return {};
}

bool isWorthTheLink(const ChoiceQuery &Query, const Best &Here,
                    const Best &There) {
  double Price = Query.Placement.OtherRegion / std::max(Query.Worth, 1e-3);
  return There.Server && Here.Cost >= 1 + Query.Placement.OtherDomain + Price &&
         Here.Cost > There.Cost;
}

} // namespace

std::string_view choiceReasonName(ChoiceReason Why) {
  switch (Why) {
  case ChoiceReason::Local:
    return "local";
  case ChoiceReason::Spill:
    return "spill";
  case ChoiceReason::Trial:
    return "trial";
  case ChoiceReason::LastResort:
    return "last_resort";
  }
  return "";
}

double computeEffectiveSlots(const BackendServer &Server,
                             const ServerStanding *Place, base::TimePoint Now) {
  double Slots = std::max<std::uint32_t>(Server.Record.Slots, 1);
  double Share = 1;
  if (base::Duration Cold = Server.Record.ColdStart; Cold > base::Duration{})
    Share = base::toSeconds(Now - Server.ReadySince) / base::toSeconds(Cold);
  if (Place && Place->Current == Standing::SlowStart && Place->Until > Now)
    Share = std::min(Share, base::toSeconds(Now - Place->Since) /
                                base::toSeconds(Place->Until - Place->Since));
  return Slots * std::clamp(Share, SlowStartFloor, 1.0);
}

Choice chooseServer(const RoutingState &State, const ChoiceQuery &Query,
                    base::Random &Source) {
  auto Set = State.Sets.find(Query.Service);
  if (Set == State.Sets.end())
    return {};
  Search For{State, Set->second, Query};
  Best Here = sampleBest(For, Set->second.SameRegion, Source);
  if (const BackendServer *Trial = findTrial(For, Here.Server != nullptr))
    return {Trial, ChoiceReason::Trial};
  Best There;
  if (!Here.Server || Here.Cost > 1)
    There = sampleBest(For, Set->second.OtherRegions, Source);
  if (Here.Server && !isWorthTheLink(Query, Here, There))
    return {Here.Server, ChoiceReason::Local, Here.HasRoom,
            othersHaveRoom(Here)};
  if (There.Server)
    return {There.Server, ChoiceReason::Spill, There.HasRoom,
            othersHaveRoom(Here)};
  return lastResort(For, Source);
}

bool canOwnedServerAdmit(const RoutingState &State, const ChoiceQuery &Query,
                         base::Duration &WaitLeast) {
  bool Any = false;
  for (const base::BackendName &Name : State.Owned) {
    const BackendServer &Server = State.Servers.at(Name);
    if (Server.Record.Service != Query.Service || !takesWork(Server))
      continue;
    auto Found = State.Breakers.find(Name);
    if (Found == State.Breakers.end() ||
        wouldAdmit(Found->second, Query.Idempotent, Query.Now))
      return true;
    base::Duration Wait = computeRetryDelay(Found->second, Query.Now);
    WaitLeast = Any ? std::min(WaitLeast, Wait) : Wait;
    Any = true;
  }
  return !Any;
}

BackendServer *chooseOwnedServer(RoutingState &State, const ChoiceQuery &Query,
                                 const base::BackendName &Preferred) {
  // An owner has few servers, a service may have many elsewhere.
  BackendServer *Best = nullptr;
  for (const base::BackendName &Name : State.Owned) {
    BackendServer &Server = State.Servers.at(Name);
    if (Server.Record.Service != Query.Service || !takesWork(Server) ||
        Server.Record.Owner != State.Self ||
        Server.Running >= countOpenSlots(Server, Query.Now) ||
        !wouldAdmit(State.Breakers[Name], Query.Idempotent, Query.Now))
      continue;
    if (Name == Preferred)
      return &Server;
    if (!Best || load(Server) < load(*Best))
      Best = &Server;
  }
  return Best;
}

} // namespace currantgauge::routing
