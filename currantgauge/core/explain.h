// Traces of the decisions on recent requests, kept in bounded memory for the
// operators' explain command.
//
//   noteAttemptEnd(Request.Trace, Ended.Attempt, Outcome, Now);
//   recordTrace(Node.Entry.Recent, std::move(Trace));
//   OperatorReply Reply = explainRequest(Node, Request);
#ifndef CURRANTGAUGE_CORE_EXPLAIN_H
#define CURRANTGAUGE_CORE_EXPLAIN_H

#include "currantgauge/base/ids.h"
#include "currantgauge/base/units.h"
#include "currantgauge/base/verdict.h"
#include "currantgauge/core/operator.h"
#include "currantgauge/core/request.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace currantgauge::core {

struct State;

// AttemptTrace is an attempt of a request, as its entry recorded it.
struct AttemptTrace {
  base::AttemptId Attempt;
  base::BackendName Server;
  base::NodeName Owner;
  std::string_view Choice; // name of the rule that chose the server (a literal)
  base::TimePoint StartedAt;
  base::Duration Elapsed; // until its end
  bool Ended = false;
  base::Verdict Verdict = base::Verdict::NotRun;
  base::Reason Reason = base::Reason::None;
  // Load that the owner reported at the end: running and queued attempts
  // divided by open slots (negative: not reported), and Pressure::QueueDelay.
  double Busy = -1;
  base::Duration QueueDelay;
};

// RequestTrace is a request with its attempts.
struct RequestTrace {
  base::RequestId Request;
  base::KindName Kind;
  base::ServiceName Service;
  base::RankName Rank;
  base::TimePoint ArrivedAt;
  base::Duration Elapsed; // until its end or, if in flight, until now
  bool Ended = false;
  base::Verdict Verdict = base::Verdict::NotRun;
  base::Reason Reason = base::Reason::None;
  std::vector<AttemptTrace> Attempts;
};

// RecentRequests keeps the most recent requests. Failed or retried requests
// have a separate ring, so that a busy node keeps them longer.
struct RecentRequests {
  static constexpr std::size_t MaxTracesPerRing = 512;
  std::deque<RequestTrace> ServedFirstTry;
  std::deque<RequestTrace> FailedOrRetried;
};

// noteAttemptEnd() records the outcome of an attempt in its trace and returns
// the trace, or null for an attempt without one (a referral).
const AttemptTrace *noteAttemptEnd(std::vector<AttemptTrace> &Attempts,
                                   base::AttemptId Attempt,
                                   const AttemptOutcome &Outcome,
                                   base::TimePoint Now);

// describeAttempt() formats an attempt for the log: server, owner, rule of
// choice, start relative to the request's arrival and, if it has ended, outcome
// and the load that the owner reported.
std::string describeAttempt(const AttemptTrace &Trace,
                            base::TimePoint ArrivedAt);

// recordTrace() stores the trace of an ended request in its ring and evicts the
// oldest trace of that ring beyond MaxTracesPerRing.
void recordTrace(RecentRequests &Recent, RequestTrace Trace);

// findTrace() returns the trace of an ended request, or null if it isn't
// stored.
const RequestTrace *findTrace(const RecentRequests &Recent,
                              base::RequestId Request);

// explainRequest() describes a request, in flight or ended, and the current
// standing (health state) of its service's servers. Sets Error if this node has
// no trace of the request.
OperatorReply explainRequest(const State &Node, base::RequestId Request);

} // namespace currantgauge::core

#endif // CURRANTGAUGE_CORE_EXPLAIN_H
