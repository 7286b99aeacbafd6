// Measures the detection time of faulty backend servers, false ejections and
// the remaining capacity in virtual time. Compares currantgauge with two
// baselines: ejection after five consecutive failures, and by the error rate in
// a time window.
//
//   health_bench [trials per fault] [requests per healthy case] [threads]
//                [word...]
// runs the cases whose case/service/policy contains all words. The word seed=N
// adds N to every seed.
#include "health_run.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <set>
#include <thread>

namespace currantgauge::bench {
namespace {

constexpr Duration WarmUpTime = base::seconds(90);
constexpr Duration FaultTime = base::seconds(20);
constexpr Duration RestTime = base::seconds(40);

// FaultPattern is a fault of one server, constant or intermittent.
struct FaultPattern {
  const char *Name;
  Fault Injected;
  Duration OnTime; // zero: constant
  Duration OffTime;
};

const std::vector<FaultPattern> &getFaultPatterns() {
  static const std::vector<FaultPattern> Patterns = {
      {"stalls_all", {1, 0, 0, 1}, {}, {}},
      {"stalls_30_percent", {0.3, 0, 0, 1}, {}, {}},
      {"fails_30_percent", {0, 0.3, 0, 1}, {}, {}},
      {"slow_by_5", {0, 0, 0, 5}, {}, {}},
      {"flaps_3s_of_6s", {1, 0, 0, 1}, base::seconds(3), base::seconds(3)}};
  return Patterns;
}

// Detection holds the times from the start of a fault to the ejection, one for
// each entry in each trial, and the number of entries that didn't eject the
// server while the fault lasted.
struct Detection {
  std::vector<double> Seconds;
  std::uint64_t Missed = 0;
};

// pickHealthyServer() picks a random server that every entry sends its full
// share of requests: after an earlier fault, some may still be held off.
FakeBackend &pickHealthyServer(PolicyRun &Run) {
  while (true) {
    FakeBackend &Server = Run.Sim.Backends[base::uniformBelow(
        Run.Sim.Source, Run.Sim.Backends.size())];
    bool IsHealthy = true;
    for (std::size_t Entry = 0; Entry < EntryCount; ++Entry) {
      const routing::RoutingState &Routing = Run.Sim.Nodes[Entry].Routing;
      auto Set = Routing.Sets.find(base::ServiceName(Run.Sim.Setup.Service));
      IsHealthy =
          IsHealthy && !Run.EjectedSince.contains({Entry, Server.Name}) &&
          Routing.Servers.at(Server.Name).Record.Suspicion == 0 &&
          Set->second.Servers.at(Server.Name).Current == routing::Standing::In;
    }
    if (IsHealthy)
      return Server;
  }
}

void runTrial(PolicyRun &Run, const FaultPattern &Pattern, Detection &Result) {
  advanceTime(Run, RestTime + base::milliseconds(static_cast<std::int64_t>(
                                  base::uniformBelow(Run.Sim.Source, 1000))));
  FakeBackend &Faulty = pickHealthyServer(Run);
  TimePoint Start = Run.Sim.Now;
  std::set<std::size_t> Detected;
  Faulty.ActiveFault = Pattern.Injected;
  advanceTime(Run, FaultTime, [&] {
    Duration Elapsed = Run.Sim.Now - Start;
    bool IsActive = Pattern.OnTime == Duration{} ||
                    Elapsed.Micros % (Pattern.OnTime + Pattern.OffTime).Micros <
                        Pattern.OnTime.Micros;
    Faulty.ActiveFault = IsActive ? Pattern.Injected : Fault();
    for (std::size_t Entry = 0; Entry < EntryCount; ++Entry) {
      auto Ejection = Run.EjectedSince.find({Entry, Faulty.Name});
      if (Ejection == Run.EjectedSince.end() || Ejection->second < Start ||
          !Detected.insert(Entry).second)
        continue;
      Result.Seconds.push_back(base::toSeconds(Ejection->second - Start));
    }
  });
  Faulty.ActiveFault = Fault();
  Result.Missed += EntryCount - Detected.size();
}

double percentile(std::vector<double> Values, double Share) {
  if (Values.empty())
    return -1;
  std::sort(Values.begin(), Values.end());
  auto Index =
      static_cast<std::size_t>(Share * static_cast<double>(Values.size() - 1));
  return Values[Index];
}

nlohmann::json measureDetection(const ServiceSetup &Setup,
                                EjectionPolicy Policy,
                                const FaultPattern &Pattern, std::size_t Trials,
                                std::uint64_t Seed) {
  auto Run = makePolicyRun(Setup, Policy, 11 + Seed);
  advanceTime(*Run, WarmUpTime);
  Detection Result;
  for (std::size_t I = 0; I < Trials; ++I)
    runTrial(*Run, Pattern, Result);
  // A missed detection counts with the duration of the fault.
  std::vector<double> Seconds = Result.Seconds;
  Seconds.insert(Seconds.end(), Result.Missed, base::toSeconds(FaultTime));
  return {{"p50_s", percentile(Seconds, 0.5)},
          {"p99_s", percentile(Seconds, 0.99)},
          {"samples", Seconds.size()},
          {"missed", Result.Missed},
          {"least_capacity_percent", Run->MinCapacityPercent},
          {"floor_broken", Run->FloorViolations}};
}

void setFaults(PolicyRun &Run, const Fault &Injected) {
  for (FakeBackend &Server : Run.Sim.Backends)
    Server.ActiveFault = Injected;
}

void restartServer(PolicyRun &Run, std::size_t Number) {
  FakeBackend &Server = Run.Sim.Backends[Number % Run.Sim.Backends.size()];
  ++Server.Incarnation;
  Server.ColdStart = base::seconds(20);
  Server.ColdStartEnd = Run.Sim.Now + Server.ColdStart;
  Run.Sim.NextRenewal = Run.Sim.Now;
}

// Runs about a minute of a case in which no server should be ejected. In the
// cases service_* and flood_*, all servers of the service change alike.
void runHealthyMinute(PolicyRun &Run, const std::string &Case,
                      std::size_t Minute) {
  double NormalRate = Run.Sim.Setup.RequestsPerServer;
  if (Case == "service_slow_by_5")
    setFaults(Run, {0, 0, 0, 5});
  if (Case == "service_stalls_2s")
    setFaults(Run, {1, 0, 0, 1});
  if (Case == "flood_with_shedding") {
    Run.Sim.Setup.RequestsPerServer = 5 * NormalRate;
    setFaults(Run, {0, 0, 0.5, 2});
  }
  if (Case == "cold_start")
    restartServer(Run, Minute);
  advanceTime(Run, base::seconds(Case == "service_stalls_2s" ? 2 : 20));
  Run.Sim.Setup.RequestsPerServer = NormalRate;
  setFaults(Run, {});
  advanceTime(Run, base::seconds(40));
}

nlohmann::json measureHealthy(const ServiceSetup &Setup, EjectionPolicy Policy,
                              const std::string &Case, std::uint64_t Requests,
                              std::uint64_t Seed) {
  auto Run = makePolicyRun(Setup, Policy, 23 + Seed);
  advanceTime(*Run, WarmUpTime);
  std::uint64_t RequestsBefore = Run->Sim.RequestCount,
                EjectionsBefore = Run->Ejections;
  for (std::size_t Minute = 0;
       Run->Sim.RequestCount - RequestsBefore < Requests; ++Minute)
    runHealthyMinute(*Run, Case, Minute);
  auto RequestsRun =
      static_cast<double>(Run->Sim.RequestCount - RequestsBefore);
  auto FalseEjections = static_cast<double>(Run->Ejections - EjectionsBefore);
  return {{"requests", RequestsRun},
          {"false_ejections", FalseEjections},
          {"per_million", FalseEjections * 1e6 / RequestsRun},
          {"least_capacity_percent", Run->MinCapacityPercent},
          {"floor_broken", Run->FloorViolations}};
}

// Stalls one server in the first trial, one more in each that follows, and one
// again after all were stalled: at least FloorPercent of the slots must stay in
// use.
nlohmann::json measureManyFaulty(const ServiceSetup &Setup,
                                 EjectionPolicy Policy, std::size_t Trials,
                                 std::uint64_t Seed) {
  auto Run = makePolicyRun(Setup, Policy, 31 + Seed);
  advanceTime(*Run, WarmUpTime);
  for (std::size_t I = 0; I < Trials; ++I) {
    std::size_t FaultyCount = 1 + I % Run->Sim.Backends.size();
    for (std::size_t J = 0; J < FaultyCount; ++J)
      Run->Sim.Backends[J].ActiveFault.StallShare = 1;
    advanceTime(*Run, FaultTime);
    setFaults(*Run, {});
    advanceTime(*Run, RestTime);
  }
  return {{"least_capacity_percent", Run->MinCapacityPercent},
          {"floor_broken", Run->FloorViolations},
          {"ejections", Run->Ejections}};
}

struct Job {
  std::string Case;
  ServiceSetup Setup;
  EjectionPolicy Policy;
  std::function<nlohmann::json()> Measure;
  nlohmann::json Result;
};

std::vector<Job> makeJobs(std::size_t Trials, std::uint64_t Requests,
                          std::uint64_t Seed) {
  const std::vector<ServiceSetup> Setups = {
      {"cutlist", 11, 4, base::microseconds(500)},
      {"stocktally", 8, 4, base::microseconds(500)},
      {"field-ops", 14, 3, base::microseconds(1500)},
      {"asset-registry", 8, 3, base::microseconds(1500)}};
  std::vector<Job> Jobs;
  for (const ServiceSetup &Setup : Setups)
    for (EjectionPolicy Policy :
         {EjectionPolicy::Sequential, EjectionPolicy::Consecutive,
          EjectionPolicy::Window}) {
      for (const FaultPattern &Pattern : getFaultPatterns())
        Jobs.push_back({Pattern.Name, Setup, Policy, [=] {
                          return measureDetection(Setup, Policy, Pattern,
                                                  Trials, Seed);
                        }});
      for (const char *Case :
           {"healthy_long_tail", "service_slow_by_5", "service_stalls_2s",
            "flood_with_shedding", "cold_start"})
        Jobs.push_back({Case, Setup, Policy, [=] {
                          return measureHealthy(Setup, Policy, Case, Requests,
                                                Seed);
                        }});
      Jobs.push_back({"many_sick", Setup, Policy, [=] {
                        return measureManyFaulty(Setup, Policy, Trials, Seed);
                      }});
    }
  return Jobs;
}

void runAll(std::vector<Job> &Jobs, std::size_t Threads) {
  std::atomic<std::size_t> Next = 0;
  std::vector<std::thread> Workers;
  for (std::size_t I = 0; I < Threads; ++I)
    Workers.emplace_back([&] {
      for (std::size_t J = Next++; J < Jobs.size(); J = Next++)
        Jobs[J].Result = Jobs[J].Measure();
    });
  for (std::thread &Worker : Workers)
    Worker.join();
}

void printResults(const std::vector<Job> &Jobs) {
  nlohmann::json Rows = nlohmann::json::array();
  std::printf("%-20s %-15s %-18s figures\n", "case", "service", "policy");
  for (const Job &Finished : Jobs) {
    const char *Name = PolicyNames[static_cast<int>(Finished.Policy)];
    std::printf("%-20s %-15s %-18s", Finished.Case.c_str(),
                Finished.Setup.Service.c_str(), Name);
    nlohmann::json Row = Finished.Result;
    for (const auto &[Key, Value] : Row.items())
      std::printf(" %s=%.6g", Key.c_str(), Value.get<double>());
    std::printf("\n");
    Row["case"] = Finished.Case;
    Row["service"] = Finished.Setup.Service;
    Row["policy"] = Name;
    Rows.push_back(Row);
  }
  std::printf("%s\n", Rows.dump().c_str());
}

} // namespace
} // namespace currantgauge::bench

int main(int Count, char **Arguments) {
  auto ParseNumber = [&](int Index, std::uint64_t Default) {
    return Count > Index ? std::strtoull(Arguments[Index], nullptr, 10)
                         : Default;
  };
  std::vector<std::string> Filters(Arguments + std::min(Count, 4),
                                   Arguments + Count);
  std::uint64_t Seed = 0;
  std::erase_if(Filters, [&](const std::string &Word) {
    bool IsSeed = Word.rfind("seed=", 0) == 0;
    if (IsSeed)
      Seed = std::strtoull(Word.c_str() + 5, nullptr, 10);
    return IsSeed;
  });
  auto Jobs = currantgauge::bench::makeJobs(ParseNumber(1, 100),
                                            ParseNumber(2, 1000000), Seed);
  std::erase_if(Jobs, [&](const auto &Candidate) {
    std::string Name = Candidate.Case + "/" + Candidate.Setup.Service + "/" +
                       currantgauge::bench::PolicyNames[int(Candidate.Policy)];
    return !std::all_of(Filters.begin(), Filters.end(), [&](const auto &Word) {
      return Name.find(Word) != std::string::npos;
    });
  });
  currantgauge::bench::runAll(Jobs, ParseNumber(3, 4));
  currantgauge::bench::printResults(Jobs);
}
