#include "currantgauge/routing/spell.h"

#include <algorithm>
#include <cmath>

namespace currantgauge::routing {
namespace {

// Shares of requests that fail in a spell and outside.
constexpr double SpellFailShare = 0.9;
constexpr double ErrorShare = 0.012;
// Time constant with which the belief returns to the prior without evidence:
// about the length of a spell, as in the breaker (see breaker.cc).
constexpr base::Duration SpellDuration = base::seconds(2);
// A server is suspected above this probability. Returning an attempt to its
// entry costs a round trip, far less than the loss of one that can't be
// repeated.
constexpr double SuspectProbability = 0.1;
// A server must not stay suspected without evidence, however often failures of
// its service were followed by others.
constexpr double MaxStationaryProbability = SuspectProbability / 2;
// Keeps the odds finite and the belief able to change.
constexpr double MinProbability = 1e-6;
// Factor on the logarithm of an ambiguous failure's likelihood ratio.
constexpr double AmbiguousWeight = 0.5;
// The exchange that ends within this time after a failure tells whether it was
// followed by another one.
constexpr base::Duration FollowerLimit = base::milliseconds(1500);
constexpr double MaxPriorFailures = 40; // older failures decay
constexpr double MaxFollowedShare = 0.95 * SpellFailShare;
constexpr double MinFollowedShare = 1.05 * ErrorShare;
constexpr base::Duration FirstTrialGap = base::milliseconds(300);
constexpr base::Duration MaxTrialGap = base::milliseconds(1200);
// A hanging trial must not block further trials.
constexpr base::Duration TrialTimeout = base::seconds(3);

// computeSpellShare() returns the share of failures that come with a spell.
double computeSpellShare(const SpellPrior &Prior) {
  double Followed = std::clamp(Prior.Followed / Prior.Failures,
                               MinFollowedShare, MaxFollowedShare);
  return (Followed - ErrorShare) / (SpellFailShare - ErrorShare);
}

// computeStationaryProbability() returns the probability of a spell without
// evidence: the one from which a single failure leads to the share of failures
// that come with a spell, up to a bound.
double computeStationaryProbability(const SpellPrior &Prior) {
  double Share = computeSpellShare(Prior);
  double Odds = Share / (1 - Share) * ErrorShare / SpellFailShare;
  return std::min(Odds / (1 + Odds), MaxStationaryProbability);
}

double applyLikelihoodRatio(double Probability, double Ratio) {
  double Odds = Probability / (1 - Probability) * Ratio;
  return std::clamp(Odds / (1 + Odds), MinProbability, 1 - MinProbability);
}

// A success that started before the last failure says nothing about the time
// since, nor does a long request that shorter ones have overtaken.
bool isOutdated(const SpellBelief &Belief, const ExchangeEnd &End) {
  if (!End.Failed)
    return End.StartedAt < Belief.LastFailureAt;
  return End.Ambiguous && End.StartedAt < Belief.UpdatedAt;
}

void noteFollower(SpellBelief &Belief, SpellPrior &Prior,
                  const ExchangeEnd &End) {
  if (!Belief.AwaitsFollower)
    return;
  Belief.AwaitsFollower = false;
  if (End.EndedAt - Belief.LastFailureAt > FollowerLimit)
    return;
  double Kept = std::min(1.0, MaxPriorFailures / (Prior.Failures + 1));
  Prior.Failures = (Prior.Failures + 1) * Kept;
  Prior.Followed = (Prior.Followed + (End.Failed ? 1 : 0)) * Kept;
}

void noteFailure(SpellBelief &Belief, const SpellPrior &Prior,
                 const ExchangeEnd &End) {
  double Ratio = SpellFailShare / ErrorShare;
  if (End.Ambiguous)
    Ratio = std::pow(Ratio, AmbiguousWeight);
  bool WasSuspected = isSpellSuspected(Belief, Prior, End.EndedAt);
  bool WasTrial = End.StartedAt >= Belief.LastFailureAt && WasSuspected;
  Belief.Probability = applyLikelihoodRatio(
      computeSpellProbability(Belief, Prior, End.StartedAt), Ratio);
  Belief.AwaitsFollower = Belief.AwaitsFollower || Belief.Proven;
  Belief.TrialGap = WasTrial ? std::min(Belief.TrialGap * 2, MaxTrialGap)
                             : std::max(Belief.TrialGap, FirstTrialGap);
  Belief.LastFailureAt = End.EndedAt;
  Belief.Proven = false;
}

void noteSuccess(SpellBelief &Belief, const SpellPrior &Prior,
                 const ExchangeEnd &End) {
  Belief.Probability = applyLikelihoodRatio(
      computeSpellProbability(Belief, Prior, End.StartedAt),
      (1 - SpellFailShare) / (1 - ErrorShare));
  Belief.Proven = true;
  Belief.TrialGap = base::Duration{};
}

} // namespace

double computeSpellProbability(const SpellBelief &Belief,
                               const SpellPrior &Prior, base::TimePoint Now) {
  double Stationary = computeStationaryProbability(Prior);
  double Age = std::max(0.0, base::toSeconds(Now - Belief.UpdatedAt));
  double Kept = std::exp(-Age / base::toSeconds(SpellDuration));
  return Stationary + (Belief.Probability - Stationary) * Kept;
}

bool isSpellSuspected(const SpellBelief &Belief, const SpellPrior &Prior,
                      base::TimePoint Now) {
  return Belief.LastFailureAt > base::TimePoint{} &&
         computeSpellProbability(Belief, Prior, Now) > SuspectProbability;
}

void noteExchange(SpellBelief &Belief, SpellPrior &Prior,
                  const ExchangeEnd &End) {
  bool Outdated = isOutdated(Belief, End);
  if (!Outdated)
    noteFollower(Belief, Prior, End);
  if (End.StartedAt >= Belief.TrialStartedAt)
    Belief.TrialRunning = false;
  if (Outdated)
    return;
  if (End.Failed)
    noteFailure(Belief, Prior, End);
  else
    noteSuccess(Belief, Prior, End);
  Belief.UpdatedAt = std::max(Belief.UpdatedAt, End.StartedAt);
}

bool admitsAttempt(const SpellBelief &Belief, const SpellPrior &Prior,
                   const SpellQuery &Attempt, base::TimePoint Now) {
  if (!Attempt.HasAlternative || !isSpellSuspected(Belief, Prior, Now))
    return true;
  if (!Attempt.Idempotent)
    return false;
  return Belief.Proven || computeTrialDelay(Belief, Now) <= base::Duration{};
}

void noteAdmitted(SpellBelief &Belief, const SpellPrior &Prior,
                  base::TimePoint Now) {
  if (Belief.Proven || !isSpellSuspected(Belief, Prior, Now))
    return;
  Belief.TrialRunning = true;
  Belief.TrialStartedAt = Now;
}

void noteInconclusiveExchange(SpellBelief &Belief) {
  Belief.TrialRunning = false;
}

base::Duration computeTrialDelay(const SpellBelief &Belief,
                                 base::TimePoint Now) {
  base::Duration Gap = Belief.LastFailureAt + Belief.TrialGap - Now;
  base::Duration Trial = Belief.TrialStartedAt + TrialTimeout - Now;
  return std::max({base::Duration{}, Gap,
                   Belief.TrialRunning ? std::min(Trial, FirstTrialGap)
                                       : base::Duration{}});
}

} // namespace currantgauge::routing
