#include "tests/soak/seen.h"

#include <algorithm>
#include <map>
#include <set>

namespace currantgauge::soak {
namespace {

// The bounds of the deployments: stabilityWindowMs, drainMs,
// configPropagationMs, outerBoundMs, rollbackSlackMs, retryBudgetRatio,
// retryBudgetSlack and budgetWindowS.
constexpr Seconds Stability = 3;
constexpr Seconds DrainTime = 2;
constexpr Seconds Propagation = 2;
constexpr Seconds UnstableStore = 5;
constexpr Seconds RollbackSlack = 0.25;
constexpr double RecoveredShare = 0.25; // of what was served before
constexpr double RetryRatio = 0.2;
constexpr double RetrySlack = 56;
constexpr Seconds BudgetWindow = 10;
constexpr std::size_t MostLines = 5; // of one promise

using Lines = std::vector<std::string>;

std::string at(Seconds When, const Seen &Run) {
  return std::to_string(When - Run.FirstTrouble) + " s after the first trouble";
}

std::map<std::string, std::size_t> runsOf(const Seen &Run) {
  std::map<std::string, std::size_t> Runs;
  for (const Arrival &One : Run.Arrivals)
    Runs[One.Id] += One.Ran ? 1 : 0;
  return Runs;
}

bool overlaps(const Trouble &One, Seconds From, Seconds To) {
  return One.From <= To && One.Ended >= From;
}

// Whether a machine's node, its ways and the store were well from a stability
// window before From on.
bool isInTouch(const Seen &Run, std::size_t Machine, Seconds From, Seconds To) {
  return std::none_of(
      Run.Troubles.begin(), Run.Troubles.end(), [&](const Trouble &One) {
        bool Here = One.Machine == Machine || One.Machine == AllMachines;
        return Here && !One.OfServer && overlaps(One, From - Stability, To);
      });
}

void checkOnce(const Seen &Run, Lines &Found) {
  std::set<std::string> Actions;
  for (const Request &One : Run.Requests)
    if (!One.Idempotent)
      Actions.insert(One.Id);
  for (const auto &[Id, Count] : runsOf(Run))
    if (Count > 1 && Actions.contains(Id))
      Found.push_back("at most once: " + Id + " ran " + std::to_string(Count) +
                      " times");
}

bool promisesNotRun(unsigned Status) {
  return Status == 503 || Status == 429 || Status == 408 || Status == 421;
}

void checkRefusals(const Seen &Run, Lines &Found) {
  std::map<std::string, std::size_t> Runs = runsOf(Run);
  for (const Request &One : Run.Requests)
    if (!One.Idempotent && promisesNotRun(One.Status) && Runs[One.Id] > 0)
      Found.push_back("true refusals: " + One.Id + " was answered " +
                      std::to_string(One.Status) + " and ran");
}

void checkAnswers(const Seen &Run, Lines &Found) {
  for (const Request &One : Run.Requests)
    if (!One.Wrong.empty())
      Found.push_back("whole answers: " + One.Id + ": " + One.Wrong);
}

void checkIds(const Seen &Run, Lines &Found) {
  std::set<std::string> Sent;
  for (const Request &One : Run.Requests)
    Sent.insert(One.Id);
  for (const Arrival &One : Run.Arrivals)
    if (!Sent.contains(One.Id))
      Found.push_back("unasked: " + One.Server + " got " + One.Id +
                      ", which no caller sent");
}

// A planned stop with nothing else broken anywhere cuts off nothing that ran.
void checkStops(const Seen &Run, Lines &Found) {
  std::map<std::string, std::size_t> Runs = runsOf(Run);
  for (const Request &One : Run.Requests) {
    if (One.Status != 0 || Runs[One.Id] == 0)
      continue;
    bool Excused = false, Stopped = false;
    for (const Trouble &Each : Run.Troubles) {
      Excused = Excused || (!Each.Planned &&
                            overlaps(Each, One.Sent - Stability, One.Ended));
      Stopped =
          Stopped || (Each.Kind == "node_stop" && Each.Machine == One.Machine &&
                      overlaps(Each, One.Sent, One.Ended));
    }
    if (Stopped && !Excused)
      Found.push_back("planned stop: " + One.Id + " ran and got no answer, " +
                      at(One.Ended, Run));
  }
}

void checkLeaves(const Seen &Run, Lines &Found) {
  for (const Leave &Word : Run.Leaves)
    for (const Arrival &One : Run.Arrivals)
      if (One.Ran && One.Server == Word.Server &&
          One.At > Word.Acknowledged + DrainTime &&
          isInTouch(Run, Word.Machine, Word.Acknowledged, One.At))
        Found.push_back("drain: " + One.Id + " ran at " + One.Server + " " +
                        std::to_string(One.At - Word.Acknowledged) +
                        " s after its leaving was acknowledged");
}

// The latest time at which a node was started anew before a moment.
Seconds lifeOf(const Seen &Run, std::size_t Machine, Seconds Before) {
  Seconds Life = 0;
  for (const Trouble &One : Run.Troubles)
    if (One.NewLife && (One.Machine == Machine || One.Machine == AllMachines) &&
        One.From <= Before)
      Life = std::max(Life, One.Ended);
  return Life;
}

void checkRegress(const Seen &Run, Lines &Found) {
  std::map<std::size_t, std::vector<const Request *>> ByMachine;
  for (const Request &One : Run.Requests)
    if (One.Version > 0 && (One.Status == 200 || One.Status == 404))
      ByMachine[One.Machine].push_back(&One);
  for (auto &Item : ByMachine) {
    std::size_t Machine = Item.first;
    std::vector<const Request *> &Asked = Item.second;
    std::sort(
        Asked.begin(), Asked.end(),
        [](const Request *A, const Request *B) { return A->Ended < B->Ended; });
    for (std::size_t Old = 0; Old < Asked.size(); ++Old) {
      if (Asked[Old]->Status != 200)
        continue;
      Seconds After = Asked[Old]->Ended + RollbackSlack;
      auto Back = std::find_if(Asked.begin() + static_cast<std::ptrdiff_t>(Old),
                               Asked.end(), [&](const Request *One) {
                                 return One->Status == 404 &&
                                        One->Version <= Asked[Old]->Version &&
                                        One->Sent > After &&
                                        lifeOf(Run, Machine, One->Ended) <
                                            Asked[Old]->Sent;
                               });
      if (Back == Asked.end())
        continue;
      Found.push_back("no regress: machine " + std::to_string(Machine) +
                      " had version " + std::to_string(Asked[Old]->Version) +
                      ", then " + (*Back)->Id + " found no route of version " +
                      std::to_string((*Back)->Version));
      break;
    }
  }
}

bool wasStoreUnwell(const Seen &Run, Seconds From, Seconds To) {
  return std::any_of(Run.Troubles.begin(), Run.Troubles.end(),
                     [&](const Trouble &One) {
                       return One.OfStore && overlaps(One, From, To);
                     });
}

void checkVersions(const Seen &Run, Lines &Found) {
  for (const Request &One : Run.Requests) {
    auto Asked = std::find_if(
        Run.Versions.begin(), Run.Versions.end(),
        [&](const Version &Each) { return Each.Number == One.Version; });
    if (One.Status != 404 || Asked == Run.Versions.end())
      continue;
    Seconds Due = Asked->Acknowledged + Propagation;
    if (wasStoreUnwell(Run, Asked->Acknowledged - Stability, One.Ended))
      Due += UnstableStore;
    if (One.Sent > Due && isInTouch(Run, One.Machine, One.Sent, One.Ended))
      Found.push_back("in force: machine " + std::to_string(One.Machine) +
                      " answered 404 on a route of version " +
                      std::to_string(One.Version) + " " +
                      std::to_string(One.Sent - Asked->Acknowledged) +
                      " s after its acknowledgement (" + One.Id + ")");
  }
}

void checkRetries(const Seen &Run, Lines &Found) {
  std::set<std::string> Known;
  std::vector<Seconds> Again;
  std::vector<Arrival> Sorted = Run.Arrivals;
  std::sort(Sorted.begin(), Sorted.end(),
            [](const Arrival &A, const Arrival &B) { return A.At < B.At; });
  for (const Arrival &One : Sorted)
    if (!Known.insert(One.Id).second)
      Again.push_back(One.At);
  auto Within = [](const auto &Times, Seconds From, Seconds To, auto When) {
    return static_cast<double>(
        std::count_if(Times.begin(), Times.end(), [&](const auto &One) {
          return When(One) >= From && When(One) < To;
        }));
  };
  for (Seconds From : Again) {
    double Extra = Within(Again, From, From + BudgetWindow,
                          [](Seconds One) { return One; });
    double Most = 0;
    for (Seconds Start : {From, From - BudgetWindow / 2, From - BudgetWindow})
      Most =
          std::max(Most, Within(Run.Requests, Start, Start + BudgetWindow,
                                [](const Request &One) { return One.Sent; }));
    if (Extra <= RetryRatio * Most + RetrySlack)
      continue;
    Found.push_back("retry budget: " + std::to_string(Extra) +
                    " arrivals beyond the first of " + std::to_string(Most) +
                    " requests in 10 s, " + at(From, Run));
    return;
  }
}

double servedShare(const Seen &Run, Seconds From, Seconds To) {
  double Sent = 0, Served = 0;
  for (const Request &One : Run.Requests)
    if (One.Sent >= From && One.Sent < To && One.Version == 0) {
      Sent += 1;
      Served += One.Status == 200 ? 1 : 0;
    }
  return Sent == 0 ? 0 : Served / Sent;
}

void checkRecovery(const Seen &Run, Lines &Found) {
  double Before = servedShare(Run, 0, Run.FirstTrouble);
  double After = servedShare(Run, Run.Calm + RecoveryTime, Run.End);
  if (Before > 0 && After < RecoveredShare * Before)
    Found.push_back("recovery: " + std::to_string(After) +
                    " served 15 s after everything was mended, " +
                    std::to_string(Before) + " before");
}

} // namespace

std::vector<std::string> brokenPromises(const Seen &Run) {
  Lines All;
  for (auto *Check : {checkOnce, checkRefusals, checkAnswers, checkIds,
                      checkStops, checkLeaves, checkRegress, checkVersions,
                      checkRetries, checkRecovery}) {
    Lines Found;
    Check(Run, Found);
    if (Found.size() > MostLines) {
      Found[MostLines - 1] = "and " +
                             std::to_string(Found.size() - MostLines + 1) +
                             " more of the last kind";
      Found.resize(MostLines);
    }
    All.insert(All.end(), Found.begin(), Found.end());
  }
  return All;
}

} // namespace currantgauge::soak
