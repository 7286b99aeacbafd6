#include "tests/soak/violations.h"

#include <algorithm>
#include <map>
#include <set>

namespace currantgauge::soak {
namespace {

// Bounds set by the deployments: stabilityWindowMs, drainMs,
// configPropagationMs, outerBoundMs, rollbackSlackMs, retryBudgetRatio,
// retryBudgetSlack and budgetWindowS.
constexpr Seconds StabilityWindow = 3;  // still disturbed after a repair
constexpr Seconds DrainLimit = 2;       // until a leaving server runs nothing
constexpr Seconds PropagationLimit = 2; // for nodes to serve a version
constexpr Seconds UnstableStoreAllowance = 5; // added to PropagationLimit
constexpr Seconds RollbackSlack = 0.25;
constexpr double MinRecoveredShare =
    0.25; // of the share served before the faults
constexpr double RetryBudgetRatio = 0.2; // repeated arrivals per request
constexpr double RetryBudgetSlack = 56;  // repeated arrivals beyond the ratio
constexpr Seconds RetryBudgetWindow = 10;
constexpr std::size_t MaxLinesPerCheck = 5;

using Lines = std::vector<std::string>;

std::string describeTime(Seconds Time, const Observations &Run) {
  return std::to_string(Time - Run.PlanStart) + " s after the plan started";
}

std::map<std::string, std::size_t> countRuns(const Observations &Run) {
  std::map<std::string, std::size_t> Runs;
  for (const RequestArrival &Arrival : Run.Arrivals)
    Runs[Arrival.Id] += Arrival.Ran ? 1 : 0;
  return Runs;
}

bool overlaps(const FaultWindow &Window, Seconds Start, Seconds End) {
  return Window.Start <= End && Window.End >= Start;
}

// Returns whether no fault affected the machine's node, its network paths or
// the store from one stability window before Start until End. Faults of its
// backend server don't count.
bool wasMachineStable(const Observations &Run, std::size_t Machine,
                      Seconds Start, Seconds End) {
  return std::none_of(Run.FaultWindows.begin(), Run.FaultWindows.end(),
                      [&](const FaultWindow &Window) {
                        bool Concerned = Window.Machine == Machine ||
                                         Window.Machine == AllMachines;
                        return Concerned && !Window.ServerOnly &&
                               overlaps(Window, Start - StabilityWindow, End);
                      });
}

void checkAtMostOnce(const Observations &Run, Lines &Violations) {
  std::set<std::string> ActionIds;
  for (const CallerRequest &Request : Run.Requests)
    if (!Request.Idempotent)
      ActionIds.insert(Request.Id);
  for (const auto &[Id, Count] : countRuns(Run))
    if (Count > 1 && ActionIds.contains(Id))
      Violations.push_back("at most once: " + Id + " ran " +
                           std::to_string(Count) + " times");
}

// Returns whether the status tells the caller that the request was not run.
bool isNotRunStatus(unsigned Status) {
  return Status == 503 || Status == 429 || Status == 408 || Status == 421;
}

void checkRefusals(const Observations &Run, Lines &Violations) {
  std::map<std::string, std::size_t> Runs = countRuns(Run);
  for (const CallerRequest &Request : Run.Requests)
    if (!Request.Idempotent && isNotRunStatus(Request.Status) &&
        Runs[Request.Id] > 0)
      Violations.push_back("true refusals: " + Request.Id + " got status " +
                           std::to_string(Request.Status) + " and ran");
}

void checkResponses(const Observations &Run, Lines &Violations) {
  for (const CallerRequest &Request : Run.Requests)
    if (!Request.Mismatch.empty())
      Violations.push_back("whole answers: " + Request.Id + ": " +
                           Request.Mismatch);
}

void checkArrivalIds(const Observations &Run, Lines &Violations) {
  std::set<std::string> SentIds;
  for (const CallerRequest &Request : Run.Requests)
    SentIds.insert(Request.Id);
  for (const RequestArrival &Arrival : Run.Arrivals)
    if (!SentIds.contains(Arrival.Id))
      Violations.push_back("unasked: " + Arrival.Server + " got " + Arrival.Id +
                           ", which no caller sent");
}

// A planned stop of a node must not lose the response of a request that ran,
// unless an unplanned fault, anywhere in the fleet, was active during the
// request or up to StabilityWindow before it.
void checkPlannedStops(const Observations &Run, Lines &Violations) {
  std::map<std::string, std::size_t> Runs = countRuns(Run);
  for (const CallerRequest &Request : Run.Requests) {
    if (Request.Status != 0 || Runs[Request.Id] == 0)
      continue;
    bool Excused = false, Stopped = false;
    for (const FaultWindow &Window : Run.FaultWindows) {
      Excused = Excused || (!Window.Planned &&
                            overlaps(Window, Request.SentAt - StabilityWindow,
                                     Request.EndedAt));
      Stopped = Stopped || (Window.Kind == "node_stop" &&
                            Window.Machine == Request.Machine &&
                            overlaps(Window, Request.SentAt, Request.EndedAt));
    }
    if (Stopped && !Excused)
      Violations.push_back("planned stop: " + Request.Id +
                           " ran and got no response, " +
                           describeTime(Request.EndedAt, Run));
  }
}

// A server runs no request later than DrainLimit after its node acknowledged
// that it is leaving. Not checked while its machine was unstable.
void checkDrains(const Observations &Run, Lines &Violations) {
  for (const DrainNotice &Notice : Run.DrainNotices)
    for (const RequestArrival &Arrival : Run.Arrivals)
      if (Arrival.Ran && Arrival.Server == Notice.Server &&
          Arrival.ArrivedAt > Notice.AcknowledgedAt + DrainLimit &&
          wasMachineStable(Run, Notice.Machine, Notice.AcknowledgedAt,
                           Arrival.ArrivedAt))
        Violations.push_back(
            "drain: " + Arrival.Id + " ran at " + Arrival.Server + " " +
            std::to_string(Arrival.ArrivedAt - Notice.AcknowledgedAt) +
            " s after the node acknowledged that it is leaving");
}

// Returns when the machine's node was last restarted, counting restarts after
// terminations that began by Time; 0 if there are none.
Seconds lastNodeStart(const Observations &Run, std::size_t Machine,
                      Seconds Time) {
  Seconds StartTime = 0;
  for (const FaultWindow &Window : Run.FaultWindows)
    if (Window.EndsNode &&
        (Window.Machine == Machine || Window.Machine == AllMachines) &&
        Window.Start <= Time)
      StartTime = std::max(StartTime, Window.End);
  return StartTime;
}

// A node that has served a route of some version serves the routes of this and
// earlier versions until it restarts. A 404 within RollbackSlack doesn't count.
// Reports only the first violation of each machine.
void checkConfigRegress(const Observations &Run, Lines &Violations) {
  std::map<std::size_t, std::vector<const CallerRequest *>> ByMachine;
  for (const CallerRequest &Request : Run.Requests)
    if (Request.RouteVersion > 0 &&
        (Request.Status == 200 || Request.Status == 404))
      ByMachine[Request.Machine].push_back(&Request);
  for (auto &Item : ByMachine) {
    std::size_t Machine = Item.first;
    std::vector<const CallerRequest *> &Requests = Item.second;
    std::sort(Requests.begin(), Requests.end(),
              [](const CallerRequest *A, const CallerRequest *B) {
                return A->EndedAt < B->EndedAt;
              });
    for (std::size_t Index = 0; Index < Requests.size(); ++Index) {
      if (Requests[Index]->Status != 200)
        continue;
      Seconds EarliestRegress = Requests[Index]->EndedAt + RollbackSlack;
      auto It = std::find_if(
          Requests.begin() + static_cast<std::ptrdiff_t>(Index), Requests.end(),
          [&](const CallerRequest *Request) {
            return Request->Status == 404 &&
                   Request->RouteVersion <= Requests[Index]->RouteVersion &&
                   Request->SentAt > EarliestRegress &&
                   lastNodeStart(Run, Machine, Request->EndedAt) <
                       Requests[Index]->SentAt;
          });
      if (It == Requests.end())
        continue;
      Violations.push_back(
          "no regress: machine " + std::to_string(Machine) + " had version " +
          std::to_string(Requests[Index]->RouteVersion) + ", then " +
          (*It)->Id + " found no route of version " +
          std::to_string((*It)->RouteVersion));
      break;
    }
  }
}

bool wasStoreDisturbed(const Observations &Run, Seconds Start, Seconds End) {
  return std::any_of(Run.FaultWindows.begin(), Run.FaultWindows.end(),
                     [&](const FaultWindow &Window) {
                       return Window.AffectsStore &&
                              overlaps(Window, Start, End);
                     });
}

// Returns the last acknowledgement by Time, or the first if there is none.
Seconds lastAcknowledgement(const ConfigVersion &Version, Seconds Time) {
  Seconds Last = Version.AcknowledgedAt;
  for (Seconds Acknowledged : Version.WrittenAgainAt)
    if (Acknowledged <= Time)
      Last = Acknowledged;
  return Last;
}

// A node serves the routes of a version from PropagationLimit after the store
// last acknowledged it, or UnstableStoreAllowance later if the store was
// disturbed meanwhile or just before. Not checked while the machine was
// unstable.
void checkPropagation(const Observations &Run, Lines &Violations) {
  for (const CallerRequest &Request : Run.Requests) {
    auto It = std::find_if(Run.Versions.begin(), Run.Versions.end(),
                           [&](const ConfigVersion &Version) {
                             return Version.Number == Request.RouteVersion;
                           });
    if (Request.Status != 404 || It == Run.Versions.end())
      continue;
    Seconds Acknowledged = lastAcknowledgement(*It, Request.SentAt);
    Seconds DueTime = Acknowledged + PropagationLimit;
    if (wasStoreDisturbed(Run, Acknowledged - StabilityWindow, Request.EndedAt))
      DueTime += UnstableStoreAllowance;
    if (Request.SentAt > DueTime &&
        wasMachineStable(Run, Request.Machine, Request.SentAt, Request.EndedAt))
      Violations.push_back(
          "in force: machine " + std::to_string(Request.Machine) +
          " responded 404 for a route of version " +
          std::to_string(Request.RouteVersion) + " " +
          std::to_string(Request.SentAt - Acknowledged) +
          " s after the store acknowledged it (" + Request.Id + ")");
  }
}

// The repeated arrivals within any RetryBudgetWindow stay within the budget of
// the fleet. Retries may belong to requests sent earlier, so the budget is
// taken from the busiest of three windows: this one and those that start half a
// window and a window earlier. Reports only the first violation.
void checkRetryBudget(const Observations &Run, Lines &Violations) {
  std::set<std::string> KnownIds;
  std::vector<Seconds> RepeatTimes;
  std::vector<RequestArrival> Sorted = Run.Arrivals;
  std::sort(Sorted.begin(), Sorted.end(),
            [](const RequestArrival &A, const RequestArrival &B) {
              return A.ArrivedAt < B.ArrivedAt;
            });
  for (const RequestArrival &Arrival : Sorted)
    if (!KnownIds.insert(Arrival.Id).second)
      RepeatTimes.push_back(Arrival.ArrivedAt);
  auto CountWithin = [](const auto &Items, Seconds Start, Seconds End,
                        auto TimeOf) {
    return static_cast<double>(
        std::count_if(Items.begin(), Items.end(), [&](const auto &Item) {
          return TimeOf(Item) >= Start && TimeOf(Item) < End;
        }));
  };
  for (Seconds Start : RepeatTimes) {
    double RepeatCount =
        CountWithin(RepeatTimes, Start, Start + RetryBudgetWindow,
                    [](Seconds Time) { return Time; });
    double MaxRequests = 0;
    for (Seconds WindowStart :
         {Start, Start - RetryBudgetWindow / 2, Start - RetryBudgetWindow})
      MaxRequests =
          std::max(MaxRequests, CountWithin(Run.Requests, WindowStart,
                                            WindowStart + RetryBudgetWindow,
                                            [](const CallerRequest &Request) {
                                              return Request.SentAt;
                                            }));
    if (RepeatCount <= RetryBudgetRatio * MaxRequests + RetryBudgetSlack)
      continue;
    Violations.push_back("retry budget: " + std::to_string(RepeatCount) +
                         " repeated arrivals against " +
                         std::to_string(MaxRequests) + " requests in 10 s, " +
                         describeTime(Start, Run));
    return;
  }
}

// Returns the share of requests sent in [Start, End) that were served, 0 if
// none were sent. Requests for the route of a version don't count, as they may
// fail with 404.
double servedShare(const Observations &Run, Seconds Start, Seconds End) {
  double Sent = 0, Served = 0;
  for (const CallerRequest &Request : Run.Requests)
    if (Request.SentAt >= Start && Request.SentAt < End &&
        Request.RouteVersion == 0) {
      Sent += 1;
      Served += Request.Status == 200 ? 1 : 0;
    }
  return Sent == 0 ? 0 : Served / Sent;
}

void checkRecovery(const Observations &Run, Lines &Violations) {
  double Before = servedShare(Run, 0, Run.PlanStart);
  double After = servedShare(Run, Run.AllRepairedAt + RecoveryTime, Run.End);
  if (Before > 0 && After < MinRecoveredShare * Before)
    Violations.push_back(
        "recovery: " + std::to_string(After) +
        " of requests served from 15 s after the last repair on, " +
        std::to_string(Before) + " before the faults");
}

} // namespace

std::vector<std::string> findViolations(const Observations &Run) {
  Lines Violations;
  for (auto *Check :
       {checkAtMostOnce, checkRefusals, checkResponses, checkArrivalIds,
        checkPlannedStops, checkDrains, checkConfigRegress, checkPropagation,
        checkRetryBudget, checkRecovery}) {
    Lines CheckViolations;
    Check(Run, CheckViolations);
    if (CheckViolations.size() > MaxLinesPerCheck) {
      CheckViolations[MaxLinesPerCheck - 1] =
          "and " +
          std::to_string(CheckViolations.size() - MaxLinesPerCheck + 1) +
          " more violations of this check";
      CheckViolations.resize(MaxLinesPerCheck);
    }
    Violations.insert(Violations.end(), CheckViolations.begin(),
                      CheckViolations.end());
  }
  return Violations;
}

} // namespace currantgauge::soak
