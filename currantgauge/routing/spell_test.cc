#include "currantgauge/routing/spell.h"

#include <doctest/doctest.h>

#include <initializer_list>

namespace currantgauge::routing {
namespace {

constexpr base::TimePoint Start{10000000};

base::TimePoint at(std::int64_t Millis) {
  return Start + base::milliseconds(Millis);
}

// note() records an exchange of 100 ms that ends at Millis.
void note(SpellBelief &Belief, SpellPrior &Prior, std::int64_t Millis,
          bool Failed, bool Ambiguous = false) {
  noteExchange(Belief, Prior,
               {at(Millis - 100), at(Millis), Failed, Ambiguous});
}

constexpr SpellQuery Repeatable{true, true};
constexpr SpellQuery Once{false, true};
constexpr SpellQuery OnceHere{false, false};

} // namespace

TEST_CASE("one failure keeps work away that can't be repeated") {
  SpellBelief Belief;
  SpellPrior Prior;
  note(Belief, Prior, 0, false);
  CHECK(admitsAttempt(Belief, Prior, Once, at(0)));
  note(Belief, Prior, 100, true);
  CHECK_FALSE(admitsAttempt(Belief, Prior, Once, at(100)));
  CHECK(admitsAttempt(Belief, Prior, OnceHere, at(100)));
}

TEST_CASE("a suspected server gets one trial at a time, then returns") {
  SpellBelief Belief;
  SpellPrior Prior;
  note(Belief, Prior, 0, true);
  CHECK_FALSE(admitsAttempt(Belief, Prior, Repeatable, at(10)));
  CHECK(computeTrialDelay(Belief, at(10)) > base::Duration{});
  REQUIRE(admitsAttempt(Belief, Prior, Repeatable, at(400)));
  noteAdmitted(Belief, Prior, at(400));
  CHECK_FALSE(admitsAttempt(Belief, Prior, Repeatable, at(410)));
  note(Belief, Prior, 500, false);
  CHECK(admitsAttempt(Belief, Prior, Repeatable, at(500)));
  CHECK_FALSE(admitsAttempt(Belief, Prior, Once, at(500)));
  for (std::int64_t Millis : {610, 720, 830})
    note(Belief, Prior, Millis, false);
  CHECK(admitsAttempt(Belief, Prior, Once, at(830)));
}

TEST_CASE("a hanging trial doesn't block further trials") {
  SpellBelief Belief;
  SpellPrior Prior;
  note(Belief, Prior, 0, true);
  noteAdmitted(Belief, Prior, at(400));
  note(Belief, Prior, 2000, true);
  CHECK(isSpellSuspected(Belief, Prior, at(3500)));
  CHECK(admitsAttempt(Belief, Prior, Repeatable, at(3500)));
}

TEST_CASE("a success that started before the failure proves nothing") {
  SpellBelief Belief;
  SpellPrior Prior;
  note(Belief, Prior, 0, true);
  noteExchange(Belief, Prior, {at(-500), at(20), false, false});
  CHECK_FALSE(admitsAttempt(Belief, Prior, Once, at(20)));
}

TEST_CASE("a server without trials returns after the length of a few spells") {
  SpellBelief Belief;
  SpellPrior Prior;
  note(Belief, Prior, 0, true);
  CHECK_FALSE(admitsAttempt(Belief, Prior, Once, at(1000)));
  CHECK(admitsAttempt(Belief, Prior, Once, at(8000)));
}

TEST_CASE("single failures are no longer suspected once they are known") {
  SpellBelief Belief;
  SpellPrior Prior;
  for (std::int64_t Second = 0; Second < 80; ++Second) {
    note(Belief, Prior, Second * 1000, true);
    for (std::int64_t Millis = 200; Millis < 1000; Millis += 200)
      note(Belief, Prior, Second * 1000 + Millis, false);
  }
  note(Belief, Prior, 80000, true);
  CHECK_FALSE(isSpellSuspected(Belief, Prior, at(80000)));
}

TEST_CASE("a request that failed elsewhere says little about a server") {
  SpellBelief Single;
  SpellBelief Repeated;
  SpellPrior Prior;
  note(Single, Prior, 0, true);
  note(Repeated, Prior, 0, true, true);
  CHECK(computeSpellProbability(Repeated, Prior, at(0)) <
        computeSpellProbability(Single, Prior, at(0)) / 2);
}

TEST_CASE("a prior of many spells keeps no server suspected without evidence") {
  SpellBelief Suspect;
  SpellPrior Prior{40, 36};
  note(Suspect, Prior, 0, true);
  REQUIRE(isSpellSuspected(Suspect, Prior, at(0)));
  CHECK(admitsAttempt(Suspect, Prior, Once, at(10000)));
  SpellBelief Recovered;
  note(Recovered, Prior, 0, true);
  for (std::int64_t Millis = 200; Millis <= 2000; Millis += 200)
    note(Recovered, Prior, Millis, false);
  Prior = SpellPrior{40, 36};
  for (std::int64_t Millis = 2000; Millis <= 60000; Millis += 500)
    CHECK_FALSE(isSpellSuspected(Recovered, Prior, at(Millis)));
}

TEST_CASE("failures with one start time leave a belief that can recover") {
  SpellBelief Belief;
  SpellPrior Prior;
  for (std::int64_t Millis = 0; Millis < 20; ++Millis)
    noteExchange(Belief, Prior, {at(-100), at(Millis), true, false});
  double Probability = computeSpellProbability(Belief, Prior, at(20));
  CHECK(Probability > 0.9);
  CHECK(Probability < 1);
  CHECK(isSpellSuspected(Belief, Prior, at(1000)));
  CHECK_FALSE(isSpellSuspected(Belief, Prior, at(10000)));
  note(Belief, Prior, 10100, false);
  CHECK(computeSpellProbability(Belief, Prior, at(10100)) < 0.1);
  CHECK(admitsAttempt(Belief, Prior, Once, at(10100)));
}

} // namespace currantgauge::routing
