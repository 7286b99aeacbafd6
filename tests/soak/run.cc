#include "tests/soak/run.h"

#include "tests/soak/callers.h"
#include "tests/soak/faults.h"

#include <fstream>
#include <stdexcept>
#include <thread>
#include <utility>

namespace currantgauge::soak {
namespace {

constexpr Seconds CalmAtFirst = 2;  // before the first fault
constexpr Seconds MeasuredTime = 3; // after it
const std::vector<std::string> Domains = {"north-a", "south-a", "north-b",
                                          "south-b"};

void startFleet(Soak &Run, std::size_t Machines) {
  Run.Hosts.resize(Machines);
  for (std::size_t I = 0; I < Machines; ++I) {
    const std::string &Domain = Domains[I % Domains.size()];
    std::string Region = Domain.substr(0, Domain.find('-'));
    std::vector<std::string> Flags = serverFlags(Run, serverName(I, 1));
    integration::addProxiedMachine(Run.All, Region, Domain, serviceOf(I),
                                   Flags);
    const std::string &Address = serverAt(Run, I).Address;
    Run.Hosts[I].Port = Address.substr(Address.rfind(':') + 1);
  }
  writeVersion(Run);
  for (std::size_t I = 0; I < Machines; ++I)
    if (!integration::waitUntil(
            [&] { return integration::isReady(nodeAt(Run, I)); }))
      throw std::runtime_error("a node does not become ready");
  if (!integration::waitForServers(Run.All.Fleet, Machines))
    throw std::runtime_error("the nodes don't find all servers");
}

void pause() { std::this_thread::sleep_for(Millis(20)); }

void runPlan(Soak &Run, const std::vector<Fault> &Plan, Callers &Asking) {
  Seconds Start = now();
  auto Next = Plan.begin();
  while (Next != Plan.end() || !Run.Mendings.empty()) {
    Seconds At = now() - Start;
    for (; Next != Plan.end() && Next->At.count() <= At * 1000; ++Next)
      startFault(Run, *Next);
    mendDue(Run);
    Asking.Newest = static_cast<std::uint32_t>(Run.Found.Versions.size());
    pause();
  }
}

void readRecords(Soak &Run) {
  for (const std::string &Path : Run.Records) {
    std::ifstream File(Path);
    std::string Name = Path.substr(Path.rfind('/') + 1);
    Name.resize(Name.rfind('.'));
    std::string What, Id;
    Seconds At = 0;
    while (File >> What >> Id >> At)
      Run.Found.Arrivals.push_back({Id, Name, At, What == "run"});
  }
}

void rest(Seconds Length) {
  std::this_thread::sleep_for(std::chrono::duration<double>(Length));
}

} // namespace

SoakResult runSoak(const SoakOptions &Options) {
  Soak Run;
  startFleet(Run, Options.Machines);
  {
    Callers Asking(Run.All, Options.Callers, Options.Seed);
    rest(CalmAtFirst);
    Run.Found.FirstTrouble = now();
    runPlan(Run, Options.Plan, Asking);
    Run.Found.Calm = now();
    rest(RecoveryTime + MeasuredTime);
    Run.Found.Requests = endCallers(Asking);
    Run.Found.End = now();
  }
  readRecords(Run);
  SoakResult Result;
  Result.Broken = brokenPromises(Run.Found);
  if (Options.KeepsLogs || !Result.Broken.empty()) {
    Run.All.Fleet.KeepFolder = true;
    Result.Folder = Run.All.Fleet.Folder;
  }
  Result.Everything = std::move(Run.Found);
  return Result;
}

} // namespace currantgauge::soak
