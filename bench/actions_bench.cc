// Measures the claims of one owner against a store with a one-way delay of 8
// ms, in virtual time: actions and transactions per second, rows and bytes per
// action, the added latency, and the real processor time of the reducer.
//
//   ./build/actions_bench
#include "currantgauge/actions/claim_row.h"
#include "currantgauge/base/memory_store.h"
#include "currantgauge/core/reduce.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace currantgauge {
namespace {

constexpr base::Duration OneWayDelay = base::milliseconds(8);
constexpr base::Duration ServiceTime = base::milliseconds(20);
constexpr base::Duration RunTime = base::seconds(20);

// ClaimMode is how an action is identified: not at all (its attempts need no
// claim), by an action id or by an idempotency key.
enum class ClaimMode { Plain, ById, ByKey };

struct Load {
  ClaimMode Mode = ClaimMode::ByKey;
  double PerSecond = 0;       // actions at this owner
  double WritesPerSecond = 0; // the node's share of the store; 0: no limit
};

struct Simulation {
  Load Offered;
  core::State Node;
  base::MemoryStore Store;
  base::TimePoint Now;
  base::TimePoint NextWrite;
  std::uint64_t Sequence = 0;
  std::map<std::pair<base::TimePoint, std::uint64_t>, std::function<void()>>
      Queue;
  std::map<base::AttemptId, base::TimePoint> ArrivalTimes;
  std::vector<double> AddedMillis; // from arrival to sending to the server
  std::uint64_t Transactions = 0;
  std::uint64_t Rows = 0;
  std::uint64_t Bytes = 0;
  std::uint64_t Refused = 0;
  double ReducerSeconds = 0;
};

void reduceAt(Simulation &Sim, core::EventBody Body);

void scheduleAfter(Simulation &Sim, base::Duration Delay,
                   std::function<void()> Callback) {
  Sim.Queue.emplace(std::make_pair(Sim.Now + Delay, ++Sim.Sequence),
                    std::move(Callback));
}

void handleEffect(Simulation &Sim, const core::CallStore &Call) {
  base::Duration Wait;
  if (const auto *Writes = std::get_if<base::WriteRows>(&Call.Operation)) {
    ++Sim.Transactions;
    Sim.Rows += Writes->Rows.size();
    for (const base::RowWrite &Row : Writes->Rows)
      Sim.Bytes += Row.Key.size() + Row.Value.size();
    if (Sim.Offered.WritesPerSecond > 0) {
      base::TimePoint WriteTime = std::max(Sim.Now, Sim.NextWrite);
      Sim.NextWrite = WriteTime + base::microseconds(static_cast<std::int64_t>(
                                      1e6 / Sim.Offered.WritesPerSecond));
      Wait = WriteTime - Sim.Now;
    }
  }
  scheduleAfter(Sim, Wait + OneWayDelay, [&Sim, Call] {
    core::StoreAnswered Answer{Call.Call,
                               base::applyOperation(Sim.Store, Call.Operation)};
    scheduleAfter(Sim, OneWayDelay, [&Sim, Answer] { reduceAt(Sim, Answer); });
  });
}

void handleEffect(Simulation &Sim, const core::SendToBackend &Send) {
  base::Duration AddedLatency = Sim.Now - Sim.ArrivalTimes.at(Send.Attempt);
  Sim.AddedMillis.push_back(base::toSeconds(AddedLatency) * 1e3);
  scheduleAfter(Sim, ServiceTime, [&Sim, Attempt = Send.Attempt] {
    core::ExchangeEnded Ended;
    Ended.Attempt = Attempt;
    Ended.Outcome.AnyByteSent = true;
    Ended.Outcome.AnswerComplete = true;
    Ended.Outcome.Status = 200;
    Ended.Outcome.AnswerBytes = base::ByteCount{200};
    reduceAt(Sim, Ended);
  });
}

void handleEffect(Simulation &Sim, const core::EndAttempt &End) {
  if (End.Outcome.Verdict != base::Verdict::Ran)
    ++Sim.Refused;
}

void handleEffect(Simulation &Sim, const core::WakeAt &Wake) {
  if (Wake.Time < base::TimePoint{} + RunTime)
    scheduleAfter(Sim, Wake.Time - Sim.Now,
                  [&Sim] { reduceAt(Sim, core::TimerFired{}); });
}

template <typename Other> void handleEffect(Simulation &, const Other &) {}

void reduceAt(Simulation &Sim, core::EventBody Body) {
  core::EffectList Effects;
  auto Begin = std::chrono::steady_clock::now();
  core::reduce(
      Sim.Node,
      core::Event{Sim.Now, base::UnixTime{1700000000000}, std::move(Body)},
      Effects);
  std::chrono::duration<double> Spent =
      std::chrono::steady_clock::now() - Begin;
  Sim.ReducerSeconds += Spent.count();
  for (const core::Effect &Item : Effects)
    std::visit([&](const auto &Effect) { handleEffect(Sim, Effect); }, Item);
}

config::ConfigurationPtr makeConfig() {
  auto *Config = new config::Configuration;
  config::ServiceSettings &Service =
      Config->Services[base::ServiceName("cutlist")];
  Service.Name = base::ServiceName("cutlist");
  Service.QueueLength = 100000;
  Config->Ranks[base::RankName("urgent")].Name = base::RankName("urgent");
  config::indexRoutes(*Config);
  return config::ConfigurationPtr(Config);
}

void startAttempt(Simulation &Sim, std::uint64_t Number) {
  core::AttemptArrived Arrival;
  Arrival.Facts.Attempt = base::AttemptId{7, Number};
  Arrival.Facts.Request = base::RequestId{7, Number};
  Arrival.Facts.Service = base::ServiceName("cutlist");
  Arrival.Facts.Kind = base::KindName("commit-cut-order");
  Arrival.Facts.Rank = base::RankName("urgent");
  Arrival.Facts.Workspace = base::WorkspaceName("depot-12");
  Arrival.Facts.Idempotent = false;
  Arrival.Facts.TimeLeft = base::seconds(5);
  if (Sim.Offered.Mode == ClaimMode::ByKey)
    Arrival.Facts.IdempotencyKey = base::IdempotencyKey(
        "8d3f1c52-6a0e-4f7b-9b1d-" + std::to_string(100000000000 + Number));
  Arrival.Facts.Permitted = Sim.Offered.Mode == ClaimMode::ById;
  if (Arrival.Facts.Permitted)
    Arrival.Facts.Action = base::ActionToken(std::to_string(Number));
  Sim.ArrivalTimes[Arrival.Facts.Attempt] = Sim.Now;
  reduceAt(Sim, Arrival);
}

// scheduleArrivals() schedules attempts with exponential interarrival times, as
// from independent callers.
void scheduleArrivals(Simulation &Sim) {
  base::Random Source(7);
  double Seconds = 0;
  for (std::uint64_t Number = 1;; ++Number) {
    Seconds -= std::log(1 - base::uniformUnit(Source)) / Sim.Offered.PerSecond;
    if (Seconds >= base::toSeconds(RunTime))
      return;
    scheduleAfter(Sim,
                  base::microseconds(static_cast<std::int64_t>(Seconds * 1e6)),
                  [&Sim, Number] { startAttempt(Sim, Number); });
  }
}

double quantile(std::vector<double> &Values, double Share) {
  if (Values.empty())
    return 0;
  std::sort(Values.begin(), Values.end());
  return Values[static_cast<std::size_t>(
      Share * static_cast<double>(Values.size() - 1))];
}

void run(const char *Name, const Load &Offered) {
  Simulation Sim;
  Sim.Offered = Offered;
  core::NodeIdentity Self;
  Self.Name = base::NodeName("node-north-a-1");
  Self.Incarnation = base::Incarnation(0x18c2a4b7d3e1f);
  Sim.Node = core::makeState(Self, 1);
  Sim.Node.Config.Current = makeConfig();
  core::BackendAnnounced Announced;
  Announced.Announcement.Name = base::BackendName("cutlist-1");
  Announced.Announcement.Service = base::ServiceName("cutlist");
  Announced.Announcement.Incarnation = base::Incarnation(1);
  Announced.Announcement.Slots = 100000;
  reduceAt(Sim, Announced);
  core::setTimer(Sim.Node.Timers, Sim.Now, core::ActionRound{});
  reduceAt(Sim, core::TimerFired{});
  scheduleArrivals(Sim);
  while (!Sim.Queue.empty()) {
    auto Next = Sim.Queue.begin();
    Sim.Now = Next->first.first;
    std::function<void()> Callback = std::move(Next->second);
    Sim.Queue.erase(Next);
    Callback();
  }
  double Seconds = base::toSeconds(RunTime);
  auto Ran = static_cast<double>(Sim.AddedMillis.size());
  std::printf("%-6s %7.0f %7.0f | %8.1f %7.1f %8llu | %5.2f %6.0f | %6.1f "
              "%6.1f | %5.1f\n",
              Name, Offered.PerSecond, Offered.WritesPerSecond, Ran / Seconds,
              static_cast<double>(Sim.Transactions) / Seconds,
              static_cast<unsigned long long>(Sim.Refused),
              static_cast<double>(Sim.Rows) / Ran,
              static_cast<double>(Sim.Bytes) / Ran,
              quantile(Sim.AddedMillis, 0.5), quantile(Sim.AddedMillis, 0.99),
              Sim.ReducerSeconds * 1e6 / Ran);
}

} // namespace
} // namespace currantgauge

int main() {
  using namespace currantgauge;
  // The columns before the first bar are settings, the others are results.
  std::printf("       asked/s writes/s |    ran/s  trans/s  refused |  rows  "
              "bytes |    p50    p99 |    us\n");
  std::printf("               (share)  |                            |  per "
              "action  | added ms      | per action\n");
  run("plain", {ClaimMode::Plain, 500, 0});
  run("by id", {ClaimMode::ById, 500, 0});
  for (double Rate : {10.0, 100.0, 500.0, 2000.0, 5000.0})
    run("by key", {ClaimMode::ByKey, Rate, 0});
  for (double Share : {60.0, 20.0, 10.0, 5.0})
    run("by key", {ClaimMode::ByKey, 100, Share});
}
