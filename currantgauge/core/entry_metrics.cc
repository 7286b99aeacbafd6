#include "currantgauge/core/entry_metrics.h"

#include "currantgauge/core/request_log.h"

#include <string>
#include <utility>

namespace currantgauge::core {
namespace {

void saveRequestTrace(State &Node, const EntryRequest &Request,
                      base::Verdict Verdict, base::Reason Reason) {
  RequestTrace Trace;
  Trace.Request = Request.Facts.Request;
  Trace.Kind = Request.Kind.Name;
  Trace.Service = Request.Kind.Service;
  Trace.Rank = Request.Kind.Rank;
  Trace.ArrivedAt = Request.ArrivedAt;
  Trace.Elapsed = Node.Now - Request.ArrivedAt;
  Trace.Ended = true;
  Trace.Verdict = Verdict;
  Trace.Reason = Reason;
  Trace.Attempts = Request.Trace;
  recordTrace(Node.Entry.Recent, std::move(Trace));
}

} // namespace

void recordRequestEnd(State &Node, const EntryRequest &Request,
                      base::Verdict Verdict, base::Reason Reason,
                      EffectList &Effects) {
  saveRequestTrace(Node, Request, Verdict, Reason);
  logRequestEnd(Node, Request, Verdict, Reason, Effects);
  Effects.push_back(Measure{Metric::Requests, Request.Kind.Name.Value,
                            std::string(base::verdictName(Verdict)), 1});
  Effects.push_back(Measure{Metric::RequestSeconds, Request.Kind.Rank.Value,
                            Request.Kind.Service.Value,
                            base::toSeconds(Node.Now - Request.ArrivedAt)});
  if (Reason != base::Reason::None)
    Effects.push_back(Measure{Metric::Refusals,
                              std::string(base::reasonName(Reason)),
                              Request.Kind.Rank.Value, 1});
}

void recordHopTime(const State &Node, const EntryRequest &Request,
                   const AttemptTrace &Trace, const AttemptOutcome &Outcome,
                   EffectList &Effects) {
  if (Outcome.Held == base::Duration{} || Trace.Owner == Node.Self.Name)
    return;
  Effects.push_back(Measure{Metric::PartSeconds, "hop", Request.Kind.Rank.Value,
                            base::toSeconds(Trace.Elapsed - Outcome.Held)});
}

} // namespace currantgauge::core
