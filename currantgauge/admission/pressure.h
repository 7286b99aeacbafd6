// Pressure: the share of a rank's work that an owner refuses; entries shed it.
//
//   noteRefused(State, Service, RankOrder, Now);
//   Outcome.Load = pressureOf(State, Service, RankOrder);
#ifndef CURRANTGAUGE_ADMISSION_PRESSURE_H
#define CURRANTGAUGE_ADMISSION_PRESSURE_H

#include "currantgauge/admission/state.h"
#include "currantgauge/base/ids.h"
#include "currantgauge/base/units.h"
#include "currantgauge/base/verdict.h"
#include "currantgauge/core/request.h"

#include <cstdint>

namespace currantgauge::admission {

// While a rank is under pressure, and always for a kind with an aim, an attempt
// is queued only if its forecast wait is within PressedForecastLimit, and
// refused once it has waited for PressedWaitLimit, or CrossRegionWaitLimit if
// its entry is in another region. The refusal then reaches the caller early,
// the way back included. An aim that allows a longer wait raises these limits;
// waits of the request's earlier attempts count towards the wait limits.
constexpr base::Duration PressedForecastLimit = base::milliseconds(35);
constexpr base::Duration PressedWaitLimit = base::milliseconds(40);
constexpr base::Duration CrossRegionWaitLimit = base::milliseconds(28);

// isLoadRefusal() returns true for reasons by which an owner refuses attempts
// because of load: lack of queue room or time, or pressure.
bool isLoadRefusal(base::Reason Reason);

// isPressed() returns true while an owner refuses part of a rank's work, and
// for some seconds after.
bool isPressed(const RankQueue &Rank, base::TimePoint Now);

// noteStarted() counts an attempt that got a slot.
void noteStarted(RankQueue &Rank, base::TimePoint Now);

// noteRefused() counts an attempt that was refused because of load before it
// got a slot.
void noteRefused(AdmissionState &State, const base::ServiceName &Service,
                 std::uint32_t RankOrder, base::TimePoint Now);

// pressureOf() returns the pressure of a rank's queue that is reported to
// entries. Its RefusedShare is the share of the rank's work that entries should
// not send. The caller sets Owner.
core::Pressure pressureOf(const AdmissionState &State,
                          const base::ServiceName &Service,
                          std::uint32_t RankOrder);

// notePressure() records at an entry the pressure that an owner reported. A
// report without refusals erases the last one; one without Owner is ignored.
void notePressure(AdmissionState &State, const core::Pressure &NewPressure,
                  base::TimePoint Now);

// pressureCost() returns the share of a rank's work, 0 to 1, that an entry
// should not send to an owner by its last report, 0 without one. It decays
// while no new report arrives.
double pressureCost(const AdmissionState &State,
                    const base::ServiceName &Service,
                    const base::NodeName &Owner, std::uint32_t RankOrder,
                    base::TimePoint Now);

// shouldShed() returns true if an entry refuses a request that it would send to
// Owner. Draw is uniform in [0, 1) and the same for all owners considered for
// one request. Some requests always pass and probe whether the pressure has
// ended.
bool shouldShed(const AdmissionState &State, const base::ServiceName &Service,
                const base::NodeName &Owner, std::uint32_t RankOrder,
                base::TimePoint Now, double Draw);

} // namespace currantgauge::admission

#endif // CURRANTGAUGE_ADMISSION_PRESSURE_H
