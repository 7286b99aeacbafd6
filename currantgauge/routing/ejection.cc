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

void moveTo(Update &Step, const Member &One, Standing To, StandingWhy Why) {
  ServerStanding &Place = *One.Place;
  StandingChange Change{One.Server->Record.Name, Place.Where, To, Why,
                        One.Candidate.Suspicion};
  Step.Changes.push_back(Change);
  Place.Where = To;
  Place.Why = Why;
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
  moveTo(Step, One, Standing::Ejected, StandingWhy::Suspicious);
  // Entries that ejected together should not all come back together.
  double Jitter = 1 + HoldOffJitter * (2 * base::uniformUnit(Step.Source) - 1);
  Place.Until = Step.Now + base::scale(Place.HoldOff, Jitter);
}

void startSlowly(Update &Step, const Member &One, StandingWhy Why) {
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
  bool Fresh =
      Place.HeardAt > base::TimePoint{} && Now - Place.HeardAt < HeardMemory;
  return std::max(Server.Record.Suspicion, Fresh ? Place.Heard : 0.0);
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
        Place.HeardAt == base::TimePoint{} || Now - Place.HeardAt >= PeerMemory)
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
  return Step.Now - Place.SickSince >= PeerPatience;
}

void forgetOldEjections(const Update &Step, ServerStanding &Place) {
  if (Place.RecentEjections > 0 &&
      Step.Now - Place.Since > Place.HoldOff * RecentHoldOffs)
    Place.RecentEjections = 0;
}

// Where the passing of time and of trials alone moves a server.
void advance(Update &Step, const Member &One) {
  ServerStanding &Place = *One.Place;
  if (Place.Life != One.Server->Record.Life) {
    bool Back = Place.Where != Standing::In;
    Place.Life = One.Server->Record.Life;
    if (Back)
      moveTo(Step, One, Standing::In, StandingWhy::Restarted);
  }
  bool Sick = One.Candidate.Suspicion >= SickLevel;
  switch (Place.Where) {
  case Standing::Ejected:
    if (Step.Now >= Place.Until && !Sick)
      moveTo(Step, One, Standing::Trial, StandingWhy::HoldOffOver);
    return;
  case Standing::Trial:
    if (Place.TrialsPassed >= TrialsToReturn && !Sick)
      startSlowly(Step, One, StandingWhy::TrialsPassed);
    else if (Place.TrialsPassed == 0 && Place.Trial.Sequence == 0 &&
             Step.Now - Place.Since > TrialPatience)
      startSlowly(Step, One, StandingWhy::NoTrials);
    return;
  case Standing::SlowStart:
    if (Step.Now >= Place.Until)
      moveTo(Step, One, Standing::In, StandingWhy::Healthy);
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
  Place.SickSince = Sick ? std::min(Place.SickSince, Step.Now) : base::Never;
  if (isOut(Place)
          ? Alone
          : Sick && Alone && !Step.ServiceSlow && arePeersWell(Step, Place))
    return true;
  if (isOut(Place)) {
    if (Place.RecentEjections > 0)
      --Place.RecentEjections;
    moveTo(Step, One, Standing::In, StandingWhy::WholeService);
  } else if (Sick) {
    Place.Why = StandingWhy::WholeService;
  }
  return false;
}

void place(Update &Step, const Member &One, bool Out) {
  ServerStanding &Place = *One.Place;
  if (Out) {
    bool SickInTrial =
        Place.Where == Standing::Trial &&
        (Place.TrialFailed || One.Candidate.Suspicion >= SickLevel);
    if (!isOut(Place) || SickInTrial)
      eject(Step, One);
    return;
  }
  if (isOut(Place))
    moveTo(Step, One, Standing::In, StandingWhy::Floor);
  else if (One.Candidate.Sick)
    Place.Why = StandingWhy::Floor;
  else if (One.Candidate.Suspicion < SickLevel && Place.Where == Standing::In)
    Place.Why = StandingWhy::Healthy;
}

void countSlots(RoutingSet &Set, const std::vector<Member> &Members) {
  Set.AnnouncedSlots = 0;
  Set.HealthySlots = 0;
  for (const Member &One : Members) {
    Set.AnnouncedSlots += One.Candidate.Slots;
    if (One.Candidate.TakesWork && !isOut(*One.Place))
      Set.HealthySlots += One.Candidate.Slots;
  }
}

base::TimePoint nextUpdate(const std::vector<Member> &Members,
                           base::TimePoint Now) {
  base::TimePoint Next = base::Never;
  for (const Member &One : Members) {
    const ServerStanding &Place = *One.Place;
    if (Place.Where == Standing::Trial)
      Next = std::min(Next, Place.Since + TrialPatience);
    else if (Place.Where != Standing::In && Place.Until > Now)
      Next = std::min(Next, Place.Until);
    else if (Place.Where == Standing::In &&
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
    One.Candidate.Sick = isSick(Step, One);
    Candidates.push_back(One.Candidate);
    // A server that is out and no longer suspect goes before new ones, so that
    // a set at its floor does not change with every update.
    if (isOut(*One.Place))
      Candidates.back().Suspicion += 2 * SickLevel;
  }
  std::vector<bool> Out = selectEjected(Candidates, Settings.Floor);
  for (std::size_t I = 0; I < Members.size(); ++I)
    place(Step, Members[I], Out[I]);
  countSlots(Set, Members);
  indexRoutingSet(State, Set);
  Set.KnownServers = State.ByService[Service].size();
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
         Set->second.KnownServers != Known->second.size();
}

void markStale(RoutingState &State, const base::ServiceName &Service) {
  if (auto Set = State.Sets.find(Service); Set != State.Sets.end())
    Set->second.Stale = true;
}

void indexRoutingSet(const RoutingState &State, RoutingSet &Set) {
  Set.Here.clear();
  Set.There.clear();
  Set.Out.clear();
  for (const auto &[Name, Place] : Set.Servers) {
    auto Server = State.Servers.find(Name);
    if (Server == State.Servers.end())
      continue;
    if (isOut(Place))
      Set.Out.push_back(Name);
    else if (Server->second.Record.Region == State.Region)
      Set.Here.push_back(Name);
    else
      Set.There.push_back(Name);
  }
}

void noteHeard(RoutingSet &Set, const base::BackendName &Server, double Level,
               base::TimePoint Now) {
  auto Found = Set.Servers.find(Server);
  if (Found == Set.Servers.end())
    return;
  Found->second.Heard = Level;
  Found->second.HeardAt = Now;
  Set.Stale = Set.Stale || Level >= SickLevel;
}

void noteTrial(RoutingSet &Set, const base::BackendName &Server,
               base::AttemptId Attempt, TrialEnd How) {
  auto Found = Set.Servers.find(Server);
  if (Found == Set.Servers.end() || Found->second.Trial != Attempt)
    return;
  Set.Stale = true;
  ServerStanding &Place = Found->second;
  Place.Trial = base::AttemptId();
  if (How == TrialEnd::Passed)
    ++Place.TrialsPassed;
  Place.TrialFailed = How == TrialEnd::Failed;
}

} // namespace currantgauge::routing
