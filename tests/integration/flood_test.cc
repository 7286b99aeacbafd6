#include "tests/integration/fleet.h"

#include <doctest/doctest.h>

#include <cstdint>
#include <future>
#include <map>
#include <sstream>
#include <string>
#include <vector>

namespace currantgauge::integration {
namespace {

const std::string ConfigFolder =
    std::string(CURRANTGAUGE_SOURCE_DIR) + "/examples/demo/config";

using Counts = std::map<std::string, std::uint64_t>;

// Seen is what one caller saw.
struct Seen {
  Counts ByReason; // of answers that were no good answer
  std::uint64_t Good = 0;
  std::uint64_t Lost = 0;         // no answer at all
  std::uint64_t FalseVerdict = 0; // a refusal that is not "not_run"
};

Seen sendMany(const std::string &Address, const std::string &Path, int Count) {
  Seen Result;
  for (int I = 0; I < Count; ++I) {
    auto Got =
        ask(Address, "GET", Path, "", {{"Currantgauge-Timeout-Ms", "300"}});
    if (!Got) {
      ++Result.Lost;
    } else if (Got->Status == 200) {
      ++Result.Good;
    } else {
      ++Result.ByReason[Got->Fields["currantgauge-reason"]];
      Result.FalseVerdict +=
          Got->Fields["currantgauge-verdict"] == "not_run" ? 0 : 1;
    }
  }
  return Result;
}

void addRefusals(const NodeProcess &Node, Counts &Total) {
  auto Page = ask(Node.Announcements, "GET", "/metrics");
  REQUIRE(Page.has_value());
  std::istringstream Lines(Page->Body);
  for (std::string Line; std::getline(Lines, Line);) {
    const std::string Mark = "reason=\"";
    if (!Line.starts_with("currantgauge_refusals_total{"))
      continue;
    std::size_t At = Line.find(Mark) + Mark.size();
    std::string Reason = Line.substr(At, Line.find('"', At) - At);
    // A retry that the budget denied is counted beside the refusal it left.
    if (Reason != "retry_budget")
      Total[Reason] += std::stoull(Line.substr(Line.rfind(' ') + 1));
  }
}

} // namespace

TEST_CASE("in a flood the counters say what the callers saw") {
  Fleet Some;
  startNode(Some, "a", "north", "north-a");
  startNode(Some, "b", "north", "north-b");
  startServer(Some, "cutlist-1", "cutlist", Some.Nodes[1],
              {"--slots=2", "--work_ms=20"});
  REQUIRE(pushConfig(Some, ConfigFolder));
  REQUIRE(waitForServers(Some, 1));
  std::vector<std::future<Seen>> Callers;
  for (int I = 0; I < 48; ++I)
    Callers.push_back(std::async(std::launch::async, [&, I] {
      return sendMany(Some.Nodes[static_cast<std::size_t>(I) % 2].Callers,
                      I % 8 == 0 ? "/lists/7" : "/stock/3", 25);
    }));
  Counts Saw;
  std::uint64_t Good = 0;
  for (auto &Each : Callers) {
    Seen One = Each.get();
    CHECK(One.Lost == 0);
    CHECK(One.FalseVerdict == 0);
    Good += One.Good;
    for (const auto &[Reason, Count] : One.ByReason)
      Saw[Reason] += Count;
  }
  CHECK(Good > 0);
  CHECK_FALSE(Saw.empty());
  Counts Counted;
  for (const NodeProcess &Node : Some.Nodes)
    addRefusals(Node, Counted);
  CHECK(Counted == Saw);
  CHECK(runsOf(Some.Servers[0]) == Good);
}

} // namespace currantgauge::integration
