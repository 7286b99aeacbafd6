// Formats wall-clock times for operators.
//
//   formatTime(base::UnixTime{0}); // "1970-01-01T00:00:00Z"
#ifndef CURRANTGAUGE_CONFIG_TIME_TEXT_H
#define CURRANTGAUGE_CONFIG_TIME_TEXT_H

#include "currantgauge/base/units.h"

#include <string>

namespace currantgauge::config {

// formatTime() returns a time in UTC in the format of RFC 3339, truncated to
// seconds. Times outside of the years 1970 to 9999 are moved to the nearest of
// these.
std::string formatTime(base::UnixTime Time);

} // namespace currantgauge::config

#endif // CURRANTGAUGE_CONFIG_TIME_TEXT_H
