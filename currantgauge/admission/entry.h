// What an entry decides before any byte leaves it: limits, shedding, the link.
//
//   Reason Why = admitAtEntry(State, Config, Kind, Workspace, Now);
//   Why = admitAttempt(Node, Kind, BodyBytes, Server, Effects);
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

// admitAtEntry() returns why a request is refused here, else None.
base::Reason admitAtEntry(AdmissionState &State,
                          const config::Configuration &Config,
                          const config::KindSettings &Kind,
                          const base::WorkspaceName &Workspace,
                          base::TimePoint Now);

// rankOrder() returns a rank's order; an unknown rank comes after all others.
std::uint32_t rankOrder(const config::Configuration &Config,
                        const base::RankName &Rank);

// AttemptPlan is an attempt that an entry is about to start.
struct AttemptPlan {
  const config::Configuration &Config;
  const config::KindSettings &Kind;
  const routing::BackendServer &Server;
  base::RegionName EntryRegion; // of the entry
  base::ByteCount BodyBytes;
  base::TimePoint Now;
  double Draw = 1; // uniform in [0, 1), one for the request
};

// shouldSkipOwner() says whether an entry looks for another owner: this one is
// known to refuse part of the rank, and most owners are not.
bool shouldSkipOwner(const AdmissionState &State, const AttemptPlan &Plan);

// admitAttempt() returns why an attempt is not sent to its owner, else None. It
// charges the link when the owner is in another region.
base::Reason admitAttempt(AdmissionState &State, const AttemptPlan &Plan,
                          core::EffectList &Effects);

// noteAttemptEnd() learns what an attempt's answer tells: pressure, successes
// and bytes that crossed the link.
void noteAttemptEnd(AdmissionState &State, const AttemptPlan &Plan,
                    const core::AttemptOutcome &Outcome,
                    core::EffectList &Effects);

} // namespace currantgauge::admission

#endif // CURRANTGAUGE_ADMISSION_ENTRY_H
