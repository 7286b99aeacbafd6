// What operators see of health: the status table and a sentence for explain.
//
//   Reply.Tables.push_back(makeHealthTable(State, ServiceName(), Now));
#ifndef CURRANTGAUGE_ROUTING_HEALTH_REPORT_H
#define CURRANTGAUGE_ROUTING_HEALTH_REPORT_H

#include "currantgauge/base/ids.h"
#include "currantgauge/base/units.h"
#include "currantgauge/core/operator.h"
#include "currantgauge/routing/state.h"

#include <string>

namespace currantgauge::routing {

// makeHealthTable() returns the status table: one row a server of the service,
// of every service when it is empty.
core::OperatorTable makeHealthTable(const RoutingState &State,
                                    const base::ServiceName &Service,
                                    base::TimePoint Now);

// explainStanding() returns a sentence on why this node sends work to a server
// or not.
std::string explainStanding(const RoutingState &State,
                            const base::BackendName &Server,
                            base::TimePoint Now);

} // namespace currantgauge::routing

#endif // CURRANTGAUGE_ROUTING_HEALTH_REPORT_H
