// Each promise's check finds a fault planted in an otherwise good run.
#include "tests/soak/seen.h"

#include <doctest/doctest.h>

#include <string>

namespace currantgauge::soak {
namespace {

Request request(const std::string &Id, Seconds Sent, unsigned Status,
                bool Idempotent = true) {
  Request One;
  One.Id = Id;
  One.Idempotent = Idempotent;
  One.Sent = Sent;
  One.Ended = Sent + 0.1;
  One.Status = Status;
  return One;
}

Request asksFor(std::uint32_t Version, Seconds Sent, unsigned Status) {
  Request One = request("v" + std::to_string(Sent), Sent, Status);
  One.Version = Version;
  return One;
}

// goodRun() has a request served each tenth of a second, one node killed at
// 103 s, and version 1 from the start.
Seen goodRun() {
  Seen Run;
  for (int I = 0; I < 400; ++I) {
    std::string Id = "r" + std::to_string(I);
    Seconds Sent = 100 + I * 0.1;
    Run.Requests.push_back(request(Id, Sent, 200, I % 2 == 0));
    Run.Arrivals.push_back({Id, "i-1", Sent + 0.01, true});
  }
  Run.Versions.push_back({1, 99});
  Run.FirstTrouble = 103;
  Run.Calm = 110;
  Run.End = 140;
  Run.Troubles.push_back({"node_kill", 0, 103, 105, false, false, true});
  return Run;
}

bool finds(const Seen &Run, const std::string &Promise) {
  for (const std::string &Line : brokenPromises(Run))
    if (Line.starts_with(Promise))
      return true;
  return false;
}

} // namespace

TEST_CASE("a good run breaks no promise") {
  CHECK(brokenPromises(goodRun()).empty());
}

TEST_CASE("an action that ran twice is found, other work may run again") {
  Seen Run = goodRun();
  Run.Arrivals.push_back({"r2", "i-2", 101, true});
  CHECK(brokenPromises(Run).empty());
  Run.Arrivals.push_back({"r3", "i-2", 101, true});
  CHECK(finds(Run, "at most once: r3"));
}

TEST_CASE("a refusal of an action that ran is found") {
  for (unsigned Status : {503U, 429U, 408U, 421U}) {
    Seen Run = goodRun();
    Run.Requests[3].Status = Status;
    CHECK(finds(Run, "true refusals: r3"));
  }
  Seen Run = goodRun();
  Run.Requests[3].Status = 502;
  CHECK(brokenPromises(Run).empty());
}

TEST_CASE("an answer of another request and a request nobody sent are found") {
  Seen Run = goodRun();
  Run.Requests[5].Wrong = "echoes r4";
  CHECK(finds(Run, "whole answers: r5"));
  Run = goodRun();
  Run.Arrivals.push_back({"smuggled", "i-1", 101, true});
  CHECK(finds(Run, "unasked: i-1 got smuggled"));
}

TEST_CASE("what a planned stop cuts off is found, a kill excuses it") {
  Seen Run = goodRun();
  Run.Requests[200].Status = 0;
  Run.Troubles.push_back({"node_stop", 0, 119.5, 123, true, false, true});
  CHECK(finds(Run, "planned stop: r200"));
  Run.Troubles.push_back({"node_kill", 4, 119, 121, false, false, true});
  CHECK_FALSE(finds(Run, "planned stop"));
}

TEST_CASE("work at a server that has left is found") {
  Seen Run = goodRun();
  Run.Leaves.push_back({"i-1", 0, 137.5});
  CHECK(finds(Run, "drain: "));
  Run.Leaves.back().Acknowledged = 138.5;
  CHECK_FALSE(finds(Run, "drain: "));
}

TEST_CASE("a version that goes back is found, not a new life that knows less") {
  Seen Run = goodRun();
  Run.Versions.push_back({2, 101});
  Run.Requests.push_back(asksFor(2, 101.2, 200));
  Run.Requests.push_back(asksFor(2, 102, 404));
  CHECK(finds(Run, "no regress: machine 0 had version 2"));
  Run.Requests.back() = asksFor(2, 105.5, 404);
  CHECK_FALSE(finds(Run, "no regress"));
}

TEST_CASE("a version that is late is found, an unwell store gives it time") {
  Seen Run = goodRun();
  Run.Versions.push_back({2, 120});
  Run.Requests.push_back(asksFor(2, 121.9, 404));
  CHECK(brokenPromises(Run).empty());
  Run.Requests.push_back(asksFor(2, 122.1, 404));
  CHECK(finds(Run, "in force: machine 0"));
  Trouble Store{"store_slow", 7, 118, 119, false, true, false};
  Run.Troubles.push_back(Store);
  CHECK_FALSE(finds(Run, "in force"));
}

TEST_CASE("retries beyond the fleet's budget are found") {
  Seen Run = goodRun();
  for (int I = 0; I < 85; ++I)
    Run.Arrivals.push_back({"r" + std::to_string(2 * I), "i-2", 121, false});
  CHECK(finds(Run, "retry budget: "));
  Run.Arrivals.resize(Run.Arrivals.size() - 15);
  CHECK_FALSE(finds(Run, "retry budget: "));
}

TEST_CASE("a fleet that does not recover is found") {
  Seen Run = goodRun();
  for (Request &One : Run.Requests)
    if (One.Sent > 110)
      One.Status = 503, One.Idempotent = true;
  CHECK(finds(Run, "recovery: "));
}

} // namespace currantgauge::soak
