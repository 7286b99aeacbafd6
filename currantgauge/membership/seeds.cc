#include "currantgauge/membership/seeds.h"

#include "currantgauge/config/quantity.h"
#include "currantgauge/core/status.h"
#include "currantgauge/core/store_era.h"
#include "currantgauge/membership/anti_entropy.h"
#include "currantgauge/membership/member.h"
#include "currantgauge/membership/roster.h"

#include <algorithm>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace currantgauge::membership {
namespace {

// With fewer other live members, a node contacts all seeds every round and
// scans the table at InitialScanInterval.
constexpr std::size_t MinKnownMembers = 2;
constexpr base::Duration StoreCallTimeout = base::seconds(5);
// If the store doesn't answer the first scan in time, the row is written
// nevertheless.
constexpr base::Duration FirstScanTimeout = base::seconds(1);
constexpr base::Duration WriteInterval = base::minutes(10);
// Until its row is written, other nodes may be unable to find this node, so the
// first write is retried soon. Later ones can wait for the store.
constexpr base::Duration InitialWriteRetryInterval = base::milliseconds(500);
constexpr base::Duration WriteRetryInterval = base::seconds(30);
// After a restore each node reads its row within this time for each member of
// the fleet, which keeps the reads to half of the store's 2,000 a second.
constexpr base::Duration CheckSpreadPerMember = base::milliseconds(1);
constexpr base::Duration CheckRetryInterval = base::seconds(1);
constexpr base::Duration InitialScanInterval = base::seconds(1);
// On average the fleet as a whole starts one scan in this time, whatever its
// size; a small fleet scans less often, since each node keeps MinScanInterval.
constexpr base::Duration FleetScanInterval = base::seconds(5);
constexpr base::Duration MinScanInterval = base::minutes(1);
constexpr std::uint32_t RowsPerScan = 100;
// Once enough members are known, one round in this many contacts a random seed
// that isn't a live member.
constexpr std::uint64_t RoundsPerSeedSync = 30;
constexpr std::size_t MaxMissingNodeSyncs = 5; // per scan

void callStore(core::State &Node, std::set<base::CallId> &Pending,
               base::StoreOperation Operation, core::EffectList &Effects,
               base::Duration Timeout = StoreCallTimeout) {
  base::CallId Call = core::nextCallId(Node);
  Pending.insert(Call);
  Effects.push_back(core::CallStore{Call, std::move(Operation), Timeout});
}

bool isLiveAddress(const MembershipState &State,
                   const base::NetAddress &Address) {
  return std::any_of(State.Members.begin(), State.Members.end(),
                     [&](const auto &Item) {
                       return isLive(Item.second.Record.Phase) &&
                              Item.second.Record.PeerAddress == Address;
                     });
}

void syncWithSeeds(core::State &Node, core::EffectList &Effects) {
  const MembershipState &State = Node.Membership;
  if (State.Seeds.empty())
    return;
  bool TooFewMembers = State.LiveMembers < MinKnownMembers;
  if (!TooFewMembers && State.Round % RoundsPerSeedSync != 0)
    return;
  std::size_t RandomIndex = base::uniformBelow(Node.Random, State.Seeds.size());
  for (std::size_t Index = 0; Index < State.Seeds.size(); ++Index) {
    const base::NetAddress &Seed = State.Seeds[Index];
    if ((TooFewMembers || Index == RandomIndex) &&
        Seed != State.Self.PeerAddress && !isLiveAddress(State, Seed))
      startSync(Node, base::NodeName(), Seed, Effects);
  }
}

void writeRow(core::State &Node, core::EffectList &Effects) {
  MembershipState &State = Node.Membership;
  if (!State.Table.FirstScanDone || Node.Now < State.Table.NextWrite)
    return;
  State.Table.NextWrite = Node.Now + WriteInterval;
  base::RowWrite Row{NodesTable, State.Self.Name.Value,
                     State.Self.PeerAddress.Value, base::WriteCondition::Always,
                     ""};
  callStore(Node, State.Table.Writes, base::WriteRows{{std::move(Row)}},
            Effects);
}

void scanRows(core::State &Node, core::EffectList &Effects) {
  MembershipState &State = Node.Membership;
  // A node that scans the table after writing its own row finds every node that
  // wrote a row before, and is found by those that write later. The first scan
  // shows whether an earlier process has left the row.
  bool CanScan = State.Table.FirstWriteDone || !State.Table.FirstScanDone;
  if (Node.Now < State.Table.NextScan || !State.Table.Scans.empty() || !CanScan)
    return;
  base::Duration ScaledInterval =
      FleetScanInterval * static_cast<std::int64_t>(State.LiveMembers);
  State.Table.NextScan =
      Node.Now + (State.LiveMembers < MinKnownMembers
                      ? InitialScanInterval
                      : std::max(ScaledInterval, MinScanInterval));
  callStore(Node, State.Table.Scans,
            base::ScanRows{NodesTable, State.Table.ScanCursor, RowsPerScan},
            Effects,
            State.Table.FirstScanDone ? StoreCallTimeout : FirstScanTimeout);
}

// Writes the row only if it isn't in the table already: a store runs the writes
// one after another when the whole fleet starts.
void onFirstScan(core::State &Node, const std::vector<base::StoreRow> &Rows,
                 core::EffectList &Effects) {
  MembershipState &State = Node.Membership;
  State.Table.FirstScanDone = true;
  State.Table.FirstWriteDone =
      std::any_of(Rows.begin(), Rows.end(), [&](const base::StoreRow &Row) {
        return Row.Key == State.Self.Name.Value &&
               Row.Value == State.Self.PeerAddress.Value;
      });
  if (State.Table.FirstWriteDone) {
    State.Table.NextWrite = Node.Now + WriteInterval;
    return;
  }
  State.Table.NextScan = Node.Now;
  if (!Node.Stopping)
    writeRow(Node, Effects);
}

// Other writers may leave rows in the table. Returns those with the address of
// a node and reports the first of the others.
std::vector<base::StoreRow> takeNodeRows(core::State &Node,
                                         std::vector<base::StoreRow> Rows,
                                         core::EffectList &Effects) {
  auto IsMalformed = [](const base::StoreRow &Row) {
    return !config::isRemoteAddress(Row.Value);
  };
  auto First = std::find_if(Rows.begin(), Rows.end(), IsMalformed);
  if (First != Rows.end())
    core::reportMalformedRow(Node,
                             std::string(NodesTable) + "/" + First->Key +
                                 ": value must be IP:port",
                             Effects);
  std::erase_if(Rows, IsMalformed);
  return Rows;
}

void checkRow(core::State &Node, core::EffectList &Effects) {
  TableState &Table = Node.Membership.Table;
  if (Node.Now < Table.NextCheck || Table.Check.Value != 0 ||
      !Table.FirstScanDone)
    return;
  Table.NextCheck = Node.Now + CheckRetryInterval;
  Table.Check = core::nextCallId(Node);
  Effects.push_back(core::CallStore{
      Table.Check, base::ReadRow{NodesTable, Node.Membership.Self.Name.Value},
      StoreCallTimeout});
}

// If the row was lost, writes it and then scans the table, as a starting node
// does: the rows of other nodes may have been lost as well.
void onRowChecked(core::State &Node, const base::StoreResult &Result,
                  core::EffectList &Effects) {
  MembershipState &State = Node.Membership;
  State.Table.Check = base::CallId();
  bool IsAnswered = Result.Status == base::StoreStatus::Done ||
                    Result.Status == base::StoreStatus::NotFound;
  if (!IsAnswered || core::isOfOlderEra(Node.Store, Result))
    return; // repeated at NextCheck
  State.Table.NextCheck = base::Never;
  bool IsPresent = Result.Status == base::StoreStatus::Done &&
                   !Result.Rows.empty() &&
                   Result.Rows.front().Value == State.Self.PeerAddress.Value;
  if (IsPresent || Node.Stopping)
    return;
  State.Table.FirstWriteDone = false;
  State.Table.ScanCursor.clear();
  State.Table.NextScan = Node.Now;
  State.Table.NextWrite = Node.Now;
  writeRow(Node, Effects);
}

// Starts comparisons with nodes of the table that are unknown, dead or left
// here.
void syncWithMissingNodes(core::State &Node,
                          const std::vector<base::StoreRow> &Rows,
                          core::EffectList &Effects) {
  const MembershipState &State = Node.Membership;
  std::size_t Started = 0;
  std::size_t First = base::uniformBelow(Node.Random, Rows.size());
  for (std::size_t Step = 0; Step < Rows.size(); ++Step) {
    const base::StoreRow &Row = Rows[(First + Step) % Rows.size()];
    base::NodeName Name(Row.Key);
    if (isLiveNode(State, Name) || Started == MaxMissingNodeSyncs)
      continue;
    startSync(Node, Name, base::NetAddress(Row.Value), Effects);
    ++Started;
  }
}

} // namespace

void discoverMembers(core::State &Node, core::EffectList &Effects) {
  syncWithSeeds(Node, Effects);
  if (Node.Self.Embedded || Node.Stopping)
    return;
  // At the first start of the fleet no earlier process has left a row.
  if (Node.Self.FirstStart)
    Node.Membership.Table.FirstScanDone = true;
  checkRow(Node, Effects);
  writeRow(Node, Effects);
  scanRows(Node, Effects);
}

void onStoreRestored(core::State &Node) {
  TableState &Table = Node.Membership.Table;
  base::Duration Spread =
      CheckSpreadPerMember *
      static_cast<std::int64_t>(Node.Membership.LiveMembers);
  Table.Check = base::CallId();
  Table.NextCheck =
      Node.Now + base::scale(Spread, base::uniformUnit(Node.Random));
}

void removeNodeRow(core::State &Node, const base::NodeName &Name,
                   core::EffectList &Effects) {
  if (Node.Self.Embedded)
    return;
  base::RowWrite Row{NodesTable, Name.Value, "", base::WriteCondition::Always,
                     "",         true};
  callStore(Node, Node.Membership.Table.Writes,
            base::WriteRows{{std::move(Row)}}, Effects);
}

bool onStoreAnswered(core::State &Node, const core::StoreAnswered &Answered,
                     core::EffectList &Effects) {
  TableState &Table = Node.Membership.Table;
  if (Table.Check.Value != 0 && Table.Check == Answered.Call) {
    onRowChecked(Node, Answered.Result, Effects);
    return true;
  }
  bool Succeeded = Answered.Result.Status == base::StoreStatus::Done;
  if (Table.Writes.erase(Answered.Call) != 0) {
    // Scans even if the write failed: other nodes may still be found.
    bool WasFirstWriteDone = Table.FirstWriteDone;
    Table.FirstWriteDone = true;
    if (!Succeeded)
      Table.NextWrite =
          std::min(Table.NextWrite,
                   Node.Now + (WasFirstWriteDone ? WriteRetryInterval
                                                 : InitialWriteRetryInterval));
    if (!WasFirstWriteDone && !Node.Stopping)
      scanRows(Node, Effects);
    return true;
  }
  if (Table.Scans.erase(Answered.Call) == 0)
    return false;
  const std::vector<base::StoreRow> &Rows = Answered.Result.Rows;
  if (!Table.FirstScanDone)
    onFirstScan(Node, Rows, Effects);
  if (!Succeeded)
    return true;
  bool AtEnd = Rows.size() + Answered.Result.MalformedRows < RowsPerScan;
  Table.ScanCursor = AtEnd || Rows.empty() ? "" : Rows.back().Key;
  std::vector<base::StoreRow> NodeRows = takeNodeRows(Node, Rows, Effects);
  if (!NodeRows.empty())
    syncWithMissingNodes(Node, NodeRows, Effects);
  return true;
}

} // namespace currantgauge::membership
