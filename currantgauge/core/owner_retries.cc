#include "currantgauge/core/owner_retries.h"

#include "currantgauge/admission/fleet_retry.h"

#include <cstddef>

namespace currantgauge::core {
namespace {

admission::FleetRetryBudget &budgetOf(State &Node,
                                      const base::ServiceName &Service) {
  admission::FleetRetryBudget &Budget = Node.Admission.FleetRetries[Service];
  if (!admission::countIsDue(Budget, Node.Now))
    return Budget;
  std::size_t Owned = 0;
  std::size_t Known = 0;
  for (const base::BackendName &Name : Node.Routing.ByService[Service]) {
    if (Node.Routing.Servers.at(Name).Record.Phase ==
        routing::BackendPhase::Gone)
      continue;
    ++Known;
    if (Node.Routing.Owned.contains(Name))
      ++Owned;
  }
  admission::noteServers(Budget, Node.Self.RetryBound, Owned, Known, Node.Now);
  return Budget;
}

// A restarted node has forgotten what it sent: it uses no slack until no window
// can contain sends of its earlier process.
bool mayUseSlack(const State &Node) {
  return Node.Self.FirstStart ||
         Node.Now - Node.StartedAt > Node.Self.RetryBound.Window;
}

bool isBounded(const State &Node) { return Node.Self.RetryBound.Ratio > 0; }

} // namespace

bool mayRepeat(State &Node, const AttemptFacts &Attempt) {
  return !isBounded(Node) || Attempt.Number <= 1 ||
         admission::canSendRetry(budgetOf(Node, Attempt.Service),
                                 Node.Self.RetryBound, mayUseSlack(Node),
                                 Node.Now);
}

void noteAttemptSent(State &Node, const AttemptFacts &Attempt) {
  if (isBounded(Node))
    admission::noteSend(budgetOf(Node, Attempt.Service), Node.Self.RetryBound,
                        Attempt.Number, Node.Now);
}

void undoAttemptSent(State &Node, const admission::QueuedAttempt &Attempt) {
  if (isBounded(Node) && Attempt.StartedAt > base::TimePoint{})
    admission::undoSend(budgetOf(Node, Attempt.Facts.Service),
                        Node.Self.RetryBound, Attempt.Facts.Number,
                        Attempt.StartedAt);
}

} // namespace currantgauge::core
