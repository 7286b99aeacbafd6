#include "currantgauge/core/explain.h"

#include "currantgauge/core/state.h"
#include "currantgauge/routing/health_report.h"

#include <algorithm>
#include <string>
#include <utility>

namespace currantgauge::core {
namespace {

std::string formatMillis(base::Duration Span) {
  return std::to_string(base::toMillis(Span)) + " ms";
}

bool isFailedOrRetried(const RequestTrace &Trace) {
  return Trace.Reason != base::Reason::None || Trace.Attempts.size() > 1;
}

std::optional<RequestTrace> makeInFlightTrace(const State &Node,
                                              base::RequestId Id) {
  auto It = Node.Entry.Requests.find(Id);
  if (It == Node.Entry.Requests.end())
    return std::nullopt;
  const EntryRequest &Request = It->second;
  RequestTrace Trace;
  Trace.Request = Id;
  Trace.Kind = Request.Kind.Name;
  Trace.Service = Request.Kind.Service;
  Trace.Rank = Request.Kind.Rank;
  Trace.ArrivedAt = Request.ArrivedAt;
  Trace.Elapsed = Node.Now - Request.ArrivedAt;
  Trace.Attempts = Request.Trace;
  return Trace;
}

OperatorTable makeAttemptTable(const RequestTrace &Trace) {
  OperatorTable Table{"attempts",
                      {"attempt", "server", "owner", "choice", "after", "took",
                       "verdict", "reason"},
                      {}};
  for (const AttemptTrace &Attempt : Trace.Attempts)
    Table.Rows.push_back(
        {base::formatId(Attempt.Attempt), Attempt.Server.Value,
         Attempt.Owner.Value, std::string(Attempt.Choice),
         formatMillis(Attempt.StartedAt - Trace.ArrivedAt),
         Attempt.Ended ? formatMillis(Attempt.Elapsed) : "running",
         Attempt.Ended ? std::string(base::verdictName(Attempt.Verdict)) : "",
         Attempt.Ended ? std::string(base::reasonName(Attempt.Reason)) : ""});
  return Table;
}

OperatorTable makeStandingTable(const State &Node,
                                const base::ServiceName &Service) {
  OperatorTable Table{"servers of the service now", {"server", "text"}, {}};
  auto Names = Node.Routing.ByService.find(Service);
  if (Names == Node.Routing.ByService.end())
    return Table;
  for (const base::BackendName &Name : Names->second)
    Table.Rows.push_back(
        {Name.Value, routing::explainStanding(Node.Routing, Name, Node.Now)});
  return Table;
}

} // namespace

const AttemptTrace *noteAttemptEnd(std::vector<AttemptTrace> &Attempts,
                                   base::AttemptId Attempt,
                                   const AttemptOutcome &Outcome,
                                   base::TimePoint Now) {
  auto It = std::find_if(
      Attempts.begin(), Attempts.end(),
      [&](const AttemptTrace &Trace) { return Trace.Attempt == Attempt; });
  if (It == Attempts.end())
    return nullptr;
  It->Ended = true;
  It->Elapsed = Now - It->StartedAt;
  It->Verdict = Outcome.Verdict;
  It->Reason = Outcome.Reason;
  It->Busy = Outcome.Load.Busy;
  It->QueueDelay = Outcome.Load.QueueDelay;
  if (!Outcome.Server.empty())
    It->Server = Outcome.Server;
  return &*It;
}

std::string describeAttempt(const AttemptTrace &Trace,
                            base::TimePoint ArrivedAt) {
  std::string Text =
      Trace.Server.Value + " at " + Trace.Owner.Value + " by " +
      std::string(Trace.Choice) + " after " +
      std::to_string(base::toMillis(Trace.StartedAt - ArrivedAt)) + " ms";
  if (!Trace.Ended)
    return Text + ", not ended";
  Text += ", " + std::string(base::verdictName(Trace.Verdict)) + " " +
          std::string(base::reasonName(Trace.Reason)) + " in " +
          formatMillis(Trace.Elapsed);
  if (Trace.Busy < 0)
    return Text;
  auto Percent = static_cast<int>(100 * Trace.Busy);
  return Text + ", owner busy " + std::to_string(Percent) + "%, queue " +
         formatMillis(Trace.QueueDelay);
}

void recordTrace(RecentRequests &Recent, RequestTrace Trace) {
  std::deque<RequestTrace> &Ring =
      isFailedOrRetried(Trace) ? Recent.FailedOrRetried : Recent.ServedFirstTry;
  Ring.push_back(std::move(Trace));
  if (Ring.size() > RecentRequests::MaxTracesPerRing)
    Ring.pop_front();
}

const RequestTrace *findTrace(const RecentRequests &Recent,
                              base::RequestId Request) {
  for (const std::deque<RequestTrace> *Ring :
       {&Recent.FailedOrRetried, &Recent.ServedFirstTry})
    for (const RequestTrace &Trace : *Ring)
      if (Trace.Request == Request)
        return &Trace;
  return nullptr;
}

OperatorReply explainRequest(const State &Node, base::RequestId Request) {
  OperatorReply Reply;
  std::optional<RequestTrace> Running = makeInFlightTrace(Node, Request);
  const RequestTrace *Trace =
      Running ? &*Running : findTrace(Node.Entry.Recent, Request);
  if (!Trace) {
    Reply.Error = "this node has no trace of request " +
                  base::formatId(Request) +
                  ": query its entry node soon after the request ended";
    return Reply;
  }
  Reply.Fields = {{"request", base::formatId(Request)},
                  {"kind", Trace->Kind.Value},
                  {"service", Trace->Service.Value},
                  {"rank", Trace->Rank.Value},
                  {"state", Trace->Ended ? "ended" : "in flight"},
                  {"took", formatMillis(Trace->Elapsed)}};
  if (Trace->Ended) {
    Reply.Fields.push_back(
        {"verdict", std::string(base::verdictName(Trace->Verdict))});
    Reply.Fields.push_back(
        {"reason", std::string(base::reasonName(Trace->Reason))});
    Reply.Fields.push_back(
        {"text", std::string(base::reasonText(Trace->Reason))});
  }
  Reply.Tables = {makeAttemptTable(*Trace),
                  makeStandingTable(Node, Trace->Service)};
  return Reply;
}

} // namespace currantgauge::core
