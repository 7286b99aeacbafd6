#include "currantgauge/core/explain.h"

#include "currantgauge/core/state.h"
#include "currantgauge/routing/health_report.h"

#include <algorithm>
#include <string>
#include <utility>

namespace currantgauge::core {
namespace {

std::string millis(base::Duration Span) {
  return std::to_string(base::toMillis(Span)) + " ms";
}

bool isTroubled(const RequestTrace &Ended) {
  return Ended.Reason != base::Reason::None || Ended.Attempts.size() > 1;
}

std::optional<RequestTrace> traceInFlight(const State &Node,
                                          base::RequestId Id) {
  auto Found = Node.Entry.Requests.find(Id);
  if (Found == Node.Entry.Requests.end())
    return std::nullopt;
  const EntryRequest &Request = Found->second;
  RequestTrace Trace;
  Trace.Request = Id;
  Trace.Kind = Request.Kind.Name;
  Trace.Service = Request.Kind.Service;
  Trace.Rank = Request.Kind.Rank;
  Trace.Arrived = Request.Arrived;
  Trace.Elapsed = Node.Now - Request.Arrived;
  Trace.Attempts = Request.Trace;
  return Trace;
}

OperatorTable attemptTable(const RequestTrace &Trace) {
  OperatorTable Table{"attempts",
                      {"attempt", "server", "owner", "choice", "after", "took",
                       "verdict", "reason"},
                      {}};
  for (const AttemptTrace &One : Trace.Attempts)
    Table.Rows.push_back(
        {base::formatId(One.Attempt), One.Server.Value, One.Owner.Value,
         std::string(One.Choice), millis(One.Started - Trace.Arrived),
         One.Ended ? millis(One.Elapsed) : "running",
         One.Ended ? std::string(base::verdictName(One.Verdict)) : "",
         One.Ended ? std::string(base::reasonName(One.Reason)) : ""});
  return Table;
}

OperatorTable standingTable(const State &Node,
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

void noteAttemptEnd(std::vector<AttemptTrace> &Attempts,
                    base::AttemptId Attempt, const AttemptOutcome &Outcome,
                    base::TimePoint Now) {
  auto Found = std::find_if(
      Attempts.begin(), Attempts.end(),
      [&](const AttemptTrace &One) { return One.Attempt == Attempt; });
  if (Found == Attempts.end())
    return;
  Found->Ended = true;
  Found->Elapsed = Now - Found->Started;
  Found->Verdict = Outcome.Verdict;
  Found->Reason = Outcome.Reason;
  Found->Busy = Outcome.Load.Busy;
  Found->QueueDelay = Outcome.Load.QueueDelay;
  if (!Outcome.Server.empty())
    Found->Server = Outcome.Server;
}

std::string describeAttempt(const AttemptTrace &Trace,
                            base::TimePoint Arrived) {
  std::string Text = Trace.Server.Value + " at " + Trace.Owner.Value + " by " +
                     std::string(Trace.Choice) + " after " +
                     std::to_string(base::toMillis(Trace.Started - Arrived)) +
                     " ms";
  if (!Trace.Ended)
    return Text + ", not ended";
  Text += ", " + std::string(base::verdictName(Trace.Verdict)) + " " +
          std::string(base::reasonName(Trace.Reason)) + " in " +
          millis(Trace.Elapsed);
  if (Trace.Busy < 0)
    return Text;
  auto Percent = static_cast<int>(100 * Trace.Busy);
  return Text + ", owner busy " + std::to_string(Percent) + "%, queue " +
         millis(Trace.QueueDelay);
}

void recordTrace(RecentRequests &Recent, RequestTrace Ended) {
  std::deque<RequestTrace> &Ring =
      isTroubled(Ended) ? Recent.FailedOrRetried : Recent.ServedFirstTry;
  Ring.push_back(std::move(Ended));
  if (Ring.size() > RecentRequests::Limit)
    Ring.pop_front();
}

const RequestTrace *findTrace(const RecentRequests &Recent,
                              base::RequestId Request) {
  for (const std::deque<RequestTrace> *Ring :
       {&Recent.FailedOrRetried, &Recent.ServedFirstTry})
    for (const RequestTrace &One : *Ring)
      if (One.Request == Request)
        return &One;
  return nullptr;
}

OperatorReply explainRequest(const State &Node, base::RequestId Request) {
  OperatorReply Reply;
  std::optional<RequestTrace> Running = traceInFlight(Node, Request);
  const RequestTrace *Trace =
      Running ? &*Running : findTrace(Node.Entry.Recent, Request);
  if (!Trace) {
    Reply.Error = "this node keeps no request " + base::formatId(Request) +
                  ": ask its entry, soon after it ended";
    return Reply;
  }
  Reply.Fields = {{"request", base::formatId(Request)},
                  {"kind", Trace->Kind.Value},
                  {"service", Trace->Service.Value},
                  {"rank", Trace->Rank.Value},
                  {"state", Trace->Ended ? "ended" : "in flight"},
                  {"took", millis(Trace->Elapsed)}};
  if (Trace->Ended) {
    Reply.Fields.push_back(
        {"verdict", std::string(base::verdictName(Trace->Verdict))});
    Reply.Fields.push_back(
        {"reason", std::string(base::reasonName(Trace->Reason))});
    Reply.Fields.push_back(
        {"text", std::string(base::reasonText(Trace->Reason))});
  }
  Reply.Tables = {attemptTable(*Trace), standingTable(Node, Trace->Service)};
  return Reply;
}

} // namespace currantgauge::core
