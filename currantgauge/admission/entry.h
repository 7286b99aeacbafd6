// What an entry decides before any byte leaves it: limits, shedding, retries.
//
//   Reason Why = admitAtEntry(State, Config, Kind, Workspace, Now);
//   if (takeRetry(State, Settings, Rank)) startNextAttempt();
#ifndef CURRANTGAUGE_ADMISSION_ENTRY_H
#define CURRANTGAUGE_ADMISSION_ENTRY_H

#include "currantgauge/admission/state.h"
#include "currantgauge/base/ids.h"
#include "currantgauge/base/random.h"
#include "currantgauge/base/units.h"
#include "currantgauge/base/verdict.h"
#include "currantgauge/config/model.h"

#include <cstdint>

namespace currantgauge::admission {

// admitAtEntry() returns why a request is refused here, else None.
base::Reason admitAtEntry(AdmissionState &State,
                          const config::Configuration &Config,
                          const config::KindSettings &Kind,
                          const base::WorkspaceName &Workspace,
                          base::TimePoint Now);

// noteSuccess() feeds the retry budget of a service.
void noteSuccess(AdmissionState &State, const config::Configuration &Config,
                 const base::ServiceName &Service);

// takeRetry() takes a token of the retry budget; false when there is none.
bool takeRetry(AdmissionState &State, const base::ServiceName &Service);

// retryDelay() returns the backoff before an attempt, with jitter. Number is 2
// for the first retry.
base::Duration retryDelay(std::uint32_t Number, base::Random &Source);

} // namespace currantgauge::admission

#endif // CURRANTGAUGE_ADMISSION_ENTRY_H
