// The budget of this node for the paid link between regions: a token bucket of
// bytes, of which less urgent ranks leave a part to the others.
//
//   if (!takeLinkBudget(State.Link, Config.Link, RankOrder, Bytes, Now))
//   refuse(); chargeLinkBudget(State.Link, Config.Link, AnswerBytes, Now);
#ifndef CURRANTGAUGE_ADMISSION_LINK_H
#define CURRANTGAUGE_ADMISSION_LINK_H

#include "currantgauge/base/units.h"
#include "currantgauge/config/model.h"

#include <cstdint>

namespace currantgauge::admission {

// AttemptOverhead is what an attempt and its answer take beside their bodies.
constexpr base::ByteCount AttemptOverhead{600};

// LinkBudget is what may still be sent now.
struct LinkBudget {
  double Spent = 0; // bytes; the bucket is full at 0
  base::TimePoint UpdatedAt;
};

// takeLinkBudget() charges an attempt that is to cross the link. Returns false,
// and charges nothing, when the budget has no room for its rank.
bool takeLinkBudget(LinkBudget &Budget, const config::LinkSettings &Settings,
                    std::uint32_t RankOrder, base::ByteCount Bytes,
                    base::TimePoint Now);

// chargeLinkBudget() charges bytes that have crossed already.
void chargeLinkBudget(LinkBudget &Budget, const config::LinkSettings &Settings,
                      base::ByteCount Bytes, base::TimePoint Now);

} // namespace currantgauge::admission

#endif // CURRANTGAUGE_ADMISSION_LINK_H
