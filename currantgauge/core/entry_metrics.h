// What a request leaves behind at its entry: a trace for explain, a log line,
// counters and times.
//
//   countEnd(Node, Request, base::Verdict::NotRun, Why, Effects);
#ifndef CURRANTGAUGE_CORE_ENTRY_METRICS_H
#define CURRANTGAUGE_CORE_ENTRY_METRICS_H

#include "currantgauge/base/verdict.h"
#include "currantgauge/core/effect.h"
#include "currantgauge/core/state.h"

namespace currantgauge::core {

// countEnd() tells of a request's end.
void countEnd(State &Node, const EntryRequest &Request, base::Verdict What,
              base::Reason Why, EffectList &Effects);

// measureHop() tells what the way to another node and back took, of an attempt
// that ended there.
void measureHop(const State &Node, const EntryRequest &Request,
                const AttemptOutcome &Outcome, EffectList &Effects);

} // namespace currantgauge::core

#endif // CURRANTGAUGE_CORE_ENTRY_METRICS_H
