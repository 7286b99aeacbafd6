// A change of the operator's configuration that moves a route, drops one and
// adds one, and the requests that show which version a node handles them by.
//
//   writeConfig(All.Platform, makeConfig(ConfigStep::Last));
//   int Late = countStale(Bench, All, Clock::now(), Watched);
#ifndef REVIEW_LAB_CONFIG_CHANGE_H
#define REVIEW_LAB_CONFIG_CHANGE_H

#include "review/lab/lab.h"

namespace currantgauge::review {

enum class ConfigStep { First, Second, Last };

// makeConfig() returns a version. First serves /lists/ and /dropped/ by
// cutlist, Second adds /second/; Last moves /lists/ to stocktally, drops
// /dropped/ and adds /added/.
nlohmann::json makeConfig(ConfigStep Step);

// startConfigFleet() starts three machines and writes First. It ends the case
// if the nodes don't serve it.
void startConfigFleet(Lab &Bench, Fleet &All);

// allServe() returns whether every node has Path run by Service.
bool allServe(const Fleet &All, const std::string &Path,
              const std::string &Service);

// countStale() sends requests to all nodes for the time Watched after Last was
// acknowledged, and counts those sent later than configPropagationMs after that
// and handled as only an older version allows.
int countStale(Lab &Bench, const Fleet &All, Clock::time_point Acknowledged,
               Millis Watched);

constexpr Millis ConfigPropagation{2000};
constexpr Millis StabilityWindow{3000};

} // namespace currantgauge::review

#endif // REVIEW_LAB_CONFIG_CHANGE_H
