// What a node decided on recent requests, kept for operators in bounded memory.
//
//   noteAttemptEnd(Request.Trace, Ended.Attempt, Outcome, Now);
//   remember(Node.Entry.Recent, traceOf(Request, What, Why, Now));
//   OperatorReply Reply = explain(Node, Request);
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

// AttemptTrace is one attempt of a request, as its entry saw it.
struct AttemptTrace {
  base::AttemptId Attempt;
  base::BackendName Server;
  base::NodeName Owner;
  std::string_view Choice; // the rule that chose the server; a literal
  base::TimePoint Started;
  base::Duration Elapsed;
  bool Ended = false;
  base::Verdict Verdict = base::Verdict::NotRun;
  base::Reason Reason = base::Reason::None;
  // What the owner said of its load at the end: running and waiting attempts by
  // open slots, below 0: not told; and the delay of its queue.
  double Busy = -1;
  base::Duration QueueDelay;
};

// RequestTrace is one request with its attempts.
struct RequestTrace {
  base::RequestId Request;
  base::KindName Kind;
  base::ServiceName Service;
  base::RankName Rank;
  base::TimePoint Arrived;
  base::Duration Elapsed;
  bool Ended = false;
  base::Verdict Verdict = base::Verdict::NotRun;
  base::Reason Reason = base::Reason::None;
  std::vector<AttemptTrace> Attempts;
};

// RecentRequests keeps the last requests. Those that were refused or tried
// again have a ring of their own, so that a busy node keeps them for longer.
struct RecentRequests {
  static constexpr std::size_t Limit = 512; // of each ring
  std::deque<RequestTrace> ServedFirstTry;
  std::deque<RequestTrace> FailedOrRetried;
};

// noteAttemptEnd() fills in how an attempt ended.
void noteAttemptEnd(std::vector<AttemptTrace> &Attempts,
                    base::AttemptId Attempt, const AttemptOutcome &Outcome,
                    base::TimePoint Now);

// describeAttempt() returns an attempt as one line of a log: server, owner, why
// it was chosen, when it started after the request's arrival, and its end.
std::string describeAttempt(const AttemptTrace &Trace, base::TimePoint Arrived);

// remember() keeps an ended request and drops the oldest beyond the limit.
void recordTrace(RecentRequests &Recent, RequestTrace Ended);

// findTrace() returns the trace of an ended request, null when it isn't kept.
const RequestTrace *findTrace(const RecentRequests &Recent,
                              base::RequestId Request);

// explain() tells of a request, in flight or ended, and of the standing of its
// service's servers now. Error: the request is not known here any more.
OperatorReply explainRequest(const State &Node, base::RequestId Request);

} // namespace currantgauge::core

#endif // CURRANTGAUGE_CORE_EXPLAIN_H
