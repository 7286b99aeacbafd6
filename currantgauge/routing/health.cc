#include "currantgauge/routing/health.h"

#include "currantgauge/routing/tell.h"

#include <algorithm>
#include <string>
#include <utility>

namespace currantgauge::routing {
namespace {

constexpr base::Duration BoundsInterval = base::seconds(1);
constexpr std::size_t PeersToCompare = 2;
constexpr std::size_t EntriesToTell = 16;
constexpr base::Duration EntryMemory = base::seconds(5);
// The resets of all exchanges with a process that died are one sign, and a
// process that restarts refuses connections meanwhile.
constexpr base::Duration DeathWindow = base::milliseconds(500);
// An entry without idempotent work tries a suspect server's owner again after
// this long.
constexpr base::Duration TrialTime = base::seconds(2);
constexpr base::Duration LongestColdStart = base::minutes(2);

bool isCold(const BackendServer &Server, base::TimePoint Now) {
  return Now - Server.ReadySince <
         std::min(Server.Record.ColdStart, LongestColdStart);
}

double medianShare(std::vector<double> &Shares) {
  std::sort(Shares.begin(), Shares.end());
  return Shares.empty() ? 0 : Shares[Shares.size() / 2];
}

// The service's other servers are the measure, so that neither a slow server
// measures itself by its own past nor a slow service looks like slow servers.
void refreshBounds(RoutingState &State, const BackendServer &Server,
                   ServerEvidence &Evidence, base::TimePoint Now) {
  Evidence.BoundsAsOf = Now;
  std::map<base::KindName, std::vector<TimeProfile>> Others;
  std::vector<double> FailShares, LateShares;
  for (const base::BackendName &Name : State.ByService[Server.Record.Service]) {
    const BackendRecord &Other = State.Servers.at(Name).Record;
    if (Name == Server.Record.Name || Other.Phase == BackendPhase::Gone)
      continue;
    FailShares.push_back(Other.FailShare);
    LateShares.push_back(Other.LateShare);
    for (const KindTime &Told : Other.Times)
      Others[Told.Kind].push_back(Told.Times);
  }
  Evidence.PeerFailShare = medianShare(FailShares);
  Evidence.PeerLateShare = medianShare(LateShares);
  Evidence.HasPeers = false;
  for (auto &[Kind, Own] : Evidence.Kinds) {
    bool Enough = Others[Kind].size() >= PeersToCompare;
    Evidence.HasPeers = Evidence.HasPeers || Enough;
    Own.Bounds = boundsOf(Enough ? medianProfile(std::move(Others[Kind]))
                                 : profileOf(Own.Histogram));
  }
}

ExchangeEnd classify(const core::ExchangeOutcome &Seen, base::Reason Why,
                     ServerEvidence &Evidence, base::TimePoint Now) {
  switch (Why) {
  case base::Reason::None:
    return ExchangeEnd::Whole;
  case base::Reason::BackendError:
    return ExchangeEnd::Failed;
  case base::Reason::BackendTimeout:
  case base::Reason::BackendSilent:
  case base::Reason::CallerGone:
  case base::Reason::DeadlinePassed:
    return ExchangeEnd::Censored;
  case base::Reason::BackendReset:
  case base::Reason::BackendRefusedConnection:
  case base::Reason::AnswerCutShort: {
    bool SameDeath =
        Seen.SuspectedCrash && Now - Evidence.LastDeath < DeathWindow;
    if (Seen.SuspectedCrash && !SameDeath)
      Evidence.LastDeath = Now;
    if (SameDeath)
      return ExchangeEnd::Nothing;
    return Seen.NewConnection ? ExchangeEnd::Failed
                              : ExchangeEnd::ConnectionFault;
  }
  default:
    return ExchangeEnd::Nothing;
  }
}

void rememberEntry(ServerEvidence &Evidence, const base::NodeName &Entry,
                   base::TimePoint Now) {
  Evidence.Entries[Entry] = Now;
  if (Evidence.Entries.size() <= EntriesToTell)
    return;
  auto Oldest = std::min_element(
      Evidence.Entries.begin(), Evidence.Entries.end(),
      [](const auto &A, const auto &B) { return A.second < B.second; });
  Evidence.Entries.erase(Oldest);
}

bool roundOf(RoutingState &State, const membership::MembershipState &Peers,
             BackendServer &Server, ServerEvidence &Evidence,
             base::TimePoint Now, core::EffectList &Effects) {
  if (Now - Evidence.BoundsAsOf >= BoundsInterval)
    refreshBounds(State, Server, Evidence, Now);
  std::erase_if(Evidence.Entries, [&](const auto &One) {
    return Now - One.second > EntryMemory;
  });
  std::uint32_t Free =
      Server.Record.Slots - std::min(Server.Record.Slots, Server.Running);
  for (base::AttemptId Silent : silentExchanges(Evidence, Free, Now))
    Effects.push_back(
        core::CancelExchange{Silent, base::Reason::BackendSilent});
  fade(Evidence, Now);
  publish(State, Peers, Server, Evidence, Now, Effects);
  return !isQuiet(Evidence) || Server.Record.Suspicion > 0;
}

void report(const base::ServiceName &Service, const StandingChange &Change,
            core::EffectList &Effects) {
  Effects.push_back(
      core::LogLine{Change.To == Standing::Ejected ? core::LogLevel::Warn
                                                   : core::LogLevel::Info,
                    "server_" + std::string(standingName(Change.To)),
                    {{"service", Service.Value},
                     {"server", Change.Server.Value},
                     {"from", std::string(standingName(Change.From))},
                     {"why", std::string(whyName(Change.Why))},
                     {"suspicion", std::to_string(Change.Suspicion)}}});
  if (Change.To == Standing::Ejected)
    Effects.push_back(core::Measure{core::Metric::Ejections, Service.Value,
                                    Change.Server.Value, 1});
}

TrialEnd trialEnd(const core::AttemptOutcome &Outcome) {
  switch (Outcome.Reason) {
  case base::Reason::None:
    return Outcome.Verdict == base::Verdict::Ran ? TrialEnd::Passed
                                                 : TrialEnd::Open;
  case base::Reason::BackendError:
  case base::Reason::BackendTimeout:
  case base::Reason::BackendSilent:
  case base::Reason::BackendReset:
  case base::Reason::BackendRefusedConnection:
  case base::Reason::AnswerCutShort:
    return TrialEnd::Failed;
  default:
    return TrialEnd::Open;
  }
}

const BackendServer *findServer(const RoutingState &State,
                                const base::BackendName &Name) {
  auto Found = State.Servers.find(Name);
  return Found == State.Servers.end() ? nullptr : &Found->second;
}

void endTrial(RoutingState &State, const BackendServer &Server,
              base::AttemptId Attempt, TrialEnd How) {
  auto Set = State.Sets.find(Server.Record.Service);
  if (Set != State.Sets.end())
    noteTrial(Set->second, Server.Record.Name, Attempt, How);
}

} // namespace

bool onExchangeStarted(RoutingState &State,
                       const admission::QueuedAttempt &Attempt,
                       base::TimePoint Now) {
  const BackendServer *Server = findServer(State, Attempt.Server);
  if (!Server)
    return false;
  ServerEvidence &Evidence = State.Evidence[Attempt.Server];
  if (Evidence.Life != Server->Record.Life) {
    Evidence = ServerEvidence();
    Evidence.Life = Server->Record.Life;
  }
  Exchange Started;
  Started.Attempt = Attempt.Facts.Attempt;
  Started.Entry = Attempt.Facts.Entry;
  Started.Kind = Attempt.Facts.Kind;
  Started.Started = Now;
  Started.Idempotent = Attempt.Facts.Idempotent;
  Started.Counts = !isCold(*Server, Now);
  Started.Fresh =
      Attempt.Facts.Number > 1 || wantsFreshConnection(Evidence, Now);
  noteStart(Evidence, Started);
  rememberEntry(Evidence, Attempt.Facts.Entry, Now);
  return Started.Fresh;
}

double onExchangeEnded(RoutingState &State,
                       const membership::MembershipState &Peers,
                       const admission::QueuedAttempt &Attempt,
                       const core::ExchangeOutcome &Seen, base::Reason Why,
                       base::TimePoint Now, core::EffectList &Effects) {
  auto Server = State.Servers.find(Attempt.Server);
  auto Evidence = State.Evidence.find(Attempt.Server);
  if (Server == State.Servers.end() || Evidence == State.Evidence.end())
    return 0;
  ExchangeEnd How = classify(Seen, Why, Evidence->second, Now);
  noteEnd(Evidence->second, Attempt.Facts.Attempt, How, Seen.NewConnection,
          Now);
  publish(State, Peers, Server->second, Evidence->second, Now, Effects);
  return suspicionOf(Evidence->second, Now).Level;
}

bool armRound(RoutingState &State) {
  return !std::exchange(State.RoundArmed, true);
}

bool healthRound(RoutingState &State, const membership::MembershipState &Peers,
                 base::TimePoint Now, core::EffectList &Effects) {
  State.RoundArmed = false;
  bool Again = false;
  for (auto It = State.Evidence.begin(); It != State.Evidence.end();) {
    auto Server = State.Servers.find(It->first);
    if (Server == State.Servers.end() || !State.Owned.contains(It->first)) {
      It = State.Evidence.erase(It);
      continue;
    }
    Again = roundOf(State, Peers, Server->second, It->second, Now, Effects) ||
            Again;
    ++It;
  }
  return Again;
}

Choice selectServer(RoutingState &State, const ChoiceQuery &Query,
                    const config::ServiceSettings &Settings,
                    base::Random &Source, core::EffectList &Effects) {
  if (needsUpdate(State, Query.Service, Query.Now))
    for (const StandingChange &Change :
         updateRoutingSet(State, Query.Service, Settings, Source, Query.Now))
      report(Query.Service, Change, Effects);
  return chooseServer(State, Query, Source);
}

void onAttemptStarted(RoutingState &State, const Choice &Chosen,
                      base::AttemptId Attempt) {
  if (Chosen.Why != ChoiceWhy::Trial)
    return;
  const BackendRecord &Record = Chosen.Server->Record;
  State.Sets[Record.Service].Servers[Record.Name].Trial = Attempt;
}

void onAttemptOutcome(RoutingState &State, const base::BackendName &Server,
                      base::AttemptId Attempt,
                      const core::AttemptOutcome &Outcome,
                      base::TimePoint Now) {
  const BackendServer *Known = findServer(State, Server);
  if (!Known)
    return;
  // The owner may have run a trial on another server of its own.
  bool RanThere = Outcome.Server.empty() || Outcome.Server == Server;
  if (auto Set = State.Sets.find(Known->Record.Service);
      Set != State.Sets.end() && !Outcome.Server.empty())
    noteHeard(Set->second, Outcome.Server, Outcome.Suspicion, Now);
  endTrial(State, *Known, Attempt,
           RanThere ? trialEnd(Outcome) : TrialEnd::Open);
  if (Outcome.Reason == base::Reason::PeerUnavailable ||
      Outcome.Reason == base::Reason::PeerLost)
    notePathFailure(State.Paths[Known->Record.Owner], Now);
  else
    onOwnerHeard(State, Known->Record.Owner);
}

void onAttemptSilent(RoutingState &State, const base::BackendName &Server,
                     base::AttemptId Attempt, base::TimePoint Now) {
  const BackendServer *Known = findServer(State, Server);
  if (!Known)
    return;
  endTrial(State, *Known, Attempt, TrialEnd::Failed);
  if (Known->Record.Owner != State.Self)
    notePathFailure(State.Paths[Known->Record.Owner], Now);
}

void onAttemptOver(RoutingState &State, const base::BackendName &Server,
                   base::AttemptId Attempt) {
  if (const BackendServer *Known = findServer(State, Server))
    endTrial(State, *Known, Attempt, TrialEnd::Open);
}

void noteOwnersWord(RoutingState &State, const base::BackendName &Server,
                    const core::AttemptOutcome &Outcome, base::TimePoint Now) {
  auto Found = State.Servers.find(Server);
  if (Found == State.Servers.end())
    return;
  if (Outcome.Load.Busy >= 0) {
    Found->second.HeardBusy = Outcome.Load.Busy;
    Found->second.BusyAt = Now;
  }
  if (Outcome.Reason == base::Reason::BackendSuspect) {
    Found->second.AvoidUntil = Now + Outcome.RetryAfter;
    Found->second.TrialUntil = Found->second.AvoidUntil + TrialTime;
  } else if (Outcome.Reason == base::Reason::None &&
             Outcome.Verdict == base::Verdict::Ran) {
    Found->second.TrialUntil = base::TimePoint();
  }
}

void onOwnerHeard(RoutingState &State, const base::NodeName &Owner) {
  notePathOk(State.Paths, Owner);
}

} // namespace currantgauge::routing
