// Runs the real programs under faults drawn from a seed and says which promises
// they broke. Exit code 0: none, 1: some, 2: usage.
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
DEFINE_int32(seconds, 20, "time in which faults start");
DEFINE_int32(machines, 5, "nodes, each with a backend server, at most 60");
DEFINE_int32(callers, 3, "callers of each machine");
DEFINE_string(plan, "", "file with a plan; empty: drawn from the seed");
DEFINE_bool(shorten, false, "drop faults that a broken promise doesn't need");
DEFINE_bool(keep, false, "keep the logs of a good run too");

namespace {

using namespace currantgauge::soak;

constexpr int MostMachines = 60; // four processes each
constexpr int MostRuns = 24;     // of --shorten

std::vector<Fault> planOfFlags() {
  if (FLAGS_plan.empty())
    return makePlan(FLAGS_seed, std::chrono::seconds(FLAGS_seconds),
                    static_cast<std::size_t>(FLAGS_machines));
  std::ifstream File(FLAGS_plan);
  if (!File)
    throw std::runtime_error("no file " + FLAGS_plan);
  std::ostringstream Text;
  Text << File.rdbuf();
  std::vector<Fault> Plan = parsePlan(Text.str());
  for (const Fault &One : Plan)
    if (One.Machine >= static_cast<std::size_t>(FLAGS_machines))
      throw std::runtime_error("the plan names machine " +
                               std::to_string(One.Machine) + " of " +
                               std::to_string(FLAGS_machines));
  return Plan;
}

SoakResult runOnce(const std::vector<Fault> &Plan) {
  SoakOptions Options;
  Options.Seed = FLAGS_seed;
  Options.Machines = static_cast<std::size_t>(FLAGS_machines);
  Options.Callers = static_cast<std::size_t>(FLAGS_callers);
  Options.Plan = Plan;
  Options.KeepsLogs = FLAGS_keep;
  return runSoak(Options);
}

void report(const std::vector<Fault> &Plan, const SoakResult &Result) {
  std::map<unsigned, std::size_t> Ends;
  std::map<std::string, std::size_t> Kinds;
  for (const Request &One : Result.Everything.Requests)
    ++Ends[One.Status];
  for (const Fault &One : Plan)
    ++Kinds[faultName(One.Kind)];
  std::cout << "seed " << FLAGS_seed << ", " << FLAGS_machines << " machines, "
            << Plan.size() << " faults:";
  for (const auto &[Name, Count] : Kinds)
    std::cout << ' ' << Name << ' ' << Count;
  std::cout << "\nrequests " << Result.Everything.Requests.size() << ", runs "
            << Result.Everything.Arrivals.size() << ", ends:";
  for (const auto &[Status, Count] : Ends)
    std::cout << ' ' << (Status ? std::to_string(Status) : "none") << ' '
              << Count;
  std::cout << '\n';
  for (const std::string &Line : Result.Broken)
    std::cout << "broken: " << Line << '\n';
  if (!Result.Folder.empty())
    std::cout << "logs: " << Result.Folder << '\n';
  if (!Result.Broken.empty())
    std::cout << "plan:\n" << planText(Plan);
  std::cout << (Result.Broken.empty() ? "kept" : "BROKEN") << std::endl;
}

// Halves, then quarters of the plan are left out while the rest still breaks a
// promise.
void shorten(std::vector<Fault> Plan) {
  int Runs = 0;
  for (std::size_t Size = (Plan.size() + 1) / 2; Size >= 1 && Runs < MostRuns;
       Size /= 2)
    for (std::size_t From = 0; From < Plan.size() && Runs < MostRuns;) {
      std::vector<Fault> Less = Plan;
      auto First = Less.begin() + static_cast<std::ptrdiff_t>(From);
      auto Count =
          static_cast<std::ptrdiff_t>(std::min(Size, Plan.size() - From));
      Less.erase(First, First + Count);
      ++Runs;
      if (runOnce(Less).Broken.empty())
        From += Size;
      else
        Plan = Less;
    }
  std::cout << "shortened after " << Runs << " runs:\n" << planText(Plan);
}

} // namespace

int main(int Count, char **Values) {
  gflags::SetUsageMessage("runs the real programs under faults");
  gflags::ParseCommandLineFlags(&Count, &Values, true);
  if (FLAGS_machines < 2 || FLAGS_machines > MostMachines ||
      FLAGS_callers < 1 || FLAGS_seconds < 1) {
    std::cerr << "soak: --machines is 2 to 60, --callers and --seconds at "
                 "least 1\n";
    return 2;
  }
  try {
    std::vector<Fault> Plan = planOfFlags();
    SoakResult Result = runOnce(Plan);
    report(Plan, Result);
    if (!Result.Broken.empty() && FLAGS_shorten)
      shorten(Plan);
    return Result.Broken.empty() ? 0 : 1;
  } catch (const std::exception &Error) {
    std::cerr << "soak: " << Error.what() << '\n';
    return 2;
  }
}
