// Health tracking hooks for the node's events: exchanges at an owner, attempts
// at an entry, and the periodic health round over the owned servers.
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

// HealthInterval is the time between two health rounds while any are needed.
constexpr base::Duration HealthInterval = base::milliseconds(50);

// onExchangeStarted() records the start of an exchange with an owned server.
// Returns true when it should use a new connection.
bool onExchangeStarted(RoutingState &State,
                       const admission::QueuedAttempt &Attempt,
                       base::TimePoint Now);

// onExchangeEnded() records the end of an exchange as evidence; Reason is the
// reason of its outcome. Returns the suspicion to report to the entry with the
// answer.
double onExchangeEnded(RoutingState &State,
                       const membership::MembershipState &Peers,
                       const admission::QueuedAttempt &Attempt,
                       const core::ExchangeOutcome &Outcome,
                       base::Reason Reason, base::TimePoint Now,
                       core::EffectList &Effects);

// armHealthRound() records that a timer for the next health round is set.
// Returns true when none was, so that the caller must set it.
bool armHealthRound(RoutingState &State);

// runHealthRound() evaluates the evidence on the owned servers, cancels silent
// exchanges and publishes changes. Returns true when another round is needed.
bool runHealthRound(RoutingState &State,
                    const membership::MembershipState &Peers,
                    base::TimePoint Now, core::EffectList &Effects);

// selectServer() updates the service's routing set if needed, then returns
// chooseServer()'s choice.
Choice selectServer(RoutingState &State, const ChoiceQuery &Query,
                    const config::ServiceSettings &Settings,
                    base::Random &Source, core::EffectList &Effects);

// onAttemptStarted() records, at the entry, the attempt as the server's running
// trial if the choice was one.
void onAttemptStarted(RoutingState &State, const Choice &Chosen,
                      base::AttemptId Attempt);

// onAttemptOutcome() records the outcome of an attempt at its entry: the
// reported suspicion, the state of the path to the owner, and the result of the
// trial, if it was one.
void onAttemptOutcome(RoutingState &State, const base::BackendName &Server,
                      base::AttemptId Attempt,
                      const core::AttemptOutcome &Outcome, base::TimePoint Now);

// onAttemptUnanswered() records that an attempt was abandoned without an
// answer: as a failed trial, if it was one, and as a failure of the path if
// another node owns the server.
void onAttemptUnanswered(RoutingState &State, const base::BackendName &Server,
                         base::AttemptId Attempt, base::TimePoint Now);

// releaseTrial() permits another trial of the server if the attempt was its
// running trial.
void releaseTrial(RoutingState &State, const base::BackendName &Server,
                  base::AttemptId Attempt);

// noteOwnerReport() records what an outcome reports from the server's owner:
// its load, and whether its breaker refused the attempt.
void noteOwnerReport(RoutingState &State, const base::BackendName &Server,
                     const core::AttemptOutcome &Outcome, base::TimePoint Now);

// onOwnerMessage() clears the failures on the path to an owner, since a message
// from it arrived. An empty name has no effect.
void onOwnerMessage(RoutingState &State, const base::NodeName &Owner);

} // namespace currantgauge::routing

#endif // CURRANTGAUGE_ROUTING_HEALTH_H
