// Measures the traffic and the speed of membership in virtual time with fixed
// seeds:
//
//   build/membership_bench 3 12 24 48 200 1000 > membership.json
//
// Bytes are those of the encoded messages that a node sends, averaged over all
// nodes; a node receives as many. The overhead of HTTP/2 and of the layers
// below is not included; it grows with the number of messages.
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

constexpr base::Duration IdleWindow = base::seconds(60);
constexpr int ChangesMeasured = 100;
constexpr int ReplacementsMeasured = 5;
constexpr int KillsMeasured = 30;

std::uint64_t steadyNanos() {
  return static_cast<std::uint64_t>(
      std::chrono::steady_clock::now().time_since_epoch().count());
}

// Totals are sums over all nodes; Nodes counts those that are up.
struct Totals {
  double Nodes = 0;
  double Bytes = 0;
  double CrossRegionBytes = 0;
  double Messages = 0;
  double Micros = 0;
};

Totals sumTotals(const FakeNetwork &Net) {
  Totals Sum;
  for (const auto &Node : Net.Nodes) {
    Sum.Nodes += Node->Up ? 1 : 0;
    Sum.Bytes += static_cast<double>(Node->Bytes);
    Sum.CrossRegionBytes += static_cast<double>(Node->CrossRegionBytes);
    Sum.Messages += static_cast<double>(Node->Messages);
    Sum.Micros += static_cast<double>(Node->ReduceNanos) / 1000;
  }
  return Sum;
}

double getChangePerNode(double After, double Before, const Totals &Current) {
  return (After - Before) / Current.Nodes;
}

json rates(const FakeNetwork &Net, const Totals &Before, double Seconds) {
  Totals After = sumTotals(Net);
  return json{
      {"bytes_per_second",
       getChangePerNode(After.Bytes, Before.Bytes, After) / Seconds},
      {"far_bytes_per_second",
       getChangePerNode(After.CrossRegionBytes, Before.CrossRegionBytes,
                        After) /
           Seconds},
      {"messages_per_second",
       getChangePerNode(After.Messages, Before.Messages, After) / Seconds},
      {"reduce_micros_per_second",
       getChangePerNode(After.Micros, Before.Micros, After) / Seconds}};
}

json summarizeMillis(std::vector<double> Millis) {
  std::sort(Millis.begin(), Millis.end());
  return json{{"p50", Millis[Millis.size() / 2]}, {"max", Millis.back()}};
}

std::string serverName(std::size_t Owner, std::size_t Index) {
  return "cutlist-" + std::to_string(Owner) + "-" + std::to_string(Index);
}

// Starts all nodes of a fleet at once, then all servers, and waits until no
// rumour is pending. Returns how long that took and the bytes that a node sent
// until 30 s later.
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
  Totals After = sumTotals(Net);
  return json{{"seconds", base::toSeconds(Net.Now - Start) - 30},
              {"bytes_per_node", After.Bytes / After.Nodes}};
}

json measureIdle(FakeNetwork &Net) {
  Totals Before = sumTotals(Net);
  run(Net, IdleWindow);
  return rates(Net, Before, base::toSeconds(IdleWindow));
}

double countKnowing(const FakeNetwork &Net, const base::BackendName &Name,
                    routing::BackendPhase Phase) {
  return static_cast<double>(countNodes(Net, [&](const core::State &Node) {
    auto It = Node.Routing.Servers.find(Name);
    return It != Node.Routing.Servers.end() && It->second.Record.Phase == Phase;
  }));
}

// Measures the bytes that a server's change adds to the idle traffic, and the
// time until all nodes know of it.
json measureChanges(FakeNetwork &Net, double IdleBytes) {
  Totals Before = sumTotals(Net);
  base::TimePoint Start = Net.Now;
  std::vector<double> Millis;
  for (int Change = 0; Change < ChangesMeasured; ++Change) {
    std::size_t Owner = base::uniformBelow(Net.Source, Net.Nodes.size());
    base::BackendName Name(serverName(Owner, 0));
    auto Phase = Net.Nodes[Owner]->Node.Routing.Servers.at(Name).Record.Phase;
    Phase = Phase == routing::BackendPhase::Ready
                ? routing::BackendPhase::Leaving
                : routing::BackendPhase::Ready;
    // A server that has left can only become ready in a new incarnation.
    std::uint64_t Incarnation = Net.Nodes[Owner]
                                    ->Node.Routing.Servers.at(Name)
                                    .Record.Incarnation.Value;
    announceServer(Net, Owner, Name.Value, Phase,
                   Phase == routing::BackendPhase::Ready ? Incarnation + 1
                                                         : Incarnation);
    Millis.push_back(base::toSeconds(membership::runUntil(
                         Net, base::seconds(30),
                         [&] {
                           return countKnowing(Net, Name, Phase) ==
                                  sumTotals(Net).Nodes;
                         })) *
                     1000);
    run(Net, base::seconds(3));
  }
  run(Net, base::seconds(30));
  Totals After = sumTotals(Net);
  double Seconds = base::toSeconds(Net.Now - Start);
  double ExtraBytes =
      getChangePerNode(After.Bytes, Before.Bytes, After) - IdleBytes * Seconds;
  return json{{"bytes_per_node", ExtraBytes / ChangesMeasured},
              {"known_everywhere_ms", summarizeMillis(Millis)}};
}

void restartNode(FakeNetwork &Net, std::size_t Index, std::size_t Servers,
                 std::uint64_t Incarnation) {
  FakeNode Previous = std::move(*Net.Nodes[Index]);
  startNode(Net, Index, {0, 1}, Incarnation);
  Net.Nodes[Index]->Bytes = Previous.Bytes;
  Net.Nodes[Index]->CrossRegionBytes = Previous.CrossRegionBytes;
  Net.Nodes[Index]->Messages = Previous.Messages;
  Net.Nodes[Index]->ReduceNanos = Previous.ReduceNanos;
  for (std::size_t Server = 0; Server < Servers; ++Server)
    announceServer(Net, Index, serverName(Index, Server),
                   routing::BackendPhase::Ready, Incarnation);
}

// Measures nodes that stop and are started again with new servers.
json measureReplacements(FakeNetwork &Net, std::size_t Servers,
                         double IdleBytes) {
  Totals Before = sumTotals(Net);
  base::TimePoint Start = Net.Now;
  for (int Round = 0; Round < ReplacementsMeasured; ++Round) {
    std::size_t Index =
        2 + base::uniformBelow(Net.Source, Net.Nodes.size() - 2);
    deliver(Net, Index, core::StopRequested{});
    Net.Nodes[Index]->Up = false;
    run(Net, base::seconds(5));
    restartNode(Net, Index, Servers, 2000 + static_cast<std::uint64_t>(Round));
    run(Net, base::seconds(15));
  }
  Totals After = sumTotals(Net);
  double Seconds = base::toSeconds(Net.Now - Start);
  double ExtraBytes =
      getChangePerNode(After.Bytes, Before.Bytes, After) - IdleBytes * Seconds;
  return json{{"bytes_per_node", ExtraBytes / ReplacementsMeasured},
              {"known_everywhere", hasConverged(Net)}};
}

// Measures how soon the other nodes stop using a node that was killed.
json measureKills(FakeNetwork &Net, std::size_t Servers) {
  std::vector<double> FirstSuspicion, AvoidedEverywhere;
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
    FirstSuspicion.push_back(base::toSeconds(Net.Now - Start) * 1000);
    membership::runUntil(Net, base::seconds(60), [&] {
      return CountAvoiding() + 1 == Net.Nodes.size();
    });
    AvoidedEverywhere.push_back(base::toSeconds(Net.Now - Start) * 1000);
    run(Net, base::seconds(20));
    restartNode(Net, Index, Servers, 3000 + static_cast<std::uint64_t>(Kill));
    run(Net, base::seconds(15));
  }
  return json{{"first_suspicion_ms", summarizeMillis(FirstSuspicion)},
              {"avoided_everywhere_ms", summarizeMillis(AvoidedEverywhere)}};
}

json measureFleet(std::size_t Count, std::size_t Servers) {
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
    Results.push_back(measureFleet(std::max<std::size_t>(Size, 3), 1));
  std::cout << Results.dump(2) << "\n";
}
