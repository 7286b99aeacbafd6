// The settings file of a node that a test runs.
#ifndef CURRANTGAUGE_TESTS_INTEGRATION_SETTINGS_FILE_H
#define CURRANTGAUGE_TESTS_INTEGRATION_SETTINGS_FILE_H

#include <string>

namespace currantgauge::integration {

// removeFirstStart() removes first_start: the platform's settings say it only
// until a node of the fleet has run.
void removeFirstStart(const std::string &SettingsPath);

} // namespace currantgauge::integration

#endif // CURRANTGAUGE_TESTS_INTEGRATION_SETTINGS_FILE_H
