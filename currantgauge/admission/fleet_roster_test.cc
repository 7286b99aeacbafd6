#include "currantgauge/admission/fleet_roster.h"

#include "currantgauge/admission/fleet_limit.h"

#include <doctest/doctest.h>

#include <cstddef>
#include <string>
#include <variant>
#include <vector>

namespace currantgauge::admission {
namespace {

constexpr base::TimePoint Start{1000000};

// Peers are other nodes as a node sees them.
struct Peers {
  std::vector<base::NodeName> Names;
  std::vector<MemberView> Views;
};

enum class PeerState { Alive, Dead, Left };

Peers makePeers(const std::vector<PeerState> &States) {
  Peers Made;
  for (std::size_t I = 0; I < States.size(); ++I)
    Made.Names.emplace_back("peer-" + std::to_string(I));
  for (std::size_t I = 0; I < States.size(); ++I)
    Made.Views.push_back({&Made.Names[I], States[I] == PeerState::Alive, Start,
                          base::TimePoint{}, States[I] == PeerState::Left});
  return Made;
}

// observe() updates a roster every 100 ms until End, and hears from all live
// peers each time.
void observe(FleetRoster &Roster, Peers &Seen, base::TimePoint From,
             base::TimePoint End) {
  for (base::TimePoint Now = From; Now <= End;
       Now = Now + base::milliseconds(100)) {
    for (MemberView &View : Seen.Views)
      if (View.Alive)
        View.HeardAt = Now;
    updateRoster(Roster, Seen.Views, Now);
  }
}

// findOwnWorkspace() returns a workspace whose home is the roster's node.
base::WorkspaceName findOwnWorkspace(const FleetRoster &Roster) {
  for (int I = 0;; ++I) {
    base::WorkspaceName Name("workspace-" + std::to_string(I));
    if (chooseHome(Roster, Name).IsSelf)
      return Name;
  }
}

bool canIssue(const FleetRoster &Roster, base::TimePoint Now) {
  return canIssuePermits(Roster, chooseHome(Roster, findOwnWorkspace(Roster)),
                         Now);
}

FleetRoster makeTestRoster(bool FirstStart) {
  return makeRoster(base::NodeName("self"), FirstStart, /*HasSeeds=*/true);
}

} // namespace

TEST_CASE("an isolated node at the fleet's first start fills no bucket") {
  FleetRoster Roster = makeTestRoster(/*FirstStart=*/true);
  Peers None;
  base::TimePoint End = Start + base::seconds(15);
  observe(Roster, None, Start, End);
  HomeChoice Choice = chooseHome(Roster, base::WorkspaceName("orchard"));
  CHECK(canIssuePermits(Roster, Choice, End));
  CHECK_FALSE(Choice.IsFirst);
  Peers Met = makePeers({PeerState::Alive, PeerState::Alive});
  observe(Roster, Met, End, End + base::seconds(5));
  CHECK_FALSE(chooseHome(Roster, findOwnWorkspace(Roster)).IsFirst);
}

TEST_CASE("a node that meets others at the fleet's first start fills buckets") {
  FleetRoster Roster = makeTestRoster(/*FirstStart=*/true);
  Peers Met = makePeers({PeerState::Alive, PeerState::Alive});
  base::TimePoint End = Start + base::seconds(3);
  observe(Roster, Met, Start, End);
  CHECK(canIssue(Roster, End));
  CHECK(chooseHome(Roster, findOwnWorkspace(Roster)).IsFirst);
}

TEST_CASE("a node that starts on the small side of a cut issues no permits") {
  FleetRoster Roster = makeTestRoster(/*FirstStart=*/false);
  Peers Cut = makePeers({PeerState::Alive, PeerState::Dead, PeerState::Dead,
                         PeerState::Dead, PeerState::Dead});
  for (int Tenths = 0; Tenths < 100; ++Tenths) {
    base::TimePoint Now = Start + base::milliseconds(100 * Tenths);
    observe(Roster, Cut, Now, Now);
    CHECK_FALSE(canIssue(Roster, Now));
  }
}

TEST_CASE("a node that starts on the large side of a cut issues permits") {
  FleetRoster Roster = makeTestRoster(/*FirstStart=*/false);
  Peers Cut = makePeers({PeerState::Alive, PeerState::Alive, PeerState::Dead});
  base::TimePoint End = Start + base::seconds(3);
  observe(Roster, Cut, Start, End);
  CHECK(canIssue(Roster, End));
}

TEST_CASE("nodes that have left don't count towards a new node's majority") {
  FleetRoster Roster = makeTestRoster(/*FirstStart=*/false);
  Peers Replaced = makePeers(
      {PeerState::Alive, PeerState::Left, PeerState::Left, PeerState::Left});
  base::TimePoint End = Start + base::seconds(3);
  observe(Roster, Replaced, Start, End);
  CHECK(canIssue(Roster, End));
}

TEST_CASE("a home that has left forwards asks to the next one") {
  FleetLimitState State;
  State.Roster = makeTestRoster(/*FirstStart=*/false);
  Peers Met = makePeers({PeerState::Alive, PeerState::Alive});
  base::TimePoint LeftAt = Start + base::seconds(5);
  observe(State.Roster, Met, Start, LeftAt);
  noteLeaving(State.Roster, LeftAt);
  base::TimePoint StopAt = LeftAt + SettleTime;
  observe(State.Roster, Met, LeftAt, StopAt);
  PermitAsk Ask{.Id = {9, 1},
                .Workspace = findOwnWorkspace(State.Roster),
                .Count = 1,
                .Asker = base::NodeName("caller")};
  FleetLimit Limit{10, 10};
  PermitOutput Before;
  onPermitAsk(State, Ask, Limit, StopAt + base::milliseconds(-1), Before);
  REQUIRE(Before.Messages.size() == 1);
  CHECK(std::holds_alternative<PermitAnswer>(Before.Messages[0].Body));
  ++Ask.Id.Sequence;
  PermitOutput After;
  onPermitAsk(State, Ask, Limit, StopAt, After);
  REQUIRE(After.Messages.size() == 1);
  CHECK(std::holds_alternative<PermitAsk>(After.Messages[0].Body));
  CHECK(After.Messages[0].Recipient ==
        chooseHome(State.Roster, Ask.Workspace).Next);
}

} // namespace currantgauge::admission
