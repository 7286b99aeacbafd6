#include "currantgauge/routing/health_report.h"

#include <cstdio>
#include <set>
#include <utility>

namespace currantgauge::routing {
namespace {

const ServerStanding *findPlace(const RoutingState &State,
                                const BackendServer &Server) {
  auto Set = State.Sets.find(Server.Record.Service);
  if (Set == State.Sets.end())
    return nullptr;
  auto Place = Set->second.Servers.find(Server.Record.Name);
  return Place == Set->second.Servers.end() ? nullptr : &Place->second;
}

std::string twoDigits(double Value) {
  char Text[32];
  std::snprintf(Text, sizeof(Text), "%.2f", Value);
  return Text;
}

std::string phaseOf(const BackendServer &Server) {
  if (Server.Drained)
    return "drained";
  switch (Server.Record.Phase) {
  case BackendPhase::Ready:
    return "ready";
  case BackendPhase::Leaving:
    return "leaving";
  case BackendPhase::Gone:
    return "gone";
  }
  return "";
}

std::string secondsLeft(base::TimePoint Until, base::TimePoint Now) {
  return Until > Now ? twoDigits(base::toSeconds(Until - Now)) + " s" : "0 s";
}

// Only the owner knows which test speaks against a server.
std::string testOf(const RoutingState &State, const BackendServer &Server,
                   base::TimePoint Now) {
  auto Evidence = State.Evidence.find(Server.Record.Name);
  if (Evidence == State.Evidence.end())
    return "";
  Suspicion Worst = computeSuspicion(Evidence->second, Now);
  return Worst.Level > 0 ? std::string(testName(Worst.Test)) : "";
}

std::vector<std::string> rowOf(const RoutingState &State,
                               const BackendServer &Server,
                               base::TimePoint Now) {
  const ServerStanding Unknown;
  const ServerStanding *Known = findPlace(State, Server);
  const ServerStanding &Place = Known ? *Known : Unknown;
  bool Waits = Place.Current == Standing::Ejected ||
               Place.Current == Standing::SlowStart;
  bool PathBad = isPathBad(State.Paths, Server.Record.Owner, Now);
  return {Server.Record.Name.Value,
          Server.Record.Service.Value,
          Server.Record.Owner.Value,
          phaseOf(Server),
          std::to_string(Server.Record.Slots),
          std::to_string(Server.Running),
          twoDigits(Server.Record.Suspicion),
          twoDigits(Place.PeerSuspicion),
          std::string(standingName(Place.Current)),
          std::string(standingReasonName(Place.Reason)),
          Waits ? secondsLeft(Place.Until, Now) : "",
          std::to_string(Place.RecentEjections),
          testOf(State, Server, Now),
          PathBad ? "bad" : "ok"};
}

std::string describe(const ServerStanding &Place, base::TimePoint Now) {
  std::string Peers = twoDigits(Place.PeerSuspicion);
  switch (Place.Reason) {
  case StandingReason::Healthy:
    return "it is in the routing set and nothing speaks against it";
  case StandingReason::Suspicious:
    return "it is ejected: its owner finds it sick while the median of its "
           "peers is " +
           Peers + "; hold-off left " + secondsLeft(Place.Until, Now) + ", " +
           std::to_string(Place.RecentEjections) + " recent ejections";
  case StandingReason::WholeService:
    return "it is kept: the median suspicion of its peers is " + Peers +
           ", so the whole service is affected and not this server";
  case StandingReason::Floor:
    return "it is kept although suspect: without it the healthy slots would "
           "fall below the floor";
  case StandingReason::HoldOffOver:
    return "its hold-off is over and it is tried with real idempotent "
           "requests, " +
           std::to_string(Place.TrialsPassed) + " passed so far";
  case StandingReason::TrialsPassed:
    return "it passed its trials and takes growing load";
  case StandingReason::NoTrials:
    return "its hold-off is over and no idempotent request came to try it: it "
           "takes growing load";
  case StandingReason::Restarted:
    return "its process is a new one, so older evidence is void";
  }
  return "";
}

} // namespace

core::OperatorTable makeHealthTable(const RoutingState &State,
                                    const base::ServiceName &Service,
                                    base::TimePoint Now) {
  core::OperatorTable Table{"servers",
                            {"server", "service", "owner", "phase", "slots",
                             "running", "suspicion", "peers", "standing", "why",
                             "time_left", "recent_ejections", "test", "path"},
                            {}};
  for (const auto &[Name, Server] : State.Servers)
    if (Service.empty() || Server.Record.Service == Service)
      Table.Rows.push_back(rowOf(State, Server, Now));
  return Table;
}

std::string explainStanding(const RoutingState &State,
                            const base::BackendName &Server,
                            base::TimePoint Now) {
  auto Found = State.Servers.find(Server);
  if (Found == State.Servers.end())
    return "this node knows no such backend server";
  const BackendServer &Known = Found->second;
  if (std::string Phase = phaseOf(Known); Phase != "ready")
    return "it takes no new work: " + Phase;
  const ServerStanding *Place = findPlace(State, Known);
  std::string Text = describe(Place ? *Place : ServerStanding(), Now);
  Text += " (suspicion " + twoDigits(Known.Record.Suspicion) + ")";
  if (isPathBad(State.Paths, Known.Record.Owner, Now))
    Text += "; this node's path to its owner " + Known.Record.Owner.Value +
            " fails, so work goes elsewhere";
  return Text;
}

} // namespace currantgauge::routing
