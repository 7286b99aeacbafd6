#include "currantgauge/admission/fleet_limit.h"

#include "currantgauge/admission/permit_callers_test.h"

#include <doctest/doctest.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <numeric>
#include <vector>

namespace currantgauge::admission {
namespace {

const std::vector<double> Rates = {0.5, 2, 5, 11, 30, 91};

// Adds workspaces of different rates, each with a demand of Load times its
// limit, by each pattern of callers in turn.
void addWorkspaces(PermitFleet &Fleet, std::size_t Count, double Load) {
  for (std::size_t I = 0; I < Count; ++I) {
    double Rate = Rates[I % Rates.size()];
    FleetLimit Limit{Rate, std::max(1.0, Rate)};
    Callers Mode = static_cast<Callers>(I / Rates.size() % 3);
    addDemand(Fleet, {addWorkspace(Fleet, I, Limit), Rate * Load, Mode});
  }
}

void checkBound(const PermitFleet &Fleet) {
  for (const auto &Workspace : Fleet.Workspaces) {
    const Usage &Use = Workspace.second;
    CAPTURE(Workspace.first.Value);
    CAPTURE(Use.Limit.Rate);
    CHECK(static_cast<double>(mostRunsInWindow(Use.Runs)) <=
          allowedRequests(Use.Limit));
  }
}

// The longest outage of a workspace after a change of its home: detection, its
// spread and SettleTime.
constexpr base::Duration LongestOutage = base::seconds(6);

// Checks that each workspace, of which more is demanded than its limit, gets
// its limit once the last change is over.
void checkServedAgain(PermitFleet &Fleet) {
  constexpr std::int64_t Seconds = 4;
  runFor(Fleet, LongestOutage);
  std::map<base::WorkspaceName, std::size_t> Before;
  for (const auto &[Name, Use] : Fleet.Workspaces)
    Before[Name] = Use.Runs.size();
  runFor(Fleet, base::seconds(Seconds));
  for (const auto &Workspace : Fleet.Workspaces) {
    const Usage &Use = Workspace.second;
    CAPTURE(Workspace.first.Value);
    CAPTURE(Use.Limit.Rate);
    CHECK(static_cast<double>(Use.Runs.size() - Before[Workspace.first]) >=
          0.9 * Use.Limit.Rate * Seconds - 1);
  }
}

// Checks that each workspace got its limit for that time at least.
void checkServed(const PermitFleet &Fleet, base::Duration Served) {
  for (const auto &Workspace : Fleet.Workspaces) {
    const Usage &Use = Workspace.second;
    CAPTURE(Workspace.first.Value);
    CAPTURE(Use.Limit.Rate);
    CHECK(static_cast<double>(Use.Runs.size()) >=
          0.9 * Use.Limit.Rate * base::toSeconds(Served) - 1);
  }
}

struct Totals {
  std::size_t Arrived = 0;
  std::size_t Runs = 0;
  std::size_t RefusedUnderLimit = 0;
  std::size_t Unanswered = 0;
};

Totals countTotals(const PermitFleet &Fleet) {
  Totals Sum;
  for (const auto &[Name, Use] : Fleet.Workspaces) {
    Sum.Arrived += Use.Arrived;
    Sum.Runs += Use.Runs.size();
    Sum.RefusedUnderLimit += Use.RefusedUnderLimit;
    Sum.Unanswered += Use.Unanswered;
  }
  return Sum;
}

// Adds a demand at node 0 to that of each workspace.
void addDemandOnBothSides(PermitFleet &Fleet) {
  for (const auto &[Name, Use] : Fleet.Workspaces)
    addDemand(Fleet, {Name, 2 * Use.Limit.Rate, Callers::OneNode});
}

// Adds a workspace whose home is that node.
base::WorkspaceName addWorkspaceOf(PermitFleet &Fleet, std::size_t Home,
                                   const FleetLimit &Limit) {
  for (std::size_t Number = 0;; ++Number) {
    base::WorkspaceName Name = addWorkspace(Fleet, Number, Limit);
    if (chooseHome(Fleet.Nodes[Home].State.Roster, Name).IsSelf)
      return Name;
    Fleet.Workspaces.erase(Name);
  }
}

std::size_t pickNode(PermitFleet &Fleet) {
  return base::uniformBelow(Fleet.Source, Fleet.Nodes.size());
}

constexpr base::Duration LongestDisturbance = base::seconds(12);

// Kills a node, and restarts it after 0.3 to 8 s.
void disturbByKill(PermitFleet &Fleet) {
  std::size_t Node = pickNode(Fleet);
  if (!Fleet.Nodes[Node].Up)
    return;
  kill(Fleet, Node);
  schedule(Fleet, drawDelay(Fleet, base::milliseconds(300), base::seconds(8)),
           [&Fleet, Node] { start(Fleet, Node); });
}

// Cuts a node off from all others for 5 to 12 s.
void disturbByCut(PermitFleet &Fleet) {
  std::size_t Node = pickNode(Fleet);
  if (!Fleet.Nodes[Node].Up || Fleet.Nodes[Node].Island != 0)
    return;
  moveTo(Fleet, {Node}, Node + 1);
  schedule(Fleet, drawDelay(Fleet, base::seconds(5), base::seconds(12)),
           [&Fleet, Node] { moveTo(Fleet, {Node}, 0); });
}

void disturb(PermitFleet &Fleet) {
  if (base::uniformBelow(Fleet.Source, 2) == 0)
    disturbByKill(Fleet);
  else
    disturbByCut(Fleet);
}

} // namespace

TEST_CASE("what lies under a fleet limit is not refused in calm") {
  for (std::size_t Nodes : {89, 235}) {
    PermitFleet Fleet(Nodes, Nodes);
    addWorkspaces(Fleet, 81, 0.62);
    runFor(Fleet, base::seconds(30));
    checkBound(Fleet);
    Totals Sum = countTotals(Fleet);
    MESSAGE(Nodes, " nodes: ", Sum.Arrived, " requests, refused under limit ",
            Sum.RefusedUnderLimit, ", unanswered ", Sum.Unanswered,
            ", messages ", Fleet.Messages);
    CHECK(1000 * (Sum.RefusedUnderLimit + Sum.Unanswered) <= Sum.Arrived);
  }
}

TEST_CASE("a hot workspace gets its fleet limit and no more") {
  PermitFleet Fleet(89, 3);
  addWorkspaces(Fleet, 18, 0.62);
  runFor(Fleet, base::seconds(5));
  for (auto &[Name, Use] : Fleet.Workspaces)
    addDemand(Fleet, {Name, Use.Limit.Rate * 5, Callers::Even});
  runFor(Fleet, base::seconds(20));
  checkBound(Fleet);
  for (const auto &[Name, Use] : Fleet.Workspaces)
    CHECK(static_cast<double>(Use.Runs.size()) >= 0.9 * Use.Limit.Rate * 20);
  CHECK(Fleet.LongestWait <= base::seconds(11));
}

TEST_CASE("thousands of requests a second share asks") {
  PermitFleet Fleet(89, 4);
  base::WorkspaceName Name = addWorkspace(Fleet, 0, {3000, 3000});
  addDemand(Fleet, {Name, 2400, Callers::OneNode});
  runFor(Fleet, base::seconds(8));
  Totals Sum = countTotals(Fleet);
  CHECK(1000 * (Sum.RefusedUnderLimit + Sum.Unanswered) <= Sum.Arrived);
  CHECK(Fleet.Messages < Sum.Arrived);
}

TEST_CASE("kills, restarts and cuts of nodes keep the fleet limit") {
  for (std::uint64_t Seed = 1; Seed <= 2; ++Seed) {
    CAPTURE(Seed);
    PermitFleet Fleet(89, Seed);
    addWorkspaces(Fleet, 18, 3);
    for (int Step = 0; Step < 50; ++Step) {
      disturb(Fleet);
      runFor(Fleet, base::milliseconds(500));
    }
    runFor(Fleet, LongestDisturbance);
    checkServedAgain(Fleet);
    checkBound(Fleet);
    Totals Sum = countTotals(Fleet);
    MESSAGE("seed ", Seed, ": ", Sum.Arrived, " requests, ran ", Sum.Runs,
            ", refused under limit ", Sum.RefusedUnderLimit, ", unanswered ",
            Sum.Unanswered);
  }
}

TEST_CASE("a third of the nodes cut off at once keeps the fleet limit") {
  for (std::uint64_t Seed = 1; Seed <= 2; ++Seed) {
    CAPTURE(Seed);
    PermitFleet Fleet(89, Seed);
    addWorkspaces(Fleet, 18, 3);
    runFor(Fleet, base::seconds(6));
    for (std::size_t I = 0; I < 30; ++I)
      disturbByCut(Fleet);
    runFor(Fleet, base::seconds(25));
    checkServed(Fleet,
                base::seconds(6 + 25) - LongestDisturbance - LongestOutage);
    checkBound(Fleet);
  }
}

TEST_CASE("a fleet cut in two keeps the fleet limit") {
  for (std::uint64_t Seed = 1; Seed <= 3; ++Seed) {
    CAPTURE(Seed);
    PermitFleet Fleet(89, Seed);
    addWorkspaces(Fleet, 18, 3);
    addDemandOnBothSides(Fleet);
    runFor(Fleet, base::seconds(6));
    std::vector<std::size_t> Moved(12 * Seed);
    std::iota(Moved.begin(), Moved.end(), 0);
    moveTo(Fleet, Moved, 1);
    runFor(Fleet, base::seconds(12));
    moveTo(Fleet, Moved, 0);
    // Some workspaces have callers on the small side only.
    checkServedAgain(Fleet);
    checkServed(Fleet, base::seconds(6 + 4));
    checkBound(Fleet);
  }
}

TEST_CASE("a home that is cut off with its callers stops issuing permits") {
  for (std::uint64_t Seed = 1; Seed <= 2; ++Seed) {
    CAPTURE(Seed);
    PermitFleet Fleet(89, Seed);
    base::WorkspaceName Name = addWorkspaceOf(Fleet, 0, {30, 30});
    addDemand(Fleet, {Name, 90, Callers::Even});
    addDemandOnBothSides(Fleet);
    runFor(Fleet, base::seconds(6));
    moveTo(Fleet, {0}, 1);
    runFor(Fleet, base::seconds(12));
    moveTo(Fleet, {0}, 0);
    checkServedAgain(Fleet);
    checkServed(Fleet, base::seconds(6 + 12 + 10) - LongestOutage * 2);
    checkBound(Fleet);
  }
}

TEST_CASE("restarts of a home don't fill the bucket") {
  PermitFleet Fleet(89, 9);
  base::WorkspaceName Name = addWorkspaceOf(Fleet, 5, {5, 60});
  addDemand(Fleet, {Name, 100, Callers::Even});
  for (int Round = 0; Round < 5; ++Round) {
    runFor(Fleet, base::milliseconds(2400));
    kill(Fleet, 5);
    start(Fleet, 5);
  }
  // The full bucket and the time before the first restart.
  CHECK(static_cast<double>(Fleet.Workspaces[Name].Runs.size()) >=
        0.9 * (60 + 2.4 * 5));
  checkServedAgain(Fleet);
  checkBound(Fleet);
}

TEST_CASE("a restart of all nodes at once keeps the fleet limit") {
  for (std::uint64_t Seed = 1; Seed <= 2; ++Seed) {
    CAPTURE(Seed);
    PermitFleet Fleet(89, Seed);
    addWorkspaces(Fleet, 18, 3);
    runFor(Fleet, base::seconds(6));
    for (std::size_t I = 0; I < Fleet.Nodes.size(); ++I)
      kill(Fleet, I);
    for (std::size_t I = 0; I < Fleet.Nodes.size(); ++I)
      schedule(Fleet,
               drawDelay(Fleet, base::milliseconds(300), base::seconds(2)),
               [&Fleet, I] { start(Fleet, I); });
    runFor(Fleet, base::seconds(5));
    checkServedAgain(Fleet);
    checkServed(Fleet, base::seconds(6 + 4));
    checkBound(Fleet);
  }
}

// Known red, see KNOWN-RED.txt: a new node doesn't know of the other side.
TEST_CASE("a restart of all nodes during a cut keeps the fleet limit" *
          doctest::skip()) {
  for (std::uint64_t Seed = 1; Seed <= 2; ++Seed) {
    CAPTURE(Seed);
    PermitFleet Fleet(89, Seed);
    addWorkspaces(Fleet, 18, 3);
    addDemandOnBothSides(Fleet);
    runFor(Fleet, base::seconds(6));
    std::vector<std::size_t> Moved(36);
    std::iota(Moved.begin(), Moved.end(), 0);
    moveTo(Fleet, Moved, 1);
    for (std::size_t I = 0; I < Fleet.Nodes.size(); ++I) {
      kill(Fleet, I);
      schedule(Fleet, base::seconds(1), [&Fleet, I] { start(Fleet, I); });
    }
    runFor(Fleet, base::seconds(10));
    moveTo(Fleet, Moved, 0);
    checkServedAgain(Fleet);
    checkBound(Fleet);
  }
}

TEST_CASE("nodes that join keep the fleet limit") {
  PermitFleet Fleet(235, 5);
  addWorkspaces(Fleet, 18, 3);
  for (std::size_t I = 100; I < 235; ++I)
    kill(Fleet, I);
  runFor(Fleet, base::seconds(25));
  for (std::size_t I = 100; I < 235; ++I) {
    start(Fleet, I);
    runFor(Fleet, base::milliseconds(100));
  }
  checkServedAgain(Fleet);
  checkBound(Fleet);
}

TEST_CASE("lossy links keep the fleet limit") {
  PermitFleet Fleet(89, 6);
  Fleet.LossShare = 0.3;
  addWorkspaces(Fleet, 18, 3);
  for (int Step = 0; Step < 20; ++Step) {
    disturb(Fleet);
    runFor(Fleet, base::seconds(1));
  }
  runFor(Fleet, LongestDisturbance);
  checkServedAgain(Fleet);
  checkBound(Fleet);
}

TEST_CASE("a lowered fleet limit binds one window after it is in force") {
  PermitFleet Fleet(89, 7);
  base::WorkspaceName Name = addWorkspace(Fleet, 0, {91, 91});
  addDemand(Fleet, {Name, 300, Callers::Even});
  runFor(Fleet, base::seconds(6));
  for (PermitNode &Node : Fleet.Nodes)
    schedule(Fleet, drawDelay(Fleet, base::Duration{}, base::seconds(3)),
             [&Node, Name] {
               Node.Limits[Name] = FleetLimit{2, 2};
             });
  runFor(Fleet, base::seconds(8));
  Usage &Use = Fleet.Workspaces[Name];
  Use.Limit = FleetLimit{2, 2};
  Use.Runs.clear();
  disturb(Fleet);
  runFor(Fleet, base::seconds(20));
  checkBound(Fleet);
  CHECK(Use.Runs.size() >= 30);
}

TEST_CASE("a workspace is served again within six seconds of its home's loss") {
  for (std::uint64_t Seed = 1; Seed <= 2; ++Seed) {
    CAPTURE(Seed);
    PermitFleet Fleet(89, Seed);
    base::WorkspaceName Name = addWorkspace(Fleet, Seed, {30, 30});
    addDemand(Fleet, {Name, 18, Callers::Even});
    runFor(Fleet, base::seconds(2));
    HomeChoice Choice = chooseHome(Fleet.Nodes[0].State.Roster, Name);
    kill(Fleet, Fleet.Index.at(Choice.Home));
    runFor(Fleet, base::seconds(6));
    std::size_t RunsBefore = Fleet.Workspaces[Name].Runs.size();
    runFor(Fleet, base::seconds(2));
    CHECK(Fleet.Workspaces[Name].Runs.size() > RunsBefore + 18);
  }
}

TEST_CASE("a thousand nodes keep the fleet limit") {
  PermitFleet Fleet(1000, 8);
  addWorkspaces(Fleet, 12, 4);
  std::map<base::WorkspaceName, base::NodeName> Homes;
  for (const auto &Workspace : Fleet.Workspaces)
    Homes[Workspace.first] =
        chooseHome(Fleet.Nodes[0].State.Roster, Workspace.first).Home;
  for (int Step = 0; Step < 8; ++Step) {
    disturb(Fleet);
    runFor(Fleet, base::seconds(1));
  }
  std::size_t Undisturbed = 0;
  for (const auto &[Name, Home] : Homes) {
    const PermitNode &Node = Fleet.Nodes[Fleet.Index.at(Home)];
    if (Node.Run > 1 || Node.State.Roster.WasInterrupted)
      continue;
    const Usage &Use = Fleet.Workspaces.at(Name);
    CAPTURE(Use.Limit.Rate);
    CHECK(static_cast<double>(Use.Runs.size()) >= 0.9 * Use.Limit.Rate * 8 - 1);
    ++Undisturbed;
  }
  CHECK(Undisturbed >= Homes.size() / 2);
  checkBound(Fleet);
}

} // namespace currantgauge::admission
