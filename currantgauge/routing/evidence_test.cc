#include "currantgauge/routing/evidence.h"

#include "currantgauge/base/random.h"

#include <doctest/doctest.h>

#include <cmath>

namespace currantgauge::routing {
namespace {

const base::KindName Lookup("lookup");
constexpr base::Duration UsualMedian = base::milliseconds(20);

// Healthy durations: lognormal with a median of 20 ms and long tails.
base::Duration drawDuration(base::Random &Source) {
  double A = 1 - base::uniformUnit(Source), B = base::uniformUnit(Source);
  double Normal = std::sqrt(-2 * std::log(A)) * std::cos(2 * M_PI * B);
  return base::scale(UsualMedian, std::exp(Normal));
}

// ServerModel is one server's evidence at a simulated time. start() leaves an
// exchange running; run() starts one and ends it after Elapsed.
struct ServerModel {
  ServerEvidence Evidence;
  base::Random Source{5};
  base::TimePoint Now{1000000};
  std::uint64_t Last = 0;

  base::AttemptId start(bool FreshConnection) {
    Exchange Running;
    Running.Attempt = base::AttemptId{1, ++this->Last};
    Running.Kind = Lookup;
    Running.StartedAt = this->Now;
    Running.FreshConnection = FreshConnection;
    noteExchangeStart(this->Evidence, Running);
    return Running.Attempt;
  }
  void run(base::Duration Elapsed, ExchangeResult Result,
           bool FreshConnection = false) {
    base::AttemptId Attempt = this->start(FreshConnection);
    this->Now = this->Now + Elapsed;
    noteExchangeEnd(this->Evidence, Attempt, Result, FreshConnection,
                    this->Now);
  }
  double level() const {
    return computeSuspicion(this->Evidence, this->Now).Level;
  }
};

// makeTrainedModel() returns a server whose usual times are known.
ServerModel makeTrainedModel() {
  ServerModel Model;
  TimeHistogram History;
  for (int I = 0; I < 3000; ++I)
    addSample(History, drawDuration(Model.Source));
  Model.Evidence.Kinds[Lookup].Histogram = History;
  Model.Evidence.Kinds[Lookup].Bounds = computeBounds(computeProfile(History));
  return Model;
}

} // namespace

TEST_CASE("long-tailed healthy times raise no alarm") {
  ServerModel Model = makeTrainedModel();
  double Highest = 0;
  for (int I = 0; I < 200000; ++I) {
    Model.run(drawDuration(Model.Source), ExchangeResult::Complete);
    Highest = std::max(Highest, Model.level());
  }
  CHECK(Highest < 1);
}

TEST_CASE("four hanging exchanges raise an alarm before they end") {
  ServerModel Model = makeTrainedModel();
  for (int I = 0; I < 4; ++I)
    Model.start(true);
  CHECK(Model.level() == 0);
  Model.Now = Model.Now + base::seconds(1);
  CHECK(Model.level() >= 1);
}

// With long-tailed times, three exchanges of a busy healthy server can hang at
// the same time.
TEST_CASE("a few hanging exchanges are no stall while others are answered") {
  ServerModel Model = makeTrainedModel();
  for (int I = 0; I < 3; ++I)
    Model.start(true);
  for (int I = 0; I < 40; ++I) {
    Model.run(base::milliseconds(50), ExchangeResult::Complete, true);
    REQUIRE(Model.level() < 1);
  }
  CHECK(Model.Now > base::TimePoint{} + base::seconds(2));
  for (int I = 0; I < 4; ++I)
    Model.start(true);
  Model.Now = Model.Now + base::seconds(1);
  CHECK(Model.level() >= 1);
}

TEST_CASE("silent pooled connections alone never raise an alarm") {
  ServerModel Model = makeTrainedModel();
  for (int I = 0; I < 50; ++I)
    Model.start(false);
  Model.Now = Model.Now + base::minutes(1);
  CHECK(Model.level() < 0.75);
  CHECK(needsFreshConnection(Model.Evidence, Model.Now));
  CHECK(selectExchangesToCancel(Model.Evidence, 0, Model.Now).size() ==
        MinFreshExchanges);
  CHECK(selectExchangesToCancel(Model.Evidence, 0, Model.Now).empty());
}

TEST_CASE("a share of failures raises an alarm, load shedding never does") {
  ServerModel Model = makeTrainedModel();
  for (int I = 0; I < 1000; ++I)
    Model.run(base::milliseconds(1), ExchangeResult::NoEvidence);
  CHECK(Model.level() == 0);
  // 30% of failures raise an alarm within 5 s at 20 requests a second.
  int Samples = 0;
  while (Model.level() < 1 && ++Samples < 1000)
    Model.run(drawDuration(Model.Source), Samples % 10 < 3
                                              ? ExchangeResult::Failed
                                              : ExchangeResult::Complete);
  CHECK(Samples <= 100);
}

TEST_CASE("failures that other servers share raise no alarm") {
  ServerModel Model = makeTrainedModel();
  Model.Evidence.OtherServersFailShare = 0.3;
  for (int I = 0; I < 10000; ++I) {
    bool Failed = base::uniformUnit(Model.Source) < 0.3;
    Model.run(drawDuration(Model.Source),
              Failed ? ExchangeResult::Failed : ExchangeResult::Complete);
    REQUIRE(Model.level() < 1);
  }
}

TEST_CASE("a server five times slower than the others is detected") {
  ServerModel Model = makeTrainedModel();
  Model.Evidence.HasOtherServers = true;
  int Samples = 0;
  while (Model.level() < 1 && Samples < 1000) {
    Model.run(drawDuration(Model.Source) * 5, ExchangeResult::Complete);
    ++Samples;
  }
  CHECK(Samples <= 200);
}

// The other servers' usual times adapt only slowly when the whole service slows
// down.
TEST_CASE("lateness that other servers share raises no alarm") {
  ServerModel Model = makeTrainedModel();
  Model.Evidence.HasOtherServers = true;
  ServerModel OthersOnTime = Model;
  Model.Evidence.OtherServersLateShare = 0.35;
  double Highest = 0;
  bool OthersOnTimeAlarmed = false;
  for (int I = 0; I < 20000; ++I) {
    base::Duration Elapsed = drawDuration(Model.Source) * 4;
    Model.run(Elapsed, ExchangeResult::Complete);
    Highest = std::max(Highest, Model.level());
    OthersOnTime.run(Elapsed, ExchangeResult::Complete);
    OthersOnTimeAlarmed = OthersOnTimeAlarmed || OthersOnTime.level() >= 1;
  }
  CHECK(Model.Evidence.LateShare > 0.2);
  CHECK(Highest < 1);
  CHECK(OthersOnTimeAlarmed);
}

TEST_CASE("early cancellations and the cold start are no evidence") {
  ServerModel Model = makeTrainedModel();
  for (int I = 0; I < 1000; ++I)
    Model.run(base::milliseconds(5), ExchangeResult::Censored);
  CHECK(Model.level() == 0);
  Exchange Cold;
  Cold.Kind = Lookup;
  Cold.StartedAt = Model.Now;
  Cold.FreshConnection = true;
  Cold.CountsAsEvidence = false;
  for (std::uint64_t I = 0; I < 4; ++I) {
    Cold.Attempt = base::AttemptId{2, I};
    noteExchangeStart(Model.Evidence, Cold);
  }
  Model.Now = Model.Now + base::seconds(10);
  CHECK(Model.level() == 0);
}

TEST_CASE("an alarm decays only while nothing runs") {
  ServerModel Model = makeTrainedModel();
  for (int I = 0; I < 20; ++I)
    Model.run(base::milliseconds(5), ExchangeResult::Failed);
  Model.Evidence.Alarmed = true;
  base::AttemptId Running = Model.start(true);
  Model.Now = Model.Now + base::milliseconds(20);
  decayEvidence(Model.Evidence, Model.Now);
  CHECK(Model.level() >= 1);
  noteExchangeEnd(Model.Evidence, Running, ExchangeResult::NoEvidence, true,
                  Model.Now);
  Model.Now = Model.Now + base::seconds(30);
  decayEvidence(Model.Evidence, Model.Now);
  CHECK(Model.level() < 0.1);
  CHECK(isIdle(Model.Evidence));
}

} // namespace currantgauge::routing
