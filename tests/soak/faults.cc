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
// The nodes' grace period plus a margin. A node that still runs this long after
// SIGTERM is killed.
constexpr Seconds NodeStopLimit = 8;
// A leaving server keeps serving at least this long before it is restarted.
constexpr Seconds MinDrainDuration = 3.5;
constexpr int WorkMillis = 20; // for a server to run a request

json buildRoutes(std::uint32_t NewestVersion) {
  json Routes = {
      {"view", integration::routeOf("/lists/", "cutlist", "idempotent")},
      {"commit",
       integration::routeOf("/commits/", "cutlist", "non_idempotent")}};
  for (std::uint32_t Version = 1; Version <= NewestVersion; ++Version) {
    std::string Name = "v" + std::to_string(Version);
    Routes[Name] = integration::routeOf("/" + Name + "/", serviceOf(Version),
                                        "idempotent");
  }
  return Routes;
}

FaultTarget &faultTargetOf(SoakRun &Run, FaultKind Kind, std::size_t Index) {
  MachineState &Machine = Run.MachineStates[Index];
  switch (Kind) {
  case FaultKind::NodeKill:
  case FaultKind::NodeFreeze:
  case FaultKind::NodeStop:
  case FaultKind::HerdKill:
    return Machine.Node;
  case FaultKind::ServerKill:
  case FaultKind::ServerDrain:
  case FaultKind::ServerFail:
  case FaultKind::ServerReset:
  case FaultKind::ServerCut:
  case FaultKind::ServerSlow:
  case FaultKind::LateHeartbeat:
    return Machine.Server;
  case FaultKind::PeerCut:
  case FaultKind::PeerOneWay:
  case FaultKind::PeerSilence:
  case FaultKind::PeerReset:
  case FaultKind::PeerDelay:
    return Machine.PeerPath;
  case FaultKind::StoreCut:
    return Machine.StorePath;
  default:
    return Run.Store;
  }
}

bool isNodeTermination(FaultKind Kind) {
  return Kind == FaultKind::NodeKill || Kind == FaultKind::NodeStop ||
         Kind == FaultKind::HerdKill;
}

void openFaultWindow(SoakRun &Run, const Fault &Entry, FaultTarget &Target) {
  FaultWindow Window;
  Window.Kind = faultName(Entry.Kind);
  Window.Start = now();
  Window.End = Forever;
  Window.Planned = isPlanned(Entry.Kind);
  // A store whose open connections went silent isn't disturbed itself: new
  // connections work.
  Window.AffectsStore =
      (&Target == &Run.Store && Entry.Kind != FaultKind::StoreSilence) ||
      Entry.Kind == FaultKind::StoreCut;
  Window.Machine = &Target == &Run.Store ? AllMachines : Entry.Machine;
  Window.EndsNode = isNodeTermination(Entry.Kind);
  Window.ServerOnly = &Target == &Run.MachineStates[Entry.Machine].Server;
  Target.OpenWindows.push_back(Run.Observed.FaultWindows.size());
  Run.Observed.FaultWindows.push_back(Window);
}

void controlServer(SoakRun &Run, std::size_t Index, const json &Command) {
  integration::controlServer(serverAt(Run, Index), Command.dump());
}

// Each command replaces the earlier one, so one without an outage ends it.
void controlStore(SoakRun &Run, const json &Command) {
  integration::controlStore(Run.Machines, Command);
  Run.StoreAway = Command.contains("outage");
}

Seconds lastWriteOf(const ConfigVersion &Version) {
  return Version.WrittenAgainAt.empty() ? Version.AcknowledgedAt
                                        : Version.WrittenAgainAt.back();
}

void silenceStore(SoakRun &Run) {
  for (const integration::NodeProcess &Node : Run.Machines.Fleet.Nodes)
    integration::silenceOpenConnections(Node.StoreProxy);
}

void restoreStore(SoakRun &Run, Millis Age) {
  Seconds CopyTime = now() - std::chrono::duration<double>(Age).count();
  controlStore(Run, {{"outage", "refuse"}, {"restore_ms", Age.count()}});
  for (const ConfigVersion &Version : Run.Observed.Versions) {
    bool IsOldest =
        Run.OldestLostVersion == 0 || Version.Number < Run.OldestLostVersion;
    if (IsOldest && lastWriteOf(Version) > CopyTime)
      Run.OldestLostVersion = Version.Number;
  }
}

void writeVersion(SoakRun &Run, std::uint32_t Number) {
  integration::writeOperatorsConfig(Run.Machines, "r" + std::to_string(Number),
                                    buildRoutes(Number));
}

void writeLostVersions(SoakRun &Run) {
  if (Run.OldestLostVersion == 0)
    return;
  for (ConfigVersion &Version : Run.Observed.Versions) {
    if (Version.Number < Run.OldestLostVersion)
      continue;
    writeVersion(Run, Version.Number);
    Version.WrittenAgainAt.push_back(now());
  }
  Run.OldestLostVersion = 0;
}

void controlProxy(const integration::Proxy &Path, json Command) {
  Command["route"] = 0;
  integration::sendCommand(Path, Command.dump());
}

// Records a DrainNotice only if the node acknowledges the state within Timeout.
void drainServer(SoakRun &Run, std::size_t Index) {
  constexpr Millis Timeout{1000};
  controlServer(Run, Index, {{"state", "leaving"}});
  bool Acknowledged = integration::waitUntil(
      [&] {
        json Stats = integration::statsOf(serverAt(Run, Index));
        return Stats.value("acknowledged", "") == "leaving";
      },
      Timeout);
  if (Acknowledged)
    Run.Observed.DrainNotices.push_back(
        {serverName(Index, Run.MachineStates[Index].ServerIncarnation), Index,
         now()});
}

// Sends a heartbeat such as a partition may delay until its sender has ended.
void sendLateHeartbeat(SoakRun &Run, std::size_t Index) {
  json Heartbeat = {
      {"address", serverAt(Run, Index).Address},
      {"born", 1},
      {"information",
       {{"service", serviceOf(Index + 1)},
        {"version", "v0"},
        {"zone", "north-a"},
        {"slots", 4}}},
      {"status",
       {{"state", "ready"}, {"sequence", 5}, {"coldRemainingMs", 0}}}};
  constexpr Millis Timeout{1000};
  integration::sendRequest(nodeAt(Run, Index).AnnounceAddress, "POST",
                           "/api/rpc?call=instances.heartbeat&of=" +
                               serverName(Index, 0),
                           Heartbeat.dump(), {}, Timeout);
}

void injectFault(SoakRun &Run, const Fault &Entry) {
  std::size_t Index = Entry.Machine;
  integration::NodeProcess &Node = nodeAt(Run, Index);
  switch (Entry.Kind) {
  case FaultKind::NodeKill:
  case FaultKind::HerdKill:
    return integration::sendSignal(Node.Process, SIGKILL);
  case FaultKind::NodeFreeze:
    return integration::sendSignal(Node.Process, SIGSTOP);
  case FaultKind::NodeStop:
    Run.MachineStates[Index].NodeStopTime = now();
    integration::sendSignal(Node.Process, SIGCONT);
    return integration::sendSignal(Node.Process, SIGTERM);
  case FaultKind::ServerKill:
    return integration::sendSignal(serverAt(Run, Index).Process, SIGKILL);
  case FaultKind::ServerDrain:
    return drainServer(Run, Index);
  case FaultKind::ServerFail:
    return controlServer(Run, Index, {{"mode", "fail"}, {"share", 0.5}});
  case FaultKind::ServerReset:
    return controlServer(Run, Index, {{"mode", "reset"}, {"share", 0.5}});
  case FaultKind::ServerCut:
    return controlServer(Run, Index, {{"mode", "cut"}, {"share", 0.5}});
  case FaultKind::ServerSlow:
    return controlServer(Run, Index, {{"mode", "slow"}});
  case FaultKind::StoreRefuse:
    return controlStore(Run, {{"outage", "refuse"}});
  case FaultKind::StoreSilent:
    return controlStore(Run, {{"outage", "silent"}});
  case FaultKind::StoreSlow:
    return controlStore(Run, {{"delay_ms", 250}});
  case FaultKind::StoreLoses:
    return controlStore(Run, {{"lose_share", 0.5}});
  case FaultKind::StoreForgets:
    return controlStore(Run, {{"forget", true}});
  case FaultKind::StoreCut:
    return controlProxy(Node.StoreProxy,
                        {{"drop_to_target", true}, {"drop_to_client", true}});
  case FaultKind::PeerCut:
    return controlProxy(Node.PeerProxy,
                        {{"drop_to_target", true}, {"drop_to_client", true}});
  case FaultKind::PeerOneWay:
    return controlProxy(Node.PeerProxy, {{"drop_to_client", true}});
  case FaultKind::PeerSilence:
    return controlProxy(Node.PeerProxy, {{"silence_open", true}});
  case FaultKind::PeerReset:
    return controlProxy(Node.PeerProxy, {{"reset_open", true}});
  case FaultKind::PeerDelay:
    return controlProxy(Node.PeerProxy, {{"delay_ms", 100}});
  case FaultKind::ConfigChange:
    return writeNextVersion(Run);
  case FaultKind::LateHeartbeat:
    return sendLateHeartbeat(Run, Index);
  case FaultKind::StoreRestored:
    return restoreStore(Run, copyAge(Entry));
  case FaultKind::StoreSilence:
    return silenceStore(Run);
  }
}

void restartServer(SoakRun &Run, std::size_t Index) {
  MachineState &Machine = Run.MachineStates[Index];
  std::string Name = serverName(Index, ++Machine.ServerIncarnation);
  std::vector<std::string> Flags = serverFlags(Run, Name);
  Flags.insert(Flags.end(), {"--machines", "--host=" + Machine.ServerHost,
                             "--port=" + Machine.ServerPort});
  integration::restartServer(Run.Machines.Fleet, serverAt(Run, Index), Name,
                             serviceOf(Index), nodeAt(Run, Index), Flags);
}

// Returns false if the fault can't be repaired yet, because a stopped node has
// not exited.
bool repairFault(SoakRun &Run, const ScheduledRepair &Repair) {
  integration::NodeProcess &Node = nodeAt(Run, Repair.Machine);
  switch (Repair.Kind) {
  case FaultKind::NodeFreeze:
    integration::sendSignal(Node.Process, SIGCONT);
    return true;
  case FaultKind::NodeStop:
    if (integration::waitForExit(Node.Process, Millis(0)) < 0 &&
        now() < Run.MachineStates[Repair.Machine].NodeStopTime + NodeStopLimit)
      return false;
    [[fallthrough]];
  case FaultKind::NodeKill:
  case FaultKind::HerdKill:
    integration::restartNode(Run.Machines.Fleet, Node);
    return true;
  case FaultKind::ServerKill:
  case FaultKind::ServerDrain:
    restartServer(Run, Repair.Machine);
    return true;
  case FaultKind::ServerFail:
  case FaultKind::ServerReset:
  case FaultKind::ServerCut:
  case FaultKind::ServerSlow:
    controlServer(Run, Repair.Machine, {{"mode", "ok"}});
    return true;
  case FaultKind::StoreCut:
    controlProxy(Node.StoreProxy, json::object());
    return true;
  case FaultKind::PeerCut:
  case FaultKind::PeerOneWay:
  case FaultKind::PeerDelay:
    controlProxy(Node.PeerProxy, json::object());
    return true;
  case FaultKind::StoreRefuse:
  case FaultKind::StoreSilent:
  case FaultKind::StoreSlow:
  case FaultKind::StoreLoses:
  case FaultKind::StoreRestored:
    controlStore(Run, json::object());
    return true;
  default:
    return true;
  }
}

Seconds faultDuration(const Fault &Entry) {
  Seconds Duration = std::chrono::duration<double>(Entry.Duration).count();
  return Entry.Kind == FaultKind::ServerDrain
             ? std::max(Duration, MinDrainDuration)
             : Duration;
}

} // namespace

std::string serviceOf(std::size_t Index) {
  return Index % 2 == 0 ? "cutlist" : "stocktally";
}

std::string serverName(std::size_t Index, std::uint32_t Incarnation) {
  std::string FirstName =
      "i-" + std::to_string(Index + 1); // as addProxiedMachine() names it
  return Incarnation == 1 ? FirstName
                          : FirstName + "-" + std::to_string(Incarnation);
}

std::vector<std::string> serverFlags(SoakRun &Run, const std::string &Name) {
  std::string RecordPath = Run.Machines.Fleet.Folder + "/" + Name + ".record";
  Run.RecordPaths.push_back(RecordPath);
  return {"--work_ms=" + std::to_string(WorkMillis), "--record=" + RecordPath};
}

void writeNextVersion(SoakRun &Run) {
  auto Number = static_cast<std::uint32_t>(Run.Observed.Versions.size() + 1);
  writeVersion(Run, Number);
  if (Run.OldestLostVersion != 0)
    for (ConfigVersion &Version : Run.Observed.Versions)
      if (Version.Number >= Run.OldestLostVersion)
        Version.WrittenAgainAt.push_back(now());
  Run.OldestLostVersion = 0;
  Run.Observed.Versions.push_back({Number, now(), {}});
}

integration::NodeProcess &nodeAt(SoakRun &Run, std::size_t Index) {
  return integration::nodeOf(Run.Machines, Run.Machines.List[Index]);
}

integration::ServerProcess &serverAt(SoakRun &Run, std::size_t Index) {
  return integration::serverOf(Run.Machines, Run.Machines.List[Index]);
}

void startFault(SoakRun &Run, const Fault &Entry) {
  bool BreaksNothing = Entry.Kind == FaultKind::ConfigChange ||
                       Entry.Kind == FaultKind::LateHeartbeat;
  if (BreaksNothing)
    return injectFault(Run, Entry);
  std::vector<std::size_t> MachineIndexes = {Entry.Machine};
  if (Entry.Kind == FaultKind::HerdKill)
    for (std::size_t I = 0; I < Run.MachineStates.size(); ++I)
      if (I != Entry.Machine)
        MachineIndexes.push_back(I);
  for (std::size_t Index : MachineIndexes) {
    Fault MachineFault = Entry;
    MachineFault.Machine = Index;
    FaultTarget &Target = faultTargetOf(Run, Entry.Kind, Index);
    openFaultWindow(Run, MachineFault, Target);
    injectFault(Run, MachineFault);
    Run.PendingRepairs.push_back(
        {now() + faultDuration(Entry), Entry.Kind, Index, ++Target.Generation});
  }
}

void runDueRepairs(SoakRun &Run) {
  std::vector<ScheduledRepair> Remaining;
  for (const ScheduledRepair &Repair : std::exchange(Run.PendingRepairs, {})) {
    FaultTarget &Target = faultTargetOf(Run, Repair.Kind, Repair.Machine);
    if (Repair.Generation != Target.Generation)
      continue;
    if (Repair.DueTime > now() || !repairFault(Run, Repair)) {
      Remaining.push_back(Repair);
      continue;
    }
    for (std::size_t WindowIndex : std::exchange(Target.OpenWindows, {}))
      Run.Observed.FaultWindows[WindowIndex].End = now();
  }
  if (!Run.StoreAway)
    writeLostVersions(Run);
  Run.PendingRepairs.insert(Run.PendingRepairs.end(), Remaining.begin(),
                            Remaining.end());
}

} // namespace currantgauge::soak
