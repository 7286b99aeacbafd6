#include "currantgauge/routing/health_report.h"

#include <cstdio>
#include <set>
#include <utility>

namespace currantgauge::routing {
namespace {

const ServerStanding *findStatus(const RoutingState &State,
                                 const BackendServer &Server) {
  auto Set = State.Sets.find(Server.Record.Service);
  if (Set == State.Sets.end())
    return nullptr;
  auto Status = Set->second.Servers.find(Server.Record.Name);
  return Status == Set->second.Servers.end() ? nullptr : &Status->second;
}

std::string formatTwoDecimals(double Value) {
  char Text[32];
  std::snprintf(Text, sizeof(Text), "%.2f", Value);
  return Text;
}

std::string phaseName(const BackendServer &Server) {
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

std::string formatTimeLeft(base::TimePoint Until, base::TimePoint Now) {
  return Until > Now ? formatTwoDecimals(base::toSeconds(Until - Now)) + " s"
                     : "0 s";
}

// Only a server's owner has the evidence that tells which test scores highest.
std::string strongestTestName(const RoutingState &State,
                              const BackendServer &Server,
                              base::TimePoint Now) {
  auto Evidence = State.Evidence.find(Server.Record.Name);
  if (Evidence == State.Evidence.end())
    return "";
  Suspicion Strongest = computeSuspicion(Evidence->second, Now);
  return Strongest.Level > 0 ? std::string(testName(Strongest.Test)) : "";
}

std::vector<std::string> makeRow(const RoutingState &State,
                                 const BackendServer &Server,
                                 base::TimePoint Now) {
  const ServerStanding Unknown;
  const ServerStanding *Found = findStatus(State, Server);
  const ServerStanding &Status = Found ? *Found : Unknown;
  bool HasTimeLimit = Status.Current == Standing::Ejected ||
                      Status.Current == Standing::SlowStart;
  bool PathBad = isPathBad(State.Paths, Server.Record.Owner, Now);
  return {Server.Record.Name.Value,
          Server.Record.Service.Value,
          Server.Record.Owner.Value,
          phaseName(Server),
          std::to_string(Server.Record.Slots),
          std::to_string(Server.Running),
          formatTwoDecimals(Server.Record.Suspicion),
          formatTwoDecimals(Status.OtherServersSuspicion),
          std::string(standingName(Status.Current)),
          std::string(standingReasonName(Status.Reason)),
          HasTimeLimit ? formatTimeLeft(Status.Until, Now) : "",
          std::to_string(Status.RecentEjections),
          strongestTestName(State, Server, Now),
          PathBad ? "bad" : "ok"};
}

std::string describeStanding(const ServerStanding &Status,
                             base::TimePoint Now) {
  std::string Median = formatTwoDecimals(Status.OtherServersSuspicion);
  switch (Status.Reason) {
  case StandingReason::Healthy:
    return "it is in rotation: this node has found no reason to eject "
           "it";
  case StandingReason::Suspicious:
    return "it is ejected: its owner reported it as unhealthy, or its trial "
           "failed, while the median suspicion of the service's other servers "
           "is " +
           Median + "; remaining hold-off " +
           formatTimeLeft(Status.Until, Now) + ", " +
           std::to_string(Status.RecentEjections) + " recent ejections";
  case StandingReason::WholeService:
    return "it is kept in rotation: the service's other servers (median "
           "suspicion " +
           Median +
           ") are or were affected too, or too few are known as healthy";
  case StandingReason::Floor:
    return "it is kept in rotation although suspect: ejecting it would reduce "
           "the healthy "
           "slots below the floor";
  case StandingReason::HoldOffOver:
    return "its hold-off is over and it is on trial with real idempotent "
           "requests, " +
           std::to_string(Status.TrialsPassed) + " trials passed so far";
  case StandingReason::TrialsPassed:
    return "it passed its trials and receives gradually increasing load";
  case StandingReason::NoTrials:
    return "its hold-off is over and no idempotent request was available for "
           "a trial: it receives gradually increasing load";
  case StandingReason::Restarted:
    return "its process has restarted, so earlier evidence is discarded";
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
      Table.Rows.push_back(makeRow(State, Server, Now));
  return Table;
}

std::string explainStanding(const RoutingState &State,
                            const base::BackendName &Server,
                            base::TimePoint Now) {
  auto It = State.Servers.find(Server);
  if (It == State.Servers.end())
    return "this node knows no such backend server";
  const BackendServer &Reported = It->second;
  if (std::string Phase = phaseName(Reported); Phase != "ready")
    return "it accepts no new work: " + Phase;
  const ServerStanding *Status = findStatus(State, Reported);
  std::string Text = describeStanding(Status ? *Status : ServerStanding(), Now);
  Text += " (suspicion " + formatTwoDecimals(Reported.Record.Suspicion) + ")";
  if (isPathBad(State.Paths, Reported.Record.Owner, Now))
    Text += "; this node's path to its owner " + Reported.Record.Owner.Value +
            " is failing, so work is sent to other servers";
  return Text;
}

} // namespace currantgauge::routing
