#include "currantgauge/routing/ejection.h"

#include "currantgauge/routing/floor.h"
#include "currantgauge/routing/state.h"

#include <algorithm>

namespace currantgauge::routing {
namespace {

// Suspicion from which a server may be ejected, and median suspicion of servers
// from which the service as a whole counts as slow.
constexpr double EjectionLevel = 1;
constexpr double ServiceSlowLevel = 0.25;
// Requests that have been hanging since a slow period of the service keep the
// suspicion of some servers raised after it.
constexpr base::Duration ServiceSlowDuration = base::seconds(10);
// Suspicion reported with an answer is ignored after this time.
constexpr base::Duration ReportMaxAge = base::seconds(2);
// A new ejection requires recent reports from the service's other servers: at
// least one in ServerReportDivisor of them, and no fewer than MinServerReports
// (or all of them, if there are fewer), must have answered within
// ServerReportMaxAge, and at least three in four of these must be healthy.
// When all servers stop or slow down at once, the first to reach the ejection
// level is only slightly ahead of the others. Without enough reports the
// ejection waits for ServerReportTimeout, in which the others' records may
// arrive.
constexpr double HealthyLevel = 0.1; // a report below this is healthy
constexpr base::Duration ServerReportMaxAge = base::milliseconds(250);
constexpr base::Duration ServerReportTimeout = base::milliseconds(300);
constexpr std::size_t ServerReportDivisor = 4;
constexpr std::size_t MinServerReports = 2;
// How often a suspect server that is still in rotation is examined again.
constexpr base::Duration RecheckInterval = base::milliseconds(100);
constexpr std::uint32_t TrialsToReturn = 3; // to be passed
// A server on trial returns without trials if none has passed or is running
// after this time.
constexpr base::Duration TrialTimeout = base::seconds(10);
constexpr base::Duration MinSlowStart = base::seconds(2);
constexpr std::uint32_t MaxDoublings = 16; // of the hold-off
constexpr double HoldOffJitter = 0.1;      // of the hold-off
// Ejections count as recent until the server has been in rotation for this many
// hold-offs.
constexpr std::int64_t RecentHoldOffs = 10;

// ServerView is a server of the service that isn't gone, during an update.
struct ServerView {
  const BackendServer *Server = nullptr;
  ServerStanding *Status = nullptr;
  EjectionCandidate Candidate;
};

// ServerReports counts the servers below the ejection level on which a recent
// report arrived, as a basis for a new ejection.
struct ServerReports {
  std::size_t OtherServers = 0; // of the service, besides the suspect one
  std::size_t Reporting = 0;
  std::size_t Healthy = 0;
};

struct UpdateContext {
  const config::ServiceSettings &Settings;
  base::Random &Source;
  base::TimePoint Now;
  bool ServiceSlow = false;
  ServerReports Reports;
  std::vector<StandingChange> Changes;
};

void changeStanding(UpdateContext &Context, const ServerView &View, Standing To,
                    StandingReason Reason) {
  ServerStanding &Status = *View.Status;
  StandingChange Change{View.Server->Record.Name, Status.Current, To, Reason,
                        View.Candidate.Suspicion};
  Context.Changes.push_back(Change);
  Status.Current = To;
  Status.Reason = Reason;
  Status.Since = Context.Now;
  Status.TrialsPassed = 0;
  Status.Trial = base::AttemptId();
  Status.TrialFailed = false;
}

void eject(UpdateContext &Context, const ServerView &View) {
  ServerStanding &Status = *View.Status;
  std::uint32_t Doublings = std::min(Status.RecentEjections++, MaxDoublings);
  Status.HoldOff =
      std::min(Context.Settings.HoldOff * (std::int64_t{1} << Doublings),
               Context.Settings.HoldOffLimit);
  changeStanding(Context, View, Standing::Ejected, StandingReason::Suspicious);
  // Jitter keeps entries that ejected a server at the same time from retrying
  // it at the same time.
  double Jitter =
      1 + HoldOffJitter * (2 * base::uniformUnit(Context.Source) - 1);
  Status.Until = Context.Now + base::scale(Status.HoldOff, Jitter);
}

void beginSlowStart(UpdateContext &Context, const ServerView &View,
                    StandingReason Reason) {
  changeStanding(Context, View, Standing::SlowStart, Reason);
  View.Status->Until =
      Context.Now + std::max(View.Server->Record.ColdStart, MinSlowStart);
}

// computeMedianOfOthers() returns the median of a sorted list without one of
// its values, whose removal shifts the middle by at most one position.
double computeMedianOfOthers(const std::vector<double> &Sorted,
                             double Excluded) {
  if (Sorted.size() < 2)
    return 0;
  auto ExcludedIndex = static_cast<std::size_t>(
      std::lower_bound(Sorted.begin(), Sorted.end(), Excluded) -
      Sorted.begin());
  std::size_t Middle = (Sorted.size() - 1) / 2;
  return Sorted[Middle < ExcludedIndex ? Middle : Middle + 1];
}

// Records carry only strong suspicion; answers also report weak suspicion.
double computeEffectiveSuspicion(const BackendServer &Server,
                                 const ServerStanding &Status,
                                 base::TimePoint Now) {
  bool Recent = Status.ReportedAt > base::TimePoint{} &&
                Now - Status.ReportedAt < ReportMaxAge;
  return std::max(Server.Record.Suspicion,
                  Recent ? Status.ReportedSuspicion : 0.0);
}

std::vector<ServerView> collectViews(RoutingState &State, RoutingSet &Set,
                                     const base::ServiceName &Service,
                                     base::TimePoint Now) {
  std::vector<ServerView> Views;
  auto Names = State.ByService.find(Service);
  if (Names == State.ByService.end())
    return Views;
  for (const base::BackendName &Name : Names->second) {
    const BackendServer &Server = State.Servers.at(Name);
    if (Server.Record.Phase == BackendPhase::Gone)
      continue;
    // Unreachable servers are no capacity that counts towards the floor.
    bool AcceptsWork = Server.Record.Phase == BackendPhase::Ready &&
                       !Server.Drained &&
                       !isUnreachable(State.Paths, Server.Record.Owner);
    ServerStanding &Status = Set.Servers[Name];
    double Level = computeEffectiveSuspicion(Server, Status, Now);
    Views.push_back(
        {&Server, &Status, {Server.Record.Slots, AcceptsWork, false, Level}});
  }
  if (Set.Servers.size() > Views.size())
    std::erase_if(Set.Servers, [&](const auto &Item) {
      auto It = State.Servers.find(Item.first);
      return It == State.Servers.end() ||
             It->second.Record.Service != Service ||
             It->second.Record.Phase == BackendPhase::Gone;
    });
  return Views;
}

void compareWithOtherServers(RoutingSet &Set, std::vector<ServerView> &Views,
                             base::TimePoint Now) {
  std::vector<double> Sorted;
  for (const ServerView &View : Views)
    Sorted.push_back(View.Candidate.Suspicion);
  std::sort(Sorted.begin(), Sorted.end());
  for (ServerView &View : Views)
    View.Status->OtherServersSuspicion =
        computeMedianOfOthers(Sorted, View.Candidate.Suspicion);
  if (Sorted.size() > 2 && Sorted[(Sorted.size() - 1) / 2] >= ServiceSlowLevel)
    Set.ServiceSlowUntil = Now + ServiceSlowDuration;
}

ServerReports countServerReports(const std::vector<ServerView> &Views,
                                 base::TimePoint Now) {
  ServerReports Reports;
  Reports.OtherServers = std::max<std::size_t>(Views.size(), 1) - 1;
  for (const ServerView &View : Views) {
    const ServerStanding &Status = *View.Status;
    if (View.Candidate.Suspicion >= EjectionLevel ||
        Status.ReportedAt == base::TimePoint{} ||
        Now - Status.ReportedAt >= ServerReportMaxAge)
      continue;
    ++Reports.Reporting;
    Reports.Healthy += View.Candidate.Suspicion < HealthyLevel ? 1 : 0;
  }
  return Reports;
}

bool areOtherServersHealthy(const UpdateContext &Context,
                            const ServerStanding &Status) {
  const ServerReports &Reports = Context.Reports;
  std::size_t Required = std::min(
      Reports.OtherServers,
      std::max(MinServerReports, Reports.OtherServers / ServerReportDivisor));
  if (Reports.Reporting >= Required)
    return 4 * Reports.Healthy >= 3 * Reports.Reporting;
  return Context.Now - Status.SuspectSince >= ServerReportTimeout;
}

void resetOldEjections(const UpdateContext &Context, ServerStanding &Status) {
  if (Status.RecentEjections > 0 &&
      Context.Now - Status.Since > Status.HoldOff * RecentHoldOffs)
    Status.RecentEjections = 0;
}

// advanceStanding() applies the transitions that don't depend on other servers
// or the floor: after elapsed time, trial results and restarts.
void advanceStanding(UpdateContext &Context, const ServerView &View) {
  ServerStanding &Status = *View.Status;
  if (Status.Incarnation != View.Server->Record.Incarnation) {
    bool WasNotIn = Status.Current != Standing::In;
    Status.Incarnation = View.Server->Record.Incarnation;
    if (WasNotIn)
      changeStanding(Context, View, Standing::In, StandingReason::Restarted);
  }
  bool Suspect = View.Candidate.Suspicion >= EjectionLevel;
  switch (Status.Current) {
  case Standing::Ejected:
    if (Context.Now >= Status.Until && !Suspect)
      changeStanding(Context, View, Standing::Trial,
                     StandingReason::HoldOffOver);
    return;
  case Standing::Trial:
    if (Status.TrialsPassed >= TrialsToReturn && !Suspect)
      beginSlowStart(Context, View, StandingReason::TrialsPassed);
    else if (Status.TrialsPassed == 0 && Status.Trial.Sequence == 0 &&
             Context.Now - Status.Since > TrialTimeout)
      beginSlowStart(Context, View, StandingReason::NoTrials);
    return;
  case Standing::SlowStart:
    if (Context.Now >= Status.Until)
      changeStanding(Context, View, Standing::In, StandingReason::Healthy);
    return;
  case Standing::In:
    resetOldEjections(Context, Status);
    return;
  }
}

// shouldBeOut() returns whether a server should be out of rotation. A server
// that is out of rotation returns at once if the service's other servers turn
// out to be affected as well, and its last ejection no longer counts.
bool shouldBeOut(UpdateContext &Context, const ServerView &View) {
  ServerStanding &Status = *View.Status;
  bool Suspect = View.Candidate.Suspicion >= EjectionLevel;
  bool OthersUnaffected = Status.OtherServersSuspicion < ServiceSlowLevel;
  Status.SuspectSince =
      Suspect ? std::min(Status.SuspectSince, Context.Now) : base::Never;
  if (isOutOfRotation(Status)
          ? OthersUnaffected
          : Suspect && OthersUnaffected && !Context.ServiceSlow &&
                areOtherServersHealthy(Context, Status))
    return true;
  if (isOutOfRotation(Status)) {
    if (Status.RecentEjections > 0)
      --Status.RecentEjections;
    changeStanding(Context, View, Standing::In, StandingReason::WholeService);
  } else if (Suspect) {
    Status.Reason = StandingReason::WholeService;
  }
  return false;
}

void applyDecision(UpdateContext &Context, const ServerView &View, bool Out) {
  ServerStanding &Status = *View.Status;
  if (Out) {
    bool FailedTrial =
        Status.Current == Standing::Trial &&
        (Status.TrialFailed || View.Candidate.Suspicion >= EjectionLevel);
    if (!isOutOfRotation(Status) || FailedTrial)
      eject(Context, View);
    return;
  }
  if (isOutOfRotation(Status))
    changeStanding(Context, View, Standing::In, StandingReason::Floor);
  else if (View.Candidate.ShouldEject)
    Status.Reason = StandingReason::Floor;
  else if (View.Candidate.Suspicion < EjectionLevel &&
           Status.Current == Standing::In)
    Status.Reason = StandingReason::Healthy;
}

void countSlots(RoutingSet &Set, const std::vector<ServerView> &Views) {
  Set.AnnouncedSlots = 0;
  Set.HealthySlots = 0;
  for (const ServerView &View : Views) {
    Set.AnnouncedSlots += View.Candidate.Slots;
    if (View.Candidate.AcceptsWork && !isOutOfRotation(*View.Status))
      Set.HealthySlots += View.Candidate.Slots;
  }
}

base::TimePoint computeNextUpdate(const std::vector<ServerView> &Views,
                                  base::TimePoint Now) {
  base::TimePoint Next = base::Never;
  for (const ServerView &View : Views) {
    const ServerStanding &Status = *View.Status;
    if (Status.Current == Standing::Trial)
      Next = std::min(Next, Status.Since + TrialTimeout);
    else if (Status.Current != Standing::In && Status.Until > Now)
      Next = std::min(Next, Status.Until);
    else if (Status.Current == Standing::In &&
             View.Candidate.Suspicion >= EjectionLevel)
      Next = std::min(Next, Now + RecheckInterval);
  }
  return Next;
}

} // namespace

std::vector<StandingChange>
updateRoutingSet(RoutingState &State, const base::ServiceName &Service,
                 const config::ServiceSettings &Settings, base::Random &Source,
                 base::TimePoint Now) {
  RoutingSet &Set = State.Sets[Service];
  std::vector<ServerView> Views = collectViews(State, Set, Service, Now);
  compareWithOtherServers(Set, Views, Now);
  UpdateContext Context{Settings,
                        Source,
                        Now,
                        Now < Set.ServiceSlowUntil,
                        countServerReports(Views, Now),
                        {}};
  std::vector<EjectionCandidate> Candidates;
  for (ServerView &View : Views) {
    advanceStanding(Context, View);
    View.Candidate.ShouldEject = shouldBeOut(Context, View);
    Candidates.push_back(View.Candidate);
    // Servers already out of rotation take precedence over new ones, even if no
    // longer suspect, so that a set at its floor doesn't change with every
    // update.
    if (isOutOfRotation(*View.Status))
      Candidates.back().Suspicion += 2 * EjectionLevel;
  }
  std::vector<bool> Out = selectEjected(Candidates, Settings.Floor);
  for (std::size_t I = 0; I < Views.size(); ++I)
    applyDecision(Context, Views[I], Out[I]);
  countSlots(Set, Views);
  indexRoutingSet(State, Set);
  Set.KnownServerCount = State.ByService[Service].size();
  Set.NextUpdate = computeNextUpdate(Views, Now);
  Set.Stale = false;
  return std::move(Context.Changes);
}

bool needsUpdate(const RoutingState &State, const base::ServiceName &Service,
                 base::TimePoint Now) {
  auto Set = State.Sets.find(Service);
  auto Names = State.ByService.find(Service);
  return Set == State.Sets.end() || Names == State.ByService.end() ||
         Set->second.Stale || Now >= Set->second.NextUpdate ||
         Set->second.KnownServerCount != Names->second.size();
}

void markStale(RoutingState &State, const base::ServiceName &Service) {
  if (auto Set = State.Sets.find(Service); Set != State.Sets.end())
    Set->second.Stale = true;
}

void indexRoutingSet(const RoutingState &State, RoutingSet &Set) {
  Set.SameRegion.clear();
  Set.OtherRegions.clear();
  Set.OutOfRotation.clear();
  for (const auto &[Name, Status] : Set.Servers) {
    auto Server = State.Servers.find(Name);
    if (Server == State.Servers.end())
      continue;
    if (isOutOfRotation(Status))
      Set.OutOfRotation.push_back(Name);
    else if (Server->second.Record.Region == State.Region)
      Set.SameRegion.push_back(Name);
    else
      Set.OtherRegions.push_back(Name);
  }
}

void noteReportedSuspicion(RoutingSet &Set, const base::BackendName &Server,
                           double Level, base::TimePoint Now) {
  auto It = Set.Servers.find(Server);
  if (It == Set.Servers.end())
    return;
  It->second.ReportedSuspicion = Level;
  It->second.ReportedAt = Now;
  Set.Stale = Set.Stale || Level >= EjectionLevel;
}

void noteTrialResult(RoutingSet &Set, const base::BackendName &Server,
                     base::AttemptId Attempt, TrialResult Result) {
  auto It = Set.Servers.find(Server);
  if (It == Set.Servers.end() || It->second.Trial != Attempt)
    return;
  Set.Stale = true;
  ServerStanding &Status = It->second;
  Status.Trial = base::AttemptId();
  if (Result == TrialResult::Passed)
    ++Status.TrialsPassed;
  Status.TrialFailed = Result == TrialResult::Failed;
}

} // namespace currantgauge::routing
