#include "currantgauge/routing/evidence.h"

#include <algorithm>
#include <cmath>

namespace currantgauge::routing {
namespace {

// Shares of exchanges that a sick server stalls, under the two alternatives.
constexpr double StallShare = 0.95;
constexpr double PartialStallShare = 0.25;
// Shares of a slow server's exchanges in each tail bin.
constexpr std::array<double, TailBinCount> SlowShare = {0.35, 0.35, 0.18, 0.06,
                                                        0.06};
// A server is taken as healthy up to this failure share beside its peers'.
constexpr double FailSlack = 0.02;
constexpr double PeerFailFactor = 1.5;
constexpr double HighestHealthyFail = 0.6;
constexpr double SickFailStep = 0.25;
constexpr double ShareWeight = 1.0 / 64; // of the newest exchange
// While the peers are late, more late exchanges than usual are no sickness:
// their usual times follow a change of the service's pace slowly.
constexpr double PeerLateFactor = 1.5;
constexpr double LateShareStep = 0.05;
constexpr std::size_t LateSteps = 14;
constexpr double HighestHealthyLate = 0.65;

// The share of the alarm threshold that silent pooled connections can fill.
constexpr double SilentLimit = 0.6;
constexpr std::size_t LateBin = 2;
constexpr std::uint32_t FreshAfterReset = 8; // exchanges
constexpr base::Duration AlarmHalfLife = base::seconds(2);
constexpr double NegligibleScore = 0.1; // nats

using Ratios = std::array<double, TailBinCount>;

// TestRatios holds log-likelihood ratios: of an ended exchange by its bin, and
// of one that is at least in that bin.
struct TestRatios {
  Ratios Ended{};
  Ratios Running{};
};

// Late is the share of a healthy server's exchanges in bin 1 or later.
double healthyTail(std::size_t Bin, double Late) {
  return Bin == 0 ? 1 : TailShare[Bin] * Late / TailShare[1];
}

double healthyShare(std::size_t Bin, double Late) {
  double Later = Bin + 1 < TailBinCount ? healthyTail(Bin + 1, Late) : 0;
  return healthyTail(Bin, Late) - Later;
}

double sickShare(FaultTest Test, std::size_t Bin, double Late) {
  if (Test == FaultTest::Slow)
    return SlowShare[Bin];
  double Stalled = Test == FaultTest::Stall ? StallShare : PartialStallShare;
  double Rest = (1 - Stalled) * healthyShare(Bin, Late);
  return Bin + 1 == TailBinCount ? Stalled + Rest : Rest;
}

TestRatios makeRatios(FaultTest Test, double Late) {
  TestRatios Made;
  double Tail = 0;
  for (std::size_t Bin = TailBinCount; Bin-- > 0;) {
    double Sick = sickShare(Test, Bin, Late);
    Tail += Sick;
    Made.Ended[Bin] = std::log(Sick / healthyShare(Bin, Late));
    Made.Running[Bin] = std::max(0.0, std::log(Tail / healthyTail(Bin, Late)));
  }
  return Made;
}

constexpr std::array<FaultTest, 3> TimeTests = {
    FaultTest::Stall, FaultTest::PartialStall, FaultTest::Slow};

using RatioTable =
    std::array<std::array<TestRatios, TimeTests.size()>, LateSteps>;

RatioTable makeTable() {
  RatioTable Made;
  for (std::size_t Step = 0; Step < LateSteps; ++Step)
    for (FaultTest Test : TimeTests)
      Made[Step][static_cast<std::size_t>(Test)] =
          makeRatios(Test, std::clamp(PeerLateFactor * LateShareStep *
                                          static_cast<double>(Step),
                                      TailShare[1], HighestHealthyLate));
  return Made;
}

const TestRatios &ratiosOf(const ServerEvidence &Evidence, FaultTest Test) {
  static const RatioTable Table = makeTable();
  auto Step = static_cast<std::size_t>(
      std::lround(std::max(0.0, Evidence.PeerLateShare) / LateShareStep));
  return Table[std::min(Step, LateSteps - 1)][static_cast<std::size_t>(Test)];
}

// By Lorden's bound a CUSUM of log-likelihood ratios that stops at log(N) runs
// on healthy samples for N of them in the mean, or longer.
double threshold() {
  static const double Nats = std::log(FalseAlarmSamples);
  return Nats;
}

// Good news first takes back what a silent connection could explain too. Least
// is the lowest that the firm part may fall to.
void add(TestScore &Score, double Nats, bool Firm, double Least = 0) {
  if (Nats >= 0) {
    (Firm ? Score.Attributed : Score.Ambiguous) += Nats;
    return;
  }
  Score.Ambiguous += Nats;
  if (Score.Ambiguous < 0) {
    Score.Attributed = std::max(Least, Score.Attributed + Score.Ambiguous);
    Score.Ambiguous = 0;
  }
}

void cap(TestScore &Score) {
  Score.Attributed = std::min(Score.Attributed, threshold());
  Score.Ambiguous = std::min(Score.Ambiguous, threshold() * SilentLimit);
}

double total(const TestScore &Score) {
  return Score.Attributed +
         std::min(Score.Ambiguous, threshold() * SilentLimit);
}

std::size_t binOf(const ServerEvidence &Evidence, const Exchange &One,
                  base::TimePoint Now) {
  auto Kind = Evidence.Kinds.find(One.Kind);
  return Kind == Evidence.Kinds.end() || !One.CountsAsEvidence
             ? 0
             : findTailBin(Kind->second.Bounds, Now - One.Started);
}

void noteFailure(ServerEvidence &Evidence, bool Failed) {
  double Healthy = std::min(FailSlack + PeerFailFactor * Evidence.PeerFailShare,
                            HighestHealthyFail);
  double Sick = Healthy + SickFailStep;
  double Nats =
      Failed ? std::log(Sick / Healthy) : std::log((1 - Sick) / (1 - Healthy));
  TestScore &Score =
      Evidence.Scores[static_cast<std::size_t>(FaultTest::Failure)];
  add(Score, Nats, true);
  cap(Score);
  Evidence.FailShare += ShareWeight * ((Failed ? 1 : 0) - Evidence.FailShare);
}

TestScore runningScore(const ServerEvidence &Evidence, FaultTest Test,
                       base::TimePoint Now) {
  TestScore Sum;
  if (Test == FaultTest::Failure)
    return Sum;
  const TestRatios &Ratio = ratiosOf(Evidence, Test);
  for (const auto &[Attempt, One] : Evidence.Running)
    add(Sum, Ratio.Running[binOf(Evidence, One, Now)], One.FreshConnection);
  return Sum;
}

void noteTime(ServerEvidence &Evidence, const Exchange &Ended, bool Whole,
              bool Fresh, base::TimePoint Now) {
  auto Kind = Evidence.Kinds.find(Ended.Kind);
  if (Kind == Evidence.Kinds.end() || !Kind->second.Bounds.isKnown())
    return;
  std::size_t Bin = binOf(Evidence, Ended, Now);
  if (Whole || Bin > 0)
    Evidence.LateShare +=
        ShareWeight * ((Bin > 0 ? 1 : 0) - Evidence.LateShare);
  for (FaultTest Test : TimeTests) {
    const TestRatios &Ratio = ratiosOf(Evidence, Test);
    // Answers that overtake a few exchanges that hang speak against these: the
    // sum of both is what falls to zero at most.
    double Least = -total(runningScore(Evidence, Test, Now));
    TestScore &Score = Evidence.Scores[static_cast<std::size_t>(Test)];
    // A whole answer, however late, proves that its connection works.
    Score.Attributed = std::max(Score.Attributed, Least);
    add(Score, Whole ? Ratio.Ended[Bin] : Ratio.Running[Bin], Whole || Fresh,
        Least);
    cap(Score);
  }
}

// Without peers a server is measured by its own past, which must not learn
// from the time when it was sick.
void learnTime(ServerEvidence &Evidence, const Exchange &Ended,
               base::TimePoint Now) {
  if (!Evidence.HasPeers &&
      computeSuspicion(Evidence, Now).Level >= SilentLimit)
    return;
  addSample(Evidence.Kinds[Ended.Kind].Histogram, Now - Ended.Started);
}

bool isSilent(const ServerEvidence &Evidence, const Exchange &One,
              base::TimePoint Now) {
  return !One.FreshConnection && binOf(Evidence, One, Now) >= LateBin;
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
                     ExchangeResult How, bool Fresh, base::TimePoint Now) {
  auto Found = Evidence.Running.find(Attempt);
  if (Found == Evidence.Running.end())
    return;
  Exchange Ended = Found->second;
  Evidence.Running.erase(Found);
  if (How == ExchangeResult::ConnectionFault)
    Evidence.FreshExchangesLeft = FreshAfterReset;
  if (!Ended.CountsAsEvidence || How == ExchangeResult::ConnectionFault ||
      How == ExchangeResult::NoEvidence)
    return;
  Evidence.LastSample = Now;
  if (How != ExchangeResult::Censored)
    noteFailure(Evidence, How == ExchangeResult::Failed);
  // Who gives up doesn't know which connection it was.
  bool OnFresh =
      How == ExchangeResult::Censored ? Ended.FreshConnection : Fresh;
  if (How != ExchangeResult::Failed)
    noteTime(Evidence, Ended, How == ExchangeResult::Complete, OnFresh, Now);
  if (How == ExchangeResult::Complete)
    learnTime(Evidence, Ended, Now);
}

Suspicion computeSuspicion(const ServerEvidence &Evidence,
                           base::TimePoint Now) {
  Suspicion Worst;
  for (std::size_t I = 0; I < FaultTestCount; ++I) {
    auto Test = static_cast<FaultTest>(I);
    TestScore Sum = runningScore(Evidence, Test, Now);
    Sum.Attributed += Evidence.Scores[I].Attributed;
    Sum.Ambiguous += Evidence.Scores[I].Ambiguous;
    double Level = std::clamp(total(Sum) / threshold(), 0.0, 1.0);
    if (Level > Worst.Level)
      Worst = Suspicion{Level, Test};
  }
  return Worst;
}

bool needsFreshConnection(const ServerEvidence &Evidence, base::TimePoint Now) {
  if (Evidence.FreshExchangesLeft > 0)
    return true;
  for (const TestScore &Score : Evidence.Scores)
    if (Score.Ambiguous > NegligibleScore)
      return true;
  return std::any_of(
      Evidence.Running.begin(), Evidence.Running.end(),
      [&](const auto &One) { return isSilent(Evidence, One.second, Now); });
}

std::vector<base::AttemptId> selectExchangesToCancel(ServerEvidence &Evidence,
                                                     std::uint32_t FreeSlots,
                                                     base::TimePoint Now) {
  std::vector<Exchange *> Silent;
  std::uint32_t Checks = FreeSlots;
  for (auto &[Attempt, One] : Evidence.Running) {
    if (One.FreshConnection || One.CancelRequested)
      ++Checks;
    else if (One.Idempotent && isSilent(Evidence, One, Now))
      Silent.push_back(&One);
  }
  std::vector<base::AttemptId> Cancelled;
  if (Checks >= MinFreshExchanges ||
      computeSuspicion(Evidence, Now).Level < SilentLimit)
    return Cancelled;
  std::stable_sort(Silent.begin(), Silent.end(),
                   [](const Exchange *A, const Exchange *B) {
                     return A->Started < B->Started;
                   });
  for (Exchange *One : Silent) {
    if (Checks++ >= MinFreshExchanges)
      break;
    One->CancelRequested = true;
    Cancelled.push_back(One->Attempt);
  }
  return Cancelled;
}

void decayEvidence(ServerEvidence &Evidence, base::TimePoint Now) {
  if (!Evidence.Alarmed || !Evidence.Running.empty())
    return;
  double Periods = base::toSeconds(Now - Evidence.LastSample) /
                   base::toSeconds(AlarmHalfLife);
  Evidence.LastSample = Now;
  bool Left = false;
  for (TestScore &Score : Evidence.Scores) {
    Score.Attributed *= std::exp2(-Periods);
    Score.Ambiguous *= std::exp2(-Periods);
    Left = Left || Score.Attributed + Score.Ambiguous > NegligibleScore;
  }
  Evidence.Alarmed = Left;
}

bool isIdle(const ServerEvidence &Evidence) {
  return Evidence.Running.empty() && !Evidence.Alarmed;
}

} // namespace currantgauge::routing
