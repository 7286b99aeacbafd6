// What membership costs and how fast it is, in virtual time with fixed seeds:
//
//   build/membership_bench 3 12 24 48 200 1000 > membership.json
//
// Bytes are those of the encoded messages that a node sends, on average over
// all nodes; a node receives as many. Headers of HTTP/2 and below come on top,
// by the number of messages.
#include "currantgauge/membership/fake_network_test.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <set>
#include <string>
#include <vector>

namespace {

using namespace currantgauge;
using membership::FakeNetwork;
using membership::FakeNode;
using nlohmann::json;

constexpr base::Duration Window = base::seconds(60);
constexpr int ChangesMeasured = 100;
constexpr int ReplacementsMeasured = 5;
constexpr int KillsMeasured = 30;

std::uint64_t steadyNanos() {
  return static_cast<std::uint64_t>(
      std::chrono::steady_clock::now().time_since_epoch().count());
}

// Totals over all nodes that run.
struct Totals {
  double Nodes = 0;
  double Bytes = 0;
  double FarBytes = 0;
  double Messages = 0;
  double Micros = 0;
};

Totals totals(const FakeNetwork &Net) {
  Totals Sum;
  for (const auto &Item : Net.Nodes) {
    Sum.Nodes += Item->Up ? 1 : 0;
    Sum.Bytes += static_cast<double>(Item->Bytes);
    Sum.FarBytes += static_cast<double>(Item->CrossRegionBytes);
    Sum.Messages += static_cast<double>(Item->Messages);
    Sum.Micros += static_cast<double>(Item->ReduceNanos) / 1000;
  }
  return Sum;
}

double since(double After, double Before, const Totals &Now) {
  return (After - Before) / Now.Nodes;
}

json rates(const FakeNetwork &Net, const Totals &Before, double Seconds) {
  Totals Now = totals(Net);
  return json{
      {"bytes_per_second", since(Now.Bytes, Before.Bytes, Now) / Seconds},
      {"far_bytes_per_second",
       since(Now.FarBytes, Before.FarBytes, Now) / Seconds},
      {"messages_per_second",
       since(Now.Messages, Before.Messages, Now) / Seconds},
      {"reduce_micros_per_second",
       since(Now.Micros, Before.Micros, Now) / Seconds}};
}

json spread(std::vector<double> Millis) {
  std::sort(Millis.begin(), Millis.end());
  return json{{"p50", Millis[Millis.size() / 2]}, {"max", Millis.back()}};
}

std::string serverName(std::size_t Owner, std::size_t Index) {
  return "cutlist-" + std::to_string(Owner) + "-" + std::to_string(Index);
}

// A fleet that starts at once, left alone until no rumour is under way. Returns
// how long that took, and what it cost.
json settleFleet(FakeNetwork &Net, std::size_t Count, std::size_t Servers) {
  Net.Clock = steadyNanos;
  base::TimePoint Start = Net.Now;
  addNodes(Net, Count);
  membership::runUntil(Net, base::minutes(5),
                       [&] { return hasConverged(Net); });
  for (std::size_t Owner = 0; Owner < Count; ++Owner)
    for (std::size_t Index = 0; Index < Servers; ++Index)
      announceServer(Net, Owner, serverName(Owner, Index));
  membership::runUntil(Net, base::minutes(30), [&] {
    return countNodes(Net, [](const core::State &Node) {
             return !Node.Membership.Rumours.Pending.empty();
           }) == 0;
  });
  run(Net, base::seconds(30));
  Totals Now = totals(Net);
  return json{{"seconds", base::toSeconds(Net.Now - Start) - 30},
              {"bytes_per_node", Now.Bytes / Now.Nodes}};
}

json measureIdle(FakeNetwork &Net) {
  Totals Before = totals(Net);
  run(Net, Window);
  return rates(Net, Before, base::toSeconds(Window));
}

double shareKnowing(const FakeNetwork &Net, const base::BackendName &Name,
                    routing::BackendPhase Phase) {
  return static_cast<double>(countNodes(Net, [&](const core::State &Node) {
    auto Found = Node.Routing.Servers.find(Name);
    return Found != Node.Routing.Servers.end() &&
           Found->second.Record.Phase == Phase;
  }));
}

// The extra bytes of changes beside the idle ones, and the time until the last
// node knows.
json measureChanges(FakeNetwork &Net, double IdleBytes) {
  Totals Before = totals(Net);
  base::TimePoint Start = Net.Now;
  std::vector<double> Millis;
  for (int Change = 0; Change < ChangesMeasured; ++Change) {
    std::size_t Owner = base::uniformBelow(Net.Source, Net.Nodes.size());
    base::BackendName Name(serverName(Owner, 0));
    auto Phase = Net.Nodes[Owner]->Node.Routing.Servers.at(Name).Record.Phase;
    Phase = Phase == routing::BackendPhase::Ready
                ? routing::BackendPhase::Leaving
                : routing::BackendPhase::Ready;
    // A server that left is ready again in its next life alone.
    std::uint64_t Life = Net.Nodes[Owner]
                             ->Node.Routing.Servers.at(Name)
                             .Record.Incarnation.Value;
    announceServer(Net, Owner, Name.Value, Phase,
                   Phase == routing::BackendPhase::Ready ? Life + 1 : Life);
    Millis.push_back(base::toSeconds(membership::runUntil(
                         Net, base::seconds(30),
                         [&] {
                           return shareKnowing(Net, Name, Phase) ==
                                  totals(Net).Nodes;
                         })) *
                     1000);
    run(Net, base::seconds(3));
  }
  run(Net, base::seconds(30));
  Totals Now = totals(Net);
  double Seconds = base::toSeconds(Net.Now - Start);
  double Extra = since(Now.Bytes, Before.Bytes, Now) - IdleBytes * Seconds;
  return json{{"bytes_per_node", Extra / ChangesMeasured},
              {"known_everywhere_ms", spread(Millis)}};
}

void startAgain(FakeNetwork &Net, std::size_t Index, std::size_t Servers,
                std::uint64_t Life) {
  FakeNode Before = std::move(*Net.Nodes[Index]);
  startNode(Net, Index, {0, 1}, Life);
  Net.Nodes[Index]->Bytes = Before.Bytes;
  Net.Nodes[Index]->CrossRegionBytes = Before.CrossRegionBytes;
  Net.Nodes[Index]->Messages = Before.Messages;
  Net.Nodes[Index]->ReduceNanos = Before.ReduceNanos;
  for (std::size_t Server = 0; Server < Servers; ++Server)
    announceServer(Net, Index, serverName(Index, Server),
                   routing::BackendPhase::Ready, Life);
}

// Nodes that stop and start again with new servers.
json measureReplacements(FakeNetwork &Net, std::size_t Servers,
                         double IdleBytes) {
  Totals Before = totals(Net);
  base::TimePoint Start = Net.Now;
  for (int Round = 0; Round < ReplacementsMeasured; ++Round) {
    std::size_t Index =
        2 + base::uniformBelow(Net.Source, Net.Nodes.size() - 2);
    deliver(Net, Index, core::StopRequested{});
    Net.Nodes[Index]->Up = false;
    run(Net, base::seconds(5));
    startAgain(Net, Index, Servers, 2000 + static_cast<std::uint64_t>(Round));
    run(Net, base::seconds(15));
  }
  Totals Now = totals(Net);
  double Seconds = base::toSeconds(Net.Now - Start);
  double Extra = since(Now.Bytes, Before.Bytes, Now) - IdleBytes * Seconds;
  return json{{"bytes_per_node", Extra / ReplacementsMeasured},
              {"known_everywhere", hasConverged(Net)}};
}

json measureKills(FakeNetwork &Net, std::size_t Servers) {
  std::vector<double> First, Avoided;
  for (int Kill = 0; Kill < KillsMeasured; ++Kill) {
    std::size_t Index =
        2 + base::uniformBelow(Net.Source, Net.Nodes.size() - 2);
    base::NodeName Name = Net.Nodes[Index]->Node.Self.Name;
    Net.Nodes[Index]->Up = false;
    auto CountAvoiding = [&] {
      return countNodes(Net, [&](const core::State &Node) {
        return !isReachable(Node.Membership, Name);
      });
    };
    base::TimePoint Start = Net.Now;
    membership::runUntil(Net, base::seconds(60),
                         [&] { return CountAvoiding() > 0; });
    First.push_back(base::toSeconds(Net.Now - Start) * 1000);
    membership::runUntil(Net, base::seconds(60), [&] {
      return CountAvoiding() + 1 == Net.Nodes.size();
    });
    Avoided.push_back(base::toSeconds(Net.Now - Start) * 1000);
    run(Net, base::seconds(20));
    startAgain(Net, Index, Servers, 3000 + static_cast<std::uint64_t>(Kill));
    run(Net, base::seconds(15));
  }
  return json{{"first_suspicion_ms", spread(First)},
              {"avoided_everywhere_ms", spread(Avoided)}};
}

json measureSize(std::size_t Count, std::size_t Servers) {
  FakeNetwork Net;
  json Result{{"nodes", Count}, {"servers", Count * Servers}};
  Result["fleet_start"] = settleFleet(Net, Count, Servers);
  Result["idle"] = measureIdle(Net);
  double Idle = Result["idle"]["bytes_per_second"];
  Result["server_change"] = measureChanges(Net, Idle);
  Result["node_replaced"] = measureReplacements(Net, Servers, Idle);
  Result["node_killed"] = measureKills(Net, Servers);
  Result["largest_message_bytes"] = Net.LargestMessage;
  Result["largest_sync_bytes"] = Net.LargestSync;
  return Result;
}

} // namespace

int main(int Count, char **Arguments) {
  std::vector<std::size_t> Sizes;
  for (int Index = 1; Index < Count; ++Index)
    Sizes.push_back(std::strtoul(Arguments[Index], nullptr, 10));
  if (Sizes.empty())
    Sizes = {3, 12, 24, 48, 200, 1000};
  json Results = json::array();
  for (std::size_t Size : Sizes)
    Results.push_back(measureSize(std::max<std::size_t>(Size, 3), 1));
  std::cout << Results.dump(2) << "\n";
}
