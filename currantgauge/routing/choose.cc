#include "currantgauge/routing/choose.h"

#include "currantgauge/admission/pressure.h"
#include "currantgauge/admission/state.h"
#include "currantgauge/routing/slots.h"

#include <algorithm>
#include <cmath>

namespace currantgauge::routing {
namespace {

constexpr std::size_t SampleSize = 3;
// Sets up to this size are compared in full, which takes less time than the hop
// to another node that a better choice saves.
constexpr std::size_t FullScanLimit = 64;
// Costs are in units of load: 1 is as much work as a server has slots.
// Only a suspicion at the alarm level adds cost: a penalty for weaker suspicion
// would divert the requests that the health tests (see evidence.h) need.
constexpr double SuspectCost = 2;
// Added for a server of another owner whose breaker recently refused work: once
// half-open, the breaker admits one request at a time. The server looks idle,
// so that without this cost all entries would send it requests that the breaker
// refuses.
constexpr double RecoveringCost = 0.5;
// Half-life of a reported load: about the duration of a request, after which
// the reported work has ended.
constexpr base::Duration LoadHalfLife = base::milliseconds(300);
constexpr double MinSlowStartShare = 0.1; // of the slots; also for cold starts
// A reported suspicion is halved after this time without another report: a
// spell lasts about two seconds.
constexpr base::Duration SpellHalfLife = base::milliseconds(1500);
// For idempotent work, of a suspicion of 1; SuspectCost for other work.
constexpr double TrialSpellCost = 0.3;
// A server reported above this suspicion is no alternative to another one.
constexpr double MaxFreeSlotSuspicion = 0.3;
// Candidates whose costs differ by less than this share of one attempt count as
// equal: load that is known from reports is older than the difference.
constexpr double NearCostShare = 0.75;
// Costs other than load that differ by less are equal: reported suspicions fade
// but never reach zero.
constexpr double EqualCostMargin = 0.01;

// Candidate is a server that is eligible for the choice.
struct Candidate {
  const BackendServer *Server = nullptr;
  const ServerStanding *Status = nullptr;
};

// BestCandidate is the cheapest candidate so far, and the number of candidates
// that appear to have a free slot.
struct BestCandidate {
  const BackendServer *Server = nullptr;
  double Cost = HUGE_VAL;
  double FixedCost = 0; // the part of Cost that doesn't follow from load
  bool HasFreeSlot = false;
  std::uint32_t WithFreeSlot = 0; // including this one
};

// SearchContext holds the inputs of one choice. SkipAvoided excludes servers
// that were tried, whose breaker would probably refuse the request, or whose
// owner can't be reached reliably.
struct SearchContext {
  const RoutingState &State;
  const RoutingSet &Set;
  const ChoiceQuery &Query;
  bool SkipAvoided = true;
};

bool wasTried(const ChoiceQuery &Query, const base::BackendName &Name) {
  return std::find(Query.Tried.begin(), Query.Tried.end(), Name) !=
         Query.Tried.end();
}

// isRefusalLikely() returns whether the owner's breaker would probably refuse
// the request.
bool isRefusalLikely(const ChoiceQuery &Query, const BackendServer &Server) {
  return Query.Now < Server.AvoidUntil ||
         (!Query.Idempotent && Query.Now < Server.RecoveringUntil);
}

bool canStartTrial(const ChoiceQuery &Query, const ServerStanding &Status) {
  return Query.Idempotent && Query.Tried.empty() &&
         Status.Current == Standing::Trial && Status.Trial.Sequence == 0 &&
         !Status.TrialFailed;
}

// An owner that refuses all requests of the query's rank adds a cost of 1, one
// that refuses a share of them adds that share.
double computeQueueCost(const ChoiceQuery &Query, const BackendServer &Server) {
  if (!Query.Admission)
    return 0;
  return admission::pressureCost(*Query.Admission, Query.Service,
                                 Server.Record.Owner, Query.RankOrder,
                                 Query.Now);
}

double findMeanLoad(const RoutingState &State, const ChoiceQuery &Query) {
  auto Set = State.Sets.find(Query.Service);
  return Set == State.Sets.end() ? 0 : computeMeanLoad(Set->second, Query.Now);
}

// The work of other entries is known only from the load that the owner last
// reported, which is discounted by its age. If this node is the owner, the
// length of its queue for the service is known exactly.
double estimateWork(const ChoiceQuery &Query, const RoutingState &State,
                    const BackendServer &Server) {
  double OwnAttempts = Server.Running;
  if (Server.Record.Owner == State.Self) {
    if (!Query.Admission)
      return OwnAttempts;
    auto Queue = Query.Admission->Queues.find(Query.Service);
    return Queue == Query.Admission->Queues.end()
               ? OwnAttempts
               : OwnAttempts + Queue->second.Length;
  }
  double Age = base::toSeconds(Query.Now - Server.LoadReportedAt);
  double Kept = std::exp2(-Age / base::toSeconds(LoadHalfLife));
  double Reported = Server.ReportedLoad * Server.Record.Slots * Kept;
  // A server without news would look idle to all entries at once.
  if (State.UnevenServers)
    Reported += findMeanLoad(State, Query) * Server.Record.Slots * (1 - Kept);
  return std::max(OwnAttempts, Reported);
}

// estimateLoad() returns a server's load with one more attempt, in multiples of
// its slots. Above 1 the attempt would wait.
double estimateLoad(const RoutingState &State, const ChoiceQuery &Query,
                    const Candidate &Option) {
  return (estimateWork(Query, State, *Option.Server) + 1) /
         computeEffectiveSlots(*Option.Server, Option.Status, Query.Now);
}

// estimateSuspicion() returns the suspicion that the owner reported with the
// last answer, discounted by its age.
double estimateSuspicion(const RoutingState &State, const ChoiceQuery &Query,
                         const ServerStanding &Status) {
  if (!State.UnevenServers || Status.ReportedSuspicion <= 0)
    return 0;
  double Age = base::toSeconds(Query.Now - Status.ReportedAt);
  return Status.ReportedSuspicion *
         std::exp2(-Age / base::toSeconds(SpellHalfLife));
}

// A request that may be repeated avoids a suspected server only among servers
// that cost about the same: the owner decides whether it becomes a trial.
double computeSpellCost(const RoutingState &State, const ChoiceQuery &Query,
                        const ServerStanding &Status) {
  bool MayBeTrial = Query.Idempotent && Query.Tried.empty();
  return estimateSuspicion(State, Query, Status) *
         (MayBeTrial ? TrialSpellCost : SuspectCost);
}

bool hasFreeSlot(const RoutingState &State, const ChoiceQuery &Query,
                 const Candidate &Option, double Load) {
  return Load <= 1 &&
         estimateSuspicion(State, Query, *Option.Status) < MaxFreeSlotSuspicion;
}

// computeFixedCost() returns the cost that doesn't follow from load.
double computeFixedCost(const RoutingState &State, const ChoiceQuery &Query,
                        const Candidate &Option) {
  const BackendServer &Server = *Option.Server;
  double Cost = computeSpellCost(State, Query, *Option.Status);
  if (Server.Record.Suspicion >= 1)
    Cost += SuspectCost;
  if (Server.Record.Owner != State.Self) {
    Cost += Query.Placement.OtherNodeCost;
    Cost += Query.Now < Server.RecoveringUntil ? RecoveringCost : 0;
  }
  if (Server.Record.Domain != State.Domain)
    Cost += Query.Placement.OtherDomainCost;
  return Cost;
}

// The names in the routing set may be slightly out of date, so that the server
// may no longer exist or accept work.
Candidate findCandidate(const SearchContext &Context,
                        const base::BackendName &Name) {
  auto Server = Context.State.Servers.find(Name);
  auto Status = Context.Set.Servers.find(Name);
  if (Server == Context.State.Servers.end() ||
      Status == Context.Set.Servers.end() || !acceptsWork(Server->second))
    return {};
  bool Avoided = wasTried(Context.Query, Name) ||
                 isRefusalLikely(Context.Query, Server->second) ||
                 isPathBad(Context.State.Paths, Server->second.Record.Owner,
                           Context.Query.Now);
  if (Context.SkipAvoided && Avoided)
    return {};
  return {&Server->second, &Status->second};
}

// consider() makes the named server the best one if it is eligible and cheaper.
// assess() returns a server with its cost, none if it isn't eligible.
BestCandidate assess(const SearchContext &Context,
                     const base::BackendName &Name) {
  Candidate Option = findCandidate(Context, Name);
  if (!Option.Server)
    return {};
  double Load = estimateLoad(Context.State, Context.Query, Option);
  double FixedCost = computeFixedCost(Context.State, Context.Query, Option);
  double Cost =
      Load + computeQueueCost(Context.Query, *Option.Server) + FixedCost;
  return {Option.Server, Cost, FixedCost,
          hasFreeSlot(Context.State, Context.Query, Option, Load)};
}

void consider(const SearchContext &Context, const base::BackendName &Name,
              BestCandidate &Best) {
  BestCandidate Next = assess(Context, Name);
  Next.WithFreeSlot = Best.WithFreeSlot + (Next.HasFreeSlot ? 1 : 0);
  if (Next.Cost < Best.Cost)
    Best = Next;
  Best.WithFreeSlot = Next.WithFreeSlot;
}

bool hasOtherWithFreeSlot(const BestCandidate &Best) {
  return Best.WithFreeSlot > (Best.HasFreeSlot ? 1 : 0);
}

// spreadOverNear() replaces the best candidate by a random one of those that
// cost about the same and differ in load alone. All entries would send their
// next requests to the same server otherwise.
void spreadOverNear(const SearchContext &Context,
                    const std::vector<base::BackendName> &Names,
                    base::Random &Source, BestCandidate &Best) {
  double Limit = Best.Cost + NearCostShare / std::max<std::uint32_t>(
                                                 Best.Server->Record.Slots, 1);
  double BestFixedCost = Best.FixedCost;
  std::uint64_t Found = 0;
  for (const base::BackendName &Name : Names) {
    BestCandidate Next = assess(Context, Name);
    if (!Next.Server)
      continue;
    bool Near = Next.Cost <= Limit &&
                Next.Server->Record.Region == Best.Server->Record.Region &&
                std::abs(Next.FixedCost - BestFixedCost) < EqualCostMargin;
    if (!Near || base::uniformBelow(Source, ++Found) != 0)
      continue;
    Next.WithFreeSlot = Best.WithFreeSlot;
    Best = Next;
  }
}

// Large sets are sampled at random; all servers are considered only if none of
// the sample is eligible.
BestCandidate findBest(const SearchContext &Context,
                       const std::vector<base::BackendName> &Names,
                       base::Random &Source) {
  BestCandidate Best;
  if (Names.size() > FullScanLimit)
    for (std::size_t I = 0; I < SampleSize; ++I)
      consider(Context, Names[base::uniformBelow(Source, Names.size())], Best);
  if (Best.Server)
    return Best;
  for (const base::BackendName &Name : Names)
    consider(Context, Name, Best);
  if (Context.State.UnevenServers && Best.Server)
    spreadOverNear(Context, Names, Source, Best);
  return Best;
}

// While servers of this region are eligible, trials of servers in other regions
// are left to the entries there.
const BackendServer *findTrial(const SearchContext &Context,
                               bool RegionServes) {
  for (const base::BackendName &Name : Context.Set.OutOfRotation) {
    Candidate Option = findCandidate(Context, Name);
    if (!Option.Server || !canStartTrial(Context.Query, *Option.Status))
      continue;
    if (!RegionServes || Option.Server->Record.Region == Context.State.Region)
      return Option.Server;
  }
  return nullptr;
}

// chooseLastResort() considers even tried servers, bad paths and servers out of
// rotation.
Choice chooseLastResort(SearchContext Context, base::Random &Source) {
  Context.SkipAvoided = false;
  for (const auto *Names : {&Context.Set.SameRegion, &Context.Set.OtherRegions,
                            &Context.Set.OutOfRotation})
    if (BestCandidate Best = findBest(Context, *Names, Source); Best.Server)
      return {Best.Server, ChoiceReason::LastResort};
  return {};
}

// A request crosses to a cheaper server of another region only if the best one
// of its own region costs as much as a full server (1), another domain and the
// link together. The request's worth divides the cost of the link.
bool isCrossRegionWorthwhile(const ChoiceQuery &Query,
                             const BestCandidate &Local,
                             const BestCandidate &Remote) {
  double LinkCost =
      Query.Placement.OtherRegionCost / std::max(Query.Worth, 1e-3);
  return Remote.Server &&
         Local.Cost >= 1 + Query.Placement.OtherDomainCost + LinkCost &&
         Local.Cost > Remote.Cost;
}

} // namespace

std::string_view choiceReasonName(ChoiceReason Reason) {
  switch (Reason) {
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

bool acceptsWork(const BackendServer &Server) {
  return Server.Record.Phase == BackendPhase::Ready && !Server.Drained;
}

double computeEffectiveSlots(const BackendServer &Server,
                             const ServerStanding *Status,
                             base::TimePoint Now) {
  double Slots = std::max<std::uint32_t>(Server.Record.Slots, 1);
  double Share = 1;
  if (base::Duration Cold = Server.Record.ColdStart; Cold > base::Duration{})
    Share = base::toSeconds(Now - Server.ReadySince) / base::toSeconds(Cold);
  if (Status && Status->Current == Standing::SlowStart && Status->Until > Now)
    Share = std::min(Share, base::toSeconds(Now - Status->Since) /
                                base::toSeconds(Status->Until - Status->Since));
  return Slots * std::clamp(Share, MinSlowStartShare, 1.0);
}

Choice chooseServer(const RoutingState &State, const ChoiceQuery &Query,
                    base::Random &Source) {
  auto Set = State.Sets.find(Query.Service);
  if (Set == State.Sets.end())
    return {};
  SearchContext Context{State, Set->second, Query};
  BestCandidate Local = findBest(Context, Set->second.SameRegion, Source);
  if (const BackendServer *Trial = findTrial(Context, Local.Server != nullptr))
    return {Trial, ChoiceReason::Trial};
  BestCandidate Remote;
  if (!Local.Server || Local.Cost > 1)
    Remote = findBest(Context, Set->second.OtherRegions, Source);
  if (Local.Server && !isCrossRegionWorthwhile(Query, Local, Remote))
    return {Local.Server, ChoiceReason::Local, Local.HasFreeSlot,
            hasOtherWithFreeSlot(Local)};
  if (Remote.Server)
    return {Remote.Server, ChoiceReason::Spill, Remote.HasFreeSlot,
            hasOtherWithFreeSlot(Local)};
  return chooseLastResort(Context, Source);
}

} // namespace currantgauge::routing
