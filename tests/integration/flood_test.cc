#include "tests/integration/callers.h"
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

using Counts = std::map<std::string, std::uint64_t>;

// Seen is what one caller saw. Each request has a key of its own, by which the
// server's record knows it.
struct Seen {
  Counts ByReason;               // of answers that were no good answer
  std::vector<std::string> Good; // keys
  std::vector<std::string> NotRun;
  std::vector<std::string> MayHaveRun;
  std::uint64_t Lost = 0;     // no answer at all
  std::uint64_t Doubtful = 0; // refused by admission, yet not "not_run"
};

// A deadline may pass while a server works on the request, so it alone may end
// as "may_have_run"; what admission refuses never left a queue.
bool isDeadline(const std::string &Reason) {
  return Reason == "deadline_passed" || Reason == "backend_timeout";
}

void noteAnswer(Seen &Result, const std::string &Key, HttpResponse &Got) {
  if (Got.Status == 200) {
    Result.Good.push_back(Key);
    return;
  }
  const std::string &Reason = Got.Headers["currantgauge-reason"];
  ++Result.ByReason[Reason];
  bool NotRun = Got.Headers["currantgauge-verdict"] == "not_run";
  (NotRun ? Result.NotRun : Result.MayHaveRun).push_back(Key);
  Result.Doubtful += !NotRun && !isDeadline(Reason) ? 1 : 0;
}

Seen sendMany(const std::string &Address, const std::string &Path,
              const std::string &Caller) {
  constexpr int Requests = 25;
  Seen Result;
  for (int I = 0; I < Requests; ++I) {
    std::string Key = Caller + "-" + std::to_string(I);
    auto Got = sendRequest(
        Address, "GET", Path, "",
        {{"Currantgauge-Timeout-Ms", "300"}, {"Idempotency-Key", Key}});
    if (Got)
      noteAnswer(Result, Key, *Got);
    else
      ++Result.Lost;
  }
  return Result;
}

void append(std::vector<std::string> &To, const std::vector<std::string> &Of) {
  To.insert(To.end(), Of.begin(), Of.end());
}

void addRefusals(const NodeProcess &Node, Counts &Total) {
  auto Page = sendRequest(Node.AnnounceAddress, "GET", "/metrics");
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
  TestFleet Some;
  startNode(Some, "a", "north", "north-a");
  startNode(Some, "b", "north", "north-b");
  startServer(Some, "cutlist-1", "cutlist", Some.Nodes[1],
              {"--slots=2", "--work_ms=20"});
  REQUIRE(pushConfig(Some, DemoConfig));
  REQUIRE(waitForServers(Some, 1));
  std::vector<std::future<Seen>> Callers;
  for (int I = 0; I < 48; ++I)
    Callers.push_back(std::async(std::launch::async, [&, I] {
      return sendMany(Some.Nodes[static_cast<std::size_t>(I) % 2].CallerAddress,
                      I % 8 == 0 ? "/lists/7" : "/stock/3", std::to_string(I));
    }));
  Counts Saw;
  Seen All;
  for (auto &Each : Callers) {
    Seen One = Each.get();
    CHECK(One.Lost == 0);
    CHECK(One.Doubtful == 0);
    append(All.Good, One.Good);
    append(All.NotRun, One.NotRun);
    append(All.MayHaveRun, One.MayHaveRun);
    for (const auto &[Reason, Count] : One.ByReason)
      Saw[Reason] += Count;
  }
  CHECK_FALSE(All.Good.empty());
  CHECK_FALSE(All.NotRun.empty());
  Counts Counted;
  for (const NodeProcess &Node : Some.Nodes)
    addRefusals(Node, Counted);
  CHECK(Counted == Saw);
  Counts Runs = runsByKey(Some);
  for (const std::string &Key : All.Good)
    CHECK(Runs[Key] >= 1);
  for (const std::string &Key : All.NotRun)
    CHECK(Runs[Key] == 0);
  std::uint64_t DoubtfulRuns = 0;
  for (const std::string &Key : All.MayHaveRun)
    DoubtfulRuns += Runs[Key];
  CHECK(runsOf(Some.Servers[0]) == All.Good.size() + DoubtfulRuns);
  MESSAGE("may_have_run: " << All.MayHaveRun.size() << ", of these run "
                           << DoubtfulRuns);
}

} // namespace currantgauge::integration
