#include "tests/soak/run.h"

#include "tests/soak/callers.h"
#include "tests/soak/faults.h"

#include <fstream>
#include <stdexcept>
#include <thread>
#include <utility>

namespace currantgauge::soak {
namespace {

constexpr Seconds WarmUpDuration = 2;      // before the plan starts
constexpr Seconds MeasurementDuration = 3; // after RecoveryTime
const std::vector<std::string> FailureDomains = {"north-a", "south-a",
                                                 "north-b", "south-b"};

void startFleet(SoakRun &Run, std::size_t MachineCount) {
  Run.MachineStates.resize(MachineCount);
  for (std::size_t I = 0; I < MachineCount; ++I) {
    const std::string &Domain = FailureDomains[I % FailureDomains.size()];
    std::string Region = Domain.substr(0, Domain.find('-'));
    std::vector<std::string> Flags = serverFlags(Run, serverName(I, 1));
    integration::addProxiedMachine(Run.Machines, Region, Domain, serviceOf(I),
                                   Flags);
    const std::string &Address = serverAt(Run, I).Address;
    std::size_t Colon = Address.rfind(':');
    Run.MachineStates[I].ServerHost = Address.substr(0, Colon);
    Run.MachineStates[I].ServerPort = Address.substr(Colon + 1);
  }
  writeNextVersion(Run);
  for (std::size_t I = 0; I < MachineCount; ++I)
    if (!integration::waitUntil(
            [&] { return integration::isReady(nodeAt(Run, I)); }))
      throw std::runtime_error("a node did not become ready");
  if (!integration::waitForServers(Run.Machines.Fleet, MachineCount))
    throw std::runtime_error("the nodes did not discover all backend servers");
}

void sleepBetweenSteps() { std::this_thread::sleep_for(Millis(20)); }

void runPlan(SoakRun &Run, const std::vector<Fault> &Plan,
             CallerPool &Callers) {
  Seconds Start = now();
  auto Next = Plan.begin();
  while (Next != Plan.end() || !Run.PendingRepairs.empty()) {
    Seconds Elapsed = now() - Start;
    for (; Next != Plan.end() && Next->StartTime.count() <= Elapsed * 1000;
         ++Next)
      startFault(Run, *Next);
    runDueRepairs(Run);
    Callers.NewestVersion =
        static_cast<std::uint32_t>(Run.Observed.Versions.size());
    sleepBetweenSteps();
  }
}

void readRecords(SoakRun &Run) {
  for (const std::string &Path : Run.RecordPaths) {
    std::ifstream File(Path);
    std::string Name = Path.substr(Path.rfind('/') + 1);
    Name.resize(Name.rfind('.'));
    std::string Outcome, Id;
    Seconds ArrivedAt = 0;
    while (File >> Outcome >> Id >> ArrivedAt)
      Run.Observed.Arrivals.push_back({Id, Name, ArrivedAt, Outcome == "run"});
  }
}

void sleepFor(Seconds Duration) {
  std::this_thread::sleep_for(std::chrono::duration<double>(Duration));
}

} // namespace

SoakResult runSoak(const SoakOptions &Options) {
  SoakRun Run;
  startFleet(Run, Options.MachineCount);
  {
    CallerPool Callers(Run.Machines, Options.CallersPerMachine, Options.Seed);
    sleepFor(WarmUpDuration);
    Run.Observed.PlanStart = now();
    runPlan(Run, Options.Plan, Callers);
    Run.Observed.AllRepairedAt = now();
    sleepFor(RecoveryTime + MeasurementDuration);
    Run.Observed.Requests = stopCallers(Callers);
    Run.Observed.End = now();
  }
  readRecords(Run);
  SoakResult Result;
  Result.Violations = findViolations(Run.Observed);
  if (Options.KeepLogs || !Result.Violations.empty()) {
    Run.Machines.Fleet.KeepFolder = true;
    Result.LogFolder = Run.Machines.Fleet.Folder;
  }
  Result.Observed = std::move(Run.Observed);
  return Result;
}

} // namespace currantgauge::soak
