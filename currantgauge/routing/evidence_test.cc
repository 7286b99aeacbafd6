#include "currantgauge/routing/evidence.h"

#include "currantgauge/base/random.h"

#include <doctest/doctest.h>

#include <cmath>

namespace currantgauge::routing {
namespace {

const base::KindName Lookup("lookup");
constexpr base::Duration Usual = base::milliseconds(20);

// Healthy durations: lognormal with a median of 20 ms and long tails.
base::Duration draw(base::Random &Source) {
  double A = 1 - base::uniformUnit(Source), B = base::uniformUnit(Source);
  double Normal = std::sqrt(-2 * std::log(A)) * std::cos(2 * M_PI * B);
  return base::scaled(Usual, std::exp(Normal));
}

struct Bench {
  ServerEvidence Evidence;
  base::Random Source{5};
  base::TimePoint Now{1000000};
  std::uint64_t Last = 0;

  base::AttemptId start(bool Fresh) {
    Exchange One;
    One.Attempt = base::AttemptId{1, ++this->Last};
    One.Kind = Lookup;
    One.Started = this->Now;
    One.FreshConnection = Fresh;
    noteExchangeStart(this->Evidence, One);
    return One.Attempt;
  }
  void run(base::Duration Took, ExchangeResult How, bool Fresh = false) {
    base::AttemptId Attempt = this->start(Fresh);
    this->Now = this->Now + Took;
    noteExchangeEnd(this->Evidence, Attempt, How, Fresh, this->Now);
  }
  double level() const {
    return computeSuspicion(this->Evidence, this->Now).Level;
  }
};

Bench taught() {
  Bench Made;
  TimeHistogram Past;
  for (int I = 0; I < 3000; ++I)
    addSample(Past, draw(Made.Source));
  Made.Evidence.Kinds[Lookup].Histogram = Past;
  Made.Evidence.Kinds[Lookup].Bounds = computeBounds(computeProfile(Past));
  return Made;
}

} // namespace

TEST_CASE("long-tailed healthy times raise no alarm") {
  Bench Made = taught();
  double Highest = 0;
  for (int I = 0; I < 200000; ++I) {
    Made.run(draw(Made.Source), ExchangeResult::Complete);
    Highest = std::max(Highest, Made.level());
  }
  CHECK(Highest < 1);
}

TEST_CASE("four exchanges that hang raise the alarm before they end") {
  Bench Made = taught();
  for (int I = 0; I < 4; ++I)
    Made.start(true);
  CHECK(Made.level() == 0);
  Made.Now = Made.Now + base::seconds(1);
  CHECK(Made.level() >= 1);
}

// Long tails let three exchanges of a busy server hang at a time.
TEST_CASE("a few exchanges that hang while others are answered are no stall") {
  Bench Made = taught();
  for (int I = 0; I < 3; ++I)
    Made.start(true);
  for (int I = 0; I < 40; ++I) {
    Made.run(base::milliseconds(50), ExchangeResult::Complete, true);
    REQUIRE(Made.level() < 1);
  }
  CHECK(Made.Now > base::TimePoint{} + base::seconds(2));
  for (int I = 0; I < 4; ++I)
    Made.start(true);
  Made.Now = Made.Now + base::seconds(1);
  CHECK(Made.level() >= 1);
}

TEST_CASE("silent pooled connections alone never raise the alarm") {
  Bench Made = taught();
  for (int I = 0; I < 50; ++I)
    Made.start(false);
  Made.Now = Made.Now + base::minutes(1);
  CHECK(Made.level() < 0.75);
  CHECK(needsFreshConnection(Made.Evidence, Made.Now));
  CHECK(selectExchangesToCancel(Made.Evidence, 0, Made.Now).size() ==
        MinFreshExchanges);
  CHECK(selectExchangesToCancel(Made.Evidence, 0, Made.Now).empty());
}

TEST_CASE("a share of failures raises the alarm, load shedding never") {
  Bench Made = taught();
  for (int I = 0; I < 1000; ++I)
    Made.run(base::milliseconds(1), ExchangeResult::NoEvidence);
  CHECK(Made.level() == 0);
  // Within 5 s at 20 requests a second.
  int Needed = 0;
  while (Made.level() < 1 && ++Needed < 1000)
    Made.run(draw(Made.Source), Needed % 10 < 3 ? ExchangeResult::Failed
                                                : ExchangeResult::Complete);
  CHECK(Needed <= 100);
}

TEST_CASE("failures that the peers show as well are no sickness") {
  Bench Made = taught();
  Made.Evidence.PeerFailShare = 0.3;
  for (int I = 0; I < 10000; ++I) {
    bool Failed = base::uniformUnit(Made.Source) < 0.3;
    Made.run(draw(Made.Source),
             Failed ? ExchangeResult::Failed : ExchangeResult::Complete);
    REQUIRE(Made.level() < 1);
  }
}

TEST_CASE("a server five times slower than its peers is found") {
  Bench Made = taught();
  Made.Evidence.HasPeers = true;
  int Needed = 0;
  while (Made.level() < 1 && Needed < 1000) {
    Made.run(draw(Made.Source) * 5, ExchangeResult::Complete);
    ++Needed;
  }
  CHECK(Needed <= 200);
}

// The peers' usual times follow a change of the whole service slowly.
TEST_CASE("lateness that the peers show as well is no sickness") {
  Bench Made = taught();
  Made.Evidence.HasPeers = true;
  Bench Alone = Made;
  Made.Evidence.PeerLateShare = 0.35;
  double Highest = 0;
  bool AloneFound = false;
  for (int I = 0; I < 20000; ++I) {
    base::Duration Took = draw(Made.Source) * 4;
    Made.run(Took, ExchangeResult::Complete);
    Highest = std::max(Highest, Made.level());
    Alone.run(Took, ExchangeResult::Complete);
    AloneFound = AloneFound || Alone.level() >= 1;
  }
  CHECK(Made.Evidence.LateShare > 0.2);
  CHECK(Highest < 1);
  CHECK(AloneFound);
}

TEST_CASE("cancelled young exchanges and the cold start are no evidence") {
  Bench Made = taught();
  for (int I = 0; I < 1000; ++I)
    Made.run(base::milliseconds(5), ExchangeResult::Censored);
  CHECK(Made.level() == 0);
  Exchange Cold;
  Cold.Kind = Lookup;
  Cold.Started = Made.Now;
  Cold.FreshConnection = true;
  Cold.CountsAsEvidence = false;
  for (std::uint64_t I = 0; I < 4; ++I) {
    Cold.Attempt = base::AttemptId{2, I};
    noteExchangeStart(Made.Evidence, Cold);
  }
  Made.Now = Made.Now + base::seconds(10);
  CHECK(Made.level() == 0);
}

TEST_CASE("an alarm fades only while nothing runs") {
  Bench Made = taught();
  for (int I = 0; I < 20; ++I)
    Made.run(base::milliseconds(5), ExchangeResult::Failed);
  Made.Evidence.Alarmed = true;
  base::AttemptId Running = Made.start(true);
  Made.Now = Made.Now + base::milliseconds(20);
  decayEvidence(Made.Evidence, Made.Now);
  CHECK(Made.level() >= 1);
  noteExchangeEnd(Made.Evidence, Running, ExchangeResult::NoEvidence, true,
                  Made.Now);
  Made.Now = Made.Now + base::seconds(30);
  decayEvidence(Made.Evidence, Made.Now);
  CHECK(Made.level() < 0.1);
  CHECK(isIdle(Made.Evidence));
}

} // namespace currantgauge::routing
