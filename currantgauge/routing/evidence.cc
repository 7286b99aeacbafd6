#include "currantgauge/routing/evidence.h"

#include <algorithm>
#include <cmath>

namespace currantgauge::routing {
namespace {

// Share of exchanges that stall, by the two stall hypotheses.
constexpr double StallShare = 0.95;
constexpr double PartialStallShare = 0.25;
// Share of a slow server's exchanges in each tail bin.
constexpr std::array<double, TailBinCount> SlowShare = {0.35, 0.35, 0.18, 0.06,
                                                        0.06};
// A server counts as healthy up to a failure share of FailShareSlack plus
// OtherServersFailFactor times the median share of the service's other servers.
constexpr double FailShareSlack = 0.02;
constexpr double OtherServersFailFactor = 1.5;
constexpr double MaxHealthyFailShare = 0.6;
constexpr double FaultyFailShareStep = 0.25; // above the healthy share
constexpr double ShareSmoothing = 1.0 / 64;  // weight of the newest exchange
// While other servers are late as well, a higher share of late exchanges counts
// as healthy: the usual times adapt only slowly when the whole service slows
// down.
constexpr double OtherServersLateFactor = 1.5;
// The ratios are precomputed for LateSteps values of the other servers' late
// share, LateShareStep apart.
constexpr double LateShareStep = 0.05;
constexpr std::size_t LateSteps = 14;
constexpr double MaxHealthyLateShare = 0.65;

// Upper limit of the ambiguous score, as a share of the alarm threshold. While
// the suspicion is at or above it, silent exchanges are cancelled, and a server
// with no other server to compare with learns no response times.
constexpr double AmbiguousLimit = 0.6;
// Tail bin from which on a running exchange counts as silent.
constexpr std::size_t SilentBin = 2;
// Number of exchanges that use new connections after a connection fault.
constexpr std::uint32_t FreshExchangesAfterReset = 8;
constexpr base::Duration AlarmHalfLife = base::seconds(2);
constexpr double NegligibleScore = 0.1; // nats

using Ratios = std::array<double, TailBinCount>;

// TestRatios holds log-likelihood ratios by tail bin: of an ended exchange in
// the bin, and of a running one in the bin or any later one.
struct TestRatios {
  Ratios Ended{};
  Ratios Running{};
};

// healthyTail() returns the share of a healthy server's exchanges in Bin or any
// later one. LateShare is that share for bin 1.
double healthyTail(std::size_t Bin, double LateShare) {
  return Bin == 0 ? 1 : TailShare[Bin] * LateShare / TailShare[1];
}

double healthyShare(std::size_t Bin, double LateShare) {
  double Later = Bin + 1 < TailBinCount ? healthyTail(Bin + 1, LateShare) : 0;
  return healthyTail(Bin, LateShare) - Later;
}

double faultyShare(FaultTest Test, std::size_t Bin, double LateShare) {
  if (Test == FaultTest::Slow)
    return SlowShare[Bin];
  double Stalled = Test == FaultTest::Stall ? StallShare : PartialStallShare;
  double HealthyPart = (1 - Stalled) * healthyShare(Bin, LateShare);
  return Bin + 1 == TailBinCount ? Stalled + HealthyPart : HealthyPart;
}

TestRatios makeRatios(FaultTest Test, double LateShare) {
  TestRatios Result;
  double Tail = 0;
  for (std::size_t Bin = TailBinCount; Bin-- > 0;) {
    double FaultyShare = faultyShare(Test, Bin, LateShare);
    Tail += FaultyShare;
    Result.Ended[Bin] = std::log(FaultyShare / healthyShare(Bin, LateShare));
    Result.Running[Bin] =
        std::max(0.0, std::log(Tail / healthyTail(Bin, LateShare)));
  }
  return Result;
}

constexpr std::array<FaultTest, 3> TimeTests = {
    FaultTest::Stall, FaultTest::PartialStall, FaultTest::Slow};

using RatioTable =
    std::array<std::array<TestRatios, TimeTests.size()>, LateSteps>;

RatioTable makeTable() {
  RatioTable Table;
  for (std::size_t Step = 0; Step < LateSteps; ++Step)
    for (FaultTest Test : TimeTests)
      Table[Step][static_cast<std::size_t>(Test)] =
          makeRatios(Test, std::clamp(OtherServersLateFactor * LateShareStep *
                                          static_cast<double>(Step),
                                      TailShare[1], MaxHealthyLateShare));
  return Table;
}

const TestRatios &findRatios(const ServerEvidence &Evidence, FaultTest Test) {
  static const RatioTable Table = makeTable();
  auto Step = static_cast<std::size_t>(std::lround(
      std::max(0.0, Evidence.OtherServersLateShare) / LateShareStep));
  return Table[std::min(Step, LateSteps - 1)][static_cast<std::size_t>(Test)];
}

// By Lorden's bound, a CUSUM of log-likelihood ratios with the threshold log(N)
// has a mean time between false alarms of at least N healthy samples.
double alarmThreshold() {
  static const double Nats = std::log(FalseAlarmSamples);
  return Nats;
}

// addNats() adds evidence to a score. Negative evidence first reduces the
// ambiguous part, then the attributed part down to MinAttributed.
void addNats(TestScore &Score, double Nats, bool IsAttributed,
             double MinAttributed = 0) {
  if (Nats >= 0) {
    (IsAttributed ? Score.Attributed : Score.Ambiguous) += Nats;
    return;
  }
  Score.Ambiguous += Nats;
  if (Score.Ambiguous < 0) {
    Score.Attributed =
        std::max(MinAttributed, Score.Attributed + Score.Ambiguous);
    Score.Ambiguous = 0;
  }
}

void capScore(TestScore &Score) {
  Score.Attributed = std::min(Score.Attributed, alarmThreshold());
  Score.Ambiguous =
      std::min(Score.Ambiguous, alarmThreshold() * AmbiguousLimit);
}

double totalScore(const TestScore &Score) {
  return Score.Attributed +
         std::min(Score.Ambiguous, alarmThreshold() * AmbiguousLimit);
}

std::size_t findBin(const ServerEvidence &Evidence, const Exchange &Measured,
                    base::TimePoint Now) {
  auto Kind = Evidence.Kinds.find(Measured.Kind);
  return Kind == Evidence.Kinds.end() || !Measured.CountsAsEvidence
             ? 0
             : findTailBin(Kind->second.Bounds, Now - Measured.StartedAt);
}

void updateFailureTest(ServerEvidence &Evidence, bool Failed) {
  double HealthyShare = std::min(
      FailShareSlack + OtherServersFailFactor * Evidence.OtherServersFailShare,
      MaxHealthyFailShare);
  double FaultyShare = HealthyShare + FaultyFailShareStep;
  double Nats = Failed ? std::log(FaultyShare / HealthyShare)
                       : std::log((1 - FaultyShare) / (1 - HealthyShare));
  TestScore &Score =
      Evidence.Scores[static_cast<std::size_t>(FaultTest::Failure)];
  addNats(Score, Nats, true);
  capScore(Score);
  Evidence.FailShare +=
      ShareSmoothing * ((Failed ? 1 : 0) - Evidence.FailShare);
}

TestScore computeRunningScore(const ServerEvidence &Evidence, FaultTest Test,
                              base::TimePoint Now) {
  TestScore Sum;
  if (Test == FaultTest::Failure)
    return Sum;
  const TestRatios &Ratio = findRatios(Evidence, Test);
  for (const auto &[Attempt, Running] : Evidence.Running)
    addNats(Sum, Ratio.Running[findBin(Evidence, Running, Now)],
            Running.FreshConnection);
  return Sum;
}

void updateTimeTests(ServerEvidence &Evidence, const Exchange &Ended,
                     bool IsComplete, bool FreshConnection,
                     base::TimePoint Now) {
  auto Kind = Evidence.Kinds.find(Ended.Kind);
  if (Kind == Evidence.Kinds.end() || !Kind->second.Bounds.isKnown())
    return;
  std::size_t Bin = findBin(Evidence, Ended, Now);
  if (IsComplete || Bin > 0)
    Evidence.LateShare +=
        ShareSmoothing * ((Bin > 0 ? 1 : 0) - Evidence.LateShare);
  for (FaultTest Test : TimeTests) {
    const TestRatios &Ratio = findRatios(Evidence, Test);
    // Answers that overtake a few hanging exchanges are evidence against a
    // stall. They may make this score negative, down to where the sum with the
    // running score is zero.
    double MinAttributed =
        -totalScore(computeRunningScore(Evidence, Test, Now));
    TestScore &Score = Evidence.Scores[static_cast<std::size_t>(Test)];
    Score.Attributed = std::max(Score.Attributed, MinAttributed);
    // A complete answer, however late, shows that its connection works.
    addNats(Score, IsComplete ? Ratio.Ended[Bin] : Ratio.Running[Bin],
            IsComplete || FreshConnection, MinAttributed);
    capScore(Score);
  }
}

// Without other servers to compare with, a server's bounds come from its own
// history, which must not include times from a period of suspicion.
void learnTime(ServerEvidence &Evidence, const Exchange &Ended,
               base::TimePoint Now) {
  if (!Evidence.HasOtherServers &&
      computeSuspicion(Evidence, Now).Level >= AmbiguousLimit)
    return;
  addSample(Evidence.Kinds[Ended.Kind].Histogram, Now - Ended.StartedAt);
}

bool isSilent(const ServerEvidence &Evidence, const Exchange &Running,
              base::TimePoint Now) {
  return !Running.FreshConnection &&
         findBin(Evidence, Running, Now) >= SilentBin;
}

} // namespace

std::string_view testName(FaultTest Test) {
  switch (Test) {
  case FaultTest::Stall:
    return "stall";
  case FaultTest::PartialStall:
    return "partial_stall";
  case FaultTest::Slow:
    return "slow";
  case FaultTest::Failure:
    return "failure";
  }
  return "";
}

void noteExchangeStart(ServerEvidence &Evidence, const Exchange &Started) {
  Evidence.Running[Started.Attempt] = Started;
  Evidence.Kinds.try_emplace(Started.Kind);
  if (Evidence.FreshExchangesLeft > 0)
    --Evidence.FreshExchangesLeft;
}

void noteExchangeEnd(ServerEvidence &Evidence, base::AttemptId Attempt,
                     ExchangeResult Result, bool FreshConnection,
                     base::TimePoint Now) {
  auto It = Evidence.Running.find(Attempt);
  if (It == Evidence.Running.end())
    return;
  Exchange Ended = It->second;
  Evidence.Running.erase(It);
  if (Result == ExchangeResult::ConnectionFault)
    Evidence.FreshExchangesLeft = FreshExchangesAfterReset;
  if (!Ended.CountsAsEvidence || Result == ExchangeResult::ConnectionFault ||
      Result == ExchangeResult::NoEvidence)
    return;
  Evidence.LastSample = Now;
  if (Result != ExchangeResult::Censored)
    updateFailureTest(Evidence, Result == ExchangeResult::Failed);
  // For an abandoned exchange the connection isn't reported, so only what was
  // known at its start counts.
  bool OnFreshConnection = Result == ExchangeResult::Censored
                               ? Ended.FreshConnection
                               : FreshConnection;
  if (Result != ExchangeResult::Failed)
    updateTimeTests(Evidence, Ended, Result == ExchangeResult::Complete,
                    OnFreshConnection, Now);
  if (Result == ExchangeResult::Complete)
    learnTime(Evidence, Ended, Now);
}

Suspicion computeSuspicion(const ServerEvidence &Evidence,
                           base::TimePoint Now) {
  Suspicion Strongest;
  for (std::size_t I = 0; I < FaultTestCount; ++I) {
    auto Test = static_cast<FaultTest>(I);
    TestScore Sum = computeRunningScore(Evidence, Test, Now);
    Sum.Attributed += Evidence.Scores[I].Attributed;
    Sum.Ambiguous += Evidence.Scores[I].Ambiguous;
    double Level = std::clamp(totalScore(Sum) / alarmThreshold(), 0.0, 1.0);
    if (Level > Strongest.Level)
      Strongest = Suspicion{Level, Test};
  }
  return Strongest;
}

bool needsFreshConnection(const ServerEvidence &Evidence, base::TimePoint Now) {
  if (Evidence.FreshExchangesLeft > 0)
    return true;
  for (const TestScore &Score : Evidence.Scores)
    if (Score.Ambiguous > NegligibleScore)
      return true;
  return std::any_of(
      Evidence.Running.begin(), Evidence.Running.end(),
      [&](const auto &Item) { return isSilent(Evidence, Item.second, Now); });
}

std::vector<base::AttemptId> selectExchangesToCancel(ServerEvidence &Evidence,
                                                     std::uint32_t FreeSlots,
                                                     base::TimePoint Now) {
  std::vector<Exchange *> Silent;
  std::uint32_t FreshExchanges = FreeSlots;
  for (auto &[Attempt, Running] : Evidence.Running) {
    if (Running.FreshConnection || Running.CancelRequested)
      ++FreshExchanges;
    else if (Running.Idempotent && isSilent(Evidence, Running, Now))
      Silent.push_back(&Running);
  }
  std::vector<base::AttemptId> Cancelled;
  if (FreshExchanges >= MinFreshExchanges ||
      computeSuspicion(Evidence, Now).Level < AmbiguousLimit)
    return Cancelled;
  std::stable_sort(Silent.begin(), Silent.end(),
                   [](const Exchange *A, const Exchange *B) {
                     return A->StartedAt < B->StartedAt;
                   });
  for (Exchange *Running : Silent) {
    if (FreshExchanges++ >= MinFreshExchanges)
      break;
    Running->CancelRequested = true;
    Cancelled.push_back(Running->Attempt);
  }
  return Cancelled;
}

void decayEvidence(ServerEvidence &Evidence, base::TimePoint Now) {
  if (!Evidence.Alarmed || !Evidence.Running.empty())
    return;
  double Periods = base::toSeconds(Now - Evidence.LastSample) /
                   base::toSeconds(AlarmHalfLife);
  Evidence.LastSample = Now;
  bool AnyLeft = false;
  for (TestScore &Score : Evidence.Scores) {
    Score.Attributed *= std::exp2(-Periods);
    Score.Ambiguous *= std::exp2(-Periods);
    AnyLeft = AnyLeft || Score.Attributed + Score.Ambiguous > NegligibleScore;
  }
  Evidence.Alarmed = AnyLeft;
}

bool isIdle(const ServerEvidence &Evidence) {
  return Evidence.Running.empty() && !Evidence.Alarmed;
}

} // namespace currantgauge::routing
