#include "tests/soak/faults.h"

#include "tests/soak/callers.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>
#include <limits>
#include <utility>

namespace currantgauge::soak {
namespace {

using nlohmann::json;

constexpr Seconds Forever = std::numeric_limits<Seconds>::max();
constexpr Seconds LongestStop = 8; // the grace period and some more
constexpr Seconds ServesOn = 3.5;  // a server that leaves
constexpr int WorkMillis = 20;

json routesOf(std::uint32_t Newest) {
  json Routes = {
      {"view", integration::routeOf("/lists/", "cutlist", "idempotent")},
      {"commit",
       integration::routeOf("/commits/", "cutlist", "non_idempotent")}};
  for (std::uint32_t Version = 1; Version <= Newest; ++Version) {
    std::string Name = "v" + std::to_string(Version);
    Routes[Name] = integration::routeOf("/" + Name + "/", serviceOf(Version),
                                        "idempotent");
  }
  return Routes;
}

Part &partOf(Soak &Run, FaultKind Kind, std::size_t Index) {
  Host &Where = Run.Hosts[Index];
  switch (Kind) {
  case FaultKind::NodeKill:
  case FaultKind::NodeFreeze:
  case FaultKind::NodeStop:
  case FaultKind::HerdKill:
    return Where.Node;
  case FaultKind::ServerKill:
  case FaultKind::ServerDrain:
  case FaultKind::ServerFail:
  case FaultKind::ServerReset:
  case FaultKind::ServerCut:
  case FaultKind::ServerSlow:
  case FaultKind::LateHeartbeat:
    return Where.Server;
  case FaultKind::PeerCut:
  case FaultKind::PeerOneWay:
  case FaultKind::PeerSilence:
  case FaultKind::PeerReset:
  case FaultKind::PeerDelay:
    return Where.PeerPath;
  case FaultKind::StoreCut:
    return Where.StorePath;
  default:
    return Run.Store;
  }
}

bool endsNode(FaultKind Kind) {
  return Kind == FaultKind::NodeKill || Kind == FaultKind::NodeStop ||
         Kind == FaultKind::HerdKill;
}

void openTrouble(Soak &Run, const Fault &One, Part &Where) {
  Trouble New;
  New.Kind = faultName(One.Kind);
  New.From = now();
  New.Ended = Forever;
  New.Planned = isPlanned(One.Kind);
  New.OfStore = &Where == &Run.Store || One.Kind == FaultKind::StoreCut;
  New.Machine = &Where == &Run.Store ? AllMachines : One.Machine;
  New.NewLife = endsNode(One.Kind);
  New.OfServer = &Where == &Run.Hosts[One.Machine].Server;
  Where.Open.push_back(Run.Found.Troubles.size());
  Run.Found.Troubles.push_back(New);
}

void tellServer(Soak &Run, std::size_t Index, const json &Order) {
  integration::controlServer(serverAt(Run, Index), Order.dump());
}

void tellStore(Soak &Run, const json &Order) {
  integration::sendRequest(Run.All.Fleet.PlatformAddress, "PUT", "/control",
                           Order.dump());
}

void tellPath(const integration::Proxy &Between, json Order) {
  Order["route"] = 0;
  integration::sendCommand(Between, Order.dump());
}

void drainServer(Soak &Run, std::size_t Index) {
  constexpr Millis Limit{1000};
  tellServer(Run, Index, {{"state", "leaving"}});
  bool Heard = integration::waitUntil(
      [&] {
        json Stats = integration::statsOf(serverAt(Run, Index));
        return Stats.value("acknowledged", "") == "leaving";
      },
      Limit);
  if (Heard)
    Run.Found.Leaves.push_back(
        {serverName(Index, Run.Hosts[Index].Life), Index, now()});
}

// As a heartbeat that a partition held up: its sender is gone.
void sendLateHeartbeat(Soak &Run, std::size_t Index) {
  json Late = {{"address", serverAt(Run, Index).Address},
               {"born", 1},
               {"information",
                {{"service", serviceOf(Index + 1)},
                 {"version", "v0"},
                 {"zone", "north-a"},
                 {"slots", 4}}},
               {"status",
                {{"state", "ready"}, {"sequence", 5}, {"coldRemainingMs", 0}}}};
  constexpr Millis Limit{1000};
  integration::sendRequest(nodeAt(Run, Index).AnnounceAddress, "POST",
                           "/api/rpc?call=instances.heartbeat&of=" +
                               serverName(Index, 0),
                           Late.dump(), {}, Limit);
}

void begin(Soak &Run, FaultKind Kind, std::size_t Index) {
  integration::NodeProcess &Node = nodeAt(Run, Index);
  switch (Kind) {
  case FaultKind::NodeKill:
  case FaultKind::HerdKill:
    return integration::sendSignal(Node.Process, SIGKILL);
  case FaultKind::NodeFreeze:
    return integration::sendSignal(Node.Process, SIGSTOP);
  case FaultKind::NodeStop:
    Run.Hosts[Index].StopSince = now();
    integration::sendSignal(Node.Process, SIGCONT);
    return integration::sendSignal(Node.Process, SIGTERM);
  case FaultKind::ServerKill:
    return integration::sendSignal(serverAt(Run, Index).Process, SIGKILL);
  case FaultKind::ServerDrain:
    return drainServer(Run, Index);
  case FaultKind::ServerFail:
    return tellServer(Run, Index, {{"mode", "fail"}, {"share", 0.5}});
  case FaultKind::ServerReset:
    return tellServer(Run, Index, {{"mode", "reset"}, {"share", 0.5}});
  case FaultKind::ServerCut:
    return tellServer(Run, Index, {{"mode", "cut"}, {"share", 0.5}});
  case FaultKind::ServerSlow:
    return tellServer(Run, Index, {{"mode", "slow"}});
  case FaultKind::StoreRefuse:
    return tellStore(Run, {{"outage", "refuse"}});
  case FaultKind::StoreSilent:
    return tellStore(Run, {{"outage", "silent"}});
  case FaultKind::StoreSlow:
    return tellStore(Run, {{"delay_ms", 250}});
  case FaultKind::StoreLoses:
    return tellStore(Run, {{"lose_share", 0.5}});
  case FaultKind::StoreForgets:
    return tellStore(Run, {{"forget", true}});
  case FaultKind::StoreCut:
    return tellPath(Node.StoreProxy,
                    {{"drop_to_target", true}, {"drop_to_client", true}});
  case FaultKind::PeerCut:
    return tellPath(Node.PeerProxy,
                    {{"drop_to_target", true}, {"drop_to_client", true}});
  case FaultKind::PeerOneWay:
    return tellPath(Node.PeerProxy, {{"drop_to_client", true}});
  case FaultKind::PeerSilence:
    return tellPath(Node.PeerProxy, {{"silence_open", true}});
  case FaultKind::PeerReset:
    return tellPath(Node.PeerProxy, {{"reset_open", true}});
  case FaultKind::PeerDelay:
    return tellPath(Node.PeerProxy, {{"delay_ms", 100}});
  case FaultKind::ConfigChange:
    return writeVersion(Run);
  case FaultKind::LateHeartbeat:
    return sendLateHeartbeat(Run, Index);
  }
}

void startServerLife(Soak &Run, std::size_t Index) {
  Host &Where = Run.Hosts[Index];
  std::string Name = serverName(Index, ++Where.Life);
  std::vector<std::string> Flags = serverFlags(Run, Name);
  Flags.insert(Flags.end(), {"--machines", "--port=" + Where.Port});
  integration::restartServer(Run.All.Fleet, serverAt(Run, Index), Name,
                             serviceOf(Index), nodeAt(Run, Index), Flags);
}

// Returns false when it has to be looked at again.
bool mend(Soak &Run, const Mending &Due) {
  integration::NodeProcess &Node = nodeAt(Run, Due.Machine);
  switch (Due.Kind) {
  case FaultKind::NodeFreeze:
    integration::sendSignal(Node.Process, SIGCONT);
    return true;
  case FaultKind::NodeStop:
    if (integration::waitForExit(Node.Process, Millis(0)) < 0 &&
        now() < Run.Hosts[Due.Machine].StopSince + LongestStop)
      return false;
    [[fallthrough]];
  case FaultKind::NodeKill:
  case FaultKind::HerdKill:
    integration::restartNode(Run.All.Fleet, Node);
    return true;
  case FaultKind::ServerKill:
  case FaultKind::ServerDrain:
    startServerLife(Run, Due.Machine);
    return true;
  case FaultKind::ServerFail:
  case FaultKind::ServerReset:
  case FaultKind::ServerCut:
  case FaultKind::ServerSlow:
    tellServer(Run, Due.Machine, {{"mode", "ok"}});
    return true;
  case FaultKind::StoreCut:
    tellPath(Node.StoreProxy, json::object());
    return true;
  case FaultKind::PeerCut:
  case FaultKind::PeerOneWay:
  case FaultKind::PeerDelay:
    tellPath(Node.PeerProxy, json::object());
    return true;
  case FaultKind::StoreRefuse:
  case FaultKind::StoreSilent:
  case FaultKind::StoreSlow:
  case FaultKind::StoreLoses:
    tellStore(Run, json::object());
    return true;
  default:
    return true;
  }
}

Seconds lengthOf(const Fault &One) {
  Seconds For = std::chrono::duration<double>(One.For).count();
  return One.Kind == FaultKind::ServerDrain ? std::max(For, ServesOn) : For;
}

} // namespace

std::string serviceOf(std::size_t Index) {
  return Index % 2 == 0 ? "cutlist" : "stocktally";
}

std::string serverName(std::size_t Index, std::uint32_t Life) {
  std::string First = "i-" + std::to_string(Index + 1); // addProxiedMachine()'s
  return Life == 1 ? First : First + "-" + std::to_string(Life);
}

std::vector<std::string> serverFlags(Soak &Run, const std::string &Name) {
  std::string Record = Run.All.Fleet.Folder + "/" + Name + ".record";
  Run.Records.push_back(Record);
  return {"--work_ms=" + std::to_string(WorkMillis), "--record=" + Record};
}

void writeVersion(Soak &Run) {
  auto Number = static_cast<std::uint32_t>(Run.Found.Versions.size() + 1);
  integration::writeOperatorsConfig(Run.All, "r" + std::to_string(Number),
                                    routesOf(Number));
  Run.Found.Versions.push_back({Number, now()});
}

integration::NodeProcess &nodeAt(Soak &Run, std::size_t Index) {
  return integration::nodeOf(Run.All, Run.All.List[Index]);
}

integration::ServerProcess &serverAt(Soak &Run, std::size_t Index) {
  return integration::serverOf(Run.All, Run.All.List[Index]);
}

void startFault(Soak &Run, const Fault &One) {
  bool OfNothing = One.Kind == FaultKind::ConfigChange ||
                   One.Kind == FaultKind::LateHeartbeat;
  if (OfNothing)
    return begin(Run, One.Kind, One.Machine);
  std::vector<std::size_t> Which = {One.Machine};
  if (One.Kind == FaultKind::HerdKill)
    for (std::size_t I = 0; I < Run.Hosts.size(); ++I)
      if (I != One.Machine)
        Which.push_back(I);
  for (std::size_t Index : Which) {
    Fault Each = One;
    Each.Machine = Index;
    Part &Where = partOf(Run, One.Kind, Index);
    openTrouble(Run, Each, Where);
    begin(Run, One.Kind, Index);
    Run.Mendings.push_back(
        {now() + lengthOf(One), One.Kind, Index, ++Where.Turn});
  }
}

void mendDue(Soak &Run) {
  std::vector<Mending> Later;
  for (const Mending &Due : std::exchange(Run.Mendings, {})) {
    Part &Where = partOf(Run, Due.Kind, Due.Machine);
    if (Due.Turn != Where.Turn)
      continue;
    if (Due.At > now() || !mend(Run, Due)) {
      Later.push_back(Due);
      continue;
    }
    for (std::size_t Open : std::exchange(Where.Open, {}))
      Run.Found.Troubles[Open].Ended = now();
  }
  Run.Mendings.insert(Run.Mendings.end(), Later.begin(), Later.end());
}

} // namespace currantgauge::soak
