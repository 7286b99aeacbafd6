#include "currantgauge/actions/row_cleanup.h"

#include "currantgauge/actions/claim_row.h"
#include "currantgauge/base/random.h"

#include <utility>

namespace currantgauge::actions {
namespace {

constexpr std::uint32_t PageRows = 200;
constexpr base::Duration CleanupTimeout = base::seconds(2);
// The fleet as a whole reads one page in this time, whatever the number of
// nodes.
constexpr base::Duration FleetScanInterval = base::milliseconds(500);
constexpr int CursorDigits = 4; // the hash digits that row keys start with

std::string randomCursor(base::Random &Source) {
  static constexpr char Digits[] = "0123456789abcdef";
  std::string Cursor;
  for (int Place = 0; Place < CursorDigits; ++Place)
    Cursor += Digits[base::uniformBelow(Source, 16)];
  return Cursor;
}

base::Duration scanInterval(core::State &Node) {
  auto Nodes = static_cast<std::int64_t>(Node.Membership.Members.size()) + 1;
  return base::scale(FleetScanInterval * Nodes,
                     0.5 + base::uniformUnit(Node.Random));
}

bool isPastRetention(const core::State &Node, const base::StoreRow &Row) {
  std::optional<ClaimRow> Claim = decodeRow(Row.Value);
  return Claim && Node.WallTime.Millis - Claim->WrittenAt.Millis >
                      base::toMillis(RowRetention);
}

void removeExpiredRows(core::State &Node,
                       const std::vector<base::StoreRow> &Page,
                       core::EffectList &Effects) {
  base::WriteRows Removals;
  for (const base::StoreRow &Row : Page)
    if (isPastRetention(Node, Row))
      Removals.Rows.push_back(base::RowWrite{ClaimTable,
                                             Row.Key,
                                             {},
                                             base::WriteCondition::IfMatch,
                                             Row.ETag,
                                             true});
  if (Removals.Rows.empty())
    return;
  Node.Actions.RemovalCall = core::nextCallId(Node);
  Effects.push_back(core::CallStore{*Node.Actions.RemovalCall,
                                    std::move(Removals), CleanupTimeout});
}

} // namespace

void startCleanup(core::State &Node, core::EffectList &Effects) {
  ActionState &State = Node.Actions;
  if (State.ScanCall || State.RemovalCall || State.StoreFailing ||
      Node.Now < State.NextScanAt)
    return;
  bool First = State.NextScanAt == base::TimePoint{};
  State.NextScanAt = Node.Now + scanInterval(Node);
  if (First)
    return;
  State.ScanCall = core::nextCallId(Node);
  Effects.push_back(core::CallStore{
      *State.ScanCall,
      base::ScanRows{ClaimTable, randomCursor(Node.Random), PageRows},
      CleanupTimeout});
}

bool onCleanupAnswered(core::State &Node, const core::StoreAnswered &Answered,
                       core::EffectList &Effects) {
  ActionState &State = Node.Actions;
  if (State.RemovalCall == Answered.Call) {
    State.RemovalCall.reset(); // a later scan repeats failed removals
    return true;
  }
  if (State.ScanCall != Answered.Call)
    return false;
  State.ScanCall.reset();
  removeExpiredRows(Node, Answered.Result.Rows, Effects);
  return true;
}

} // namespace currantgauge::actions
