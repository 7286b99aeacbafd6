// Claims of one owner against a store 8 ms away, in virtual time: claims and
// transactions a second, rows and bytes an action, added latency, and the real
// processor time of the reducer.
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

constexpr base::Duration OneWay = base::milliseconds(8);
constexpr base::Duration BackendTime = base::milliseconds(20);
constexpr base::Duration Length = base::seconds(20);

enum class Way { Plain, ById, ByKey };

struct Load {
  Way How = Way::ByKey;
  double PerSecond = 0;       // actions at this owner
  double WritesPerSecond = 0; // this node's share; zero: no limit
};

struct Bench {
  Load Given;
  core::State Node;
  base::MemoryStore Store;
  base::TimePoint Now;
  base::TimePoint NextWrite;
  std::uint64_t Sequence = 0;
  std::map<std::pair<base::TimePoint, std::uint64_t>, std::function<void()>>
      Queue;
  std::map<base::AttemptId, base::TimePoint> Asked;
  std::vector<double> AddedMillis;
  std::uint64_t Transactions = 0;
  std::uint64_t Rows = 0;
  std::uint64_t Bytes = 0;
  std::uint64_t Refused = 0;
  double ReducerSeconds = 0;
};

void reduceAt(Bench &In, core::EventBody Body);

void after(Bench &In, base::Duration Delay, std::function<void()> What) {
  In.Queue.emplace(std::make_pair(In.Now + Delay, ++In.Sequence),
                   std::move(What));
}

void carryOut(Bench &In, const core::CallStore &Call) {
  base::Duration Wait;
  if (const auto *Writes = std::get_if<base::WriteRows>(&Call.Operation)) {
    ++In.Transactions;
    In.Rows += Writes->Rows.size();
    for (const base::RowWrite &Row : Writes->Rows)
      In.Bytes += Row.Key.size() + Row.Value.size();
    if (In.Given.WritesPerSecond > 0) {
      base::TimePoint At = std::max(In.Now, In.NextWrite);
      In.NextWrite = At + base::microseconds(static_cast<std::int64_t>(
                              1e6 / In.Given.WritesPerSecond));
      Wait = At - In.Now;
    }
  }
  after(In, Wait + OneWay, [&In, Call] {
    core::StoreAnswered Answer{Call.Call,
                               base::applyOperation(In.Store, Call.Operation)};
    after(In, OneWay, [&In, Answer] { reduceAt(In, Answer); });
  });
}

void carryOut(Bench &In, const core::SendToBackend &Send) {
  base::Duration Added = In.Now - In.Asked.at(Send.Attempt);
  In.AddedMillis.push_back(base::toSeconds(Added) * 1e3);
  after(In, BackendTime, [&In, Attempt = Send.Attempt] {
    core::ExchangeEnded Ended;
    Ended.Attempt = Attempt;
    Ended.Outcome.AnyByteSent = true;
    Ended.Outcome.AnswerComplete = true;
    Ended.Outcome.Status = 200;
    Ended.Outcome.AnswerBytes = base::ByteCount{200};
    reduceAt(In, Ended);
  });
}

void carryOut(Bench &In, const core::EndAttempt &End) {
  if (End.Outcome.Verdict != base::Verdict::Ran)
    ++In.Refused;
}

void carryOut(Bench &In, const core::WakeAt &Wake) {
  if (Wake.Time < base::TimePoint{} + Length)
    after(In, Wake.Time - In.Now, [&In] { reduceAt(In, core::TimerFired{}); });
}

template <typename Other> void carryOut(Bench &, const Other &) {}

void reduceAt(Bench &In, core::EventBody Body) {
  core::EffectList Effects;
  auto Begin = std::chrono::steady_clock::now();
  core::reduce(
      In.Node,
      core::Event{In.Now, base::UnixTime{1700000000000}, std::move(Body)},
      Effects);
  std::chrono::duration<double> Spent =
      std::chrono::steady_clock::now() - Begin;
  In.ReducerSeconds += Spent.count();
  for (const core::Effect &Item : Effects)
    std::visit([&](const auto &What) { carryOut(In, What); }, Item);
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

void ask(Bench &In, std::uint64_t Number) {
  core::AttemptArrived Arrival;
  Arrival.Facts.Attempt = base::AttemptId{7, Number};
  Arrival.Facts.Request = base::RequestId{7, Number};
  Arrival.Facts.Service = base::ServiceName("cutlist");
  Arrival.Facts.Kind = base::KindName("commit-cut-order");
  Arrival.Facts.Rank = base::RankName("urgent");
  Arrival.Facts.Workspace = base::WorkspaceName("depot-12");
  Arrival.Facts.Idempotent = false;
  Arrival.Facts.TimeLeft = base::seconds(5);
  if (In.Given.How == Way::ByKey)
    Arrival.Facts.IdempotencyKey = base::IdempotencyKey(
        "8d3f1c52-6a0e-4f7b-9b1d-" + std::to_string(100000000000 + Number));
  Arrival.Facts.Permitted = In.Given.How == Way::ById;
  if (Arrival.Facts.Permitted)
    Arrival.Facts.Action = base::ActionToken(std::to_string(Number));
  In.Asked[Arrival.Facts.Attempt] = In.Now;
  reduceAt(In, Arrival);
}

// planAsks() spaces asks as independent callers do.
void planAsks(Bench &In) {
  base::Random Source(7);
  double At = 0;
  for (std::uint64_t Number = 1;; ++Number) {
    At -= std::log(1 - base::uniformUnit(Source)) / In.Given.PerSecond;
    if (At >= base::toSeconds(Length))
      return;
    after(In, base::microseconds(static_cast<std::int64_t>(At * 1e6)),
          [&In, Number] { ask(In, Number); });
  }
}

double quantile(std::vector<double> &Values, double Share) {
  if (Values.empty())
    return 0;
  std::sort(Values.begin(), Values.end());
  return Values[static_cast<std::size_t>(
      Share * static_cast<double>(Values.size() - 1))];
}

void run(const char *Name, const Load &Given) {
  Bench In;
  In.Given = Given;
  core::NodeIdentity Self;
  Self.Name = base::NodeName("node-north-a-1");
  Self.Incarnation = base::Incarnation(0x18c2a4b7d3e1f);
  In.Node = core::makeState(Self, 1);
  In.Node.Config.Current = makeConfig();
  core::BackendAnnounced Word;
  Word.Announcement.Name = base::BackendName("cutlist-1");
  Word.Announcement.Service = base::ServiceName("cutlist");
  Word.Announcement.Incarnation = base::Incarnation(1);
  Word.Announcement.Slots = 100000;
  reduceAt(In, Word);
  core::setTimer(In.Node.Timers, In.Now, core::ActionRound{});
  reduceAt(In, core::TimerFired{});
  planAsks(In);
  while (!In.Queue.empty()) {
    auto Next = In.Queue.begin();
    In.Now = Next->first.first;
    std::function<void()> What = std::move(Next->second);
    In.Queue.erase(Next);
    What();
  }
  double Seconds = base::toSeconds(Length);
  auto Ran = static_cast<double>(In.AddedMillis.size());
  std::printf("%-6s %7.0f %7.0f | %8.1f %7.1f %8llu | %5.2f %6.0f | %6.1f "
              "%6.1f | %5.1f\n",
              Name, Given.PerSecond, Given.WritesPerSecond, Ran / Seconds,
              static_cast<double>(In.Transactions) / Seconds,
              static_cast<unsigned long long>(In.Refused),
              static_cast<double>(In.Rows) / Ran,
              static_cast<double>(In.Bytes) / Ran,
              quantile(In.AddedMillis, 0.5), quantile(In.AddedMillis, 0.99),
              In.ReducerSeconds * 1e6 / Ran);
}

} // namespace
} // namespace currantgauge

int main() {
  using namespace currantgauge;
  std::printf("       asked/s writes/s |    ran/s  trans/s  refused |  rows  "
              "bytes |    p50    p99 |    us\n");
  std::printf("               (share)  |                            |  per "
              "action  | added ms      | per action\n");
  run("plain", {Way::Plain, 500, 0});
  run("by id", {Way::ById, 500, 0});
  for (double Rate : {10.0, 100.0, 500.0, 2000.0, 5000.0})
    run("by key", {Way::ByKey, Rate, 0});
  for (double Share : {60.0, 20.0, 10.0, 5.0})
    run("by key", {Way::ByKey, 100, Share});
}
