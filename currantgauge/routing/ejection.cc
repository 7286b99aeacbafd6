#include "currantgauge/routing/ejection.h"

#include "currantgauge/routing/floor.h"
#include "currantgauge/routing/state.h"

#include <algorithm>

namespace currantgauge::routing {
namespace {

// Suspicion of a server that is to go, and of the median of its peers from
// which on the service as a whole is slow.
constexpr double SickLevel = 1;
constexpr double ServiceLevel = 0.25;
// Requests that a slow service left hanging weigh on some servers for longer.
constexpr base::Duration ServiceSlowMemory = base::seconds(10);
// What came with an answer counts for this long.
constexpr base::Duration HeardMemory = base::seconds(2);
// A new ejection needs fresh word of the peers: one in PeerShare of them, and
// two at least, have answered within PeerMemory, and three in four of these are
// well. When all servers stop or slow down at once, the first to look sick is
// only a little ahead of its peers. Without word it waits for their records.
constexpr double WellLevel = 0.1;
constexpr base::Duration PeerMemory = base::milliseconds(250);
constexpr base::Duration PeerPatience = base::milliseconds(300);
constexpr std::size_t PeerShare = 4;
constexpr std::size_t LeastPeers = 2;
constexpr base::Duration RecheckInterval = base::milliseconds(100);
constexpr std::uint32_t TrialsToReturn = 3;
constexpr base::Duration TrialPatience = base::seconds(10);
constexpr base::Duration ShortestSlowStart = base::seconds(2);
constexpr std::uint32_t DoublingLimit = 16;
constexpr double HoldOffJitter = 0.1; // of the hold-off
// Ejections are recent until a server was in the set for this many hold-offs.
constexpr std::int64_t RecentHoldOffs = 10;

// Member is an announced server of the service during an update.
struct Member {
  const BackendServer *Server = nullptr;
  ServerStanding *Place = nullptr;
  EjectionCandidate Candidate;
};

// PeerWord counts the servers that are not sick and have answered lately.
struct PeerWord {
  std::size_t Peers = 0; // of any server
  std::size_t Heard = 0;
  std::size_t Well = 0;
};

struct Update {
  const config::ServiceSettings &Settings;
  base::Random &Source;
  base::TimePoint Now;
  bool ServiceSlow = false;
  PeerWord Word;
  std::vector<StandingChange> Changes;
};

void moveTo(Update &Step, const Member &One, Standing To, StandingReason Why) {
  ServerStanding &Place = *One.Place;
  StandingChange Change{One.Server->Record.Name, Place.Current, To, Why,
                        One.Candidate.Suspicion};
  Step.Changes.push_back(Change);
  Place.Current = To;
  Place.Reason = Why;
  Place.Since = Step.Now;
  Place.TrialsPassed = 0;
  Place.Trial = base::AttemptId();
  Place.TrialFailed = false;
}

void eject(Update &Step, const Member &One) {
  ServerStanding &Place = *One.Place;
  std::uint32_t Doublings = std::min(Place.RecentEjections++, DoublingLimit);
  Place.HoldOff =
      std::min(Step.Settings.HoldOff * (std::int64_t{1} << Doublings),
               Step.Settings.HoldOffLimit);
  moveTo(Step, One, Standing::Ejected, StandingReason::Suspicious);
  // Entries that ejected together should not all come back together.
  double Jitter = 1 + HoldOffJitter * (2 * base::uniformUnit(Step.Source) - 1);
  Place.Until = Step.Now + base::scaled(Place.HoldOff, Jitter);
}

void startSlowly(Update &Step, const Member &One, StandingReason Why) {
  moveTo(Step, One, Standing::SlowStart, Why);
  One.Place->Until =
      Step.Now + std::max(One.Server->Record.ColdStart, ShortestSlowStart);
}

// Medians of the others come from the sorted list: leaving one out shifts the
// middle by at most one place.
double medianOfOthers(const std::vector<double> &Sorted, double Own) {
  if (Sorted.size() < 2)
    return 0;
  auto OwnAt = static_cast<std::size_t>(
      std::lower_bound(Sorted.begin(), Sorted.end(), Own) - Sorted.begin());
  std::size_t Middle = (Sorted.size() - 1) / 2;
  return Sorted[Middle < OwnAt ? Middle : Middle + 1];
}

// Records tell of strong suspicion alone, answers bring the weak one as well.
double levelOf(const BackendServer &Server, const ServerStanding &Place,
               base::TimePoint Now) {
  bool Fresh = Place.ReportedAt > base::TimePoint{} &&
               Now - Place.ReportedAt < HeardMemory;
  return std::max(Server.Record.Suspicion,
                  Fresh ? Place.ReportedSuspicion : 0.0);
}

std::vector<Member> collect(RoutingState &State, RoutingSet &Set,
                            const base::ServiceName &Service,
                            base::TimePoint Now) {
  std::vector<Member> Members;
  auto Names = State.ByService.find(Service);
  if (Names == State.ByService.end())
    return Members;
  for (const base::BackendName &Name : Names->second) {
    const BackendServer &Server = State.Servers.at(Name);
    if (Server.Record.Phase == BackendPhase::Gone)
      continue;
    // What can't be reached is no capacity that the floor may count on.
    bool Takes = Server.Record.Phase == BackendPhase::Ready &&
                 !Server.Drained &&
                 !isUnreachable(State.Paths, Server.Record.Owner);
    ServerStanding &Place = Set.Servers[Name];
    double Level = levelOf(Server, Place, Now);
    Members.push_back(
        {&Server, &Place, {Server.Record.Slots, Takes, false, Level}});
  }
  if (Set.Servers.size() > Members.size())
    std::erase_if(Set.Servers, [&](const auto &Place) {
      auto Known = State.Servers.find(Place.first);
      return Known == State.Servers.end() ||
             Known->second.Record.Service != Service ||
             Known->second.Record.Phase == BackendPhase::Gone;
    });
  return Members;
}

void comparePeers(RoutingSet &Set, std::vector<Member> &Members,
                  base::TimePoint Now) {
  std::vector<double> Sorted;
  for (const Member &One : Members)
    Sorted.push_back(One.Candidate.Suspicion);
  std::sort(Sorted.begin(), Sorted.end());
  for (Member &One : Members)
    One.Place->PeerSuspicion = medianOfOthers(Sorted, One.Candidate.Suspicion);
  if (Sorted.size() > 2 && Sorted[(Sorted.size() - 1) / 2] >= ServiceLevel)
    Set.ServiceSlowUntil = Now + ServiceSlowMemory;
}

PeerWord collectWord(const std::vector<Member> &Members, base::TimePoint Now) {
  PeerWord Word;
  Word.Peers = std::max<std::size_t>(Members.size(), 1) - 1;
  for (const Member &One : Members) {
    const ServerStanding &Place = *One.Place;
    if (One.Candidate.Suspicion >= SickLevel ||
        Place.ReportedAt == base::TimePoint{} ||
        Now - Place.ReportedAt >= PeerMemory)
      continue;
    ++Word.Heard;
    Word.Well += One.Candidate.Suspicion < WellLevel ? 1 : 0;
  }
  return Word;
}

bool arePeersWell(const Update &Step, const ServerStanding &Place) {
  const PeerWord &Word = Step.Word;
  std::size_t Needed =
      std::min(Word.Peers, std::max(LeastPeers, Word.Peers / PeerShare));
  if (Word.Heard >= Needed)
    return 4 * Word.Well >= 3 * Word.Heard;
  return Step.Now - Place.SuspectSince >= PeerPatience;
}

void forgetOldEjections(const Update &Step, ServerStanding &Place) {
  if (Place.RecentEjections > 0 &&
      Step.Now - Place.Since > Place.HoldOff * RecentHoldOffs)
    Place.RecentEjections = 0;
}

// Where the passing of time and of trials alone moves a server.
void advance(Update &Step, const Member &One) {
  ServerStanding &Place = *One.Place;
  if (Place.Incarnation != One.Server->Record.Incarnation) {
    bool Back = Place.Current != Standing::In;
    Place.Incarnation = One.Server->Record.Incarnation;
    if (Back)
      moveTo(Step, One, Standing::In, StandingReason::Restarted);
  }
  bool Sick = One.Candidate.Suspicion >= SickLevel;
  switch (Place.Current) {
  case Standing::Ejected:
    if (Step.Now >= Place.Until && !Sick)
      moveTo(Step, One, Standing::Trial, StandingReason::HoldOffOver);
    return;
  case Standing::Trial:
    if (Place.TrialsPassed >= TrialsToReturn && !Sick)
      startSlowly(Step, One, StandingReason::TrialsPassed);
    else if (Place.TrialsPassed == 0 && Place.Trial.Sequence == 0 &&
             Step.Now - Place.Since > TrialPatience)
      startSlowly(Step, One, StandingReason::NoTrials);
    return;
  case Standing::SlowStart:
    if (Step.Now >= Place.Until)
      moveTo(Step, One, Standing::In, StandingReason::Healthy);
    return;
  case Standing::In:
    forgetOldEjections(Step, Place);
    return;
  }
}

// An ejected server whose peers turn out as bad comes back at once, and the
// ejection doesn't count.
bool isSick(Update &Step, const Member &One) {
  ServerStanding &Place = *One.Place;
  bool Sick = One.Candidate.Suspicion >= SickLevel;
  bool Alone = Place.PeerSuspicion < ServiceLevel;
  Place.SuspectSince =
      Sick ? std::min(Place.SuspectSince, Step.Now) : base::Never;
  if (isOutOfRotation(Place)
          ? Alone
          : Sick && Alone && !Step.ServiceSlow && arePeersWell(Step, Place))
    return true;
  if (isOutOfRotation(Place)) {
    if (Place.RecentEjections > 0)
      --Place.RecentEjections;
    moveTo(Step, One, Standing::In, StandingReason::WholeService);
  } else if (Sick) {
    Place.Reason = StandingReason::WholeService;
  }
  return false;
}

void place(Update &Step, const Member &One, bool Out) {
  ServerStanding &Place = *One.Place;
  if (Out) {
    bool SickInTrial =
        Place.Current == Standing::Trial &&
        (Place.TrialFailed || One.Candidate.Suspicion >= SickLevel);
    if (!isOutOfRotation(Place) || SickInTrial)
      eject(Step, One);
    return;
  }
  if (isOutOfRotation(Place))
    moveTo(Step, One, Standing::In, StandingReason::Floor);
  else if (One.Candidate.ShouldEject)
    Place.Reason = StandingReason::Floor;
  else if (One.Candidate.Suspicion < SickLevel && Place.Current == Standing::In)
    Place.Reason = StandingReason::Healthy;
}

void countSlots(RoutingSet &Set, const std::vector<Member> &Members) {
  Set.AnnouncedSlots = 0;
  Set.HealthySlots = 0;
  for (const Member &One : Members) {
    Set.AnnouncedSlots += One.Candidate.Slots;
    if (One.Candidate.AcceptsWork && !isOutOfRotation(*One.Place))
      Set.HealthySlots += One.Candidate.Slots;
  }
}

base::TimePoint nextUpdate(const std::vector<Member> &Members,
                           base::TimePoint Now) {
  base::TimePoint Next = base::Never;
  for (const Member &One : Members) {
    const ServerStanding &Place = *One.Place;
    if (Place.Current == Standing::Trial)
      Next = std::min(Next, Place.Since + TrialPatience);
    else if (Place.Current != Standing::In && Place.Until > Now)
      Next = std::min(Next, Place.Until);
    else if (Place.Current == Standing::In &&
             One.Candidate.Suspicion >= SickLevel)
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
  std::vector<Member> Members = collect(State, Set, Service, Now);
  comparePeers(Set, Members, Now);
  Update Step{Settings,
              Source,
              Now,
              Now < Set.ServiceSlowUntil,
              collectWord(Members, Now),
              {}};
  std::vector<EjectionCandidate> Candidates;
  for (Member &One : Members) {
    advance(Step, One);
    One.Candidate.ShouldEject = isSick(Step, One);
    Candidates.push_back(One.Candidate);
    // A server that is out and no longer suspect goes before new ones, so that
    // a set at its floor does not change with every update.
    if (isOutOfRotation(*One.Place))
      Candidates.back().Suspicion += 2 * SickLevel;
  }
  std::vector<bool> Out = selectEjected(Candidates, Settings.Floor);
  for (std::size_t I = 0; I < Members.size(); ++I)
    place(Step, Members[I], Out[I]);
  countSlots(Set, Members);
  indexRoutingSet(State, Set);
  Set.KnownServerCount = State.ByService[Service].size();
  Set.NextUpdate = nextUpdate(Members, Now);
  Set.Stale = false;
  return std::move(Step.Changes);
}

bool needsUpdate(const RoutingState &State, const base::ServiceName &Service,
                 base::TimePoint Now) {
  auto Set = State.Sets.find(Service);
  auto Known = State.ByService.find(Service);
  return Set == State.Sets.end() || Known == State.ByService.end() ||
         Set->second.Stale || Now >= Set->second.NextUpdate ||
         Set->second.KnownServerCount != Known->second.size();
}

void markStale(RoutingState &State, const base::ServiceName &Service) {
  if (auto Set = State.Sets.find(Service); Set != State.Sets.end())
    Set->second.Stale = true;
}

void indexRoutingSet(const RoutingState &State, RoutingSet &Set) {
  Set.SameRegion.clear();
  Set.OtherRegions.clear();
  Set.OutOfRotation.clear();
  for (const auto &[Name, Place] : Set.Servers) {
    auto Server = State.Servers.find(Name);
    if (Server == State.Servers.end())
      continue;
    if (isOutOfRotation(Place))
      Set.OutOfRotation.push_back(Name);
    else if (Server->second.Record.Region == State.Region)
      Set.SameRegion.push_back(Name);
    else
      Set.OtherRegions.push_back(Name);
  }
}

void noteReportedSuspicion(RoutingSet &Set, const base::BackendName &Server,
                           double Level, base::TimePoint Now) {
  auto Found = Set.Servers.find(Server);
  if (Found == Set.Servers.end())
    return;
  Found->second.ReportedSuspicion = Level;
  Found->second.ReportedAt = Now;
  Set.Stale = Set.Stale || Level >= SickLevel;
}

void noteTrialResult(RoutingSet &Set, const base::BackendName &Server,
                     base::AttemptId Attempt, TrialResult How) {
  auto Found = Set.Servers.find(Server);
  if (Found == Set.Servers.end() || Found->second.Trial != Attempt)
    return;
  Set.Stale = true;
  ServerStanding &Place = Found->second;
  Place.Trial = base::AttemptId();
  if (How == TrialResult::Passed)
    ++Place.TrialsPassed;
  Place.TrialFailed = How == TrialResult::Failed;
}

} // namespace currantgauge::routing
