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

// CallerReport is what one caller observed. Each request has its own key, under
// which the backend server counts it.
struct CallerReport {
  Counts ByReason;                    // of responses other than 200
  std::vector<std::string> Succeeded; // keys
  std::vector<std::string> NotRun;
  std::vector<std::string> MayHaveRun;
  std::uint64_t Unanswered = 0; // no response
  std::uint64_t UnexpectedMayHaveRun =
      0; // refused without a deadline, yet not "not_run"
};

// Only a deadline may end a request as "may_have_run", because it can pass
// while a server runs the request. A request that admission refuses never left
// the queue.
bool isDeadlineReason(const std::string &Reason) {
  return Reason == "deadline_passed" || Reason == "backend_timeout";
}

void recordResponse(CallerReport &Result, const std::string &Key,
                    HttpResponse &Response) {
  if (Response.Status == 200) {
    Result.Succeeded.push_back(Key);
    return;
  }
  const std::string &Reason = Response.Headers["currantgauge-reason"];
  ++Result.ByReason[Reason];
  bool NotRun = Response.Headers["currantgauge-verdict"] == "not_run";
  (NotRun ? Result.NotRun : Result.MayHaveRun).push_back(Key);
  Result.UnexpectedMayHaveRun += !NotRun && !isDeadlineReason(Reason) ? 1 : 0;
}

CallerReport sendRequests(const std::string &Address, const std::string &Path,
                          const std::string &Caller) {
  constexpr int Requests = 25;
  CallerReport Result;
  for (int I = 0; I < Requests; ++I) {
    std::string Key = Caller + "-" + std::to_string(I);
    auto Response = sendRequest(
        Address, "GET", Path, "",
        {{"Currantgauge-Timeout-Ms", "300"}, {"Idempotency-Key", Key}});
    if (Response)
      recordResponse(Result, Key, *Response);
    else
      ++Result.Unanswered;
  }
  return Result;
}

void append(std::vector<std::string> &Destination,
            const std::vector<std::string> &Source) {
  Destination.insert(Destination.end(), Source.begin(), Source.end());
}

void addRefusals(const NodeProcess &Node, Counts &Total) {
  auto Page = sendRequest(Node.AnnounceAddress, "GET", "/metrics");
  REQUIRE(Page.has_value());
  std::istringstream Lines(Page->Body);
  for (std::string Line; std::getline(Lines, Line);) {
    const std::string Label = "reason=\"";
    if (!Line.starts_with("currantgauge_refusals_total{"))
      continue;
    std::size_t At = Line.find(Label) + Label.size();
    std::string Reason = Line.substr(At, Line.find('"', At) - At);
    // A retry that the retry budget denied is counted in addition to the
    // refusal of the request.
    if (Reason != "retry_budget")
      Total[Reason] += std::stoull(Line.substr(Line.rfind(' ') + 1));
  }
}

} // namespace

TEST_CASE("refusal counters match what callers observe under overload") {
  TestFleet Fleet;
  startNode(Fleet, "a", "north", "north-a");
  startNode(Fleet, "b", "north", "north-b");
  startServer(Fleet, "cutlist-1", "cutlist", Fleet.Nodes[1],
              {"--slots=2", "--work_ms=20"});
  REQUIRE(pushConfig(Fleet, DemoConfig));
  REQUIRE(waitForServers(Fleet, 1));
  std::vector<std::future<CallerReport>> Callers;
  for (int I = 0; I < 48; ++I)
    Callers.push_back(std::async(std::launch::async, [&, I] {
      return sendRequests(
          Fleet.Nodes[static_cast<std::size_t>(I) % 2].CallerAddress,
          I % 8 == 0 ? "/lists/7" : "/stock/3", std::to_string(I));
    }));
  Counts Reported;
  CallerReport Total;
  for (auto &Caller : Callers) {
    CallerReport Report = Caller.get();
    CHECK(Report.Unanswered == 0);
    CHECK(Report.UnexpectedMayHaveRun == 0);
    append(Total.Succeeded, Report.Succeeded);
    append(Total.NotRun, Report.NotRun);
    append(Total.MayHaveRun, Report.MayHaveRun);
    for (const auto &[Reason, Count] : Report.ByReason)
      Reported[Reason] += Count;
  }
  CHECK_FALSE(Total.Succeeded.empty());
  CHECK_FALSE(Total.NotRun.empty());
  Counts Counted;
  for (const NodeProcess &Node : Fleet.Nodes)
    addRefusals(Node, Counted);
  CHECK(Counted == Reported);
  Counts Runs = runsByKey(Fleet);
  for (const std::string &Key : Total.Succeeded)
    CHECK(Runs[Key] >= 1);
  for (const std::string &Key : Total.NotRun)
    CHECK(Runs[Key] == 0);
  std::uint64_t UncertainRuns = 0;
  for (const std::string &Key : Total.MayHaveRun)
    UncertainRuns += Runs[Key];
  CHECK(runsOf(Fleet.Servers[0]) == Total.Succeeded.size() + UncertainRuns);
  MESSAGE("may_have_run: " << Total.MayHaveRun.size()
                           << ", of which ran: " << UncertainRuns);
}

} // namespace currantgauge::integration
