// Records of an ended request at its entry: a trace for explain, a log line,
// counters and latencies.
//
//   recordRequestEnd(Node, Request, base::Verdict::NotRun, Reason, Effects);
#ifndef CURRANTGAUGE_CORE_ENTRY_METRICS_H
#define CURRANTGAUGE_CORE_ENTRY_METRICS_H

#include "currantgauge/base/verdict.h"
#include "currantgauge/core/effect.h"
#include "currantgauge/core/state.h"

namespace currantgauge::core {

// recordRequestEnd() records the end of a request in trace, log and metrics.
void recordRequestEnd(State &Node, const EntryRequest &Request,
                      base::Verdict Verdict, base::Reason Reason,
                      EffectList &Effects);

// recordHopTime() records the network round-trip time of an attempt that was
// sent to another node.
void recordHopTime(const State &Node, const EntryRequest &Request,
                   const AttemptTrace &Trace, const AttemptOutcome &Outcome,
                   EffectList &Effects);

} // namespace currantgauge::core

#endif // CURRANTGAUGE_CORE_ENTRY_METRICS_H
