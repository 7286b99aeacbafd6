// This node's budget for the paid link between regions: a token bucket of
// bytes. Less urgent ranks leave a part of it for the more urgent ones. A rate
// of 0 in the settings means that the link is not limited.
//
//   if (!takeLinkBudget(State.Link, Config.Link, RankOrder, Bytes, Now))
//     refuse();
//   chargeLinkBudget(State.Link, Config.Link, AnswerBytes, Now);
#ifndef CURRANTGAUGE_ADMISSION_LINK_H
#define CURRANTGAUGE_ADMISSION_LINK_H

#include "currantgauge/base/units.h"
#include "currantgauge/config/model.h"

#include <cstdint>

namespace currantgauge::admission {

// AttemptOverhead is the size of an attempt and its response beyond the bodies.
constexpr base::ByteCount AttemptOverhead{600};

// LinkBudget is the state of the token bucket.
struct LinkBudget {
  double Spent = 0; // bytes; the bucket is full at 0
  base::TimePoint UpdatedAt;
};

// takeLinkBudget() charges an attempt before it crosses the link: its body of
// Bytes and AttemptOverhead. Returns false and charges nothing if the budget
// has no room for its rank.
bool takeLinkBudget(LinkBudget &Budget, const config::LinkSettings &Settings,
                    std::uint32_t RankOrder, base::ByteCount Bytes,
                    base::TimePoint Now);

// chargeLinkBudget() charges bytes that have already crossed the link, even if
// the budget is exhausted.
void chargeLinkBudget(LinkBudget &Budget, const config::LinkSettings &Settings,
                      base::ByteCount Bytes, base::TimePoint Now);

} // namespace currantgauge::admission

#endif // CURRANTGAUGE_ADMISSION_LINK_H
