// Where the node's events meet health: an owner's exchanges, an entry's
// attempts and the regular round.
//
//   Send.NewConnection = onExchangeStarted(State, Attempt, Now);
//   runHealthRound(State, Peers, Now, Effects);
#ifndef CURRANTGAUGE_ROUTING_HEALTH_H
#define CURRANTGAUGE_ROUTING_HEALTH_H

#include "currantgauge/admission/queued_attempt.h"
#include "currantgauge/base/units.h"
#include "currantgauge/base/verdict.h"
#include "currantgauge/config/model.h"
#include "currantgauge/core/effect.h"
#include "currantgauge/core/request.h"
#include "currantgauge/membership/state.h"
#include "currantgauge/routing/choose.h"
#include "currantgauge/routing/state.h"

namespace currantgauge::routing {

// HealthInterval is the time between two rounds while something runs.
constexpr base::Duration HealthInterval = base::milliseconds(50);

// onExchangeStarted() notes an exchange with an owned server. Returns true
// when it should use a new connection.
bool onExchangeStarted(RoutingState &State,
                       const admission::QueuedAttempt &Attempt,
                       base::TimePoint Now);

// onExchangeEnded() takes its end as evidence; Why is the outcome's reason.
// Returns the suspicion that the answer is to tell its entry.
double onExchangeEnded(RoutingState &State,
                       const membership::MembershipState &Peers,
                       const admission::QueuedAttempt &Attempt,
                       const core::BackendOutcome &Outcome, base::Reason Reason,
                       base::TimePoint Now, core::EffectList &Effects);

// armHealthRound() returns true when the caller is to set a timer for the next
// round.
bool armHealthRound(RoutingState &State);

// runHealthRound() looks at running exchanges and tells entries of new
// suspicion. Returns true when another round is needed.
bool runHealthRound(RoutingState &State,
                    const membership::MembershipState &Peers,
                    base::TimePoint Now, core::EffectList &Effects);

// selectServer() brings the service's routing set up to date and chooses.
Choice selectServer(RoutingState &State, const ChoiceQuery &Query,
                    const config::ServiceSettings &Settings,
                    base::Random &Source, core::EffectList &Effects);

// onAttemptStarted() notes the attempt of a choice at its entry.
void onAttemptStarted(RoutingState &State, const Choice &Chosen,
                      base::AttemptId Attempt);

// onAttemptOutcome() takes an attempt's end at its entry: the path to the owner
// and the trial, if it was one.
void onAttemptOutcome(RoutingState &State, const base::BackendName &Server,
                      base::AttemptId Attempt,
                      const core::AttemptOutcome &Outcome, base::TimePoint Now);

// onAttemptUnanswered() notes that nothing was heard of an attempt in its time.
void onAttemptUnanswered(RoutingState &State, const base::BackendName &Server,
                         base::AttemptId Attempt, base::TimePoint Now);

// releaseTrial() lets another trial begin when this attempt was one.
void releaseTrial(RoutingState &State, const base::BackendName &Server,
                  base::AttemptId Attempt);

// noteOwnerReport() takes what an attempt's end says of the breaker at the
// server's owner.
void noteOwnerReport(RoutingState &State, const base::BackendName &Server,
                     const core::AttemptOutcome &Outcome, base::TimePoint Now);

// onOwnerMessage() forgets failures on the path to an owner; empty: no effect.
void onOwnerMessage(RoutingState &State, const base::NodeName &Owner);

} // namespace currantgauge::routing

#endif // CURRANTGAUGE_ROUTING_HEALTH_H
