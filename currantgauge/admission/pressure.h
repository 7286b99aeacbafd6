// Pressure of a rank at its owner, and what an entry does about it.
//
//   noteRefused(State, Service, RankOrder, Now);
//   Outcome.Load = pressureOf(State, Service, RankOrder, Now);
#ifndef CURRANTGAUGE_ADMISSION_PRESSURE_H
#define CURRANTGAUGE_ADMISSION_PRESSURE_H

#include "currantgauge/admission/state.h"
#include "currantgauge/base/ids.h"
#include "currantgauge/base/units.h"
#include "currantgauge/base/verdict.h"
#include "currantgauge/core/request.h"

#include <cstdint>

namespace currantgauge::admission {

// While a rank is pressed, an attempt is queued only when it will start soon,
// and waits no longer: a refusal is then early, the way back included.
constexpr base::Duration PressedForecastLimit = base::milliseconds(35);
constexpr base::Duration PressedWaitLimit = base::milliseconds(40);
constexpr base::Duration CrossRegionWaitLimit =
    base::milliseconds(28); // over the link

// isLoadRefusal() says whether an owner refused for want of room or time.
bool isLoadRefusal(base::Reason Why);

// isPressed() says whether an owner refuses part of a rank at present.
bool isPressed(const RankQueue &Rank, base::TimePoint Now);

// noteStarted() counts an attempt of a rank that got a slot.
void noteStarted(RankQueue &Rank, base::TimePoint Now);

// noteRefused() counts an attempt that the owner refused for its load.
void noteRefused(AdmissionState &State, const base::ServiceName &Service,
                 std::uint32_t RankOrder, base::TimePoint Now);

// pressureOf() returns what an entry is told of a rank's queue here.
core::Pressure pressureOf(const AdmissionState &State,
                          const base::ServiceName &Service,
                          std::uint32_t RankOrder);

// notePressure() remembers, at an entry, what an owner said of a rank.
void notePressure(AdmissionState &State, const core::Pressure &Load,
                  base::TimePoint Now);

// pressureCost() returns the share of a rank's work, 0 to 1, that an entry
// expects an owner to refuse. It fades when nothing more is heard.
double pressureCost(const AdmissionState &State,
                    const base::ServiceName &Service,
                    const base::NodeName &Owner, std::uint32_t RankOrder,
                    base::TimePoint Now);

// shouldShed() decides whether an entry refuses a request that it would send to
// Owner. Draw is uniform in [0, 1) and the same for each owner that is weighed
// for a request. Some always pass: their answers tell when the pressure ends.
bool shouldShed(const AdmissionState &State, const base::ServiceName &Service,
                const base::NodeName &Owner, std::uint32_t RankOrder,
                base::TimePoint Now, double Draw);

} // namespace currantgauge::admission

#endif // CURRANTGAUGE_ADMISSION_PRESSURE_H
