// Health reports for operators: the status table and the explanation of a
// server's standing.
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

// makeHealthTable() returns the status table, with one row per server of the
// service, or of all services if Service is empty.
core::OperatorTable makeHealthTable(const RoutingState &State,
                                    const base::ServiceName &Service,
                                    base::TimePoint Now);

// explainStanding() returns a sentence that explains why this node does or does
// not send work to a server.
std::string explainStanding(const RoutingState &State,
                            const base::BackendName &Server,
                            base::TimePoint Now);

} // namespace currantgauge::routing

#endif // CURRANTGAUGE_ROUTING_HEALTH_REPORT_H
