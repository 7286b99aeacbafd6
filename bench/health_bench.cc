// Detection time, false ejections and capacity left, in virtual time, beside
// two baselines: five consecutive failures, and a plain error-rate window.
//
//   health_bench [trials a kind] [requests a healthy case] [threads] [word...]
// runs the cases whose case/service/policy has all the words. The word seed=N
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

constexpr Duration WarmUp = base::seconds(90);
constexpr Duration FaultTime = base::seconds(20);
constexpr Duration RestTime = base::seconds(40);
// Gray is a kind of sickness and its rhythm.
struct Gray {
  const char *Name;
  Sickness How;
  Duration On; // zero: all the time
  Duration Off;
};

const std::vector<Gray> &grayKinds() {
  static const std::vector<Gray> Kinds = {
      {"stalls_all", {1, 0, 0, 1}, {}, {}},
      {"stalls_30_percent", {0.3, 0, 0, 1}, {}, {}},
      {"fails_30_percent", {0, 0.3, 0, 1}, {}, {}},
      {"slow_by_5", {0, 0, 0, 5}, {}, {}},
      {"flaps_3s_of_6s", {1, 0, 0, 1}, base::seconds(3), base::seconds(3)}};
  return Kinds;
}

struct Detection {
  std::vector<double> Seconds;
  std::uint64_t Missed = 0;
};

// pickWell() returns a server that every entry sends its full share: the
// hold-off after an earlier trial may not be over.
Fake &pickWell(Run &Now) {
  while (true) {
    Fake &Server = Now.World.Fakes[base::uniformBelow(Now.World.Source,
                                                      Now.World.Fakes.size())];
    bool Well = true;
    for (std::size_t Entry = 0; Entry < EntryCount; ++Entry) {
      const routing::RoutingState &Routing = Now.World.Nodes[Entry].Routing;
      auto Set = Routing.Sets.find(base::ServiceName(Now.World.What.Service));
      Well =
          Well && !Now.OutSince.contains({Entry, Server.Name}) &&
          Routing.Servers.at(Server.Name).Record.Suspicion == 0 &&
          Set->second.Servers.at(Server.Name).Current == routing::Standing::In;
    }
    if (Well)
      return Server;
  }
}

void trial(Run &Now, const Gray &Kind, Detection &Found) {
  pass(Now, RestTime + base::milliseconds(static_cast<std::int64_t>(
                           base::uniformBelow(Now.World.Source, 1000))));
  Fake &Sick = pickWell(Now);
  TimePoint Start = Now.World.Now;
  std::set<std::size_t> Done;
  Sick.Now = Kind.How;
  pass(Now, FaultTime, [&] {
    Duration Since = Now.World.Now - Start;
    bool On = Kind.On == Duration{} ||
              Since.Micros % (Kind.On + Kind.Off).Micros < Kind.On.Micros;
    Sick.Now = On ? Kind.How : Sickness();
    for (std::size_t Entry = 0; Entry < EntryCount; ++Entry) {
      auto Out = Now.OutSince.find({Entry, Sick.Name});
      if (Out == Now.OutSince.end() || Out->second < Start ||
          !Done.insert(Entry).second)
        continue;
      Found.Seconds.push_back(base::toSeconds(Out->second - Start));
    }
  });
  Sick.Now = Sickness();
  Found.Missed += EntryCount - Done.size();
}

double percentile(std::vector<double> Values, double Share) {
  if (Values.empty())
    return -1;
  std::sort(Values.begin(), Values.end());
  auto At =
      static_cast<std::size_t>(Share * static_cast<double>(Values.size() - 1));
  return Values[At];
}

nlohmann::json detect(const Shape &What, Policy Which, const Gray &Kind,
                      std::size_t Trials, std::uint64_t Seed) {
  auto Now = makeRun(What, Which, 11 + Seed);
  pass(*Now, WarmUp);
  Detection Found;
  for (std::size_t I = 0; I < Trials; ++I)
    trial(*Now, Kind, Found);
  // What was missed took longer than the fault lasted.
  std::vector<double> All = Found.Seconds;
  All.insert(All.end(), Found.Missed, base::toSeconds(FaultTime));
  return {{"p50_s", percentile(All, 0.5)},
          {"p99_s", percentile(All, 0.99)},
          {"samples", All.size()},
          {"missed", Found.Missed},
          {"least_capacity_percent", Now->LeastCapacity},
          {"floor_broken", Now->FloorBroken}};
}

void setAll(Run &Now, const Sickness &How) {
  for (Fake &Server : Now.World.Fakes)
    Server.Now = How;
}

void restartOne(Run &Now, std::size_t Number) {
  Fake &Server = Now.World.Fakes[Number % Now.World.Fakes.size()];
  ++Server.Life;
  Server.ColdStart = base::seconds(20);
  Server.WarmAt = Now.World.Now + Server.ColdStart;
  Now.World.NextRenewal = Now.World.Now;
}

// Healthy cases: a minute of each, until the requests are through.
void healthyMinute(Run &Now, const std::string &Case, std::size_t Minute) {
  double Usual = Now.World.What.PerServer;
  if (Case == "service_slow_by_5")
    setAll(Now, {0, 0, 0, 5});
  if (Case == "service_stalls_2s")
    setAll(Now, {1, 0, 0, 1});
  if (Case == "flood_with_shedding") {
    Now.World.What.PerServer = 5 * Usual;
    setAll(Now, {0, 0, 0.5, 2});
  }
  if (Case == "cold_start")
    restartOne(Now, Minute);
  pass(Now, base::seconds(Case == "service_stalls_2s" ? 2 : 20));
  Now.World.What.PerServer = Usual;
  setAll(Now, {});
  pass(Now, base::seconds(40));
}

nlohmann::json healthy(const Shape &What, Policy Which, const std::string &Case,
                       std::uint64_t Requests, std::uint64_t Seed) {
  auto Now = makeRun(What, Which, 23 + Seed);
  pass(*Now, WarmUp);
  std::uint64_t Before = Now->World.Requests, Early = Now->Ejections;
  for (std::size_t Minute = 0; Now->World.Requests - Before < Requests;
       ++Minute)
    healthyMinute(*Now, Case, Minute);
  auto Ran = static_cast<double>(Now->World.Requests - Before);
  auto False = static_cast<double>(Now->Ejections - Early);
  return {{"requests", Ran},
          {"false_ejections", False},
          {"per_million", False * 1e6 / Ran},
          {"least_capacity_percent", Now->LeastCapacity},
          {"floor_broken", Now->FloorBroken}};
}

// Seven of ten servers stall: the floor must keep half of the slots in.
nlohmann::json manySick(const Shape &What, Policy Which, std::size_t Trials,
                        std::uint64_t Seed) {
  auto Now = makeRun(What, Which, 31 + Seed);
  pass(*Now, WarmUp);
  for (std::size_t I = 0; I < Trials; ++I) {
    std::size_t Sick = 1 + I % Now->World.Fakes.size();
    for (std::size_t J = 0; J < Sick; ++J)
      Now->World.Fakes[J].Now.StallShare = 1;
    pass(*Now, FaultTime);
    setAll(*Now, {});
    pass(*Now, RestTime);
  }
  return {{"least_capacity_percent", Now->LeastCapacity},
          {"floor_broken", Now->FloorBroken},
          {"ejections", Now->Ejections}};
}

struct Job {
  std::string Case;
  Shape What;
  Policy Which;
  std::function<nlohmann::json()> Run;
  nlohmann::json Result;
};

std::vector<Job> makeJobs(std::size_t Trials, std::uint64_t Requests,
                          std::uint64_t Seed) {
  const std::vector<Shape> Shapes = {
      {"cutlist", 11, 4, base::microseconds(500)},
      {"stocktally", 8, 4, base::microseconds(500)},
      {"field-ops", 14, 3, base::microseconds(1500)},
      {"asset-registry", 8, 3, base::microseconds(1500)}};
  std::vector<Job> Jobs;
  for (const Shape &What : Shapes)
    for (Policy Which :
         {Policy::Sequential, Policy::Consecutive, Policy::Window}) {
      for (const Gray &Kind : grayKinds())
        Jobs.push_back({Kind.Name, What, Which, [=] {
                          return detect(What, Which, Kind, Trials, Seed);
                        }});
      for (const char *Case :
           {"healthy_long_tail", "service_slow_by_5", "service_stalls_2s",
            "flood_with_shedding", "cold_start"})
        Jobs.push_back({Case, What, Which, [=] {
                          return healthy(What, Which, Case, Requests, Seed);
                        }});
      Jobs.push_back({"many_sick", What, Which,
                      [=] { return manySick(What, Which, Trials, Seed); }});
    }
  return Jobs;
}

void runAll(std::vector<Job> &Jobs, std::size_t Threads) {
  std::atomic<std::size_t> Next = 0;
  std::vector<std::thread> Workers;
  for (std::size_t I = 0; I < Threads; ++I)
    Workers.emplace_back([&] {
      for (std::size_t J = Next++; J < Jobs.size(); J = Next++)
        Jobs[J].Result = Jobs[J].Run();
    });
  for (std::thread &Worker : Workers)
    Worker.join();
}

void print(const std::vector<Job> &Jobs) {
  nlohmann::json All = nlohmann::json::array();
  std::printf("%-20s %-15s %-18s figures\n", "case", "service", "policy");
  for (const Job &One : Jobs) {
    const char *Name = PolicyNames[static_cast<int>(One.Which)];
    std::printf("%-20s %-15s %-18s", One.Case.c_str(), One.What.Service.c_str(),
                Name);
    nlohmann::json Row = One.Result;
    for (const auto &[Key, Value] : Row.items())
      std::printf(" %s=%.6g", Key.c_str(), Value.get<double>());
    std::printf("\n");
    Row["case"] = One.Case;
    Row["service"] = One.What.Service;
    Row["policy"] = Name;
    All.push_back(Row);
  }
  std::printf("%s\n", All.dump().c_str());
}

} // namespace
} // namespace currantgauge::bench

int main(int Count, char **Words) {
  auto Number = [&](int At, std::uint64_t Default) {
    return Count > At ? std::strtoull(Words[At], nullptr, 10) : Default;
  };
  std::vector<std::string> Only(Words + std::min(Count, 4), Words + Count);
  std::uint64_t Seed = 0;
  std::erase_if(Only, [&](const std::string &Word) {
    bool IsSeed = Word.rfind("seed=", 0) == 0;
    if (IsSeed)
      Seed = std::strtoull(Word.c_str() + 5, nullptr, 10);
    return IsSeed;
  });
  auto Jobs =
      currantgauge::bench::makeJobs(Number(1, 100), Number(2, 1000000), Seed);
  std::erase_if(Jobs, [&](const auto &One) {
    std::string Name = One.Case + "/" + One.What.Service + "/" +
                       currantgauge::bench::PolicyNames[int(One.Which)];
    return !std::all_of(Only.begin(), Only.end(), [&](const auto &Word) {
      return Name.find(Word) != std::string::npos;
    });
  });
  currantgauge::bench::runAll(Jobs, Number(3, 4));
  currantgauge::bench::print(Jobs);
}
