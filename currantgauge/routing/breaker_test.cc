#include "currantgauge/routing/breaker.h"

#include "currantgauge/base/random.h"

#include <doctest/doctest.h>

namespace currantgauge::routing {
namespace {

constexpr base::TimePoint Start{1000000};

// fail() records Count failed exchanges, all at time Now.
void fail(Breaker &State, int Count, base::TimePoint Now) {
  for (int I = 0; I < Count; ++I)
    noteEnd(State, true, Now);
}

} // namespace

TEST_CASE("consecutive failures open the breaker") {
  Breaker State;
  fail(State, 2, Start);
  CHECK(tryAdmit(State, false, Start));
  noteEnd(State, false, Start);
  fail(State, 2, Start);
  CHECK(tryAdmit(State, false, Start));
  CHECK(noteEnd(State, true, Start));
  CHECK_FALSE(tryAdmit(State, false, Start));
  CHECK_FALSE(tryAdmit(State, true, Start));
  CHECK(computeRetryDelay(State, Start) > base::Duration{});
}

TEST_CASE("a server is doubtful from a failure to a success or for 2 s") {
  Breaker State;
  CHECK_FALSE(isDoubtful(State, Start));
  fail(State, 1, Start);
  CHECK(isDoubtful(State, Start));
  CHECK(tryAdmit(State, false, Start));
  CHECK_FALSE(isDoubtful(State, Start + base::seconds(2)));
  noteEnd(State, false, Start);
  CHECK_FALSE(isDoubtful(State, Start));
}

TEST_CASE("successful idempotent trials, one at a time, close the breaker") {
  Breaker State;
  fail(State, 3, Start);
  base::TimePoint Later = Start + base::seconds(1);
  CHECK_FALSE(tryAdmit(State, false, Later));
  for (int Trial = 0; Trial < 3; ++Trial) {
    REQUIRE(tryAdmit(State, true, Later));
    CHECK_FALSE(tryAdmit(State, true, Later));
    CHECK(noteEnd(State, false, Later) == (Trial == 2));
  }
  CHECK(tryAdmit(State, false, Later));
  CHECK(computeRetryDelay(State, Later) == base::Duration{});
}

TEST_CASE("another trial is admitted after one that fails or hangs") {
  Breaker State;
  fail(State, 3, Start);
  base::TimePoint Later = Start + base::seconds(1);
  REQUIRE(tryAdmit(State, true, Later));
  noteEnd(State, true, Later);
  CHECK_FALSE(tryAdmit(State, true, Later));
  Later = Later + base::seconds(2);
  REQUIRE(tryAdmit(State, true, Later));
  CHECK_FALSE(tryAdmit(State, true, Later + base::seconds(1)));
  CHECK(tryAdmit(State, true, Later + base::seconds(4)));
}

// A server that fails nine in ten requests gets few of them; one that fails one
// in a hundred gets nearly all of them.
TEST_CASE("the admitted share of requests falls with a rising failure share") {
  auto AdmittedShare = [](double FailShare, std::uint64_t Seed) {
    Breaker State;
    base::Random Source(Seed);
    int Admitted = 0;
    constexpr int Requests = 20000;
    for (int I = 0; I < Requests; ++I) {
      base::TimePoint Now = Start + base::milliseconds(50) * I;
      if (!tryAdmit(State, I % 2 == 0, Now))
        continue;
      ++Admitted;
      noteEnd(State, base::uniformUnit(Source) < FailShare, Now);
    }
    return static_cast<double>(Admitted) / Requests;
  };
  for (std::uint64_t Seed = 1; Seed <= 5; ++Seed) {
    CHECK(AdmittedShare(0.9, Seed) < 0.1);
    CHECK(AdmittedShare(0.012, Seed) > 0.99);
  }
}

} // namespace currantgauge::routing
