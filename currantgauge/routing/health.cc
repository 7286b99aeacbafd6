#include "currantgauge/routing/health.h"

#include "currantgauge/routing/publish.h"

#include <algorithm>
#include <string>
#include <utility>

namespace currantgauge::routing {
namespace {

// How often a server's time bounds are computed.
constexpr base::Duration BoundsInterval = base::seconds(1);
constexpr std::size_t MinOtherServersForBounds = 2;
// Entries whose last attempt is recent are notified at once when the suspicion
// rises. For each server, at most this many are kept.
constexpr std::size_t MaxRecentEntries = 16;
constexpr base::Duration RecentEntryMaxAge = base::seconds(5);
// Within this time after the first sign of a server's crash, the resets of its
// other exchanges and the connections that it refuses while it restarts are no
// further evidence.
constexpr base::Duration CrashWindow = base::milliseconds(500);
// For this long after AvoidUntil, an entry sends only idempotent requests to a
// server whose breaker refused work. An entry without idempotent requests sends
// others afterwards.
constexpr base::Duration RecoveringDuration = base::seconds(2);
// The same for a server whose breaker is closed, but whose last exchange failed
// (see breaker.h). Other servers may run out of free slots sooner than that.
constexpr base::Duration DoubtReportDuration = base::milliseconds(500);
// Exchanges count as evidence after this time, even if the server announced a
// longer cold start.
constexpr base::Duration MaxColdStart = base::minutes(2);

bool isCold(const BackendServer &Server, base::TimePoint Now) {
  return Now - Server.ReadySince <
         std::min(Server.Record.ColdStart, MaxColdStart);
}

double computeMedian(std::vector<double> &Shares) {
  std::sort(Shares.begin(), Shares.end());
  return Shares.empty() ? 0 : Shares[Shares.size() / 2];
}

// The bounds come from the service's other servers where enough of them publish
// times of the kind, else from the server's own history. Its own history would
// hide that a server has become slow, and a slow service would look like many
// slow servers.
void refreshBounds(RoutingState &State, const BackendServer &Server,
                   ServerEvidence &Evidence, base::TimePoint Now) {
  Evidence.BoundsUpdatedAt = Now;
  std::map<base::KindName, std::vector<TimeProfile>> OtherServerTimes;
  std::vector<double> FailShares, LateShares;
  for (const base::BackendName &Name : State.ByService[Server.Record.Service]) {
    const BackendRecord &OtherServer = State.Servers.at(Name).Record;
    if (Name == Server.Record.Name || OtherServer.Phase == BackendPhase::Gone)
      continue;
    FailShares.push_back(OtherServer.FailShare);
    LateShares.push_back(OtherServer.LateShare);
    for (const KindTime &Published : OtherServer.Times)
      OtherServerTimes[Published.Kind].push_back(Published.Times);
  }
  Evidence.OtherServersFailShare = computeMedian(FailShares);
  Evidence.OtherServersLateShare = computeMedian(LateShares);
  Evidence.HasOtherServers = false;
  for (auto &[Kind, Samples] : Evidence.Kinds) {
    bool HasEnoughServers =
        OtherServerTimes[Kind].size() >= MinOtherServersForBounds;
    Evidence.HasOtherServers = Evidence.HasOtherServers || HasEnoughServers;
    Samples.Bounds = computeBounds(
        HasEnoughServers
            ? computeMedianProfile(std::move(OtherServerTimes[Kind]))
            : computeProfile(Samples.Histogram));
  }
}

ExchangeResult classifyExchange(const core::ExchangeOutcome &Outcome,
                                base::Reason Reason, ServerEvidence &Evidence,
                                base::TimePoint Now) {
  switch (Reason) {
  case base::Reason::None:
    return ExchangeResult::Complete;
  case base::Reason::BackendError:
    return ExchangeResult::Failed;
  case base::Reason::BackendTimeout:
  case base::Reason::BackendSilent:
  case base::Reason::CallerGone:
  case base::Reason::DeadlinePassed:
    return ExchangeResult::Censored;
  case base::Reason::BackendReset:
  case base::Reason::BackendRefusedConnection:
  case base::Reason::AnswerCutShort: {
    bool SameCrash =
        Outcome.SuspectedCrash && Now - Evidence.LastCrashAt < CrashWindow;
    if (Outcome.SuspectedCrash && !SameCrash)
      Evidence.LastCrashAt = Now;
    if (SameCrash)
      return ExchangeResult::NoEvidence;
    return Outcome.NewConnection ? ExchangeResult::Failed
                                 : ExchangeResult::ConnectionFault;
  }
  default:
    return ExchangeResult::NoEvidence;
  }
}

void noteRecentEntry(ServerEvidence &Evidence, const base::NodeName &Entry,
                     base::TimePoint Now) {
  Evidence.RecentEntries[Entry] = Now;
  if (Evidence.RecentEntries.size() <= MaxRecentEntries)
    return;
  auto Oldest = std::min_element(
      Evidence.RecentEntries.begin(), Evidence.RecentEntries.end(),
      [](const auto &A, const auto &B) { return A.second < B.second; });
  Evidence.RecentEntries.erase(Oldest);
}

bool checkServer(RoutingState &State, const membership::MembershipState &Peers,
                 BackendServer &Server, ServerEvidence &Evidence,
                 base::TimePoint Now, core::EffectList &Effects) {
  if (Now - Evidence.BoundsUpdatedAt >= BoundsInterval)
    refreshBounds(State, Server, Evidence, Now);
  std::erase_if(Evidence.RecentEntries, [&](const auto &Entry) {
    return Now - Entry.second > RecentEntryMaxAge;
  });
  std::uint32_t Free =
      Server.Record.Slots - std::min(Server.Record.Slots, Server.Running);
  for (base::AttemptId Attempt : selectExchangesToCancel(Evidence, Free, Now))
    Effects.push_back(
        core::CancelExchange{Attempt, base::Reason::BackendSilent});
  decayEvidence(Evidence, Now);
  publish(State, Peers, Server, Evidence, Now, Effects);
  return !isIdle(Evidence) || Server.Record.Suspicion > 0;
}

void reportChange(const base::ServiceName &Service,
                  const StandingChange &Change, core::EffectList &Effects) {
  Effects.push_back(
      core::LogLine{Change.To == Standing::Ejected ? core::LogLevel::Warn
                                                   : core::LogLevel::Info,
                    "server_" + std::string(standingName(Change.To)),
                    {{"service", Service.Value},
                     {"server", Change.Server.Value},
                     {"from", std::string(standingName(Change.From))},
                     {"why", std::string(standingReasonName(Change.Reason))},
                     {"suspicion", std::to_string(Change.Suspicion)}}});
  if (Change.To == Standing::Ejected)
    Effects.push_back(core::Measure{core::Metric::Ejections, Service.Value,
                                    Change.Server.Value, 1});
}

TrialResult classifyTrial(const core::AttemptOutcome &Outcome) {
  switch (Outcome.Reason) {
  case base::Reason::None:
    return Outcome.Verdict == base::Verdict::Ran ? TrialResult::Passed
                                                 : TrialResult::Inconclusive;
  case base::Reason::BackendError:
  case base::Reason::BackendTimeout:
  case base::Reason::BackendSilent:
  case base::Reason::BackendReset:
  case base::Reason::BackendRefusedConnection:
  case base::Reason::AnswerCutShort:
    return TrialResult::Failed;
  default:
    return TrialResult::Inconclusive;
  }
}

const BackendServer *findServer(const RoutingState &State,
                                const base::BackendName &Name) {
  auto It = State.Servers.find(Name);
  return It == State.Servers.end() ? nullptr : &It->second;
}

void endTrial(RoutingState &State, const BackendServer &Server,
              base::AttemptId Attempt, TrialResult Result) {
  auto Set = State.Sets.find(Server.Record.Service);
  if (Set != State.Sets.end())
    noteTrialResult(Set->second, Server.Record.Name, Attempt, Result);
}

} // namespace

bool onExchangeStarted(RoutingState &State,
                       const admission::QueuedAttempt &Attempt,
                       base::TimePoint Now) {
  const BackendServer *Server = findServer(State, Attempt.Server);
  if (!Server)
    return false;
  ServerEvidence &Evidence = State.Evidence[Attempt.Server];
  if (Evidence.Incarnation != Server->Record.Incarnation) {
    Evidence = ServerEvidence();
    Evidence.Incarnation = Server->Record.Incarnation;
  }
  Exchange Started;
  Started.Attempt = Attempt.Facts.Attempt;
  Started.Entry = Attempt.Facts.Entry;
  Started.Kind = Attempt.Facts.Kind;
  Started.StartedAt = Now;
  Started.Idempotent = Attempt.Facts.Idempotent;
  Started.CountsAsEvidence = !isCold(*Server, Now);
  Started.FreshConnection =
      Attempt.Facts.Number > 1 || needsFreshConnection(Evidence, Now);
  noteExchangeStart(Evidence, Started);
  noteRecentEntry(Evidence, Attempt.Facts.Entry, Now);
  return Started.FreshConnection;
}

double onExchangeEnded(RoutingState &State,
                       const membership::MembershipState &Peers,
                       const admission::QueuedAttempt &Attempt,
                       const core::ExchangeOutcome &Outcome,
                       base::Reason Reason, base::TimePoint Now,
                       core::EffectList &Effects) {
  auto Server = State.Servers.find(Attempt.Server);
  auto Evidence = State.Evidence.find(Attempt.Server);
  if (Server == State.Servers.end() || Evidence == State.Evidence.end())
    return 0;
  ExchangeResult Result =
      classifyExchange(Outcome, Reason, Evidence->second, Now);
  noteExchangeEnd(Evidence->second, Attempt.Facts.Attempt, Result,
                  Outcome.NewConnection, Now);
  publish(State, Peers, Server->second, Evidence->second, Now, Effects);
  return computeSuspicion(Evidence->second, Now).Level;
}

bool armHealthRound(RoutingState &State) {
  return !std::exchange(State.HealthRoundArmed, true);
}

bool runHealthRound(RoutingState &State,
                    const membership::MembershipState &Peers,
                    base::TimePoint Now, core::EffectList &Effects) {
  State.HealthRoundArmed = false;
  bool NeedsRound = false;
  for (auto It = State.Evidence.begin(); It != State.Evidence.end();) {
    auto Server = State.Servers.find(It->first);
    if (Server == State.Servers.end() || !State.Owned.contains(It->first)) {
      It = State.Evidence.erase(It);
      continue;
    }
    NeedsRound =
        checkServer(State, Peers, Server->second, It->second, Now, Effects) ||
        NeedsRound;
    ++It;
  }
  return NeedsRound;
}

Choice selectServer(RoutingState &State, const ChoiceQuery &Query,
                    const config::ServiceSettings &Settings,
                    base::Random &Source, core::EffectList &Effects) {
  if (needsUpdate(State, Query.Service, Query.Now))
    for (const StandingChange &Change :
         updateRoutingSet(State, Query.Service, Settings, Source, Query.Now))
      reportChange(Query.Service, Change, Effects);
  return chooseServer(State, Query, Source);
}

void onAttemptStarted(RoutingState &State, const Choice &Chosen,
                      base::AttemptId Attempt) {
  if (Chosen.Reason != ChoiceReason::Trial)
    return;
  const BackendRecord &Record = Chosen.Server->Record;
  State.Sets[Record.Service].Servers[Record.Name].Trial = Attempt;
}

void onAttemptOutcome(RoutingState &State, const base::BackendName &Server,
                      base::AttemptId Attempt,
                      const core::AttemptOutcome &Outcome,
                      base::TimePoint Now) {
  const BackendServer *Target = findServer(State, Server);
  if (!Target)
    return;
  // The owner may have run the attempt on another of its servers.
  bool RanThere = Outcome.Server.empty() || Outcome.Server == Server;
  if (auto Set = State.Sets.find(Target->Record.Service);
      Set != State.Sets.end() && !Outcome.Server.empty())
    noteReportedSuspicion(Set->second, Outcome.Server, Outcome.Suspicion, Now);
  endTrial(State, *Target, Attempt,
           RanThere ? classifyTrial(Outcome) : TrialResult::Inconclusive);
  if (Outcome.Reason == base::Reason::PeerUnavailable ||
      Outcome.Reason == base::Reason::PeerLost)
    notePathFailure(State.Paths[Target->Record.Owner], Now);
  else
    onOwnerMessage(State, Target->Record.Owner);
}

void onAttemptUnanswered(RoutingState &State, const base::BackendName &Server,
                         base::AttemptId Attempt, base::TimePoint Now) {
  const BackendServer *Target = findServer(State, Server);
  if (!Target)
    return;
  endTrial(State, *Target, Attempt, TrialResult::Failed);
  if (Target->Record.Owner != State.Self)
    notePathFailure(State.Paths[Target->Record.Owner], Now);
}

void releaseTrial(RoutingState &State, const base::BackendName &Server,
                  base::AttemptId Attempt) {
  if (const BackendServer *Target = findServer(State, Server))
    endTrial(State, *Target, Attempt, TrialResult::Inconclusive);
}

void noteOwnerReport(RoutingState &State, const base::BackendName &Server,
                     const core::AttemptOutcome &Outcome, base::TimePoint Now) {
  auto It = State.Servers.find(Server);
  if (It == State.Servers.end())
    return;
  if (Outcome.Load.Busy >= 0) {
    It->second.ReportedLoad = Outcome.Load.Busy;
    It->second.LoadReportedAt = Now;
    if (State.UnevenServers)
      noteReportedLoad(State.Sets[It->second.Record.Service], Outcome.Load.Busy,
                       Now);
  }
  if (Outcome.Reason == base::Reason::BackendSuspect) {
    It->second.AvoidUntil = Now + Outcome.RetryAfter;
    bool BreakerOpen =
        !State.UnevenServers && Outcome.RetryAfter > base::Duration{};
    It->second.RecoveringUntil =
        It->second.AvoidUntil +
        (BreakerOpen ? RecoveringDuration : DoubtReportDuration);
  } else if (Outcome.Reason == base::Reason::None &&
             Outcome.Verdict == base::Verdict::Ran) {
    It->second.RecoveringUntil = base::TimePoint();
  }
}

void onOwnerMessage(RoutingState &State, const base::NodeName &Owner) {
  notePathSuccess(State.Paths, Owner);
}

} // namespace currantgauge::routing
