// Each check of a guarantee reports a violation added to an otherwise good run.
#include "tests/soak/violations.h"

#include <doctest/doctest.h>

#include <string>

namespace currantgauge::soak {
namespace {

CallerRequest makeRequest(const std::string &Id, Seconds Sent, unsigned Status,
                          bool Idempotent = true) {
  CallerRequest Request;
  Request.Id = Id;
  Request.Idempotent = Idempotent;
  Request.SentAt = Sent;
  Request.EndedAt = Sent + 0.1;
  Request.Status = Status;
  return Request;
}

CallerRequest makeVersionRequest(std::uint32_t Version, Seconds Sent,
                                 unsigned Status) {
  CallerRequest Request = makeRequest("v" + std::to_string(Sent), Sent, Status);
  Request.RouteVersion = Version;
  return Request;
}

// goodRun() returns a run with a served request every 100 ms, one node killed
// at 103 s, and version 1 from the start.
Observations goodRun() {
  Observations Run;
  for (int I = 0; I < 400; ++I) {
    std::string Id = "r" + std::to_string(I);
    Seconds Sent = 100 + I * 0.1;
    Run.Requests.push_back(makeRequest(Id, Sent, 200, I % 2 == 0));
    Run.Arrivals.push_back({Id, "i-1", Sent + 0.01, true});
  }
  Run.Versions.push_back({1, 99});
  Run.PlanStart = 103;
  Run.AllRepairedAt = 110;
  Run.End = 140;
  Run.FaultWindows.push_back({"node_kill", 0, 103, 105, false, false, true});
  return Run;
}

bool reportsViolation(const Observations &Run, const std::string &Prefix) {
  for (const std::string &Line : findViolations(Run))
    if (Line.starts_with(Prefix))
      return true;
  return false;
}

} // namespace

TEST_CASE("a good run has no violations") {
  CHECK(findViolations(goodRun()).empty());
}

TEST_CASE(
    "an action that ran twice is reported, an idempotent request is not") {
  Observations Run = goodRun();
  Run.Arrivals.push_back({"r2", "i-2", 101, true});
  CHECK(findViolations(Run).empty());
  Run.Arrivals.push_back({"r3", "i-2", 101, true});
  CHECK(reportsViolation(Run, "at most once: r3"));
}

TEST_CASE("a refusal of an action that ran is reported") {
  for (unsigned Status : {503U, 429U, 408U, 421U}) {
    Observations Run = goodRun();
    Run.Requests[3].Status = Status;
    CHECK(reportsViolation(Run, "true refusals: r3"));
  }
  Observations Run = goodRun();
  Run.Requests[3].Status = 502;
  CHECK(findViolations(Run).empty());
}

TEST_CASE(
    "a response to another request and an arrival nobody sent are reported") {
  Observations Run = goodRun();
  Run.Requests[5].Mismatch = "echoes r4";
  CHECK(reportsViolation(Run, "whole answers: r5"));
  Run = goodRun();
  Run.Arrivals.push_back({"smuggled", "i-1", 101, true});
  CHECK(reportsViolation(Run, "unasked: i-1 got smuggled"));
}

TEST_CASE(
    "a response lost in a planned stop is reported unless a node was killed") {
  Observations Run = goodRun();
  Run.Requests[200].Status = 0;
  Run.FaultWindows.push_back({"node_stop", 0, 119.5, 123, true, false, true});
  CHECK(reportsViolation(Run, "planned stop: r200"));
  Run.FaultWindows.push_back({"node_kill", 4, 119, 121, false, false, true});
  CHECK_FALSE(reportsViolation(Run, "planned stop"));
}

TEST_CASE("a run at a server after its drain limit is reported") {
  Observations Run = goodRun();
  Run.DrainNotices.push_back({"i-1", 0, 137.5});
  CHECK(reportsViolation(Run, "drain: "));
  Run.DrainNotices.back().AcknowledgedAt = 138.5;
  CHECK_FALSE(reportsViolation(Run, "drain: "));
}

TEST_CASE("a config regress is reported unless the node has restarted") {
  Observations Run = goodRun();
  Run.Versions.push_back({2, 101});
  Run.Requests.push_back(makeVersionRequest(2, 101.2, 200));
  Run.Requests.push_back(makeVersionRequest(2, 102, 404));
  CHECK(reportsViolation(Run, "no regress: machine 0 had version 2"));
  Run.Requests.back() = makeVersionRequest(2, 105.5, 404);
  CHECK_FALSE(reportsViolation(Run, "no regress"));
}

TEST_CASE("late propagation is reported, a store fault extends the limit") {
  Observations Run = goodRun();
  Run.Versions.push_back({2, 120});
  Run.Requests.push_back(makeVersionRequest(2, 121.9, 404));
  CHECK(findViolations(Run).empty());
  Run.Requests.push_back(makeVersionRequest(2, 122.1, 404));
  CHECK(reportsViolation(Run, "in force: machine 0"));
  FaultWindow StoreWindow{"store_slow", 7, 118, 119, false, true, false};
  Run.FaultWindows.push_back(StoreWindow);
  CHECK_FALSE(reportsViolation(Run, "in force"));
}

TEST_CASE(
    "a version that a restore lost is due again once it is written again, "
    "and a config regress after the restore is reported") {
  Observations Run = goodRun();
  Run.Versions.push_back({2, 120, {130, 133}});
  for (Seconds InTime : {121.9, 130.1, 131.9, 134.9}) {
    Run.Requests.push_back(makeVersionRequest(2, InTime, 404));
    CHECK(findViolations(Run).empty());
  }
  for (Seconds Late : {122.1, 132.1, 135.1}) {
    Run.Requests.push_back(makeVersionRequest(2, Late, 404));
    CHECK(reportsViolation(Run, "in force: machine 0"));
    Run.Requests.pop_back();
  }
  Run.Requests.push_back(makeVersionRequest(2, 130, 200));
  CHECK(reportsViolation(Run, "no regress: machine 0 had version 2"));
}

TEST_CASE("retries beyond the fleet's budget are reported") {
  Observations Run = goodRun();
  for (int I = 0; I < 85; ++I)
    Run.Arrivals.push_back({"r" + std::to_string(2 * I), "i-2", 121, false});
  CHECK(reportsViolation(Run, "retry budget: "));
  Run.Arrivals.resize(Run.Arrivals.size() - 15);
  CHECK_FALSE(reportsViolation(Run, "retry budget: "));
}

TEST_CASE("a fleet that does not recover is reported") {
  Observations Run = goodRun();
  for (CallerRequest &Request : Run.Requests)
    if (Request.SentAt > 110)
      Request.Status = 503, Request.Idempotent = true;
  CHECK(reportsViolation(Run, "recovery: "));
}

} // namespace currantgauge::soak
