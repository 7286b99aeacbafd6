// Admission at the entry (the node that received the request), before it sends
// anything to an owner: rate limits, load shedding, budget of the region link.
//
//   Reason Reason = admitAtEntry(State, Config, Kind, Workspace, Now);
//   Reason = admitAttempt(State, Plan, Effects);
#ifndef CURRANTGAUGE_ADMISSION_ENTRY_H
#define CURRANTGAUGE_ADMISSION_ENTRY_H

#include "currantgauge/admission/state.h"
#include "currantgauge/base/ids.h"
#include "currantgauge/base/units.h"
#include "currantgauge/base/verdict.h"
#include "currantgauge/config/model.h"
#include "currantgauge/core/effect.h"
#include "currantgauge/core/request.h"
#include "currantgauge/routing/state.h"

#include <cstdint>

namespace currantgauge::admission {

// admitAtEntry() returns the reason to refuse a request (unknown workspace or
// rate limit), else None. An admitted request takes its rate limits' tokens.
base::Reason admitAtEntry(AdmissionState &State,
                          const config::Configuration &Config,
                          const config::KindSettings &Kind,
                          const base::WorkspaceName &Workspace,
                          base::TimePoint Now);

// rankOrder() returns a rank's order, lower for more urgent. Unknown: last.
std::uint32_t rankOrder(const config::Configuration &Config,
                        const base::RankName &Rank);

// AttemptPlan is an attempt that an entry is about to start.
struct AttemptPlan {
  const config::Configuration &Config;
  const config::KindSettings &Kind;
  const routing::BackendServer &Server;
  base::RegionName EntryRegion;
  base::ByteCount BodyBytes;
  base::TimePoint Now;
  double Draw = 1; // for shedding: uniform in [0, 1), one per request
};

// shouldSkipOwner() returns true if an entry should prefer another owner: this
// one recently reported that it refuses part of the rank's work, and owners in
// general don't shed the rank (see isRankShed()).
bool shouldSkipOwner(const AdmissionState &State, const AttemptPlan &Plan);

// admitAttempt() returns the reason not to send an attempt to its owner, else
// None. It charges the link budget for an admitted attempt to another region.
base::Reason admitAttempt(AdmissionState &State, const AttemptPlan &Plan,
                          core::EffectList &Effects);

// noteAttemptEnd() updates the retry budget from an attempt's outcome and
// charges the link budget for a response from another region.
void noteAttemptEnd(AdmissionState &State, const AttemptPlan &Plan,
                    const core::AttemptOutcome &Outcome,
                    core::EffectList &Effects);

} // namespace currantgauge::admission

#endif // CURRANTGAUGE_ADMISSION_ENTRY_H
