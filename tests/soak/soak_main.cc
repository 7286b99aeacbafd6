// Runs the real programs under a generated fault plan and reports which
// guarantees they violated. Exit code 0: none, 1: some, 2: bad usage, a bad
// plan or a run that could not be completed.
//
//   soak --seed=7 --seconds=20 --machines=5
#include "tests/soak/run.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <map>
#include <sstream>
#include <stdexcept>

DEFINE_uint64(seed, 1, "seed of the plan and the callers");
DEFINE_int32(seconds, 20, "duration of a generated plan, in seconds");
DEFINE_int32(machines, 5,
             "number of nodes, each with a backend server; at most 60");
DEFINE_int32(callers, 3, "number of callers per machine");
DEFINE_string(plan, "", "file with a plan; empty: generated from the seed");
DEFINE_bool(shorten, false,
            "after a violation, rerun ever smaller parts of the plan to find "
            "the faults that cause it");
DEFINE_bool(keep, false, "also keep the logs of a run without violations");

namespace {

using namespace currantgauge::soak;

constexpr int MaxMachines = 60; // four processes each
constexpr int MaxShortenRuns = 24;

std::vector<Fault> planFromFlags() {
  if (FLAGS_plan.empty())
    return makePlan(FLAGS_seed, std::chrono::seconds(FLAGS_seconds),
                    static_cast<std::size_t>(FLAGS_machines));
  std::ifstream File(FLAGS_plan);
  if (!File)
    throw std::runtime_error("cannot open " + FLAGS_plan);
  std::ostringstream Text;
  Text << File.rdbuf();
  std::vector<Fault> Plan = parsePlan(Text.str());
  for (const Fault &Entry : Plan)
    if (Entry.Machine >= static_cast<std::size_t>(FLAGS_machines))
      throw std::runtime_error("the plan names machine " +
                               std::to_string(Entry.Machine) +
                               ", counted from 0, but --machines is " +
                               std::to_string(FLAGS_machines));
  return Plan;
}

SoakResult runOnce(const std::vector<Fault> &Plan) {
  SoakOptions Options;
  Options.Seed = FLAGS_seed;
  Options.MachineCount = static_cast<std::size_t>(FLAGS_machines);
  Options.CallersPerMachine = static_cast<std::size_t>(FLAGS_callers);
  Options.Plan = Plan;
  Options.KeepLogs = FLAGS_keep;
  return runSoak(Options);
}

void report(const std::vector<Fault> &Plan, const SoakResult &Result) {
  std::map<unsigned, std::size_t> StatusCounts;
  std::map<std::string, std::size_t> KindCounts;
  for (const CallerRequest &Request : Result.Observed.Requests)
    ++StatusCounts[Request.Status];
  for (const Fault &Entry : Plan)
    ++KindCounts[faultName(Entry.Kind)];
  std::cout << "seed " << FLAGS_seed << ", " << FLAGS_machines << " machines, "
            << Plan.size() << " faults:";
  for (const auto &[Name, Count] : KindCounts)
    std::cout << ' ' << Name << ' ' << Count;
  std::cout << "\nrequests " << Result.Observed.Requests.size() << ", arrivals "
            << Result.Observed.Arrivals.size() << ", statuses:";
  for (const auto &[Status, Count] : StatusCounts)
    std::cout << ' ' << (Status ? std::to_string(Status) : "none") << ' '
              << Count;
  std::cout << '\n';
  for (const std::string &Line : Result.Violations)
    std::cout << "broken: " << Line << '\n';
  if (!Result.LogFolder.empty())
    std::cout << "logs: " << Result.LogFolder << '\n';
  if (!Result.Violations.empty())
    std::cout << "plan:\n" << formatPlan(Plan);
  std::cout << (Result.Violations.empty() ? "kept" : "BROKEN") << std::endl;
}

// Removes chunks of the plan, of half its size and then ever smaller ones. A
// chunk stays removed if a run without it still violates a guarantee. Stops
// after MaxShortenRuns runs.
void shortenPlan(std::vector<Fault> Plan) {
  int Runs = 0;
  for (std::size_t ChunkSize = (Plan.size() + 1) / 2;
       ChunkSize >= 1 && Runs < MaxShortenRuns; ChunkSize /= 2)
    for (std::size_t Begin = 0; Begin < Plan.size() && Runs < MaxShortenRuns;) {
      std::vector<Fault> Candidate = Plan;
      auto First = Candidate.begin() + static_cast<std::ptrdiff_t>(Begin);
      auto Count =
          static_cast<std::ptrdiff_t>(std::min(ChunkSize, Plan.size() - Begin));
      Candidate.erase(First, First + Count);
      ++Runs;
      if (runOnce(Candidate).Violations.empty())
        Begin += ChunkSize;
      else
        Plan = Candidate;
    }
  std::cout << "shortened in " << Runs << " runs:\n" << formatPlan(Plan);
}

} // namespace

int main(int Count, char **Values) {
  gflags::SetUsageMessage("runs the real programs under a plan of faults");
  gflags::ParseCommandLineFlags(&Count, &Values, true);
  if (FLAGS_machines < 2 || FLAGS_machines > MaxMachines || FLAGS_callers < 1 ||
      FLAGS_seconds < 1) {
    std::cerr << "soak: --machines must be 2 to 60, --callers and --seconds at "
                 "least 1\n";
    return 2;
  }
  try {
    std::vector<Fault> Plan = planFromFlags();
    SoakResult Result = runOnce(Plan);
    report(Plan, Result);
    if (!Result.Violations.empty() && FLAGS_shorten)
      shortenPlan(Plan);
    return Result.Violations.empty() ? 0 : 1;
  } catch (const std::exception &Error) {
    std::cerr << "soak: " << Error.what() << '\n';
    return 2;
  }
}
