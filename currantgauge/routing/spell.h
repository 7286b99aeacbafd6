// Whether a backend server is in a spell: a time of some seconds in which it
// fails most of its requests while its health endpoint reports that it is well.
// A two-state filter turns each ended exchange into the probability of a spell.
// At a few requests a second there is no time for counts: how much a single
// failure says follows from how often failures of the service were followed by
// another one.
//
//   noteExchange(Belief, Prior, {Started, Now, true, false});
//   if (!admitsAttempt(Belief, Prior, {true, true}, Now)) refuse();
#ifndef CURRANTGAUGE_ROUTING_SPELL_H
#define CURRANTGAUGE_ROUTING_SPELL_H

#include "currantgauge/base/units.h"

#include <cstdint>

namespace currantgauge::routing {

// SpellPrior is how often, at the servers of a service that this node owns, a
// failure was followed by another one. The initial counts presume spells.
struct SpellPrior {
  double Failures = 4; // that came after a success, decaying
  double Followed = 2.5;
};

// SpellBelief is an owner's belief about one incarnation of a server.
struct SpellBelief {
  double Probability = 0; // of a spell, at UpdatedAt
  base::TimePoint UpdatedAt;
  base::TimePoint LastFailureAt; // zero: none
  bool AwaitsFollower = false;   // the exchange after the last failure
  bool Proven = true;            // a success has started after LastFailureAt
  bool TrialRunning = false;     // not Proven: an idempotent attempt
  base::TimePoint TrialStartedAt;
  base::Duration TrialGap; // from a failed trial to the next one
};

// ExchangeEnd is a conclusive end of an exchange.
struct ExchangeEnd {
  base::TimePoint StartedAt;
  base::TimePoint EndedAt;
  bool Failed = false;
  // The request may be the cause: it failed on another server before, or took
  // too long.
  bool Ambiguous = false;
};

// SpellQuery holds the properties of an attempt that its admission depends on.
struct SpellQuery {
  bool Idempotent = false;
  bool HasAlternative = false; // another server can take the attempt
};

// computeSpellProbability() returns the probability of a spell at Now.
double computeSpellProbability(const SpellBelief &Belief,
                               const SpellPrior &Prior, base::TimePoint Now);

// isSpellSuspected() returns whether a server is more likely in a spell than
// attempts that can't be repeated should risk.
bool isSpellSuspected(const SpellBelief &Belief, const SpellPrior &Prior,
                      base::TimePoint Now);

// noteExchange() updates the belief, and the prior of the service, with the end
// of an exchange.
void noteExchange(SpellBelief &Belief, SpellPrior &Prior,
                  const ExchangeEnd &End);

// admitsAttempt() returns whether the server may be sent an attempt now. An
// attempt without alternative is always admitted: only the breaker refuses it,
// so that no capacity is lost to a suspicion.
bool admitsAttempt(const SpellBelief &Belief, const SpellPrior &Prior,
                   const SpellQuery &Attempt, base::TimePoint Now);

// noteAdmitted() records the start of an attempt, which may be a trial.
void noteAdmitted(SpellBelief &Belief, const SpellPrior &Prior,
                  base::TimePoint Now);

// noteInconclusiveExchange() records the end of an exchange that says nothing
// about the server; another trial may start.
void noteInconclusiveExchange(SpellBelief &Belief);

// computeTrialDelay() returns the time until the next trial may start.
base::Duration computeTrialDelay(const SpellBelief &Belief,
                                 base::TimePoint Now);

} // namespace currantgauge::routing

#endif // CURRANTGAUGE_ROUTING_SPELL_H
